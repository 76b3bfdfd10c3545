// Asks the coordinators of a workspace's quota for its operations, on the side
// of the instance that received them.
//
// Answers the load in which a workspace sends far beyond its quota through many
// instances: operations that arrive while a call is under way are asked for
// together, a shard that has nothing left is not asked again before it said so,
// and an operation for which no shard has anything left is refused at once. A
// few operations wait instead if a shard will have something within a moment:
// at a small quota, which is nearly used, the next one is due soon.

#ifndef SOURCE_DECISION_QUOTA_REQUESTER_H_
#define SOURCE_DECISION_QUOTA_REQUESTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/fleet_member.h"
#include "Source/decision/quota_messages.h"
#include "Source/decision/quota_plan.h"
#include "absl/time/time.h"

namespace heatherwick {

// An operation that waits for its workspace's quota.
using QuotaTicket = uint64_t;

struct QuotaActions {
  struct Call {
    InstanceId coordinator;
    QuotaQuery query;
  };
  struct Refusal {
    QuotaTicket ticket = 0;
    absl::Duration retry_after;
    // True if a coordinator said that the quota is used up; otherwise none
    // could be asked.
    bool used_up = false;
  };

  std::vector<Call> calls;
  std::vector<QuotaTicket> admitted;
  std::vector<Refusal> refused;
  // When OnTime() has something to do; the infinite future if never.
  absl::Time wake_at = absl::InfiniteFuture();
};

class QuotaRequester {
 public:
  QuotaRequester(InstanceId self, DataCentreName data_centre);

  // Each function adds what is to be done to `actions`.

  void OnMembers(std::vector<FleetMember> members);
  // Operations with a lower priority number are admitted first.
  void Admit(const WorkspaceName& workspace,
             QuotaTicket ticket,
             int priority,
             absl::Time now,
             QuotaActions* actions);
  // The operation's caller has left, or does not wait any longer.
  void Cancel(const WorkspaceName& workspace, QuotaTicket ticket);
  // The answer to a call, or nothing if it failed.
  void OnAnswer(const QuotaQuery& query,
                const std::optional<QuotaResponse>& response,
                absl::Time now,
                QuotaActions* actions);
  // To be called at the time that `wake_at` named.
  void OnTime(absl::Time now, QuotaActions* actions);

 private:
  struct Waiting {
    int priority = 0;
    QuotaTicket ticket = 0;  // Tickets increase with time.
    absl::Time arrived;
    size_t failures = 0;  // Calls for it that no coordinator answered.
    bool operator<(const Waiting& other) const {
      return std::tie(priority, ticket) <
             std::tie(other.priority, other.ticket);
    }
  };
  struct Shard {
    bool asked = false;  // A call is under way.
    absl::Time blocked_until = absl::InfinitePast();
    bool used_up = false;  // Why it is blocked.
    // What the latest answer said was left, and when it came.
    double left = 1;
    absl::Time answered = absl::InfinitePast();
  };
  struct Workspace {
    uint64_t plan = 0;  // The revision of the members that `shards` is of.
    std::vector<QuotaShard> planned;
    std::vector<uint32_t> order;
    std::map<uint32_t, Shard> shards;
    std::vector<Waiting> waiting;  // Sorted.
    size_t asked_for = 0;          // Operations in calls that are under way.
  };
  // A coordinator that did not answer, for all workspaces.
  struct Avoided {
    absl::Time until = absl::InfinitePast();
    absl::Duration duration;
    absl::Time tried;
  };

  Workspace& Planned(const WorkspaceName& name);
  // Asks for the operations that no call under way is for.
  void Ask(const WorkspaceName& name,
           Workspace* workspace,
           absl::Time now,
           QuotaActions* actions);
  // The shard to ask: the first in order that has enough left, otherwise the
  // one with the most left. Asking in order alone would leave the last shards
  // full, and what a full shard is given is lost.
  std::optional<uint32_t> ChooseShard(Workspace* workspace, absl::Time now);
  // Of the shards whose coordinators did not answer, one to try again.
  std::optional<uint32_t> ChooseAvoided(Workspace* workspace, absl::Time now);
  absl::Time BlockedUntil(const Workspace& workspace, uint32_t shard) const;
  // A call failed. Refuses the operations for which as many calls failed as
  // there are shards; shards that are avoided only for a while could otherwise
  // be asked in turn until the callers' deadlines.
  static void CountFailure(const QuotaQuery& query,
                           Workspace* workspace,
                           QuotaActions* actions);
  // Refuses the waiting operations but the few that a shard can soon serve.
  void RefuseWaiting(Workspace* workspace,
                     absl::Time now,
                     QuotaActions* actions);

  const InstanceId m_self;
  const DataCentreName m_data_centre;
  std::vector<FleetMember> m_members;
  uint64_t m_revision = 1;
  std::map<WorkspaceName, Workspace> m_workspaces;
  std::map<InstanceId, Avoided> m_avoided;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_QUOTA_REQUESTER_H_
