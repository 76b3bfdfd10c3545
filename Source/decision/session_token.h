// The session token: the positions that a session has reached. The caller sends
// the token of each reply with its next request.

#ifndef SOURCE_DECISION_SESSION_TOKEN_H_
#define SOURCE_DECISION_SESSION_TOKEN_H_

#include <cstdint>
#include <map>
#include <string>

#include "Source/base/error.h"
#include "Source/base/types.h"
#include "absl/strings/string_view.h"

namespace heatherwick {

struct SessionToken {
  // Newest confirmed position that the session has written or read, for each
  // group. Unconfirmed positions are never stored: a promotion may discard
  // them, and the session's reads would then wait for ever.
  std::map<GroupName, Position> positions;
  // Version of the newest sheet that has served the session.
  uint64_t sheet_version = 0;

  // Sets the position of `group` to `position` if that is greater.
  void Advance(const GroupName& group, Position position);
  Position PositionOf(const GroupName& group) const;

  // Returns an xxHash64 checksum followed by CBOR, about 30 bytes for each
  // group.
  std::string Encode() const;
  // An empty text decodes to the token of a new session.
  static Result<SessionToken> Decode(absl::string_view text);

  bool operator==(const SessionToken&) const = default;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_SESSION_TOKEN_H_
