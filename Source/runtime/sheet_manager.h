// Keeps this instance's sheet (the cluster's configuration table) up to date
// and handles calls about sheets. One thread performs the actions that
// SheetAcceptance decides. It makes blocking calls to the store and to peers,
// each with a timeout.

#ifndef SOURCE_RUNTIME_SHEET_MANAGER_H_
#define SOURCE_RUNTIME_SHEET_MANAGER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "Source/base/decision_record.h"
#include "Source/decision/sheet_acceptance.h"
#include "Source/runtime/channel_pool.h"
#include "Source/runtime/cluster_view.h"
#include "Source/runtime/sheet_store.h"
#include "absl/base/thread_annotations.h"
#include "absl/random/random.h"
#include "absl/synchronization/mutex.h"

namespace heatherwick {

struct SheetManagerOptions {
  InstanceId own_id;
  // Both must outlive the manager.
  StoreClient* store = nullptr;
  ChannelPool* channels = nullptr;
  // The callbacks are called from the manager's thread; `record` is also called
  // from the threads that call SubmitSheet.
  std::function<void(const DecisionRecord&)> record;
  // Returns whether this instance is one of the two instances of its region
  // that poll the store for the sheet's head.
  std::function<bool()> is_poller;
  // Returns addresses of some other instances in the order in which to ask
  // them.
  std::function<std::vector<std::string>()> peer_addresses;

  absl::Duration store_timeout = absl::Seconds(1);
  absl::Duration peer_timeout = absl::Seconds(2);
  // Time for which a submission tries to reach the store.
  absl::Duration submission_timeout = absl::Seconds(5);
  SheetAcceptanceOptions acceptance;
};

class SheetManager : public SheetSource {
 public:
  // Starts the thread.
  explicit SheetManager(SheetManagerOptions options);
  // Stops the thread after the actions that it is performing, which may call
  // the store or peers. No method of this object may be running.
  ~SheetManager() override;

  SheetSnapshot Current() const override;
  // Must be called for each version that a peer reports. A version that is
  // already in force shows that the peer's region has no newer one, which saves
  // reads of the head from the store.
  void ReportVersion(uint64_t version,
                     const std::string& peer_address) override;
  bool WaitFor(uint64_t version, absl::Time deadline) override;

  void FetchSheet(const proto::FetchSheetRequest& request,
                  proto::FetchSheetReply* reply) override;
  void CheckSheet(const proto::CheckSheetRequest& request,
                  proto::CheckSheetReply* reply) override;
  void SubmitSheet(const proto::SubmitSheetRequest& request,
                   proto::SubmitSheetReply* reply) override;
  void GetSheet(const proto::GetSheetRequest& request,
                proto::GetSheetReply* reply) override;
  void SheetHistory(const proto::SheetHistoryRequest& request,
                    proto::SheetHistoryReply* reply) override;

 private:
  // The sheet in force with its head and its text. Immutable.
  struct HeldSheet {
    SheetHead head;
    std::string content;
    std::shared_ptr<const Sheet> sheet;
  };
  struct SeenVersion {
    uint64_t version = 0;
    std::string address;
  };
  struct Submitted {
    SheetHead head;
    std::string content;
  };
  using Event = std::variant<SeenVersion, Submitted>;
  using Actions = std::vector<SheetAction>;

  std::shared_ptr<const HeldSheet> SheetInForce() const;
  bool IsStopping() const;

  // These methods run on the manager's thread.
  void Run();
  void Handle(const Event& event, Actions* actions);
  void PerformAction(const SheetAction& action, Actions* actions);
  void PerformReadHead(Actions* actions);
  void PerformFetchFromPeer(const FetchFromPeer& fetch, Actions* actions);
  void PerformFetchFromStore(const FetchFromStore& fetch, Actions* actions);
  void PerformAdoptSheet(const AdoptSheet& adopt);

  // Returns a head of version 0 if the version does not exist.
  Result<SheetHead> FindHead(uint64_t version) const;
  void FillSubmission(const SubmissionEnded& ended,
                      uint64_t base_version,
                      proto::SubmitSheetReply* reply) const;
  void RecordSubmission(const SheetHead& head, SubmissionOutcome outcome) const;
  std::string NewSubmissionId() const;

  const SheetManagerOptions m_options;
  const SheetStore m_store;

  mutable absl::Mutex m_mutex;
  std::shared_ptr<const HeldSheet> m_held_sheet ABSL_GUARDED_BY(m_mutex);
  // No version is added while kMaxPendingVersions or more events are queued;
  // submissions are always added.
  std::vector<Event> m_events ABSL_GUARDED_BY(m_mutex);
  bool m_wake ABSL_GUARDED_BY(m_mutex) = false;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;

  // Used by the manager's thread only.
  absl::BitGen m_random;
  SheetAcceptance m_acceptance;
  bool m_store_answers = true;

  std::thread m_thread;  // Declared last, because it uses all other members.
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_SHEET_MANAGER_H_
