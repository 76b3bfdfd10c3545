// What one instance knows about another, and which of two records is newer.

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
  kCandidate,  // Only the platform's list names it; it has not answered yet.
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
  // Changes with each start of the process and grows in string order; empty
  // for a candidate.
  std::string incarnation;
  // Raised by the member to refute a suspicion and to announce its leaving.
  uint64_t generation = 0;
  MemberState state = MemberState::kCandidate;

  bool operator==(const MemberRecord&) const = default;
};

// Whether `incoming` is newer than `current` about the same member. A leaving
// member never becomes alive again in the same incarnation.
bool Supersedes(const MemberRecord& incoming, const MemberRecord& current);

// An incarnation for a process that starts at `start`: 15 hexadecimal digits
// that order by time, the last three random.
std::string MakeIncarnation(absl::Time start, absl::BitGenRef random);

// The smallest incarnation of the same length above `seen`.
std::string NextIncarnation(const std::string& seen);

}  // namespace heatherwick

#endif  // SOURCE_DECISION_MEMBER_RECORD_H_
