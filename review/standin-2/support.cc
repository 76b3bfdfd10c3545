#include "support.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace review {
namespace {

const auto start = std::chrono::steady_clock::now();
std::ofstream record;
std::mutex record_mutex;
std::string folder;

constexpr unsigned kMostSeconds = 115;
constexpr size_t kMostInstances = 64;
// Read by a signal handler.
std::atomic<pid_t> running[kMostInstances];

void Replace(pid_t old_process, pid_t new_process) {
  for (std::atomic<pid_t>& process : running) {
    pid_t expected = old_process;
    if (process.compare_exchange_strong(expected, new_process)) {
      return;
    }
  }
}

void OnInterrupt(int) {
  KillAll();
  _exit(2);
}

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool CanBind(uint16_t port) {
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in address = Loopback(port);
  const bool bound =
      bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(probe);
  return bound;
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void OpenRecord(const std::string& path) {
  record.open(path, std::ios::trunc);
}

void Record(const std::string& line) {
  std::lock_guard lock(record_mutex);
  record << NowMs() << " ms  " << line << std::endl;
}

Socket::~Socket() {
  close(m_descriptor);
}

std::unique_ptr<Socket> Socket::Connect(uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(port);
  auto connected = std::make_unique<Socket>(descriptor);
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    return nullptr;
  }
  const int yes = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  return connected;
}

bool Socket::Send(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(m_descriptor, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

bool Socket::Receive(int64_t timeout_ms) {
  if (timeout_ms >= 0) {
    pollfd ready{m_descriptor, POLLIN, 0};
    if (poll(&ready, 1, static_cast<int>(timeout_ms)) <= 0) {
      return false;
    }
  }
  char bytes[16384];
  const ssize_t count = recv(m_descriptor, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    return false;
  }
  m_buffer.append(bytes, static_cast<size_t>(count));
  return true;
}

std::optional<std::string> Socket::ReadLine(int64_t timeout_ms) {
  const int64_t end = NowMs() + timeout_ms;
  size_t found = 0;
  while ((found = m_buffer.find("\r\n")) == std::string::npos) {
    const int64_t left =
        timeout_ms < 0 ? -1 : std::max<int64_t>(0, end - NowMs());
    if (!Receive(left)) {
      return std::nullopt;
    }
  }
  std::string line = m_buffer.substr(0, found);
  m_buffer.erase(0, found + 2);
  return line;
}

std::optional<std::string> Socket::ReadBytes(size_t count) {
  while (m_buffer.size() < count) {
    if (!Receive(-1)) {
      return std::nullopt;
    }
  }
  std::string bytes = m_buffer.substr(0, count);
  m_buffer.erase(0, count);
  return bytes;
}

void Socket::Shutdown() {
  shutdown(m_descriptor, SHUT_RDWR);
}

Listener::Listener(Serve serve, void* context)
    : m_serve(serve),
      m_context(context),
      m_port(FindFreePorts(1)),
      m_listening(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int yes = 1;
  setsockopt(m_listening, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in address = Loopback(m_port);
  if (bind(m_listening, reinterpret_cast<sockaddr*>(&address),
           sizeof(address)) != 0) {
    std::cerr << "cannot bind: " << strerror(errno) << "\n";
    KillAll();
    _exit(2);
  }
  Open();
}

void Listener::Open() {
  if (listen(m_listening, 512) != 0) {
    std::cerr << "cannot listen: " << strerror(errno) << "\n";
    KillAll();
    _exit(2);
  }
  std::thread([this]() { Accept(); }).detach();
}

void Listener::Close() {
  // The socket stops listening and keeps its port.
  shutdown(m_listening, SHUT_RDWR);
  std::lock_guard lock(m_mutex);
  for (Socket* socket : m_open) {
    socket->Shutdown();
  }
}

void Listener::Accept() {
  while (true) {
    const int accepted = accept4(m_listening, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    const int yes = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    std::thread([this, accepted]() {
      Socket socket(accepted);
      {
        std::lock_guard lock(m_mutex);
        m_open.push_back(&socket);
      }
      m_serve(m_context, &socket);
      std::lock_guard lock(m_mutex);
      m_open.erase(std::find(m_open.begin(), m_open.end(), &socket));
    }).detach();
  }
}

uint16_t FindFreePorts(uint16_t count) {
  // Below the ports that the system gives to outgoing connections.
  static uint16_t next = static_cast<uint16_t>(12000 + getpid() % 500 * 32);
  while (true) {
    const uint16_t first = next;
    next = next > 31000 ? 12000 : static_cast<uint16_t>(next + count);
    bool free = true;
    for (uint16_t port = first; port < first + count; ++port) {
      free = free && CanBind(port);
    }
    if (free) {
      return first;
    }
  }
}

std::string TemporaryFolder() {
  if (folder.empty()) {
    std::string pattern =
        std::filesystem::temp_directory_path() / "review-2-XXXXXX";
    folder = mkdtemp(pattern.data());
  }
  return folder;
}

void RemoveTemporaryFolder() {
  if (!folder.empty() && getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(folder);
  }
}

Instance::Instance(std::string name,
                   const std::string& zone,
                   uint16_t store_port,
                   const std::string& more_settings)
    : m_name(std::move(name)),
      m_first_port(FindFreePorts(20)),
      m_directory(TemporaryFolder()) {
  std::ofstream file(m_directory + "/" + m_name + ".conf");
  const auto at = [](uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  // The example of DEPLOY.md, with loopback addresses.
  file << "nodeName=" << m_name << "\nrole=gateway\nmachineClass=front\n"
       << "serves=front\nip=127.0.0.1\nzone=" << zone
       << "\nregion=ie-east\nzones.ie-east-a=ie-east\n"
       << "zones.ie-east-b=ie-east\nzones.ie-east-c=ie-east\n"
       << "listenAddrs.front=" << at(m_first_port)
       << "\nlistenAddrs.ready=" << at(m_first_port + 1)
       << "\ninternalPortRange=" << m_first_port + 2 << "," << m_first_port + 17
       << "\nseeds=\nbootstrap=true\ninTolerance=false\n"
       << "limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n"
       << "limits.maxFds=4300\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n"
       << "discovery=platform\nentry=vip\nheartbeatIntervalMs=1200\n"
       << "contracts=base,drain,config,cost,recover,sql,platform\n"
       << "faultTolerance.machines=2\nfaultTolerance.zones=0\n"
       << "faultTolerance.regions=0\nbounds.seedLagS=3\n"
       << "bounds.reuseAfterS=2\nbounds.stabilityWindowMs=4000\n"
       << "bounds.ackTimeoutMs=5000\nbounds.catchUpS=4\n"
       << "bounds.drainMs=7000\nbounds.graceS=6\nbounds.lossSlackMs=200\n"
       << "bounds.configApplyMs=3000\nbounds.rollbackSlackMs=250\n"
       << "bounds.maxStretchMs=12000\nbounds.recoveryS=12\n"
       << "bounds.fencingEnforced=false\nbounds.thawSlackMs=300\n"
       << "platform.address=" << at(store_port)
       << "\nplatform.form=table\nplatform.writesPerS=400\n"
       << "platform.readsPerS=2000\nplatform.txMs=8.0\n"
       << "platform.partitionWritesS=150\nplatform.rowBytes=65536\n"
       << "platform.across=false\nplatform.historyS=20\n"
       << "platform.blobBytes=8388608\nplatform.blobMs=25.0\n"
       << "platform.blobMbS=80.0\ncloudApi.address=" << at(store_port)
       << "\ncloudApi.ratePerS=50.0\ncloudApi.duties=failover\n"
       << "cloudApi.dutyPerS=50.0\n"
       << more_settings;
}

Instance::~Instance() {
  Kill();
}

std::string Instance::LogPath() const {
  return m_directory + "/" + m_name + ".log";
}

void Instance::Start() {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = LogPath();
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  // deploy/system.toml, roles.gateway, run; the working folder is the
  // repository's.
  std::string program = "target/platform/heatherwick-platform";
  std::string variable =
      "HEATHERWICK_NODE_FILE=" + m_directory + "/" + m_name + ".conf";
  char* arguments[] = {program.data(), nullptr};
  char* environment[] = {variable.data(), nullptr};
  if (posix_spawn(&m_process, program.c_str(), &actions, nullptr, arguments,
                  environment) != 0) {
    std::cerr << "cannot start " << program << "\n";
    KillAll();
    _exit(2);
  }
  posix_spawn_file_actions_destroy(&actions);
  Replace(0, m_process);
  Record("instance " + m_name + " starts");
}

void Instance::Signal(int number) {
  if (m_process != 0) {
    kill(m_process, number);
  }
}

void Instance::Kill() {
  if (m_process != 0) {
    kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
    Replace(m_process, 0);
    m_process = 0;
  }
}

bool Instance::Running() {
  if (m_process != 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
    Replace(m_process, 0);
    m_process = 0;
  }
  return m_process != 0;
}

bool Instance::Ready() {
  const auto socket = Socket::Connect(m_first_port + 1);
  if (!socket ||
      !socket->Send("GET /heatherwick/ready HTTP/1.1\r\nHost: a\r\n\r\n")) {
    return false;
  }
  const auto line = socket->ReadLine(1000);
  return line && line->find(" 200 ") != std::string::npos;
}

size_t Instance::MemoryMb() const {
  std::ifstream file("/proc/" + std::to_string(m_process) + "/status");
  std::string word;
  while (file >> word) {
    if (word == "VmRSS:") {
      size_t kilobytes = 0;
      file >> kilobytes;
      return kilobytes / 1024;
    }
  }
  return 0;
}

void KillAll() {
  for (std::atomic<pid_t>& process : running) {
    const pid_t id = process.exchange(0);
    if (id != 0) {
      kill(id, SIGKILL);
    }
  }
}

void WatchOver() {
  for (const int number : {SIGINT, SIGTERM, SIGALRM, SIGHUP}) {
    signal(number, OnInterrupt);
  }
  alarm(kMostSeconds);
}

bool AwaitReady(const std::vector<Instance*>& instances, int64_t timeout_ms) {
  const int64_t end = NowMs() + timeout_ms;
  while (NowMs() < end) {
    if (std::all_of(instances.begin(), instances.end(),
                    [](Instance* instance) { return instance->Ready(); })) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

}  // namespace review
