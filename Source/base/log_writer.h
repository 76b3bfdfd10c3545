// Writes glog's lines to a file descriptor from a background thread, so that
// logging never blocks the threads that make decisions or serve requests.
//
// Lines wait in a bounded buffer. When the reader of the descriptor is too slow
// and the buffer is full, new lines are dropped and counted. Once there is
// room, a line reports how many were dropped.

#ifndef SOURCE_BASE_LOG_WRITER_H_
#define SOURCE_BASE_LOG_WRITER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "glog/logging.h"

namespace heatherwick {

struct LogWriterSettings {
  int descriptor = 1;
  // Lines that would make the buffer larger than this are dropped. The decision
  // log's budget amounts to about 50 kB of lines per second.
  size_t max_buffer_bytes = 1 << 20;
  // Buffered lines are written when they reach this size, or after `max_delay`,
  // or at once when one is an error. Writing many lines together saves system
  // calls.
  size_t flush_threshold_bytes = 16 << 10;
  absl::Duration max_delay = absl::Milliseconds(250);
};

class LogWriter : public google::LogSink {
 public:
  // Takes over glog's output until this object is destroyed.
  explicit LogWriter(const LogWriterSettings& settings);
  // Writes the buffered lines for kFlushTimeout at most, and discards the rest.
  ~LogWriter() override;

  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  void send(google::LogSeverity severity,
            const char* full_filename,
            const char* base_filename,
            int line,
            const google::LogMessageTime& time,
            const char* message,
            size_t message_length) override;

  // Stops accepting lines and waits until the buffered lines are written, but
  // for `timeout` at most. Lines logged later are dropped.
  void FlushAndStop(absl::Duration timeout);

  // Number of lines dropped so far.
  uint64_t DroppedLines() const;

 private:
  void Run();
  // Returns before all bytes are written if m_discard_output becomes true or if
  // a write fails.
  void WriteAll(absl::string_view bytes);
  bool ShouldWrite() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  bool Finished() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  const LogWriterSettings m_settings;
  mutable absl::Mutex m_mutex;
  std::string m_buffer ABSL_GUARDED_BY(m_mutex);
  uint64_t m_dropped_lines ABSL_GUARDED_BY(m_mutex) = 0;
  // How many of m_dropped_lines have been reported by a line.
  uint64_t m_reported_drops ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  bool m_error_waiting ABSL_GUARDED_BY(m_mutex) = false;
  bool m_finished ABSL_GUARDED_BY(m_mutex) = false;
  std::atomic<bool> m_discard_output = false;
  std::thread m_thread;  // Declared last, because it uses the members above.
};

}  // namespace heatherwick

#endif  // SOURCE_BASE_LOG_WRITER_H_
