// A caller after PROTOCOL.md: one session on one connection.

#ifndef REVIEW_STANDIN_2_CLIENT_H_
#define REVIEW_STANDIN_2_CLIENT_H_

#include <memory>
#include <string>
#include <vector>

#include "support.h"

namespace review {

struct Answer {
  bool complete = false;
  std::string code;  // Of an error; empty if the connection broke.
  std::string text;  // Signature, or the error's text.
  std::string state;
  std::vector<std::string> rows;
};

class Client {
 public:
  // False if the session was not accepted within 2 s.
  bool Start(uint16_t port, const std::string& database);
  Answer Query(const std::string& id,
               const std::string& text,
               int64_t timeout_ms = 3000);
  // Sends a statement and returns when the other end has acknowledged its last
  // byte, or an answer has arrived; false if neither came in time.
  bool SendWhole(const std::string& id,
                 const std::string& text,
                 int64_t timeout_ms);
  // The answer to it. Sets `ended` if the connection ended without a reset and
  // before a complete answer: then the other end had read all bytes.
  Answer AwaitAnswer(int64_t timeout_ms, bool* ended);
  bool Connected() const { return m_socket != nullptr; }
  void Close() { m_socket.reset(); }

 private:
  std::unique_ptr<Socket> m_socket;
};

}  // namespace review

#endif  // REVIEW_STANDIN_2_CLIENT_H_
