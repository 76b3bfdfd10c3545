// One instance with a fake store and fake databases, under low limits, whose
// memory and descriptors are observed.

#ifndef TESTS_PLATFORM_MISBEHAVING_LIMITED_INSTANCE_H_
#define TESTS_PLATFORM_MISBEHAVING_LIMITED_INSTANCE_H_

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "Tests/platform/misbehaving/raw_caller.h"
#include "Tests/platform/platform_fakes.h"
#include "Tests/platform/soak/instance_process.h"
#include "Tests/platform/soak/port_block.h"

namespace heatherwick::platform {

class LimitedInstance {
 public:
  // As limits.memoryMb. The process alone takes about 17 MB.
  static constexpr size_t kMemoryMb = 48;
  // As limits.maxFds. The process alone takes about 30, and 200 are reserved
  // for files.
  static constexpr size_t kMaxDescriptors = 400;

  LimitedInstance();
  ~LimitedInstance();

  // Starts the process and waits until it serves.
  void Start();
  // As Start(), but the system lets the process open only so many descriptors.
  void StartWithDescriptors(size_t descriptors);
  size_t LogBytes() const;
  FakeStore& Store() { return *m_store; }
  uint16_t Port() const { return m_process->CallerPort(); }
  Crowd Connect(size_t callers) const;
  // As Connect(), and the callers send START and wait for the answer.
  Crowd Open(size_t callers) const;
  // Checks that the process lives, that its memory and descriptors have stayed
  // below the limits since Start(), and that an ordinary request of a new
  // caller is answered now.
  void CheckHeld();

 private:
  bool Serves() const;
  void ObserveDescriptors();

  // The fakes are never destroyed, because their threads use them until the
  // process ends.
  FakeStore* const m_store;
  FakeDatabaseGroup* const m_group;
  std::string m_directory;
  PortBlock m_ports;
  std::unique_ptr<InstanceProcess> m_process;
  std::atomic<bool> m_ending = false;
  std::atomic<size_t> m_most_descriptors = 0;
  std::thread m_observer;
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_MISBEHAVING_LIMITED_INSTANCE_H_
