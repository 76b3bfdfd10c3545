// Guards against answers of the store that are used in the wrong era: versions
// are given out again when the store returns from an older copy.

#include "platform/store_era.h"

#include <string>
#include <vector>

#include "Source/gateway/store_version.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick::platform {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBusy = 503;

class StoreEraFixture {
 protected:
  StoreEraFixture() {
    m_era.SetListener([this](uint64_t era) { m_told.push_back(era); });
  }

  bool Rejects(unsigned status, const std::string& header) {
    const Result<uint64_t> result = m_era.OnAnswer(status, header);
    return !Ok(result) && ErrorOf(result).kind == ErrorKind::kUnavailable;
  }

  bool Accepts(unsigned status, const std::string& header, uint64_t era) {
    const Result<uint64_t> result = m_era.OnAnswer(status, header);
    return Ok(result) && ValueOf(result) == era;
  }

  StoreEra m_era;
  std::vector<uint64_t> m_told;
};

TEST_CASE_FIXTURE(StoreEraFixture, "StoreEra_LaterEra_IsToldOnce") {
  CHECK(Accepts(kOk, "4", 4));
  CHECK(Accepts(kOk, "4", 4));
  // A refusal names the era, too.
  CHECK(Accepts(kBusy, "6", 6));
  CHECK(m_era.Current() == 6);
  CHECK(m_told == std::vector<uint64_t>{4, 6});
}

TEST_CASE_FIXTURE(StoreEraFixture, "StoreEra_StoreWithoutEras_IsOfEraZero") {
  CHECK(Accepts(kOk, "", 0));
  CHECK(m_told.empty());
}

TEST_CASE_FIXTURE(StoreEraFixture, "StoreEra_EarlierEra_IsRejected") {
  (void)m_era.OnAnswer(kOk, "4");
  CHECK(Rejects(kOk, "3"));
  CHECK(Rejects(kBusy, "3"));
  CHECK(m_era.Current() == 4);
}

TEST_CASE_FIXTURE(StoreEraFixture, "StoreEra_HeaderIsGone_SuccessIsRejected") {
  (void)m_era.OnAnswer(kOk, "4");
  CHECK(Rejects(kOk, ""));
  // What refuses a call need not be the store.
  CHECK(Accepts(kBusy, "", 4));
}

TEST_CASE_FIXTURE(StoreEraFixture, "StoreEra_MalformedHeader_IsRejected") {
  for (const std::string header :
       {"x", "-1", "1.5", "4 5", "18446744073709551616"}) {
    CAPTURE(header);
    CHECK(Rejects(kOk, header));
  }
  CHECK(Rejects(kOk, absl::StrCat(kMaxEra + 1)));
  CHECK(Accepts(kOk, absl::StrCat(kMaxEra), kMaxEra));
}

}  // namespace
}  // namespace heatherwick::platform
