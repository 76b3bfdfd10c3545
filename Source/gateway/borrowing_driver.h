// A target driver whose links borrow a connection from a lender for each
// statement or transaction, where the target has too few connections for each
// instance. See lender_plan.h.

#ifndef SOURCE_GATEWAY_BORROWING_DRIVER_H_
#define SOURCE_GATEWAY_BORROWING_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "Source/base/metrics.h"
#include "Source/decision/lender_plan.h"
#include "Source/decision/read_policy.h"
#include "Source/decision/repeat_budget.h"
#include "Source/decision/target_load.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/lending.h"
#include "Source/gateway/target_link.h"
#include "absl/time/time.h"

namespace heatherwick {

// Is told what the lenders' answers show of the targets.
class LoanObserver {
 public:
  virtual ~LoanObserver() = default;

  virtual void OnTargetLoad(const ListedTarget& target,
                            const InstanceId& lender,
                            const TargetLoad& load) = 0;
  virtual void OnTargetOutcome(const ListedTarget& target,
                               ReadOutcome outcome) = 0;
};

class BorrowingDriver : public TargetDriver {
 public:
  struct Lender {
    InstanceId id;
    std::string address;
    bool same_data_centre = false;
  };

  // `incarnation` differs between all runs of all instances.
  BorrowingDriver(EventLoop* loop,
                  TargetDriver* direct,
                  LendingTransport* transport,
                  uint64_t incarnation);

  // Without this, nothing is counted.
  void SetMetrics(Metrics* metrics) { m_metrics = metrics; }

  // `observer` may be null.
  void SetObserver(LoanObserver* observer) { m_observer = observer; }
  // The lenders of a group in order of preference; empty if this instance has
  // connections of its own.
  void SetLenders(const GroupName& group, std::vector<Lender> lenders);
  bool Borrows(const GroupName& group) const;

  std::unique_ptr<TargetLink> Open(
      const ListedTarget& target,
      const WorkspaceName& workspace,
      std::function<void(Result<Position>)> on_open,
      std::function<void(Error)> on_close) override;
  std::unique_ptr<TargetLink> OpenDirect(
      const ListedTarget& target,
      const WorkspaceName& workspace,
      std::function<void(Result<Position>)> on_open,
      std::function<void(Error)> on_close) override;
  std::optional<TargetStatus> ParseStatus(const Reply& reply) override;

  // Instances that may have connections of their own, for Borrow().
  void SetNeighbours(const GroupName& group, std::vector<Lender> neighbours) {
    m_neighbours[group] = std::move(neighbours);
  }
  std::unique_ptr<TargetLink> Borrow(
      const ListedTarget& target,
      const WorkspaceName& workspace,
      const std::function<void(Error)>& on_close) override;

  // Asks a lender for the newest known position of the group's primary.
  void QueryPosition(const GroupName& group,
                     absl::Duration timeout,
                     std::function<void(Result<LenderPosition>)> done);

 private:
  class Link;
  struct Avoided {
    absl::Time until = absl::InfinitePast();
    absl::Duration duration;
  };

  // The preferred lender that is not in `except`, is not avoided and has lately
  // not been without a connection to `target`. If there is none, the one for
  // which this ends first. Nothing if all are in `except`. The
  // statements of a workspace prefer the same lender of each data centre, where
  // they find its connections open.
  std::optional<Lender> Choose(const GroupName& group,
                               const TargetId& target,
                               const WorkspaceName& workspace,
                               const std::set<InstanceId>& except) const;
  static std::vector<Lender> InOrderFor(const WorkspaceName& workspace,
                                        std::vector<Lender> lenders);
  void OnAnswered(const Lender& lender) { m_avoided.erase(lender.id); }
  void Avoid(const Lender& lender, const std::string& cause);
  void MarkFull(const Lender& lender,
                const TargetId& target,
                const WorkspaceName& workspace);
  // Whether commands that a lender had no connection for in time are offered to
  // another one.
  bool MayOfferAgain();
  // Checks whether a lender still answers, and avoids it if not. A statement
  // that takes long may be due to the target.
  void Suspect(const Lender& lender, const GroupName& group);

  EventLoop* const m_loop;
  TargetDriver* const m_direct;
  LendingTransport* const m_transport;
  Metrics* m_metrics = nullptr;
  LoanObserver* m_observer = nullptr;
  uint64_t m_next_request;
  std::map<GroupName, std::vector<Lender>> m_lenders;
  std::map<GroupName, std::vector<Lender>> m_neighbours;
  std::map<InstanceId, Avoided> m_avoided;
  std::set<InstanceId> m_suspected;  // Being checked.
  // Lenders that had no connection to a target for a workspace, and until when
  // the others are preferred.
  std::map<std::tuple<InstanceId, TargetId, WorkspaceName>, absl::Time>
      m_full_until;
  // Of offers to further lenders after one that had no connection in time.
  RepeatBudget m_offer_budget;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_BORROWING_DRIVER_H_
