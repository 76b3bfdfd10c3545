// The record that one instance keeps about another, and the rule that decides
// which of two records is newer.

#ifndef SOURCE_DECISION_MEMBER_RECORD_H_
#define SOURCE_DECISION_MEMBER_RECORD_H_

#include <cstdint>
#include <string>

#include "Source/base/enum_table.h"
#include "Source/base/types.h"
#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

namespace heatherwick {

enum class MemberState {
  kCandidate,  // Known from the platform's list only; has not answered yet.
  kAlive,
  kSuspect,
  kLeaving,
  kDead,
};

inline constexpr EnumName<MemberState> kMemberStateNames[] = {
    {MemberState::kCandidate, "candidate"}, {MemberState::kAlive, "alive"},
    {MemberState::kSuspect, "suspect"},     {MemberState::kLeaving, "leaving"},
    {MemberState::kDead, "dead"},
};

struct MemberRecord {
  InstanceId id;
  std::string address;
  DataCentreName data_centre;
  std::string region;
  // Identifies one run of the member's process. A later run has an incarnation
  // that is greater in string order. Empty for a candidate.
  std::string incarnation;
  // Raised by the member to refute a suspicion and to announce its leaving.
  uint64_t generation = 0;
  MemberState state = MemberState::kCandidate;

  bool operator==(const MemberRecord&) const = default;
};

// Whether `incoming` is newer than `current`; both are about the same member. A
// leaving member never becomes alive again in the same incarnation.
bool Supersedes(const MemberRecord& incoming, const MemberRecord& current);

// Returns an incarnation for a process that starts at `start`: 15 hexadecimal
// digits, of which the first 12 order by time and the last 3 are random.
std::string MakeIncarnation(absl::Time start, absl::BitGenRef random);

// Returns the smallest greater incarnation of the same length as `seen`. If
// there is none or `seen` isn't hexadecimal, appends a "0" to `seen`.
std::string NextIncarnation(const std::string& seen);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_MEMBER_RECORD_H_
