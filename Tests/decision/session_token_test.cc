// Tests the session token, which provides read-your-writes across instances.

#include "Source/decision/session_token.h"

#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class SessionTokenFixture {
 protected:
  SessionTokenFixture() {
    m_token.sheet_version = 7;
    m_token.Advance("boot-core-1", {3, 90});
    m_token.Advance("depot-db-2", {1, 5});
  }

  SessionToken m_token;
};

TEST_CASE_FIXTURE(SessionTokenFixture,
                  "SessionToken_EncodedAndDecoded_IsEqual") {
  const auto decoded = SessionToken::Decode(m_token.Encode());
  REQUIRE(Ok(decoded));
  CHECK(ValueOf(decoded) == m_token);
}

// Guards against moving a session back to a position of an older term. Such a
// position can have a higher LSN if it was in the part of a log that a
// promotion discarded.
TEST_CASE_FIXTURE(SessionTokenFixture,
                  "SessionToken_OlderTermWithHigherLsn_KeepsNewerPosition") {
  m_token.Advance("boot-core-1", {2, 500});
  CHECK(m_token.PositionOf("boot-core-1") == Position{3, 90});
}

TEST_CASE_FIXTURE(SessionTokenFixture,
                  "SessionToken_OneByteChanged_IsRefused") {
  std::string text = m_token.Encode();
  for (size_t i = 0; i < text.size(); ++i) {
    std::string changed = text;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    CHECK(!Ok(SessionToken::Decode(changed)));
  }
  CHECK(!Ok(SessionToken::Decode(text.substr(0, 5))));
}

}  // namespace
}  // namespace heatherwick
