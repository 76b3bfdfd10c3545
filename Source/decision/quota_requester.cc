// Chooses the shard to ask and distributes what it grants.

#include "Source/decision/quota_requester.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace heatherwick {
namespace {

// A coordinator that did not answer is not asked for a time that doubles with
// each failure.
constexpr absl::Duration kFirstAvoidance = absl::Milliseconds(250);
constexpr absl::Duration kLongestAvoidance = absl::Seconds(4);
// If no coordinator can be asked, those that did not answer are tried this
// often all the same. An instance that is cut off must not call without pause.
constexpr absl::Duration kRetryAvoided = absl::Milliseconds(100);
// An instance that says that it does not coordinate the shard has another view
// of the members, or starts to coordinate it soon.
constexpr absl::Duration kDisagreementDelay = absl::Milliseconds(200);
// Bounds of the pause that a coordinator asks for; see QuotaCoordinator for
// what those of this version ask for.
constexpr absl::Duration kMinBlock = absl::Milliseconds(10);
constexpr absl::Duration kMaxBlock = absl::Seconds(1);
// For operations for which no coordinator can be asked.
constexpr absl::Duration kNoShardRetry = absl::Milliseconds(200);
// A shard with this part left is asked although others may have more.
constexpr double kEnoughLeft = 0.5;
// An unused shard fills within about this time, as bursts are about a second of
// the rate.
constexpr absl::Duration kFillTime = absl::Seconds(2);
// Operations of a workspace that wait for a shard to have something again, and
// how long; a request waits as long for a connection of a lender. A caller that
// is refused comes back later than that.
constexpr size_t kMaxHeld = 4;
constexpr absl::Duration kMaxHold = absl::Milliseconds(250);
// Workspaces without waiting operations are forgotten beyond this number.
constexpr size_t kMaxWorkspaces = 1000;

}  // namespace

QuotaRequester::QuotaRequester(InstanceId self, DataCentreName data_centre)
    : m_self(std::move(self)), m_data_centre(std::move(data_centre)) {}

void QuotaRequester::OnMembers(std::vector<FleetMember> members) {
  m_members = std::move(members);
  ++m_revision;
  std::set<InstanceId> present;
  for (const FleetMember& member : m_members) {
    present.insert(member.id);
  }
  std::erase_if(m_avoided, [&present](const auto& entry) {
    return !present.contains(entry.first);
  });
}

QuotaRequester::Workspace& QuotaRequester::Planned(const WorkspaceName& name) {
  if (m_workspaces.size() >= kMaxWorkspaces && !m_workspaces.contains(name)) {
    std::erase_if(m_workspaces, [](const auto& entry) {
      return entry.second.waiting.empty() && entry.second.asked_for == 0;
    });
  }
  Workspace& workspace = m_workspaces[name];
  if (workspace.plan != m_revision) {
    std::vector<QuotaShard> planned = PlanQuota(name, m_members);
    if (planned.size() != workspace.planned.size()) {
      workspace.shards.clear();
    }
    for (uint32_t number = 0; number < planned.size(); ++number) {
      if (number < workspace.planned.size() &&
          workspace.planned[number].coordinator !=
              planned[number].coordinator) {
        workspace.shards.erase(number);
      }
    }
    workspace.order = QuotaAskingOrder(planned, m_data_centre, m_self);
    workspace.planned = std::move(planned);
    workspace.plan = m_revision;
  }
  return workspace;
}

void QuotaRequester::Admit(const WorkspaceName& workspace,
                           QuotaTicket ticket,
                           int priority,
                           absl::Time now,
                           QuotaActions* actions) {
  Workspace& state = Planned(workspace);
  const Waiting entry{priority, ticket, now};
  state.waiting.insert(
      std::upper_bound(state.waiting.begin(), state.waiting.end(), entry),
      entry);
  Ask(workspace, &state, now, actions);
}

void QuotaRequester::Cancel(const WorkspaceName& workspace,
                            QuotaTicket ticket) {
  const auto found = m_workspaces.find(workspace);
  if (found != m_workspaces.end()) {
    std::erase_if(found->second.waiting, [ticket](const Waiting& entry) {
      return entry.ticket == ticket;
    });
  }
}

absl::Time QuotaRequester::BlockedUntil(const Workspace& workspace,
                                        uint32_t shard) const {
  absl::Time until = absl::InfinitePast();
  const auto known = workspace.shards.find(shard);
  if (known != workspace.shards.end()) {
    until = known->second.blocked_until;
  }
  const auto avoided = m_avoided.find(workspace.planned[shard].coordinator);
  return avoided == m_avoided.end() ? until
                                    : std::max(until, avoided->second.until);
}

void QuotaRequester::Ask(const WorkspaceName& name,
                         Workspace* workspace,
                         absl::Time now,
                         QuotaActions* actions) {
  if (workspace->waiting.size() <= workspace->asked_for) {
    return;
  }
  const std::optional<uint32_t> number = ChooseShard(workspace, now);
  if (number) {
    Shard& shard = workspace->shards[*number];
    if (shard.asked) {
      return;  // The operations are asked for when the answer arrives.
    }
    const size_t count = workspace->waiting.size() - workspace->asked_for;
    shard.asked = true;
    workspace->asked_for += count;
    actions->calls.push_back(
        {workspace->planned[*number].coordinator,
         {name, *number, static_cast<uint32_t>(workspace->planned.size()),
          static_cast<uint32_t>(count)}});
    return;
  }
  if (workspace->asked_for == 0) {
    RefuseWaiting(workspace, now, actions);
  }
}

