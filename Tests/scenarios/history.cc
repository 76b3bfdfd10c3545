// Checks the invariants of docs/design.md, section 1.3.

#include "Tests/scenarios/history.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace heatherwick {

void History::Fail(const std::string& violation) {
  if (std::find(m_violations.begin(), m_violations.end(), violation) ==
      m_violations.end()) {
    m_violations.push_back(violation);
  }
}

void History::OnWriteEnded(uint64_t write,
                           const std::string& key,
                           const std::string& session,
                           RequestOutcome outcome,
                           bool sent_once,
                           absl::Time now) {
  if (outcome == RequestOutcome::kDone) {
    m_done_by_session[session].insert(write);
    m_done_writes.emplace(write, now);
  } else if (outcome == RequestOutcome::kNotRun && sent_once) {
    m_not_run_writes.insert(write);
    m_not_run_write_of_key[key] = write;
  }
  if (!key.empty() && outcome == RequestOutcome::kDone) {
    OnResolved(key, outcome);
  }
}

void History::OnResolved(const std::string& key, RequestOutcome outcome) {
  if (outcome == RequestOutcome::kUnknown ||
      outcome == RequestOutcome::kPending) {
    return;
  }
  const auto [known, added] = m_final_outcome_of_key.emplace(key, outcome);
  if (!added && known->second != outcome) {
    Fail(absl::StrCat("key ", key, " was reported both done and not run"));
  }
}

void History::OnReadStarted(uint64_t read,
                            const std::string& session,
                            absl::Duration max_age,
                            absl::Time now) {
  std::set<uint64_t>& required = m_required_writes_of_read[read];
  required = m_done_by_session[session];
  for (const auto& [write, done_at] : m_done_writes) {
    if (done_at <= now - max_age) {
      required.insert(write);
    }
  }
}

void History::OnReadEnded(uint64_t read, const std::set<uint64_t>& writes) {
  for (const uint64_t write : m_required_writes_of_read[read]) {
    if (!writes.contains(write)) {
      Fail(absl::StrCat("read ", read, " lacks write ", write));
    }
  }
}

void History::OnPromoted(const std::string& target, uint64_t term) {
  const auto [known, added] = m_primary_of_term.emplace(term, target);
  if (!added && known->second != target) {
    Fail(absl::StrCat("term ", term, " has two primaries"));
  }
}

void History::OnSheetVersion(const std::string& instance, uint64_t version) {
  uint64_t& known = m_sheet_version_of_instance[instance];
  if (version < known) {
    Fail(absl::StrCat(instance, " went back to sheet version ", version));
  }
  known = version;
}

const FakeTarget* History::FindNewestPrimary(
    const std::vector<const FakeTarget*>& targets) {
  const FakeTarget* newest = nullptr;
  for (const FakeTarget* target : targets) {
    if (target->Primary() &&
        (newest == nullptr || target->Term() > newest->Term())) {
      newest = target;
    }
  }
  return newest;
}

void History::Check(const std::vector<const FakeTarget*>& targets) {
  const FakeTarget* newest = FindNewestPrimary(targets);
  // If the newest primary has restarted as a replica, an older primary may be
  // the only one left. Its log does not show which writes survive.
  if (newest == nullptr ||
      (!m_primary_of_term.empty() &&
       newest->Term() < m_primary_of_term.rbegin()->first)) {
    return;
  }
  std::set<uint64_t> writes;
  std::map<std::string, int> runs;
  for (const FakeEntry& entry : newest->Log()) {
    writes.insert(entry.write);
    if (!entry.key.empty() && !entry.refused && ++runs[entry.key] > 1) {
      Fail(absl::StrCat("key ", entry.key, " ran twice"));
    }
  }
  for (const auto& [write, done_at] : m_done_writes) {
    if (!writes.contains(write)) {
      Fail(absl::StrCat("acknowledged write ", write, " is lost"));
    }
  }
  for (const uint64_t write : m_not_run_writes) {
    if (writes.contains(write)) {
      Fail(absl::StrCat("write ", write, " ran after it was reported not run"));
    }
  }
  for (const auto& [key, outcome] : m_final_outcome_of_key) {
    if ((outcome == RequestOutcome::kDone) != (runs[key] > 0)) {
      Fail(absl::StrCat("key ", key,
                        outcome == RequestOutcome::kDone
                            ? " is lost"
                            : " ran after it was reported not run"));
    }
  }
}

}  // namespace heatherwick
