// Joins targets, instances, sessions and the history.

#include "Tests/scenarios/simulation.h"

#include "Source/decision/session_token.h"

namespace heatherwick {

namespace {

constexpr char kGroup[] = "g";
constexpr absl::Duration kPullPeriod = absl::Milliseconds(20);
constexpr absl::Duration kPullTimeout = absl::Milliseconds(200);
constexpr absl::Duration kCheckPeriod = absl::Milliseconds(10);
constexpr absl::Duration kSessionTimeout = absl::Seconds(4);

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
  m_sheets = std::make_unique<SheetWorld>(
      &m_queue, &m_network, &m_history, proxies, seed, rules.conditional_table);
}

void Simulation::Replicate(const std::string& replica) {
  if (m_network.Runs(replica) && !m_group.At(replica).Primary()) {
    for (const std::string& source : m_group.names) {
      if (source != replica) {
        Pull(replica, source);
      }
    }
  }
  m_queue.After(kPullPeriod, [this, replica] { Replicate(replica); });
}

void Simulation::Pull(const std::string& replica, const std::string& source) {
  const absl::Time started = m_queue.Now();
  const FakeTarget& own = m_group.At(replica);
  m_network.Call<FakePull>(
      replica, source, kPullTimeout, false,
      [this, source, term = own.Term(), log = own.Log(), lag = own.Lag()] {
        return m_group.At(source).AnswerPull(term, log, lag, m_queue.Now());
      },
      [this, replica, started, size = own.Log().size(),
       end = own.End()](const std::optional<FakePull>& pull) {
        FakeTarget& target = m_group.At(replica);
        // The answer fits only the log that the request described.
        if (pull && target.Log().size() == size && target.End() == end) {
          target.OnPull(*pull, started, m_queue.Now());
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
    m_queue.RunUntil(std::min(end, m_queue.Now() + kCheckPeriod));
    Check();
  }
}

OperationId Simulation::Begin(const std::string& via,
                              const SessionRequest& request,
                              const std::function<void(const Outcome&)>& done) {
  const OperationId operation = m_told.size();
  m_told.push_back(Told::kPending);
  const auto finish = [this, operation, done](const Outcome& outcome) {
    if (m_told[operation] == Told::kPending) {
      m_told[operation] = outcome.told;
      done(outcome);
    }
  };
  m_queue.After(kSessionTimeout, [finish] {
    finish({Told::kUnknown, {}, {}});
  });
  m_proxies.at(via)->Submit(request, finish);
  return operation;
}

void Simulation::AdvanceToken(const std::string& session, Position position) {
  SessionToken token = ValueOf(SessionToken::Decode(m_tokens[session]));
  token.Advance(kGroup, position);
  m_tokens[session] = token.Encode();
}

OperationId Simulation::Write(const std::string& via,
                              const std::string& session,
                              const std::string& key) {
  uint64_t write = ++m_last_write;
  if (!key.empty()) {
    write = m_write_of_key.emplace(key, write).first->second;
    ++m_sends[key];
    m_history.OnSentAgain(key);
  }
  SessionRequest request;
  request.key = key;
  request.write = write;
  return Begin(via, request, [=, this](const Outcome& outcome) {
    if (outcome.told == Told::kDone) {
      AdvanceToken(session, outcome.position);
    }
    const bool only_one = key.empty() || m_sends[key] == 1;
    m_history.OnWriteTold(write, key, session, outcome.told, only_one,
                          m_queue.Now());
  });
}

OperationId Simulation::Resolve(const std::string& via,
                                const std::string& session,
                                const std::string& key) {
  SessionRequest request;
  request.kind = SessionRequest::Kind::kResolve;
  request.key = key;
  return Begin(via, request, [=, this](const Outcome& outcome) {
    // Without a position the request did not reach a primary.
    if (outcome.position.term > 0) {
      m_history.OnResolved(key, outcome.told);
    }
    if (outcome.told == Told::kDone) {
      AdvanceToken(session, outcome.position);
      m_history.OnWriteTold(m_write_of_key[key], key, session, outcome.told,
                            /*only_one=*/false, m_queue.Now());
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
      ValueOf(SessionToken::Decode(m_tokens[session])).PositionOf(kGroup);
  const uint64_t read = m_told.size();
  m_history.OnReadStarted(read, session, max_age, m_queue.Now());
  return Begin(via, request, [=, this](const Outcome& outcome) {
    if (outcome.told == Told::kDone) {
      AdvanceToken(session, outcome.position);
      m_history.OnReadTold(read, outcome.writes);
    }
  });
}

Told Simulation::Await(OperationId operation) {
  for (int i = 0; i < 500 && m_told[operation] == Told::kPending; ++i) {
    Advance(kCheckPeriod);
  }
  return m_told[operation];
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
    if (!m_network.Alive(name)) {
      Restart(name, false);
    }
    m_network.Resume(name);
  }
  for (const std::string& name : m_proxy_names) {
    if (!m_network.Alive(name)) {
      Restart(name, false);
    }
    m_network.Resume(name);
  }
  m_network.Restart(SheetWorld::kStore);
  m_network.Resume(SheetWorld::kStore);
}

bool Simulation::Serves(const std::string& via) {
  return Await(Write(via, "check", "")) == Told::kDone &&
         Await(Read(via, "check", "", absl::ZeroDuration())) == Told::kDone;
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