std::optional<uint32_t> QuotaRequester::ChooseShard(Workspace* workspace,
                                                    absl::Time now) {
  std::optional<uint32_t> chosen;
  double most_left = 0;
  for (const uint32_t number : workspace->order) {
    if (BlockedUntil(*workspace, number) > now) {
      continue;
    }
    const Shard& shard = workspace->shards[number];
    const double left =
        shard.answered == absl::InfinitePast()
            ? 1
            : shard.left + absl::FDivDuration(now - shard.answered, kFillTime);
    if (left >= kEnoughLeft) {
      return number;
    }
    if (!chosen || left > most_left) {
      chosen = number;
      most_left = left;
    }
  }
  return chosen ? chosen : ChooseAvoided(workspace, now);
}

std::optional<uint32_t> QuotaRequester::ChooseAvoided(Workspace* workspace,
                                                      absl::Time now) {
  for (const uint32_t number : workspace->order) {
    const Shard& shard = workspace->shards[number];
    if (shard.used_up && shard.blocked_until > now) {
      return std::nullopt;
    }
  }
  for (const uint32_t number : workspace->order) {
    const auto avoided = m_avoided.find(workspace->planned[number].coordinator);
    if (avoided != m_avoided.end() &&
        workspace->shards[number].blocked_until <= now &&
        now - avoided->second.tried >= kRetryAvoided) {
      avoided->second.tried = now;
      return number;
    }
  }
  return std::nullopt;
}

void QuotaRequester::RefuseWaiting(Workspace* workspace,
                                   absl::Time now,
                                   QuotaActions* actions) {
  absl::Time first = absl::InfiniteFuture();
  bool used_up = false;
  for (const uint32_t number : workspace->order) {
    first = std::min(first, BlockedUntil(*workspace, number));
    used_up |= workspace->shards[number].used_up;
  }
  const absl::Duration retry_after =
      first == absl::InfiniteFuture() ? kNoShardRetry : first - now;
  std::vector<Waiting> held;
  for (const Waiting& entry : workspace->waiting) {
    if (used_up && held.size() < kMaxHeld &&
        first <= entry.arrived + kMaxHold) {
      held.push_back(entry);
    } else {
      actions->refused.push_back({entry.ticket, retry_after, used_up});
    }
  }
  workspace->waiting = std::move(held);
  if (!workspace->waiting.empty()) {
    actions->wake_at = std::min(actions->wake_at, first);
  }
}

void QuotaRequester::CountFailure(const QuotaQuery& query,
                                  Workspace* workspace,
                                  QuotaActions* actions) {
  std::vector<Waiting>& waiting = workspace->waiting;
  for (size_t index = 0; index < waiting.size(); ++index) {
    waiting[index].failures += index < query.count ? 1 : 0;
  }
  std::erase_if(waiting, [workspace, actions](const Waiting& entry) {
    const bool refused = entry.failures >= workspace->planned.size();
    if (refused) {
      actions->refused.push_back({entry.ticket, kNoShardRetry, false});
    }
    return refused;
  });
}

void QuotaRequester::OnTime(absl::Time now, QuotaActions* actions) {
  for (auto& [name, workspace] : m_workspaces) {
    if (!workspace.waiting.empty()) {
      Ask(name, &Planned(name), now, actions);
    }
  }
}

void QuotaRequester::OnAnswer(const QuotaQuery& query,
                              const std::optional<QuotaResponse>& response,
                              absl::Time now,
                              QuotaActions* actions) {
  Workspace& workspace = Planned(query.workspace);
  workspace.asked_for -= std::min<size_t>(workspace.asked_for, query.count);
  const bool same_plan = workspace.planned.size() == query.shards;
  Shard& shard = workspace.shards[query.shard];
  shard.asked = false;
  shard.used_up = false;
  if (!response) {
    if (same_plan) {
      Avoided& avoided = m_avoided[workspace.planned[query.shard].coordinator];
      avoided.duration =
          std::clamp(2 * avoided.duration, kFirstAvoidance, kLongestAvoidance);
      avoided.until = now + avoided.duration;
      avoided.tried = now;
    }
    CountFailure(query, &workspace, actions);
    Ask(query.workspace, &workspace, now, actions);
    return;
  }
  if (same_plan) {
    m_avoided.erase(workspace.planned[query.shard].coordinator);
  }
  shard.left = response->left;
  shard.answered = now;
  if (response->outcome != QuotaOutcome::kAnswered) {
    shard.blocked_until = now + kDisagreementDelay;
    CountFailure(query, &workspace, actions);
  } else if (response->granted < query.count) {
    shard.blocked_until =
        now + std::clamp(response->retry_after, kMinBlock, kMaxBlock);
    shard.used_up = true;
  }
  const size_t admitted = std::min<size_t>(
      std::min(response->granted, query.count), workspace.waiting.size());
  for (size_t index = 0; index < admitted; ++index) {
    actions->admitted.push_back(workspace.waiting[index].ticket);
  }
  workspace.waiting.erase(
      workspace.waiting.begin(),
      workspace.waiting.begin() + static_cast<ptrdiff_t>(admitted));
  Ask(query.workspace, &workspace, now, actions);
}

}  // namespace heatherwick
