// Records the requests of sessions and the outcomes that were reported to
// them, and checks the invariants that must hold at any time.

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

enum class RequestOutcome { kPending, kDone, kNotRun, kUnknown };

class History {
 public:
  // Violations in the order in which they were found; empty if all invariants
  // hold.
  const std::vector<std::string>& Violations() const { return m_violations; }

  // `sent_once` means that the request has been sent only once so far. An
  // outcome of not run must then hold until the caller sends the key again.
  void OnWriteEnded(uint64_t write,
                    const std::string& key,
                    const std::string& session,
                    RequestOutcome outcome,
                    bool sent_once,
                    absl::Time now);
  void OnWriteSentAgain(const std::string& key) {
    m_not_run_writes.erase(m_not_run_write_of_key[key]);
  }
  void OnResolved(const std::string& key, RequestOutcome outcome);
  void OnReadStarted(uint64_t read,
                     const std::string& session,
                     absl::Duration max_age,
                     absl::Time now);
  void OnReadEnded(uint64_t read, const std::set<uint64_t>& writes);
  void OnPromoted(const std::string& target, uint64_t term);
  void OnSheetVersion(const std::string& instance, uint64_t version);
  void ForgetSheetVersion(const std::string& instance) {
    m_sheet_version_of_instance.erase(instance);
  }

  // Compares the reported outcomes with the log of the primary of the highest
  // term.
  void Check(const std::vector<const FakeTarget*>& targets);
  void Fail(const std::string& violation);

 private:
  const FakeTarget* FindNewestPrimary(
      const std::vector<const FakeTarget*>& targets);

  std::vector<std::string> m_violations;
  // Time at which each write was reported done.
  std::map<uint64_t, absl::Time> m_done_writes;
  // Writes of each session that were reported done.
  std::map<std::string, std::set<uint64_t>> m_done_by_session;
  // Writes that were reported not run and whose key has not been sent again
  // since. They must not run.
  std::set<uint64_t> m_not_run_writes;
  // The write of each key that was sent only once and reported not run.
  std::map<std::string, uint64_t> m_not_run_write_of_key;
  // The outcome that was first reported for each key: done or not run.
  std::map<std::string, RequestOutcome> m_final_outcome_of_key;
  // Writes that each read must see.
  std::map<uint64_t, std::set<uint64_t>> m_required_writes_of_read;
  std::map<uint64_t, std::string> m_primary_of_term;
  std::map<std::string, uint64_t> m_sheet_version_of_instance;
};

}  // namespace heatherwick

#endif  // TESTS_SCENARIOS_HISTORY_H_
