#include "client.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace review {
namespace {

constexpr int64_t kResetWaitMs = 50;

}  // namespace

bool Client::Start(uint16_t port, const std::string& database) {
  m_socket = Socket::Connect(port);
  if (!m_socket || !m_socket->Send("START " + database + " u3f1\r\n")) {
    m_socket.reset();
    return false;
  }
  const auto line = m_socket->ReadLine(2000);
  if (!line || line->rfind("READY", 0) != 0) {
    m_socket.reset();
    return false;
  }
  return true;
}

Answer Client::Query(const std::string& id,
                     const std::string& text,
                     int64_t timeout_ms) {
  if (!m_socket || !m_socket->Send("QUERY " + id + " " + text + "\r\n")) {
    m_socket.reset();
    return {};
  }
  bool ended = false;
  return AwaitAnswer(timeout_ms, &ended);
}

bool Client::SendWhole(const std::string& id,
                       const std::string& text,
                       int64_t timeout_ms) {
  const int64_t end = NowMs() + timeout_ms;
  if (!m_socket || !m_socket->Send("QUERY " + id + " " + text + "\r\n")) {
    m_socket.reset();
    return false;
  }
  while (NowMs() < end) {
    int unsent = 0;
    ioctl(m_socket->Descriptor(), SIOCOUTQ, &unsent);
    pollfd ready{m_socket->Descriptor(), POLLIN, 0};
    if (unsent == 0 || poll(&ready, 1, 0) > 0) {
      return true;
    }
    SleepMs(1);
  }
  return false;
}

Answer Client::AwaitAnswer(int64_t timeout_ms, bool* ended) {
  Answer answer;
  while (const auto line = m_socket->ReadLine(timeout_ms)) {
    if (line->rfind("DATAROW ", 0) == 0) {
      answer.rows.push_back(line->substr(8));
    } else if (line->rfind("COMPLETE ", 0) == 0) {
      answer.complete = true;
      answer.text = line->substr(9);
    } else if (line->rfind("ERROR ", 0) == 0) {
      const std::string rest = line->substr(6);
      answer.code = rest.substr(0, rest.find(' '));
      answer.text = rest;
    } else if (line->rfind("READY ", 0) == 0) {
      answer.state = line->substr(6, 1);
      return answer;
    }
  }
  // A reset may follow the end within a moment.
  char byte = 0;
  const ssize_t received = recv(m_socket->Descriptor(), &byte, 1, MSG_DONTWAIT);
  SleepMs(kResetWaitMs);
  int unsent = 0;
  ioctl(m_socket->Descriptor(), SIOCOUTQ, &unsent);
  int error = 0;
  socklen_t length = sizeof(error);
  getsockopt(m_socket->Descriptor(), SOL_SOCKET, SO_ERROR, &error, &length);
  *ended = received == 0 && unsent == 0 && error == 0;
  m_socket.reset();
  answer.complete = false;
  answer.code.clear();
  return answer;
}

}  // namespace review
