// What sessions did and were told, and the invariants that hold at any time.

#ifndef TESTS_SCENARIOS_HISTORY_H_
#define TESTS_SCENARIOS_HISTORY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Tests/scenarios/fake_target.h"
#include "absl/time/time.h"

namespace heatherwick {

enum class Told { kPending, kDone, kNotRun, kUnknown };

class History {
 public:
  // Violations that were found, in order; empty when all invariants hold.
  const std::vector<std::string>& Violations() const { return m_violations; }

  // `only_one`: the request has been sent once so far. What was told then
  // holds until the caller itself sends the key again.
  void OnWriteTold(uint64_t write,
                   const std::string& key,
                   const std::string& session,
                   Told told,
                   bool only_one,
                   absl::Time now);
  void OnSentAgain(const std::string& key) { m_not_run.erase(m_single[key]); }
  void OnResolved(const std::string& key, Told told);
  void OnReadStarted(uint64_t read,
                     const std::string& session,
                     absl::Duration max_age,
                     absl::Time now);
  void OnReadTold(uint64_t read, const std::set<uint64_t>& writes);
  void OnPromoted(const std::string& target, uint64_t term);
  void OnSheetVersion(const std::string& instance, uint64_t version);
  void ForgetSheetVersion(const std::string& instance) {
    m_sheet_versions.erase(instance);
  }

  // Compares what was told with the log of the primary of the highest term.
  void Check(const std::vector<const FakeTarget*>& targets);
  void Fail(const std::string& violation);

 private:
  const FakeTarget* Newest(const std::vector<const FakeTarget*>& targets);

  std::vector<std::string> m_violations;
  std::map<uint64_t, absl::Time> m_done;            // Writes, when told.
  std::map<std::string, std::set<uint64_t>> m_own;  // Done, by session.
  std::set<uint64_t> m_not_run;                     // Writes.
  std::map<std::string, uint64_t> m_single;         // Write of a key sent once.
  std::map<std::string, Told> m_keys;               // Final outcomes.
  // Writes that each open read has to see.
  std::map<uint64_t, std::set<uint64_t>> m_required;
  std::map<uint64_t, std::string> m_leaders;
  std::map<std::string, uint64_t> m_sheet_versions;
};

}  // namespace heatherwick

#endif  // TESTS_SCENARIOS_HISTORY_H_
