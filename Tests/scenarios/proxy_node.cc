// Executes the actions of the decision classes as calls and passes the replies
// back to the classes as events.

#include "Tests/scenarios/proxy_node.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

constexpr absl::Duration kTickInterval = absl::Milliseconds(25);
constexpr absl::Duration kCallTimeout = absl::Milliseconds(500);
constexpr absl::Duration kStatementTimeout = absl::Seconds(1);
constexpr absl::Duration kRequestDeadline = absl::Seconds(2);

struct PositionReport {
  uint64_t term = 0;
  Position last;
};

}  // namespace

ProxyNode::ProxyNode(std::string name,
                     EventQueue* queue,
                     Network* network,
                     FakeGroup* group,
                     History* history,
                     uint64_t seed)
    : m_name(std::move(name)),
      m_queue(queue),
      m_network(network),
      m_group(group),
      m_history(history),
      m_random(seed) {
  Start();
}

void ProxyNode::Start() {
  const auto lost = std::exchange(m_confirmation_callbacks, {});
  for (const auto& [request, done] : lost) {
    done(false);
  }
  m_failover =
      std::make_unique<FailoverController>(FailoverOptions(), m_random);
  m_failover->SetTargets(m_group->names, m_queue->Now());
  m_failover->SetActive(m_active);
  m_tracker = std::make_unique<CommitTracker>();
  Tick(m_network->Incarnation(m_name));
}

void ProxyNode::SetActive(bool active) {
  m_active = active;
  m_failover->SetActive(active);
}

std::string ProxyNode::DeciderId() const {
  return absl::StrCat(m_name, "#", m_network->Incarnation(m_name));
}

void ProxyNode::Tick(uint64_t incarnation) {
  if (m_network->Incarnation(m_name) != incarnation) {
    return;
  }
  if (m_network->IsRunning(m_name)) {
    std::vector<FailoverAction> failover;
    m_failover->OnTick(m_queue->Now(), &failover);
    Apply(failover);
    std::vector<CommitAction> commit;
    m_tracker->OnTick(m_queue->Now(), &commit);
    Apply(commit);
  }
  m_queue->After(kTickInterval, [this, incarnation] { Tick(incarnation); });
}

void ProxyNode::Apply(const std::vector<FailoverAction>& actions) {
  for (const FailoverAction& action : actions) {
    if (const auto* read = std::get_if<ReadTargetStatus>(&action)) {
      ReadStatus(read->target);
    } else if (const auto* fence = std::get_if<FenceTarget>(&action)) {
      Fence(*fence);
    } else if (const auto* promote = std::get_if<PromoteTarget>(&action)) {
      Promote(*promote);
    } else if (const auto* primary = std::get_if<PrimaryKnown>(&action)) {
      std::vector<CommitAction> commit;
      m_tracker->OnPrimary(primary->target, primary->term, m_group->names,
                           m_queue->Now(), &commit);
      Apply(commit);
    } else if (const auto* step = std::get_if<PromotionStep>(&action)) {
      m_promotions_started += step->step == "fence" ? 1 : 0;
    }
  }
}

void ProxyNode::Apply(const std::vector<CommitAction>& actions) {
  for (const CommitAction& action : actions) {
    if (const auto* wait = std::get_if<WaitForPosition>(&action)) {
      StartPositionWait(*wait);
      continue;
    }
    const auto* confirmed = std::get_if<RequestConfirmed>(&action);
    const RequestId id = confirmed != nullptr
                             ? confirmed->request
                             : std::get<RequestUnconfirmed>(action).request;
    if (auto node = m_confirmation_callbacks.extract(id)) {
      node.mapped()(confirmed != nullptr);
    }
  }
}

void ProxyNode::ReadStatus(const std::string& target) {
  m_network->Call<TargetStatus>(
      m_name, target, kCallTimeout, false,
      [this, target] { return m_group->At(target).Status(m_queue->Now()); },
      [this, target](std::optional<TargetStatus> status) {
        std::vector<FailoverAction> actions;
        if (status) {
          m_failover->OnStatus(target, *status, m_queue->Now(), &actions);
        } else {
          m_failover->OnStatusFailed(target, m_queue->Now(), &actions);
        }
        Apply(actions);
      });
}

void ProxyNode::Fence(const FenceTarget& fence) {
  m_network->Call<FakeFenceReply>(
      m_name, fence.target, kCallTimeout, true,
      [this, fence, decider = DeciderId()] {
        return m_group->At(fence.target).Fence(fence.term, decider);
      },
      [this, fence](std::optional<FakeFenceReply> reply) {
        if (!reply) {
          return;
        }
        std::vector<FailoverAction> actions;
        m_failover->OnFenceReply(fence.target, fence.term, reply->granted,
                                 reply->term, reply->last, m_queue->Now(),
                                 &actions);
        Apply(actions);
      });
}

