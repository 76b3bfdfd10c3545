// Carries out what the requester decides: calls, admissions and refusals.

#include "Source/gateway/quota/quota_gate.h"

#include <optional>
#include <utility>

#include "glog/logging.h"

namespace heatherwick {
namespace {

// A coordinator that does not answer within this time is taken for dead. A call
// across data centres takes a few milliseconds.
constexpr absl::Duration kCallTimeout = absl::Milliseconds(150);
// The first view of the members shows whether this instance takes its shards
// over from an earlier run, until it writes its own row a few milliseconds
// later.
constexpr absl::Duration kFirstViewPoll = absl::Milliseconds(1);
constexpr absl::Duration kMembersPoll = absl::Milliseconds(50);

}  // namespace

QuotaGate::Ticket::Ticket(QuotaGate* gate,
                          WorkspaceName workspace,
                          QuotaTicket number)
    : m_gate(gate), m_workspace(std::move(workspace)), m_number(number) {}

QuotaGate::Ticket::~Ticket() {
  m_gate->Withdraw(m_workspace, m_number);
}

QuotaGate::QuotaGate(InstanceId self,
                     DataCentreName data_centre,
                     absl::Duration lease,
                     QuotaTolerance tolerance,
                     EventLoop* loop,
                     QuotaTransport* transport,
                     const QuotaFleetView* fleet,
                     Metrics* metrics)
    : m_self(self),
      m_loop(loop),
      m_transport(transport),
      m_fleet(fleet),
      m_metrics(metrics),
      m_coordinator(self, lease, tolerance),
      m_requester(std::move(self), std::move(data_centre)) {}

QuotaGate::~QuotaGate() {
  *m_alive = false;
}

void QuotaGate::Start() {
  FollowMembers();
}

void QuotaGate::FollowMembers() {
  UpdateMembers();
  m_members_timer =
      m_loop->RunAfter(m_members_known ? kMembersPoll : kFirstViewPoll,
                       [this]() { FollowMembers(); });
}

void QuotaGate::UpdateMembers() {
  if (m_fleet->MembersRead() &&
      (!m_members_known || m_members_revision != m_fleet->MembersRevision())) {
    const bool restarted = !m_members_known && m_fleet->HasRowOfEarlierRun();
    if (restarted) {
      LOG(INFO) << "event=quota_shards_taken_over instance=" << m_self;
    }
    m_members_known = true;
    m_members_revision = m_fleet->MembersRevision();
    m_coordinator.OnMembers(m_fleet->Members(), restarted, m_loop->Now());
    m_requester.OnMembers(m_fleet->Members());
  }
}

void QuotaGate::OnQuotas(std::map<WorkspaceName, WorkspaceQuota> quotas) {
  m_quotas = quotas;
  // Coordinators refuse operations of a workspace that has no quota any more.
  for (const auto& [ticket, waiting] : m_waiting) {
    if (!m_quotas.contains(waiting.workspace)) {
      m_requester.Cancel(waiting.workspace, ticket);
      Decide(ticket, {true, absl::ZeroDuration(), false});
    }
  }
  m_coordinator.OnQuotas(std::move(quotas));
}

std::unique_ptr<QuotaGate::Ticket> QuotaGate::Admit(
    const WorkspaceName& workspace,
    int priority,
    OnDecision done) {
  const QuotaTicket number = m_next_ticket++;
  m_waiting[number] = {workspace, std::move(done)};
  auto ticket = std::make_unique<Ticket>(this, workspace, number);
  QuotaActions actions;
  m_requester.Admit(workspace, number, priority, m_loop->Now(), &actions);
  Carry(actions);
  return ticket;
}

void QuotaGate::Withdraw(const WorkspaceName& workspace, QuotaTicket ticket) {
  if (m_waiting.erase(ticket) > 0) {
    m_requester.Cancel(workspace, ticket);
  }
}

QuotaResponse QuotaGate::OnQuery(const QuotaQuery& query) {
  // The lease is that of the newest view, so that an older one must not be used
  // under it.
  UpdateMembers();
  return m_coordinator.OnQuery(query, m_fleet->LeaseValid(), m_loop->Now());
}

void QuotaGate::Carry(const QuotaActions& actions) {
  for (const QuotaTicket ticket : actions.admitted) {
    m_metrics->Count("operations/admitted");
    Decide(ticket, {true, absl::ZeroDuration(), false});
  }
  for (const QuotaActions::Refusal& refusal : actions.refused) {
    m_metrics->Count(refusal.used_up ? "operations/over_quota"
                                     : "operations/quota_unknown");
    Decide(refusal.ticket, {false, refusal.retry_after, refusal.used_up});
  }
  for (const QuotaActions::Call& call : actions.calls) {
    Call(call);
  }
  if (actions.wake_at < m_wake_at) {
    m_wake_at = actions.wake_at;
    m_wake_timer = m_loop->RunAfter(m_wake_at - m_loop->Now(), [this]() {
      // The timer is replaced by what follows, so that it runs later.
      m_loop->Post([this, alive = m_alive]() {
        if (!*alive) {
          return;
        }
        m_wake_at = absl::InfiniteFuture();
        QuotaActions due;
        m_requester.OnTime(m_loop->Now(), &due);
        Carry(due);
      });
    });
  }
}

void QuotaGate::Decide(QuotaTicket ticket, const Decision& decision) {
  // Runs later, because Admit() may not have returned yet.
  m_loop->Post([this, ticket, decision, alive = m_alive]() {
    if (!*alive) {
      return;
    }
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end()) {
      return;
    }
    const OnDecision done = std::move(found->second.done);
    m_waiting.erase(found);
    done(decision);
  });
}

void QuotaGate::Call(const QuotaActions::Call& call) {
  const auto done = [this, query = call.query, alive = m_alive](
                        const std::optional<QuotaResponse>& response) {
    if (!*alive) {
      return;
    }
    QuotaActions actions;
    m_requester.OnAnswer(query, response, m_loop->Now(), &actions);
    Carry(actions);
  };
  if (call.coordinator == m_self) {
    m_loop->Post([this, done, query = call.query, alive = m_alive]() {
      if (*alive) {
        done(OnQuery(query));
      }
    });
    return;
  }
  m_metrics->Count("quota_calls/sent");
  m_transport->AskQuota(
      m_fleet->PeerAddress(call.coordinator), call.query, kCallTimeout,
      [this, done, coordinator = call.coordinator,
       alive = m_alive](const Result<QuotaResponse>& answer) {
        if (!*alive) {
          return;
        }
        if (Ok(answer)) {
          done(ValueOf(answer));
          return;
        }
        m_metrics->Count("quota_calls/failed");
        LOG_EVERY_N(INFO, 20)
            << "event=quota_coordinator_failed coordinator=" << coordinator
            << " cause=\"" << ErrorOf(answer).message << "\"";
        done(std::nullopt);
      });
}

}  // namespace heatherwick
