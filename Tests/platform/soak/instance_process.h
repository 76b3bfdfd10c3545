// One heatherwick-platform process that the soak starts, signals and ends.

#ifndef TESTS_PLATFORM_SOAK_INSTANCE_PROCESS_H_
#define TESTS_PLATFORM_SOAK_INSTANCE_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace heatherwick::platform {

struct InstanceSettings {
  std::string program;
  std::string directory;  // For its settings file and its log.
  std::string name;
  std::string store;  // Addresses, IP:PORT.
  std::string promotions;
  uint16_t first_port = 0;  // Callers; readiness and peers follow.
};

class InstanceProcess {
 public:
  explicit InstanceProcess(InstanceSettings settings);
  ~InstanceProcess();

  InstanceProcess(const InstanceProcess&) = delete;
  InstanceProcess& operator=(const InstanceProcess&) = delete;

  uint16_t CallerPort() const { return m_settings.first_port; }
  uint16_t ReadyPort() const { return m_settings.first_port + 1; }
  const std::string& Name() const { return m_settings.name; }
  bool Running() const { return m_process > 0; }
  void Start();
  void Signal(int number) const;
  // SIGKILL, and waits for the end.
  void Kill();
  // True once the process has ended. `unexpected` tells of an end that no
  // signal of the soak explains.
  bool Reap(bool* unexpected);

 private:
  const InstanceSettings m_settings;
  pid_t m_process = 0;
  absl::Time m_started;
  mutable bool m_asked_to_stop = false;
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_SOAK_INSTANCE_PROCESS_H_
