// Merges the list of targets with the record.

#include "Source/gateway/replica_tracker.h"

#include <algorithm>
#include <iterator>

#include "Source/gateway/store_version.h"
#include "glog/logging.h"

namespace heatherwick {
namespace {

// A crashed target comes back, and a live one that could not reach the store is
// listed again, within this time.
constexpr absl::Duration kAbsenceTimeout = absl::Seconds(12);
// A target that has started again has replaced its entry, or the entry has
// expired, within this time.
constexpr absl::Duration kEntryTimeout = absl::Seconds(4);

}  // namespace

void ReplicaTracker::Update(const std::vector<ListedTarget>& targets,
                            const RecordedReplicas* record,
                            const RecordedReplicas* earlier,
                            absl::Time now) {
  m_followed_since = std::min(m_followed_since, now);
  if (record != nullptr && record->row_version != m_record_version) {
    ApplyRecord(*record, now);
  } else if (record == nullptr) {
    ForgetRecord();
    if (earlier != nullptr && earlier->complete) {
      m_record_complete = true;
      for (const auto& [run, state] : earlier->replicas) {
        Add(run, state, now);
      }
    }
  }
  for (auto& [run, holder] : m_holders) {
    holder.listed = false;
  }
  for (const ListedTarget& target : targets) {
    const ReplicaState state{target.address, target.draining};
    Holder& holder = Add({target.id, target.started_unix_ms}, state, now);
    holder.recorded = holder.recorded && holder.state == state;
    holder.state = state;
    holder.last_listed = now;
    holder.listed = true;
    holder.given_up = false;
  }
  for (auto& [run, holder] : m_holders) {
    if (!holder.listed && !holder.given_up &&
        now - holder.last_listed > m_log_wait_limit) {
      holder.given_up = true;
      LOG(WARNING) << "event=replica_log_given_up target=" << run.id
                   << " started_unix_ms=" << run.started_unix_ms
                   << " not_listed_ms="
                   << absl::ToInt64Milliseconds(now - holder.last_listed);
    }
  }
}

void ReplicaTracker::ForgetRecord() {
  m_record_version = 0;
  for (auto& [run, holder] : m_holders) {
    holder.recorded = false;
  }
}

void ReplicaTracker::ApplyRecord(const RecordedReplicas& record,
                                 absl::Time now) {
  if (EraOf(record.row_version) != EraOf(m_record_version)) {
    // The record of another era does not show what was removed since.
    ForgetRecord();
  }
  m_record_version = record.row_version;
  m_record_complete = record.complete;
  for (auto holder = m_holders.begin(); holder != m_holders.end();) {
    const bool removed = holder->second.recorded &&
                         !record.replicas.contains(holder->first) &&
                         record.complete;
    holder->second.recorded = false;
    holder = removed ? m_holders.erase(holder) : std::next(holder);
  }
  for (const auto& [run, state] : record.replicas) {
    Holder& holder = Add(run, state, now);
    if (!holder.listed) {
      holder.state = state;
    }
    holder.recorded = holder.state == state;
  }
}

ReplicaTracker::Holder& ReplicaTracker::Add(const TargetRun& run,
                                            const ReplicaState& state,
                                            absl::Time now) {
  const auto [entry, added] = m_holders.try_emplace(run);
  if (added) {
    entry->second.state = state;
    entry->second.last_listed = now;
  }
  return entry->second;
}

ReplicaSet ReplicaTracker::Replicas() const {
  ReplicaSet replicas;
  for (const auto& [run, holder] : m_holders) {
    replicas[run] = holder.state;
  }
  return replicas;
}

std::vector<TargetRun> ReplicaTracker::Holders() const {
  const ReplicaSet replicas = Replicas();
  std::vector<TargetRun> holders;
  for (const auto& [run, holder] : m_holders) {
    if (holder.listed || (!holder.given_up && !LogPassedOn(replicas, run))) {
      holders.push_back(run);
    }
  }
  return holders;
}

std::vector<TargetRun> ReplicaTracker::UnlistedHolders() const {
  std::vector<TargetRun> unlisted = Holders();
  std::erase_if(unlisted, [this](const TargetRun& run) {
    return m_holders.at(run).listed;
  });
  return unlisted;
}

bool ReplicaTracker::HoldersKnown(absl::Time now) const {
  return m_record_complete || now - m_followed_since > kAbsenceTimeout;
}

bool ReplicaTracker::HasItsLog(const TargetId& id) const {
  return std::none_of(m_holders.begin(), m_holders.end(),
                      [&id](const auto& entry) {
                        return entry.first.id == id && !entry.second.listed &&
                               !entry.second.given_up;
                      });
}

bool ReplicaTracker::IsOfListedRun(const TargetId& id,
                                   const Position& received,
                                   absl::Time now) {
  for (auto& [run, holder] : m_holders) {
    if (run.id != id || !holder.listed) {
      continue;
    }
    holder.empty_since = received.lsn > 0 ? absl::InfiniteFuture()
                                          : std::min(holder.empty_since, now);
    return received.lsn > 0 || now - holder.empty_since > kEntryTimeout;
  }
  return true;
}

void ReplicaTracker::OnStoreUnavailable() {
  for (auto& [run, holder] : m_holders) {
    holder.empty_since = absl::InfiniteFuture();
  }
}

bool ReplicaTracker::RecordLacksRuns() const {
  return m_record_complete &&
         std::any_of(m_holders.begin(), m_holders.end(),
                     [](const auto& entry) { return !entry.second.recorded; });
}

bool ReplicaTracker::Replaced(const TargetRun& run) const {
  return std::any_of(m_holders.begin(), m_holders.end(),
                     [&run](const auto& entry) {
                       return entry.first.id == run.id && entry.second.listed;
                     });
}

std::vector<TargetRun> ReplicaTracker::Departed(absl::Time now) const {
  const ReplicaSet replicas = Replicas();
  std::vector<TargetRun> departed;
  for (const auto& [run, holder] : m_holders) {
    if (!holder.listed && (Replaced(run) || LogPassedOn(replicas, run) ||
                           now - holder.last_listed > kAbsenceTimeout)) {
      departed.push_back(run);
    }
  }
  return departed;
}

}  // namespace heatherwick
