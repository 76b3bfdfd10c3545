// A database of a group as docs/design.md, section 2.2, assumes it: a durable
// term, log and keys; fencing, promotion, replication by pulls.

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
  bool refused = false;  // Resolve has settled the key as not run.
  uint64_t write = 0;    // 0 for an empty entry or a refusal.
  absl::Time at;
};

// What a statement did. `log_end` is of the target's own term.
struct FakeReply {
  bool ran = false;       // False: refused before execution.
  bool repeated = false;  // The key was known; nothing ran this time.
  bool key_refused = false;
  bool at_primary = false;
  Position log_end;
  std::set<uint64_t> writes;  // A read's result.
};

struct FakeFenceReply {
  bool granted = false;
  uint64_t term = 0;
  Position last;
};

struct FakePull {
  bool primary = false;
  uint64_t term = 0;
  size_t truncate_to = 0;
  std::vector<FakeEntry> entries;
  bool complete = false;
};

// Rules of the platform that a test may take out to see it fail.
struct PlatformRules {
  bool checks_keys = true;
  bool checks_position = true;
  bool grants_once = true;  // A term belongs to one decider.
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
  // With `term` 0 a replica may serve it.
  FakeReply Read(uint64_t term,
                 Position min_position,
                 absl::Duration max_age,
                 absl::Time now) const;
  FakeFenceReply Fence(uint64_t term, const std::string& decider);
  FakeFenceReply Promote(uint64_t term,
                         const std::string& decider,
                         absl::Time now);
  TargetStatus Status(absl::Time now) const;

  FakePull AnswerPull(uint64_t term,
                      const std::vector<FakeEntry>& log,
                      absl::Duration lag,
                      absl::Time now) const;
  void OnPull(const FakePull& pull, absl::Time started, absl::Time now);

  bool Contains(Position position) const;
  Position End() const;
  void SetLag(absl::Duration lag) { m_lag = lag; }
  absl::Duration Lag() const { return m_lag; }
  void SetLeaving(bool leaving) { m_leaving = leaving; }
  // A restart that does not keep the role, which the platform allows.
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
  // Latest term in which it followed a primary.
  uint64_t m_followed = 0;
  std::vector<FakeEntry> m_log;
  absl::Duration m_lag;
  bool m_leaving = false;
  absl::Time m_heard_primary;
  absl::Time m_fresh_since = absl::InfinitePast();
};

}  // namespace heatherwick

#endif  // TESTS_SCENARIOS_FAKE_TARGET_H_
