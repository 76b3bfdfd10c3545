// Guards against a log that a single bad entry fills.

#include "Source/base/rejected_entries.h"

#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"
#include "glog/logging.h"

namespace heatherwick {
namespace {

// Collects the log lines on rejected entries.
class RejectedEntriesFixture : public google::LogSink {
 protected:
  RejectedEntriesFixture() { google::AddLogSink(this); }
  ~RejectedEntriesFixture() override { google::RemoveLogSink(this); }

  void send(google::LogSeverity,
            const char*,
            const char*,
            int,
            const google::LogMessageTime&,
            const char* message,
            size_t length) override {
    lines.emplace_back(message, length);
  }

  static Error Cause(const std::string& message) {
    return {ErrorKind::kInvalidArgument, message, ""};
  }

  std::vector<std::string> lines;
  RejectedEntries m_rejected{"servers"};
};

TEST_CASE_FIXTURE(RejectedEntriesFixture,
                  "RejectedEntries_SameCauseAgain_IsLoggedOnce") {
  for (int repeat = 0; repeat < 100; ++repeat) {
    m_rejected.Reject("db\n1", Cause("not valid JSON"));
  }
  REQUIRE(lines.size() == 1);
  CHECK(absl::StrContains(lines[0], "key=\"db\\n1\""));
  CHECK(absl::StrContains(lines[0], "not valid JSON"));
}

TEST_CASE_FIXTURE(RejectedEntriesFixture,
                  "RejectedEntries_OtherCauseOrRejectedAnew_IsLogged") {
  m_rejected.Reject("db1", Cause("a"));
  m_rejected.Reject("db1", Cause("b"));
  m_rejected.Accept("db1");
  m_rejected.Reject("db1", Cause("b"));
  CHECK(lines.size() == 3);
}

TEST_CASE_FIXTURE(RejectedEntriesFixture,
                  "RejectedEntries_ManyKeys_LinesAreBounded") {
  for (size_t key = 0; key < 3 * RejectedEntries::kMaxEntries; ++key) {
    m_rejected.Reject(absl::StrCat("db", key), Cause("a"));
  }
  CHECK(lines.size() == RejectedEntries::kMaxEntries + 1);
}

}  // namespace
}  // namespace heatherwick
