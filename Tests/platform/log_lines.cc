// Registers a sink for log lines.

#include "Tests/platform/log_lines.h"

#include "absl/synchronization/mutex.h"
#include "glog/logging.h"

namespace heatherwick::platform {

class LogLines::Sink : public google::LogSink {
 public:
  Sink() { google::AddLogSink(this); }
  ~Sink() override { google::RemoveLogSink(this); }

  void send(google::LogSeverity,
            const char*,
            const char*,
            int,
            const struct ::tm*,
            const char* message,
            size_t size) override {
    absl::MutexLock lock(&m_mutex);
    m_text.append(message, size);
    m_text += "\n";
  }
  std::string Text() {
    absl::MutexLock lock(&m_mutex);
    return m_text;
  }

 private:
  absl::Mutex m_mutex;
  std::string m_text;
};

LogLines::LogLines() : m_sink(std::make_unique<Sink>()) {}

LogLines::~LogLines() = default;

std::string LogLines::Text() const {
  return m_sink->Text();
}

}  // namespace heatherwick::platform
