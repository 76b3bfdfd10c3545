// Orders member records and incarnations.

#include "Source/decision/member_record.h"

#include <cctype>

#include "absl/random/uniform_int_distribution.h"
#include "absl/strings/str_format.h"

namespace heatherwick {

namespace {

// Order of the states within one incarnation and generation.
int StateRank(MemberState state) {
  switch (state) {
    case MemberState::kCandidate:
      return 0;
    case MemberState::kAlive:
      return 1;
    case MemberState::kSuspect:
      return 2;
    case MemberState::kLeaving:
      return 3;
    case MemberState::kDead:
      return 4;
  }
  return 0;
}

bool IsHexadecimal(const std::string& text) {
  for (const char c : text) {
    if (std::isxdigit(static_cast<unsigned char>(c)) == 0) {
      return false;
    }
  }
  return true;
}

}  // namespace

bool Supersedes(const MemberRecord& incoming, const MemberRecord& current) {
  if (incoming.incarnation != current.incarnation) {
    return incoming.incarnation > current.incarnation;
  }
  const bool incoming_is_dead = incoming.state == MemberState::kDead;
  const bool incoming_is_leaving = incoming.state == MemberState::kLeaving;
  if (current.state == MemberState::kLeaving && !incoming_is_dead &&
      !incoming_is_leaving) {
    return false;
  }
  if (incoming_is_leaving && (current.state == MemberState::kAlive ||
                              current.state == MemberState::kSuspect)) {
    return true;
  }
  if (incoming.generation != current.generation) {
    return incoming.generation > current.generation;
  }
  return StateRank(incoming.state) > StateRank(current.state);
}

std::string MakeIncarnation(absl::Time start, absl::BitGenRef random) {
  constexpr int kMaxSuffix = 0xfff;
  const int suffix = absl::uniform_int_distribution<int>(0, kMaxSuffix)(random);
  return absl::StrFormat("%012x%03x", absl::ToUnixMillis(start), suffix);
}

std::string NextIncarnation(const std::string& seen) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string next = seen;
  if (!IsHexadecimal(seen)) {
    return next + "0";
  }
  for (size_t i = next.size(); i > 0; --i) {
    char& digit = next[i - 1];
    if (digit != 'f') {
      const size_t value = absl::string_view(kDigits).find(digit);
      digit = value == absl::string_view::npos ? 'f' : kDigits[value + 1];
      return next;
    }
    digit = '0';
  }
  return seen + "0";
}

}  // namespace heatherwick
