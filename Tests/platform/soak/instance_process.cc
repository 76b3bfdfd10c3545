// Starts, signals and ends one process by its process id.

#include "Tests/platform/soak/instance_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <fstream>
#include <utility>
#include <vector>

#include "Source/base/steady_clock.h"
#include "absl/strings/str_cat.h"
#include "glog/logging.h"

namespace heatherwick::platform {
namespace {

// Upper bound of the time from starting a process to its first instruction. It
// covers the loading of its libraries on a busy machine.
constexpr absl::Duration kLoadTime = absl::Milliseconds(200);

}  // namespace

InstanceProcess::InstanceProcess(InstanceSettings settings)
    : m_settings(std::move(settings)) {
  std::ofstream file(
      absl::StrCat(m_settings.directory, "/", m_settings.name, ".conf"));
  file << "nodeName=" << m_settings.name << "\nzone=z-a\n"
       << "listenAddrs.front=127.0.0.1:" << m_settings.first_port << "\n"
       << "listenAddrs.ready=127.0.0.1:" << ReadyPort() << "\n"
       << "internalPortRange=" << m_settings.first_port + 2 << ","
       << m_settings.first_port + 3 << "\n"
       << "platform.address=" << m_settings.store << "\n"
       << "cloudApi.address=" << m_settings.promotions << "\n"
       << "bounds.graceS=4\n"
       << m_settings.more_lines;
}

std::string InstanceProcess::PeerAddress(uint16_t first_port) {
  return absl::StrCat("127.0.0.1:", first_port + 2);
}

InstanceProcess::~InstanceProcess() {
  Kill();
}

void InstanceProcess::Start() {
  const std::string base =
      absl::StrCat(m_settings.directory, "/", m_settings.name);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, (base + ".log").c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  std::string program = m_settings.program;
  std::string variable = absl::StrCat("HEATHERWICK_NODE_FILE=", base, ".conf");
  char* arguments[] = {program.data(), nullptr};
  std::string advertised = absl::StrCat("HEATHERWICK_ADVERTISED_PEER_ADDRESS=",
                                        m_settings.advertised_peer);
  char* environment[] = {variable.data(), advertised.data(), nullptr};
  const int failed = posix_spawn(&m_process, program.c_str(), &actions, nullptr,
                                 arguments, environment);
  CHECK_EQ(failed, 0) << "cannot start " << program;
  posix_spawn_file_actions_destroy(&actions);
  m_start_time = SteadyNow();
  m_stop_requested = false;
}

void InstanceProcess::Signal(int number) const {
  if (Running()) {
    m_stop_requested |= number == SIGTERM || number == SIGKILL;
    kill(m_process, number);
  }
}

void InstanceProcess::Kill() {
  if (Running()) {
    Signal(SIGKILL);
    waitpid(m_process, nullptr, 0);
    m_process = 0;
  }
}

bool InstanceProcess::Reap(bool* unexpected) {
  int status = 0;
  if (!Running() || waitpid(m_process, &status, WNOHANG) != m_process) {
    return !Running();
  }
  m_process = 0;
  // A SIGHUP ends a process that has not run its first instruction yet: no
  // program can block or handle a signal before that.
  const bool killed_while_loading = WIFSIGNALED(status) &&
                                    WTERMSIG(status) == SIGHUP &&
                                    SteadyNow() < m_start_time + kLoadTime;
  *unexpected = !m_stop_requested && !killed_while_loading;
  return true;
}

}  // namespace heatherwick::platform
