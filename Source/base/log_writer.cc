// The buffer, and the thread that empties it.

#include "Source/base/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace heatherwick {
namespace {

// A process that ends waits this long for a slow reader of its lines.
constexpr absl::Duration kFlushLimit = absl::Milliseconds(200);

// A pipe that is ready takes this much without blocking (PIPE_BUF).
constexpr size_t kChunkBytes = 4096;
// Between two looks at whether the process ends.
constexpr int kPollMs = 50;

}  // namespace

LogWriter::LogWriter(const LogWriterSettings& settings)
    : m_settings(settings), m_thread([this]() { Run(); }) {
  // Only the sink writes; lines of a crash go to standard error as well.
  FLAGS_logtostderr = false;
  FLAGS_logtostdout = false;
  FLAGS_stderrthreshold = google::GLOG_FATAL;
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, "");
  }
  google::AddLogSink(this);
}

LogWriter::~LogWriter() {
  google::RemoveLogSink(this);
  Flush(kFlushLimit);
  m_abandoned = true;
  m_thread.join();
}

void LogWriter::send(google::LogSeverity severity,
                     const char* /*full_filename*/,
                     const char* base_filename,
                     int line,
                     const google::LogMessageTime& time,
                     const char* message,
                     size_t message_length) {
  const std::string text =
      ToString(severity, base_filename, line, time, message, message_length);
  absl::MutexLock lock(&m_mutex);
  if (m_stopping ||
      m_buffer.size() + text.size() + 1 > m_settings.max_buffer_bytes) {
    ++m_dropped;
    return;
  }
  if (m_reported < m_dropped) {
    absl::StrAppend(&m_buffer,
                    "event=log_lines_dropped count=", m_dropped - m_reported,
                    "\n");
    m_reported = m_dropped;
  }
  absl::StrAppend(&m_buffer, text, "\n");
  m_urgent |= severity >= google::GLOG_ERROR;
}

bool LogWriter::ShouldWrite() const {
  return m_stopping || m_urgent || m_buffer.size() >= m_settings.write_at_bytes;
}

bool LogWriter::Finished() const {
  return m_finished;
}

void LogWriter::Run() {
  std::string writing;
  while (true) {
    {
      absl::MutexLock lock(&m_mutex);
      m_mutex.AwaitWithTimeout(absl::Condition(this, &LogWriter::ShouldWrite),
                               m_settings.max_delay);
      if (m_stopping && m_buffer.empty()) {
        m_finished = true;
        return;
      }
      m_urgent = false;
      writing.clear();
      writing.swap(m_buffer);
    }
    WriteAll(writing);
  }
}

void LogWriter::WriteAll(absl::string_view bytes) {
  while (!bytes.empty() && !m_abandoned) {
    pollfd ready{m_settings.descriptor, POLLOUT, 0};
    if (poll(&ready, 1, kPollMs) <= 0) {
      continue;
    }
    const ssize_t written = write(m_settings.descriptor, bytes.data(),
                                  std::min(bytes.size(), kChunkBytes));
    if (written > 0) {
      bytes.remove_prefix(static_cast<size_t>(written));
    } else if (written < 0 && errno != EINTR && errno != EAGAIN) {
      return;  // The reader is gone; there is nowhere to report it.
    }
  }
}

void LogWriter::Flush(absl::Duration limit) {
  absl::MutexLock lock(&m_mutex);
  m_stopping = true;
  m_mutex.AwaitWithTimeout(absl::Condition(this, &LogWriter::Finished), limit);
}

uint64_t LogWriter::Dropped() const {
  absl::MutexLock lock(&m_mutex);
  return m_dropped;
}

}  // namespace heatherwick
