// Chooses the targets of reads in groups whose connections this instance
// borrows: feeds an EvenLoadReads for each group with what the lenders report,
// and shows in metrics and the log what it believes.

#ifndef SOURCE_GATEWAY_LOAD_LENT_READS_H_
#define SOURCE_GATEWAY_LOAD_LENT_READS_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "Source/base/metrics.h"
#include "Source/decision/read_policy.h"
#include "Source/gateway/borrowing_driver.h"
#include "Source/gateway/event_loop.h"
#include "absl/random/bit_gen_ref.h"
#include "absl/random/random.h"
#include "absl/time/time.h"

namespace heatherwick {

class LentReads : public LoanObserver {
 public:
  LentReads(EventLoop* loop, Metrics* metrics);

  // Returns the index of the target for a read, or nullopt if none can start
  // one. Targets in `avoided` are chosen only if there is no other.
  std::optional<size_t> Choose(const GroupName& group,
                               const std::vector<ReadCandidate>& candidates,
                               const std::vector<TargetId>& avoided);

  // LoanObserver:
  void OnTargetLoad(const ListedTarget& target,
                    const InstanceId& lender,
                    const TargetLoad& load) override;
  void OnTargetOutcome(const ListedTarget& target,
                       ReadOutcome outcome) override;

 private:
  struct Group {
    std::unique_ptr<ReadPolicy> policy;
    absl::Time last_used;
  };

  ReadPolicy* Policy(const GroupName& group);
  void LogBeliefs(const GroupName& group,
                  const std::vector<ReadCandidate>& candidates,
                  size_t chosen);

  EventLoop* const m_loop;
  Metrics* const m_metrics;
  absl::BitGen m_random;
  std::map<GroupName, Group> m_groups;
  absl::Time m_swept = absl::InfinitePast();
  absl::Time m_beliefs_logged = absl::InfinitePast();
  absl::Time m_reduction_logged = absl::InfinitePast();
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_LOAD_LENT_READS_H_