void ProxyNode::Promote(const PromoteTarget& promote) {
  m_network->Call<FakeFenceReply>(
      m_name, promote.target, kCallTimeout, true,
      [this, promote, decider = DeciderId()] {
        const FakeFenceReply reply =
            m_group->At(promote.target)
                .Promote(promote.term, decider, m_queue->Now());
        if (reply.granted) {
          m_history->OnPromoted(promote.target, promote.term);
        }
        return reply;
      },
      [this, promote](std::optional<FakeFenceReply> reply) {
        if (!reply) {
          return;
        }
        std::vector<FailoverAction> actions;
        m_failover->OnPromoteReply(promote.target, promote.term, reply->granted,
                                   reply->term, m_queue->Now(), &actions);
        Apply(actions);
      });
}

// A real target replies when it has the position, when its term differs, or
// after the timeout. Here the instance polls the fake target every 5 ms
// instead.
void ProxyNode::StartPositionWait(const WaitForPosition& wait) {
  PollPosition(wait, m_queue->Now() + wait.timeout);
}

void ProxyNode::PollPosition(const WaitForPosition& wait, absl::Time until) {
  m_network->Call<PositionReport>(
      m_name, wait.target, kCallTimeout, false,
      [this, wait] {
        const FakeTarget& target = m_group->At(wait.target);
        return PositionReport{target.Term(), target.End()};
      },
      [this, wait, until](std::optional<PositionReport> report) {
        std::vector<CommitAction> actions;
        if (!report) {
          m_tracker->OnPositionFailure(wait.target, wait.wait, m_queue->Now(),
                                       &actions);
        } else if (report->term == wait.position.term &&
                   report->last < wait.position && m_queue->Now() < until) {
          m_queue->After(absl::Milliseconds(5),
                         [this, wait, until,
                          incarnation = m_network->Incarnation(m_name)] {
                           if (incarnation == m_network->Incarnation(m_name)) {
                             PollPosition(wait, until);
                           }
                         });
        } else {
          m_tracker->OnPositionReport(wait.target, wait.wait, report->term,
                                      report->last, m_queue->Now(), &actions);
        }
        Apply(actions);
      });
}

void ProxyNode::Submit(const SessionRequest& request,
                       const ResultCallback& done) {
  const bool to_replica =
      request.kind == SessionRequest::Kind::kRead && !request.target.empty();
  const auto primary = m_failover->Primary();
  if (!m_network->IsRunning(m_name) || (!primary && !to_replica)) {
    done({RequestOutcome::kNotRun, {}, {}});
    return;
  }
  const std::string target = to_replica ? request.target : primary->target;
  const uint64_t term = to_replica ? 0 : primary->term;
  m_network->Call<FakeReply>(
      m_name, target, kStatementTimeout, false,
      [this, target, term, request] {
        FakeTarget& fake = m_group->At(target);
        const absl::Time now = m_queue->Now();
        switch (request.kind) {
          case SessionRequest::Kind::kWrite:
            return fake.Write(term, request.key, request.write, now);
          case SessionRequest::Kind::kResolve:
            return fake.Resolve(term, request.key, now);
          case SessionRequest::Kind::kRead:
            break;
        }
        return fake.Read(term, request.min_position, request.max_age, now);
      },
      [this, request, done](const std::optional<FakeReply>& reply) {
        OnReply(request, reply, done);
      });
}

void ProxyNode::OnReply(const SessionRequest& request,
                        const std::optional<FakeReply>& reply,
                        const ResultCallback& done) {
  if (!reply) {
    done({RequestOutcome::kUnknown, {}, {}});
    return;
  }
  if (!reply->ran) {
    std::vector<FailoverAction> actions;
    m_failover->RefreshTargetStatus(m_queue->Now(), &actions);
    Apply(actions);
    done({RequestOutcome::kNotRun, {}, {}});
    return;
  }
  const RequestResult result = {
      reply->key_refused ? RequestOutcome::kNotRun : RequestOutcome::kDone,
      reply->log_end, reply->writes};
  if (!reply->at_primary) {
    // The data of a replica may not be confirmed yet, so the session's
    // position does not advance.
    done({RequestOutcome::kDone, {}, reply->writes});
    return;
  }
  const RequestId id = ++m_last_request;
  m_confirmation_callbacks[id] = [done, result](bool confirmed) {
    done(confirmed ? result : RequestResult{RequestOutcome::kUnknown, {}, {}});
  };
  const bool read = request.kind == SessionRequest::Kind::kRead;
  std::vector<CommitAction> actions;
  m_tracker->OnExecuted(
      id, read ? ConfirmationKind::kRead : ConfirmationKind::kWrite,
      reply->log_end, m_queue->Now() + kRequestDeadline, m_queue->Now(),
      &actions);
  Apply(actions);
}

}  // namespace heatherwick
