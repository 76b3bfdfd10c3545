// Sockets on the loopback interface, the clock of a run, and its record.

#ifndef REVIEW_STANDIN_NETWORK_H_
#define REVIEW_STANDIN_NETWORK_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace review {

// Milliseconds since the start of the run.
double NowMs();
void SleepMs(double ms);

// Opens the record, to which Write() adds lines with the time.
void OpenRecord(const std::string& path);
void Write(const std::string& line);

std::vector<std::string> Words(const std::string& text);

// A connected socket that is closed with the object.
class Socket {
 public:
  explicit Socket(int descriptor = -1) : m_descriptor(descriptor) {}
  ~Socket();
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // An invalid socket if the connection is refused.
  static Socket Connect(uint16_t port);
  bool Valid() const { return m_descriptor >= 0; }
  int Descriptor() const { return m_descriptor; }
  bool Send(const std::string& bytes) const;
  // Reads up to the next CR LF, which is removed. False at the end.
  bool ReadLine(std::string* line);
  bool ReadBytes(size_t count, std::string* bytes);
  void SetReadTimeout(double ms) const;

 private:
  bool Fill();

  int m_descriptor;
  std::string m_buffer;
};

// Accepts connections on a port of its own, each served in a thread.
class Listener {
 public:
  using Serve = std::function<void(Socket)>;

  explicit Listener(Serve serve);
  uint16_t Port() const { return m_port; }
  // Stops to accept. Connections are refused from then on.
  void Close();
  std::string Address() const;

 private:
  int m_descriptor = -1;
  uint16_t m_port = 0;
  Serve m_serve;
};

// The first of `count` consecutive free ports.
uint16_t FreePorts(int count);

}  // namespace review

#endif  // REVIEW_STANDIN_NETWORK_H_
