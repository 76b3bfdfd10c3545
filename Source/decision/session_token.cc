// Encodes session tokens as a checksum, the sheet version, and the name and
// position of each group. The part after the checksum is CBOR.

#include "Source/decision/session_token.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Source/base/hash.h"
#include "nlohmann/json.hpp"

namespace heatherwick {

namespace {

constexpr size_t kChecksumBytes = 8;

std::string ChecksumOf(absl::string_view payload) {
  uint64_t hash = StableHash(payload);
  std::string bytes(kChecksumBytes, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(hash & 0xff);
    hash >>= 8;
  }
  return bytes;
}

Error MalformedToken() {
  return {ErrorKind::kInvalidArgument, "the session token is malformed",
          "send the token of the session's latest reply unchanged, or none to "
          "start a new session"};
}

}  // namespace

void SessionToken::Advance(const GroupName& group, Position position) {
  Position& known = positions[group];
  known = std::max(known, position);
}

Position SessionToken::PositionOf(const GroupName& group) const {
  const auto found = positions.find(group);
  return found == positions.end() ? Position{} : found->second;
}

std::string SessionToken::Encode() const {
  nlohmann::json json = {sheet_version};
  for (const auto& [group, position] : positions) {
    json.push_back({group, position.term, position.lsn});
  }
  const std::vector<uint8_t> packed = nlohmann::json::to_cbor(json);
  const std::string payload(packed.begin(), packed.end());
  return ChecksumOf(payload) + payload;
}

Result<SessionToken> SessionToken::Decode(absl::string_view text) {
  SessionToken token;
  if (text.empty()) {
    return token;
  }
  if (text.size() <= kChecksumBytes ||
      text.substr(0, kChecksumBytes) !=
          ChecksumOf(text.substr(kChecksumBytes))) {
    return MalformedToken();
  }
  const absl::string_view payload = text.substr(kChecksumBytes);
  const nlohmann::json json =
      nlohmann::json::from_cbor(payload.begin(), payload.end(), /*strict=*/true,
                                /*allow_exceptions=*/false);
  if (!json.is_array() || json.empty() || !json[0].is_number_unsigned()) {
    return MalformedToken();
  }
  token.sheet_version = json[0].get<uint64_t>();
  for (size_t i = 1; i < json.size(); ++i) {
    const nlohmann::json& entry = json[i];
    if (!entry.is_array() || entry.size() != 3 || !entry[0].is_string() ||
        !entry[1].is_number_unsigned() || !entry[2].is_number_unsigned()) {
      return MalformedToken();
    }
    token.positions[entry[0].get<std::string>()] = {entry[1].get<uint64_t>(),
                                                    entry[2].get<uint64_t>()};
  }
  return token;
}

}  // namespace heatherwick
