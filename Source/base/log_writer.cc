// Buffers log lines and writes them from a background thread.

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

// How long the destructor waits for a slow reader of the log lines.
constexpr absl::Duration kFlushTimeout = absl::Milliseconds(200);

// A pipe that poll() reports as writable accepts this many bytes without
// blocking (PIPE_BUF).
constexpr size_t kChunkBytes = 4096;
// How often a blocked write checks whether the destructor has given up.
constexpr int kPollIntervalMs = 50;

}  // namespace

LogWriter::LogWriter(const LogWriterSettings& settings)
    : m_settings(settings), m_thread([this]() { Run(); }) {
  // All output goes through this sink; fatal lines also go to standard error.
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
  FlushAndStop(kFlushTimeout);
  m_discard_output = true;
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
    ++m_dropped_lines;
    return;
  }
  if (m_reported_drops < m_dropped_lines) {
    absl::StrAppend(&m_buffer, "event=log_lines_dropped count=",
                    m_dropped_lines - m_reported_drops, "\n");
    m_reported_drops = m_dropped_lines;
  }
  absl::StrAppend(&m_buffer, text, "\n");
  m_error_waiting |= severity >= google::GLOG_ERROR;
}

bool LogWriter::ShouldWrite() const {
  return m_stopping || m_error_waiting ||
         m_buffer.size() >= m_settings.flush_threshold_bytes;
}

bool LogWriter::Finished() const {
  return m_finished;
}

void LogWriter::Run() {
  std::string batch;
  while (true) {
    {
      absl::MutexLock lock(&m_mutex);
      m_mutex.AwaitWithTimeout(absl::Condition(this, &LogWriter::ShouldWrite),
                               m_settings.max_delay);
      if (m_stopping && m_buffer.empty()) {
        m_finished = true;
        return;
      }
      m_error_waiting = false;
      batch.clear();
      batch.swap(m_buffer);
    }
    WriteAll(batch);
  }
}

void LogWriter::WriteAll(absl::string_view bytes) {
  while (!bytes.empty() && !m_discard_output) {
    pollfd ready{m_settings.descriptor, POLLOUT, 0};
    if (poll(&ready, 1, kPollIntervalMs) <= 0) {
      continue;
    }
    const ssize_t written = write(m_settings.descriptor, bytes.data(),
                                  std::min(bytes.size(), kChunkBytes));
    if (written > 0) {
      bytes.remove_prefix(static_cast<size_t>(written));
    } else if (written < 0 && errno != EINTR && errno != EAGAIN) {
      return;  // The reader is gone, and there is no other place to log this.
    }
  }
}

void LogWriter::FlushAndStop(absl::Duration timeout) {
  absl::MutexLock lock(&m_mutex);
  m_stopping = true;
  m_mutex.AwaitWithTimeout(absl::Condition(this, &LogWriter::Finished),
                           timeout);
}

uint64_t LogWriter::DroppedLines() const {
  absl::MutexLock lock(&m_mutex);
  return m_dropped_lines;
}

}  // namespace heatherwick
