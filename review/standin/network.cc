#include "network.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point kStart = Clock::now();

std::mutex* RecordMutex() {
  static auto* const mutex = new std::mutex();
  return mutex;
}

std::ofstream* RecordFile() {
  static auto* const file = new std::ofstream();
  return file;
}

sockaddr_in LoopbackAddress(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool Bind(int descriptor, uint16_t port) {
  const sockaddr_in address = LoopbackAddress(port);
  return bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0;
}

}  // namespace

double NowMs() {
  return std::chrono::duration<double, std::milli>(Clock::now() - kStart)
      .count();
}

void SleepMs(double ms) {
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
  }
}

void OpenRecord(const std::string& path) {
  RecordFile()->open(path, std::ios::trunc);
}

void Write(const std::string& line) {
  char time[32];
  snprintf(time, sizeof(time), "%9.1f ", NowMs());
  const std::lock_guard<std::mutex> lock(*RecordMutex());
  *RecordFile() << time << line << "\n" << std::flush;
}

std::vector<std::string> Words(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  for (std::string word; stream >> word;) {
    words.push_back(word);
  }
  return words;
}

Socket::~Socket() {
  if (m_descriptor >= 0) {
    close(m_descriptor);
  }
}

Socket::Socket(Socket&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1)),
      m_buffer(std::move(other.m_buffer)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(m_descriptor, other.m_descriptor);
  std::swap(m_buffer, other.m_buffer);
  return *this;
}

Socket Socket::Connect(uint16_t port) {
  const sockaddr_in address = LoopbackAddress(port);
  Socket connected(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (connect(connected.m_descriptor,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    return Socket();
  }
  const int on = 1;
  setsockopt(connected.m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connected;
}

bool Socket::Send(const std::string& bytes) const {
  for (size_t sent = 0; sent < bytes.size();) {
    const ssize_t size = send(m_descriptor, bytes.data() + sent,
                              bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<size_t>(size);
  }
  return true;
}

bool Socket::Fill() {
  char bytes[16384];
  const ssize_t size = recv(m_descriptor, bytes, sizeof(bytes), 0);
  if (size <= 0) {
    return false;
  }
  m_buffer.append(bytes, static_cast<size_t>(size));
  return true;
}

bool Socket::ReadLine(std::string* line) {
  size_t end = m_buffer.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill()) {
      return false;
    }
    end = m_buffer.find("\r\n");
  }
  *line = m_buffer.substr(0, end);
  m_buffer.erase(0, end + 2);
  return true;
}

bool Socket::ReadBytes(size_t count, std::string* bytes) {
  while (m_buffer.size() < count) {
    if (!Fill()) {
      return false;
    }
  }
  *bytes = m_buffer.substr(0, count);
  m_buffer.erase(0, count);
  return true;
}

void Socket::SetReadTimeout(double ms) const {
  const auto us = static_cast<int64_t>(ms * 1000);
  const timeval limit{static_cast<time_t>(us / 1000000),
                      static_cast<suseconds_t>(us % 1000000)};
  setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

Listener::Listener(Serve serve) : m_serve(std::move(serve)) {
  m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  Bind(m_descriptor, 0);
  listen(m_descriptor, 512);
  getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  m_port = ntohs(address.sin_port);
  std::thread([this, descriptor = m_descriptor]() {
    while (true) {
      const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        return;
      }
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, accepted]() { m_serve(Socket(accepted)); }).detach();
    }
  }).detach();
}

void Listener::Close() {
  shutdown(m_descriptor, SHUT_RDWR);
}

std::string Listener::Address() const {
  return "127.0.0.1:" + std::to_string(m_port);
}

uint16_t FreePorts(int count) {
  static uint16_t next = static_cast<uint16_t>(21000 + (getpid() * 37) % 9000);
  while (true) {
    const uint16_t first = next;
    next = static_cast<uint16_t>(next + count);
    if (next > 32000) {
      next = 21000;
    }
    bool all_free = true;
    for (int index = 0; index < count; ++index) {
      const Socket probe(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
      all_free &=
          Bind(probe.Descriptor(), static_cast<uint16_t>(first + index));
    }
    if (all_free) {
      return first;
    }
  }
}

}  // namespace review
