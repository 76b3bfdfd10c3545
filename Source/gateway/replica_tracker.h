// Remembers which targets of a group may hold acknowledged commits. The list of
// targets does not show this: a target that has left it may come back with its
// log, and a listed one may have lost its log in a restart. What this instance
// has not seen itself is in the record that the instances keep in the store
// (see replica_recorder.h).

#ifndef SOURCE_GATEWAY_REPLICA_TRACKER_H_
#define SOURCE_GATEWAY_REPLICA_TRACKER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/replica_set.h"
#include "Source/gateway/configuration.h"
#include "Source/gateway/leadership_view.h"
#include "absl/time/time.h"

namespace heatherwick {

class ReplicaTracker {
 public:
  // A run that has not been listed for `log_wait_limit` no longer counts as a
  // holder; commits that only it holds besides the old primary may be lost.
  explicit ReplicaTracker(
      absl::Duration log_wait_limit = absl::InfiniteDuration())
      : m_log_wait_limit(log_wait_limit) {}

  // Must be called regularly with the complete list of the group's targets.
  // `record` is the group's record of the present era of the store, and
  // `earlier` the newest one of an earlier era; each is null if there is none.
  void Update(const std::vector<ListedTarget>& targets,
              const RecordedReplicas* record,
              const RecordedReplicas* earlier,
              absl::Time now);

  // The runs that may hold acknowledged commits, listed or not.
  std::vector<TargetRun> Holders() const;
  std::vector<TargetRun> UnlistedHolders() const;
  // True if no other run can hold acknowledged commits.
  bool HoldersKnown(absl::Time now) const;
  // False if an earlier run of the target may have held commits that its
  // present one has not received again.
  bool HasItsLog(const TargetId& id) const;
  // Whether a status with the log end `received` is of the target's listed run.
  // A target that has started again answers before its new entry is read, so
  // that an empty log counts as that of a later run until the entry must have
  // been read. True for a target that is not listed.
  bool IsOfListedRun(const TargetId& id,
                     const Position& received,
                     absl::Time now);
  // The store could not be read, and targets could not write their entries.
  void OnStoreUnavailable();

  // True if the record is complete, but lacks a run.
  bool RecordLacksRuns() const;
  // True if there is no complete record, neither of the present nor of an
  // earlier era.
  bool RecordMissing() const { return !m_record_complete; }
  // The runs that are not expected to come back.
  std::vector<TargetRun> Departed(absl::Time now) const;
  // All runs, as the record has to show them.
  ReplicaSet Replicas() const;
  // Version of the record that this state includes; 0 if the present era has
  // none.
  uint64_t RecordVersion() const { return m_record_version; }

  // Since when this instance has known the list; the infinite future before the
  // first call of Update().
  absl::Time FollowedSince() const { return m_followed_since; }

 private:
  struct Holder {
    ReplicaState state;
    // Last time it was listed, or when its record was first read.
    absl::Time last_listed;
    bool listed = false;
    // Since when it has only answered with an empty log while the store could
    // be read.
    absl::Time empty_since = absl::InfiniteFuture();
    // The record of the present era has `state`.
    bool recorded = false;
    bool given_up = false;  // m_log_wait_limit has passed.
  };

  // No run is recorded in the present era.
  void ForgetRecord();
  void ApplyRecord(const RecordedReplicas& record, absl::Time now);
  // Adds a run that this instance may not have seen itself.
  Holder& Add(const TargetRun& run, const ReplicaState& state, absl::Time now);
  bool Replaced(const TargetRun& run) const;

  absl::Duration m_log_wait_limit;
  std::map<TargetRun, Holder> m_holders;
  uint64_t m_record_version = 0;
  bool m_record_complete = false;
  absl::Time m_followed_since = absl::InfiniteFuture();
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_REPLICA_TRACKER_H_
