// Collects the log lines of all threads. Hides glog, whose CHECK is not that of
// the tests.

#ifndef TESTS_PLATFORM_LOG_LINES_H_
#define TESTS_PLATFORM_LOG_LINES_H_

#include <memory>
#include <string>

namespace heatherwick::platform {

class LogLines {
 public:
  LogLines();
  ~LogLines();

  // All lines since the construction.
  std::string Text() const;

 private:
  class Sink;

  const std::unique_ptr<Sink> m_sink;
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_LOG_LINES_H_
