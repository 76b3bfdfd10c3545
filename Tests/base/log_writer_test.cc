// Guards against logging that blocks the logging thread, and against lines that
// are dropped without being counted.

#include "Source/base/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <string>

#include "Source/base/steady_clock.h"
#include "absl/strings/match.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

class LogWriterFixture {
 protected:
  LogWriterFixture() {
    REQUIRE(pipe(m_pipe) == 0);
    m_settings.descriptor = m_pipe[1];
    m_settings.max_buffer_bytes = 100000;
    m_settings.max_delay = absl::Milliseconds(20);
  }
  ~LogWriterFixture() {
    close(m_pipe[0]);
    close(m_pipe[1]);
  }

  // Reads until the text contains `expected` or nothing arrives for a second.
  std::string ReadUntil(const std::string& expected) const {
    std::string text;
    pollfd readable{m_pipe[0], POLLIN, 0};
    while (!absl::StrContains(text, expected) && poll(&readable, 1, 1000) > 0) {
      char chunk[4096];
      const ssize_t size = read(m_pipe[0], chunk, sizeof(chunk));
      REQUIRE(size > 0);
      text.append(chunk, static_cast<size_t>(size));
    }
    return text;
  }

  int m_pipe[2] = {};
  LogWriterSettings m_settings;
};

TEST_CASE_FIXTURE(LogWriterFixture, "LogWriter_LineLogged_IsWritten") {
  LogWriter writer(m_settings);
  LOG(INFO) << "event=started instance=a";
  CHECK(absl::StrContains(ReadUntil("instance=a\n"), "] event=started"));
}

TEST_CASE_FIXTURE(LogWriterFixture, "LogWriter_Destroyed_WritesBufferedLines") {
  m_settings.max_delay = absl::Minutes(1);
  {
    LogWriter writer(m_settings);
    LOG(INFO) << "event=stopped";
  }
  CHECK(absl::StrContains(ReadUntil("event=stopped\n"), "event=stopped\n"));
}

// glog's own output blocks on a full pipe, which once stopped the event loop.
TEST_CASE_FIXTURE(LogWriterFixture,
                  "LogWriter_NobodyReads_DropsAndCountsLines") {
  LogWriter writer(m_settings);
  const absl::Time start = SteadyNow();
  for (int line = 0; line < 10000; ++line) {
    LOG(INFO) << "event=filler number=" << line;
  }
  CHECK(SteadyNow() - start < absl::Seconds(5));
  CHECK(writer.DroppedLines() > 0);
  const std::string text = ReadUntil("number=1000 ");
  LOG(INFO) << "event=after";
  const std::string rest = ReadUntil("event=after\n");
  CHECK(absl::StrContains(rest, "event=log_lines_dropped count="));
  CHECK(absl::StrContains(rest, "event=after\n"));
}

TEST_CASE_FIXTURE(LogWriterFixture,
                  "LogWriter_DestroyedWhileNobodyReads_DoesNotHang") {
  const absl::Time start = SteadyNow();
  {
    LogWriter writer(m_settings);
    for (int line = 0; line < 10000; ++line) {
      LOG(INFO) << "event=filler number=" << line;
    }
  }
  CHECK(SteadyNow() - start < absl::Seconds(5));
}

}  // namespace
}  // namespace heatherwick
