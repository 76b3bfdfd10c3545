// Connects the targets, instances, sessions and history of a simulation.

#include "Tests/scenarios/simulation.h"

#include "Source/decision/session_token.h"

namespace heatherwick {

namespace {

constexpr char kGroup[] = "g";
constexpr absl::Duration kPullInterval = absl::Milliseconds(20);
constexpr absl::Duration kPullTimeout = absl::Milliseconds(200);
constexpr absl::Duration kCheckInterval = absl::Milliseconds(10);
constexpr absl::Duration kRequestTimeout = absl::Seconds(4);

}  // namespace

Simulation::Simulation(uint64_t seed,
                       const std::vector<std::string>& proxies,
                       const PlatformRules& rules)
    : m_network(&m_queue, seed), m_proxy_names(proxies) {
  m_group.names = {"a", "b", "c"};
  for (const std::string& name : m_group.names) {
    m_group.targets[name] =
        std::make_unique<FakeTarget>(name == "a", m_queue.Now(), rules);
    Replicate(name);
  }
  for (const std::string& name : proxies) {
    m_proxies[name] = std::make_unique<ProxyNode>(name, &m_queue, &m_network,
                                                  &m_group, &m_history, ++seed);
  }
  m_sheets = std::make_unique<SheetSimulation>(
      &m_queue, &m_network, &m_history, proxies, seed, rules.conditional_table);
}

void Simulation::Replicate(const std::string& replica) {
  if (m_network.IsRunning(replica) && !m_group.At(replica).Primary()) {
    for (const std::string& source : m_group.names) {
      if (source != replica) {
        Pull(replica, source);
      }
    }
  }
  m_queue.After(kPullInterval, [this, replica] { Replicate(replica); });
}

void Simulation::Pull(const std::string& replica, const std::string& source) {
  const absl::Time started = m_queue.Now();
  const FakeTarget& own = m_group.At(replica);
  m_network.Call<FakePullReply>(
      replica, source, kPullTimeout, false,
      [this, source, term = own.Term(), log = own.Log(), lag = own.Lag()] {
        return m_group.At(source).AnswerPull(term, log, lag, m_queue.Now());
      },
      [this, replica, started, requested_size = own.Log().size(),
       end = own.End()](const std::optional<FakePullReply>& pull) {
        FakeTarget& target = m_group.At(replica);
        // The reply applies only to the log that the request described.
        if (pull && target.Log().size() == requested_size &&
            target.End() == end) {
          target.OnPullReply(*pull, started, m_queue.Now());
        }
      });
}

void Simulation::Check() {
  std::vector<const FakeTarget*> targets;
  for (const auto& [name, target] : m_group.targets) {
    targets.push_back(target.get());
  }
  m_history.Check(targets);
}

void Simulation::Advance(absl::Duration duration) {
  const absl::Time end = m_queue.Now() + duration;
  while (m_queue.Now() < end) {
    m_queue.RunUntil(std::min(end, m_queue.Now() + kCheckInterval));
    Check();
  }
}

OperationId Simulation::StartRequest(
    const std::string& via,
    const SessionRequest& request,
    const std::function<void(const RequestResult&)>& done) {
  const OperationId operation = m_outcomes.size();
  m_outcomes.push_back(RequestOutcome::kPending);
  const auto finish = [this, operation, done](const RequestResult& result) {
    if (m_outcomes[operation] == RequestOutcome::kPending) {
      m_outcomes[operation] = result.outcome;
      done(result);
    }
  };
  m_queue.After(kRequestTimeout, [finish] {
    finish({RequestOutcome::kUnknown, {}, {}});
  });
  m_proxies.at(via)->Submit(request, finish);
  return operation;
}

void Simulation::AdvanceToken(const std::string& session, Position position) {
  SessionToken token =
      ValueOf(SessionToken::Decode(m_token_of_session[session]));
  token.Advance(kGroup, position);
  m_token_of_session[session] = token.Encode();
}

OperationId Simulation::Write(const std::string& via,
                              const std::string& session,
                              const std::string& key) {
  uint64_t write = ++m_last_write;
  if (!key.empty()) {
    write = m_write_of_key.emplace(key, write).first->second;
    ++m_send_count_of_key[key];
    m_history.OnWriteSentAgain(key);
  }
  SessionRequest request;
  request.key = key;
  request.write = write;
  return StartRequest(via, request, [=, this](const RequestResult& result) {
    if (result.outcome == RequestOutcome::kDone) {
      AdvanceToken(session, result.position);
    }
    const bool sent_once = key.empty() || m_send_count_of_key[key] == 1;
    m_history.OnWriteEnded(write, key, session, result.outcome, sent_once,
                           m_queue.Now());
  });
}

OperationId Simulation::Resolve(const std::string& via,
                                const std::string& session,
                                const std::string& key) {
  SessionRequest request;
  request.kind = SessionRequest::Kind::kResolve;
  request.key = key;
  return StartRequest(via, request, [=, this](const RequestResult& result) {
    // Without a position no primary has run the request, so its outcome does
    // not settle the key.
    if (result.position.term > 0) {
      m_history.OnResolved(key, result.outcome);
    }
    if (result.outcome == RequestOutcome::kDone) {
      AdvanceToken(session, result.position);
      m_history.OnWriteEnded(m_write_of_key[key], key, session, result.outcome,
                             /*sent_once=*/false, m_queue.Now());
    }
  });
}

OperationId Simulation::Read(const std::string& via,
                             const std::string& session,
                             const std::string& target,
                             absl::Duration max_age) {
  SessionRequest request;
  request.kind = SessionRequest::Kind::kRead;
  request.target = target;
  request.max_age = max_age;
  request.min_position =
      ValueOf(SessionToken::Decode(m_token_of_session[session]))
          .PositionOf(kGroup);
  const uint64_t read = m_outcomes.size();
  m_history.OnReadStarted(read, session, max_age, m_queue.Now());
  return StartRequest(via, request, [=, this](const RequestResult& result) {
    if (result.outcome == RequestOutcome::kDone) {
      AdvanceToken(session, result.position);
      m_history.OnReadEnded(read, result.writes);
    }
  });
}

RequestOutcome Simulation::Await(OperationId operation) {
  for (int i = 0; i < 500 && m_outcomes[operation] == RequestOutcome::kPending;
       ++i) {
    Advance(kCheckInterval);
  }
  return m_outcomes[operation];
}

void Simulation::Restart(const std::string& node, bool forgets_role) {
  m_network.Kill(node);
  m_network.Restart(node);
  if (m_proxies.contains(node)) {
    m_proxies.at(node)->Start();
    m_sheets->Restart(node);
  } else if (IsTarget(node) && forgets_role) {
    m_group.At(node).ForgetRole();
  }
}

void Simulation::Recover() {
  m_network.SetFaults({});
  m_network.Heal();
  for (const auto& [name, target] : m_group.targets) {
    target->SetLag(absl::ZeroDuration());
    target->SetLeaving(false);
    if (!m_network.IsAlive(name)) {
      Restart(name, false);
    }
    m_network.Resume(name);
  }
  for (const std::string& name : m_proxy_names) {
    if (!m_network.IsAlive(name)) {
      Restart(name, false);
    }
    m_network.Resume(name);
  }
  m_network.Restart(SheetSimulation::kStore);
  m_network.Resume(SheetSimulation::kStore);
}

bool Simulation::CanServe(const std::string& via) {
  return Await(Write(via, "check", "")) == RequestOutcome::kDone &&
         Await(Read(via, "check", "", absl::ZeroDuration())) ==
             RequestOutcome::kDone;
}

std::string Simulation::Primary() const {
  std::string primary;
  for (const auto& [name, target] : m_group.targets) {
    if (target->Primary() &&
        (primary.empty() ||
         target->Term() > m_group.targets.at(primary)->Term())) {
      primary = name;
    }
  }
  return primary;
}

}  // namespace heatherwick
