// A client's session: sends a statement, waits for its answer.

#ifndef REVIEW_STANDIN_CLIENT_H_
#define REVIEW_STANDIN_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "network.h"

namespace review {

struct Outcome {
  std::string id;
  std::string text;
  double sent_ms = 0;
  double answered_ms = 0;
  bool complete = false;  // COMPLETE with a signature, and READY.
  bool ended = false;     // The connection ended without READY.
  std::string signature;
  std::string error;  // The code.
  std::vector<std::string> rows;
  std::string state;
};

class Client {
 public:
  Client(std::string name, uint16_t port, const std::string& database);

  bool Open() const { return m_open; }
  // Sends the statement under a new id and waits for the answer.
  Outcome Query(const std::string& text);
  // As Query(), but only sends.
  std::string SendOnly(const std::string& text);
  Outcome ReadAnswer();
  bool SendBytes(const std::string& bytes) const {
    return m_socket.Send(bytes);
  }
  std::string NextId();
  void SetAnswerTimeout(double ms) const { m_socket.SetReadTimeout(ms); }

 private:
  const std::string m_name;
  Socket m_socket;
  uint64_t m_statements = 0;
  bool m_open = false;
};

}  // namespace review

#endif  // REVIEW_STANDIN_CLIENT_H_
