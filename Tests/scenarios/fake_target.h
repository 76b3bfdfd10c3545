// A fake database (target) of a group that behaves as docs/design.md, section
// 2.2, assumes: it has a durable term, log and idempotency keys, and supports
// fencing, promotion and replication by pulls.

#ifndef TESTS_SCENARIOS_FAKE_TARGET_H_
#define TESTS_SCENARIOS_FAKE_TARGET_H_

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Source/base/types.h"
#include "Source/decision/failover_controller.h"
#include "absl/time/time.h"

namespace heatherwick {

struct FakeEntry {
  Position position;
  std::string key;
  bool refused = false;  // Resolve settled the key as not run.
  uint64_t write = 0;    // 0 for an empty entry or a refused key.
  absl::Time appended_at;
};

// The result of a statement. If the primary ran the statement, the term of
// `log_end` is the primary's own term.
struct FakeReply {
  bool ran = false;       // False if refused before execution.
  bool repeated = false;  // The key was known, so nothing ran again.
  bool key_refused = false;
  bool at_primary = false;
  Position log_end;
  std::set<uint64_t> writes;  // The writes that a read saw.
};

struct FakeFenceReply {
  bool granted = false;
  uint64_t term = 0;
  Position last;
};

struct FakePullReply {
  bool primary = false;
  uint64_t term = 0;
  size_t truncate_to = 0;
  std::vector<FakeEntry> entries;
  bool complete = false;
};

// Rules that the platform guarantees. A scenario can switch a rule off to show
// that the invariants then fail.
struct PlatformRules {
  bool checks_keys = true;
  bool checks_position = true;
  bool grants_once = true;  // A term is granted to at most one instance.
  bool conditional_table = true;
};

class FakeTarget {
 public:
  FakeTarget(bool primary, absl::Time now, const PlatformRules& rules);

  FakeReply Write(uint64_t term,
                  const std::string& key,
                  uint64_t write,
                  absl::Time now);
  FakeReply Resolve(uint64_t term, const std::string& key, absl::Time now);
  // With `term` 0 a replica may serve the read.
  FakeReply Read(uint64_t term,
                 Position min_position,
                 absl::Duration max_age,
                 absl::Time now) const;
  FakeFenceReply Fence(uint64_t term, const std::string& decider);
  FakeFenceReply Promote(uint64_t term,
                         const std::string& decider,
                         absl::Time now);
  TargetStatus Status(absl::Time now) const;

  FakePullReply AnswerPull(uint64_t term,
                           const std::vector<FakeEntry>& log,
                           absl::Duration lag,
                           absl::Time now) const;
  void OnPullReply(const FakePullReply& pull,
                   absl::Time started,
                   absl::Time now);

  bool Contains(Position position) const;
  Position End() const;
  void SetLag(absl::Duration lag) { m_lag = lag; }
  absl::Duration Lag() const { return m_lag; }
  void SetLeaving(bool leaving) { m_leaving = leaving; }
  // Models a restart after which the target is no longer primary, which the
  // platform allows.
  void ForgetRole() { m_primary = false; }

  bool Primary() const { return m_primary; }
  uint64_t Term() const { return m_term; }
  const std::vector<FakeEntry>& Log() const { return m_log; }

 private:
  const FakeEntry* FindKey(const std::string& key) const;
  void Append(const std::string& key,
              bool refused,
              uint64_t write,
              absl::Time now);

  const PlatformRules m_rules;
  uint64_t m_term = 1;
  std::string m_decider;
  bool m_primary = false;
  // Latest term in which this target followed a primary.
  uint64_t m_last_followed_term = 0;
  std::vector<FakeEntry> m_log;
  absl::Duration m_lag;
  bool m_leaving = false;
  absl::Time m_last_primary_contact;
  absl::Time m_current_as_of = absl::InfinitePast();
};

}  // namespace heatherwick

#endif  // TESTS_SCENARIOS_FAKE_TARGET_H_
