// Asks the target that claims to lead, and publishes it as the first primary.

#include "Source/gateway/first_leader.h"

#include <optional>
#include <utility>
#include <vector>

#include "Source/gateway/leadership_view.h"
#include "Source/gateway/promotion_limits.h"
#include "glog/logging.h"

namespace heatherwick {

FirstLeader::FirstLeader(InstanceId self,
                         uint64_t incarnation,
                         EventLoop* loop,
                         RowStore* store,
                         GroupAccess* groups,
                         std::string table)
    : m_self(std::move(self)),
      m_incarnation(incarnation),
      m_loop(loop),
      m_store(store),
      m_groups(groups),
      m_table(std::move(table)) {}

FirstLeader::~FirstLeader() {
  *m_alive = false;
}

void FirstLeader::Propose(const GroupName& group, absl::Duration stagger) {
  const absl::Time now = m_loop->Now();
  std::vector<TargetId> claiming_targets;
  for (const ListedTarget& target : m_groups->Targets(group)) {
    if (target.claims_primary) {
      claiming_targets.push_back(target.id);
    }
  }
  if (claiming_targets.size() != 1) {
    return;
  }
  const auto start = m_stagger_start.try_emplace(group, now).first;
  if (now < start->second + stagger) {
    return;
  }
  start->second = now;  // A retry waits for the stagger again.
  const TargetId primary = claiming_targets.front();
  m_groups->QueryStatus(
      group, primary, kProbeTimeout,
      [this, group, primary,
       alive = m_alive](const std::optional<TargetStatus>& status) {
        if (!*alive) {
          return;
        }
        LOG(INFO) << "event=first_leader_claim group=" << group
                  << " target=" << primary << " answered=" << status.has_value()
                  << " leads=" << (status && status->primary)
                  << " term=" << (status ? status->term : 0);
        Publish(group, primary, status && status->primary ? status->term : 0);
      });
}

void FirstLeader::Publish(const GroupName& group,
                          const TargetId& primary,
                          uint64_t term) {
  GroupLeader first;
  first.epoch = 1;
  first.phase = LeaderPhase::kOpen;
  first.primary = primary;
  first.term = term;
  first.holder = m_self;
  first.holder_incarnation = m_incarnation;
  const std::string key = LeadershipView::LeaderKey(group);
  RowTransaction transaction{m_table, {{key, "", 0, false}}, {}, {}};
  transaction.writes = {{key, LeadershipView::EncodeLeader(first), 0, false}};
  LOG(INFO) << "event=first_leader group=" << group
            << " primary=" << first.primary;
  m_store->Commit(transaction, kStoreCallTimeout,
                  [](const Result<uint64_t>&) {});
}

}  // namespace heatherwick
