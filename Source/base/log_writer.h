// Writes glog's lines to a file descriptor from a thread of its own, so that
// logging never blocks a thread that decides or serves.
//
// Lines wait in a bounded buffer. While the reader of the descriptor is too
// slow, new lines are dropped and counted; a line with their number follows
// once there is room.

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
  // Buffered bytes beyond which lines are dropped. A second of lines at the
  // decision log's budget is about 50 kB.
  size_t max_buffer_bytes = 1 << 20;
  // Lines are written when this many bytes wait, or after `max_delay`. One
  // write for many lines keeps the cost of system calls low.
  size_t write_at_bytes = 16 << 10;
  absl::Duration max_delay = absl::Milliseconds(250);
};

class LogWriter : public google::LogSink {
 public:
  // Takes over glog's output until the destructor.
  explicit LogWriter(const LogWriterSettings& settings);
  // Writes what waits, for kFlushLimit at the most.
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

  // Ends the writing and waits for it, for `limit` at the most. Lines that
  // come later are dropped.
  void Flush(absl::Duration limit);

  // Lines dropped since the start.
  uint64_t Dropped() const;

 private:
  void Run();
  // Returns early once the process no longer waits for it.
  void WriteAll(absl::string_view bytes);
  bool ShouldWrite() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  bool Finished() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  const LogWriterSettings m_settings;
  mutable absl::Mutex m_mutex;
  std::string m_buffer ABSL_GUARDED_BY(m_mutex);
  uint64_t m_dropped ABSL_GUARDED_BY(m_mutex) = 0;
  uint64_t m_reported ABSL_GUARDED_BY(m_mutex) = 0;  // Of m_dropped.
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  bool m_urgent ABSL_GUARDED_BY(m_mutex) = false;
  bool m_finished ABSL_GUARDED_BY(m_mutex) = false;
  std::atomic<bool> m_abandoned = false;
  std::thread m_thread;  // Last: it uses the members above.
};

}  // namespace heatherwick

#endif  // SOURCE_BASE_LOG_WRITER_H_
