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
  std::string directory;  // Where the settings file and the log are written.
  std::string name;
  std::string store;       // Address of the store, IP:PORT.
  std::string promotions;  // Address that takes promotion orders, IP:PORT.
  // Port for callers. The next port serves the readiness check, and the two
  // after it serve peers.
  uint16_t first_port = 0;
  // Where the other instances reach this one, IP:PORT; empty if directly.
  std::string advertised_peer;
  // Further lines of the settings file, each with its end of line.
  std::string more_lines;
};

class InstanceProcess {
 public:
  explicit InstanceProcess(InstanceSettings settings);
  ~InstanceProcess();

  InstanceProcess(const InstanceProcess&) = delete;
  InstanceProcess& operator=(const InstanceProcess&) = delete;

  uint16_t CallerPort() const { return m_settings.first_port; }
  uint16_t ReadyPort() const { return m_settings.first_port + 1; }
  // Where the instance listens for its peers.
  static std::string PeerAddress(uint16_t first_port);
  const std::string& Name() const { return m_settings.name; }
  bool Running() const { return m_process > 0; }
  // Id of the running process.
  pid_t Process() const { return m_process; }
  void Start();
  void Signal(int number) const;
  // Sends SIGKILL and waits until the process has ended.
  void Kill();
  // Returns true once the process has ended. The call that collects the ended
  // process sets `*unexpected` to false if a signal from the soak explains the
  // end, otherwise to true. Other calls leave `*unexpected` unchanged.
  bool Reap(bool* unexpected);

 private:
  const InstanceSettings m_settings;
  pid_t m_process = 0;
  absl::Time m_start_time;
  mutable bool m_stop_requested = false;
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_SOAK_INSTANCE_PROCESS_H_
