// What the cases of the second review share: time, the record, sockets and the
// heatherwick processes.

#ifndef REVIEW_STANDIN_2_SUPPORT_H_
#define REVIEW_STANDIN_2_SUPPORT_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Milliseconds of a steady clock since the start of the case.
int64_t NowMs();
void SleepMs(int64_t ms);

// Writes one line with the time to record.txt.
void Record(const std::string& line);
void OpenRecord(const std::string& path);

// A connected socket with lines that end with CR LF.
class Socket {
 public:
  explicit Socket(int descriptor) : m_descriptor(descriptor) {}
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Returns null if nothing listens there.
  static std::unique_ptr<Socket> Connect(uint16_t port);

  bool Send(const std::string& bytes);
  // Nothing at the end of the connection or after `timeout_ms`; -1 waits for
  // ever.
  std::optional<std::string> ReadLine(int64_t timeout_ms = -1);
  std::optional<std::string> ReadBytes(size_t count);
  int Descriptor() const { return m_descriptor; }
  // Ends the connection from another thread.
  void Shutdown();

 private:
  bool Receive(int64_t timeout_ms);

  const int m_descriptor;
  std::string m_buffer;
};

// Accepts connections at a free port of the loopback interface, each of which
// is served in a thread of its own.
class Listener {
 public:
  using Serve = void (*)(void* context, Socket* socket);
  Listener(Serve serve, void* context);
  uint16_t Port() const { return m_port; }
  // While closed, connections are refused and open ones are reset.
  void Close();
  void Open();

 private:
  void Accept();

  const Serve m_serve;
  void* const m_context;
  // Below the ports of outgoing connections.
  const uint16_t m_port;
  const int m_listening;
  std::mutex m_mutex;
  std::vector<Socket*> m_open;
};

// A block of `count` free ports in a row.
uint16_t FindFreePorts(uint16_t count);

// One instance, started with the command of deploy/system.toml.
class Instance {
 public:
  Instance(std::string name,
           const std::string& zone,
           uint16_t store_port,
           const std::string& more_settings = "");
  ~Instance();

  void Start();
  void Signal(int number);
  // SIGKILL, and waits for the end.
  void Kill();
  bool Running();
  bool Ready();
  size_t MemoryMb() const;
  uint16_t Port() const { return m_first_port; }
  const std::string& Name() const { return m_name; }
  std::string LogPath() const;

 private:
  const std::string m_name;
  uint16_t m_first_port = 0;
  std::string m_directory;
  pid_t m_process = 0;
};

// Ends all instances that run. Also done when the case is interrupted or takes
// longer than 115 s, which ends it with status 2.
void KillAll();
void WatchOver();

// Waits until all of them are ready. False after `timeout_ms`.
bool AwaitReady(const std::vector<Instance*>& instances, int64_t timeout_ms);

// The folder for settings and logs. Deleted at the end, unless KEEP is set.
std::string TemporaryFolder();
void RemoveTemporaryFolder();

}  // namespace review

#endif  // REVIEW_STANDIN_2_SUPPORT_H_
