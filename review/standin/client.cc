#include "client.h"

#include <utility>

namespace review {

Client::Client(std::string name, uint16_t port, const std::string& database)
    : m_name(std::move(name)), m_socket(Socket::Connect(port)) {
  if (!m_socket.Valid()) {
    return;
  }
  m_socket.SetReadTimeout(10000);
  m_open = m_socket.Send("START " + database + " " + m_name + "\r\n");
  if (m_open) {
    const Outcome started = ReadAnswer();
    m_open = !started.ended && started.error.empty();
  }
}

std::string Client::NextId() {
  return m_name + "." + std::to_string(++m_statements);
}

std::string Client::SendOnly(const std::string& text) {
  std::string id = NextId();
  m_open &= m_socket.Send("QUERY " + id + " " + text + "\r\n");
  return id;
}

Outcome Client::Query(const std::string& text) {
  const double sent = NowMs();
  const std::string id = SendOnly(text);
  Outcome outcome = ReadAnswer();
  outcome.id = id;
  outcome.text = text;
  outcome.sent_ms = sent;
  return outcome;
}

Outcome Client::ReadAnswer() {
  Outcome outcome;
  std::string line;
  while (m_socket.ReadLine(&line)) {
    const size_t blank = line.find(' ');
    const std::string word = line.substr(0, blank);
    const std::string rest =
        blank == std::string::npos ? "" : line.substr(blank + 1);
    if (word == "DATAROW") {
      outcome.rows.push_back(rest);
    } else if (word == "COMPLETE") {
      outcome.signature = rest;
    } else if (word == "ERROR") {
      outcome.error = rest.substr(0, rest.find(' '));
    } else if (word == "READY") {
      outcome.answered_ms = NowMs();
      outcome.state = rest.substr(0, 1);
      outcome.complete = outcome.error.empty();
      return outcome;
    }
  }
  outcome.answered_ms = NowMs();
  outcome.ended = true;
  m_open = false;
  return outcome;
}

}  // namespace review
