// The invariants of docs/design.md, section 1.3.

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

void History::OnWriteTold(uint64_t write,
                          const std::string& key,
                          const std::string& session,
                          Told told,
                          bool only_one,
                          absl::Time now) {
  if (told == Told::kDone) {
    m_own[session].insert(write);
    m_done.emplace(write, now);
  } else if (told == Told::kNotRun && only_one) {
    m_not_run.insert(write);
    m_single[key] = write;
  }
  if (!key.empty() && told == Told::kDone) {
    OnResolved(key, told);
  }
}

void History::OnResolved(const std::string& key, Told told) {
  if (told == Told::kUnknown || told == Told::kPending) {
    return;
  }
  const auto [known, added] = m_keys.emplace(key, told);
  if (!added && known->second != told) {
    Fail(absl::StrCat("key ", key, " was told both done and not run"));
  }
}

void History::OnReadStarted(uint64_t read,
                            const std::string& session,
                            absl::Duration max_age,
                            absl::Time now) {
  std::set<uint64_t>& required = m_required[read];
  required = m_own[session];
  for (const auto& [write, told] : m_done) {
    if (told <= now - max_age) {
      required.insert(write);
    }
  }
}

void History::OnReadTold(uint64_t read, const std::set<uint64_t>& writes) {
  for (const uint64_t write : m_required[read]) {
    if (!writes.contains(write)) {
      Fail(absl::StrCat("read ", read, " lacks write ", write));
    }
  }
}

void History::OnPromoted(const std::string& target, uint64_t term) {
  const auto [known, added] = m_leaders.emplace(term, target);
  if (!added && known->second != target) {
    Fail(absl::StrCat("term ", term, " has two primaries"));
  }
}

void History::OnSheetVersion(const std::string& instance, uint64_t version) {
  uint64_t& known = m_sheet_versions[instance];
  if (version < known) {
    Fail(absl::StrCat(instance, " went back to sheet ", version));
  }
  known = version;
}

const FakeTarget* History::Newest(
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
  const FakeTarget* newest = Newest(targets);
  // An older primary may remain when the newest has restarted without its
  // role; its log says nothing about what survives.
  if (newest == nullptr ||
      (!m_leaders.empty() && newest->Term() < m_leaders.rbegin()->first)) {
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
  for (const auto& [write, told] : m_done) {
    if (!writes.contains(write)) {
      Fail(absl::StrCat("acknowledged write ", write, " is lost"));
    }
  }
  for (const uint64_t write : m_not_run) {
    if (writes.contains(write)) {
      Fail(absl::StrCat("write ", write, " ran after it was told not run"));
    }
  }
  for (const auto& [key, told] : m_keys) {
    if ((told == Told::kDone) != (runs[key] > 0)) {
      Fail(absl::StrCat(
          "key ", key,
          told == Told::kDone ? " is lost" : " ran after not run"));
    }
  }
}

}  // namespace heatherwick
