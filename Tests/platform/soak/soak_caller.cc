// Statements of a caller and what their answers promise.

#include "Tests/platform/soak/soak_caller.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <utility>

#include "Source/base/steady_clock.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

namespace heatherwick::platform {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// A caller gives a statement up after this.
constexpr int kAnswerLimitS = 4;
// Codes that promise that nothing is kept.
constexpr const char* kPromises[] = {"BUSY",     "ABORTED", "LAGGING",
                                     "READONLY", "MOVED",   "TOOMANY"};

struct Answer {
  bool complete = false;
  bool promise = false;  // Nothing is kept.
  bool closed = false;
  std::string row;
};

WriteOutcome OutcomeOf(const Answer& answer) {
  if (answer.complete) {
    return WriteOutcome::kDone;
  }
  return answer.promise ? WriteOutcome::kNotRun : WriteOutcome::kUnknown;
}

}  // namespace

class SoakCaller::Connection {
 public:
  Connection() : m_socket(m_context) {}

  bool Open(uint16_t port, const std::string& database) {
    error_code error;
    m_socket.connect(
        tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port), error);
    if (error) {
      return false;
    }
    const timeval limit{kAnswerLimitS, 0};
    setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
               sizeof(limit));
    const Answer answer = Send(absl::StrCat("START ", database, " soak\r\n"));
    return !answer.closed;
  }

  Answer Query(const std::string& text) {
    return Send(
        absl::StrCat("QUERY ", m_session, "-", ++m_queries, " ", text, "\r\n"));
  }

  bool Closed() const { return m_closed; }

 private:
  Answer Send(const std::string& bytes) {
    Answer answer;
    if (send(m_socket.native_handle(), bytes.data(), bytes.size(),
             MSG_NOSIGNAL) != static_cast<ssize_t>(bytes.size())) {
      m_closed = answer.closed = true;
      return answer;
    }
    std::string line;
    while (ReadLine(&line)) {
      const std::vector<std::string> words =
          absl::StrSplit(line, absl::MaxSplits(' ', 2));
      if (words[0] == "DATAROW") {
        answer.row = words.size() > 1 ? words[1] : "";
      } else if (words[0] == "COMPLETE") {
        answer.complete = true;
      } else if (words[0] == "ERROR" && words.size() > 1) {
        answer.promise = std::find(std::begin(kPromises), std::end(kPromises),
                                   words[1]) != std::end(kPromises);
      } else if (words[0] == "READY") {
        return answer;
      }
    }
    // A refusal that arrived whole before the end is still a promise.
    answer.complete = false;
    m_closed = answer.closed = true;
    return answer;
  }

  bool ReadLine(std::string* line) {
    size_t end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
      char bytes[4096];
      const ssize_t size =
          recv(m_socket.native_handle(), bytes, sizeof(bytes), 0);
      if (size <= 0) {
        return false;
      }
      m_buffer.append(bytes, static_cast<size_t>(size));
      end = m_buffer.find("\r\n");
    }
    *line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
  }

  static uint64_t NextSession() {
    static std::atomic<uint64_t> next = 0;
    return ++next;
  }

  boost::asio::io_context m_context;
  tcp::socket m_socket;
  const uint64_t m_session = NextSession();
  uint64_t m_queries = 0;
  std::string m_buffer;
  bool m_closed = false;
};

SoakCaller::SoakCaller(CallerKind kind,
                       std::string item,
                       std::vector<std::string> watched,
                       std::vector<uint16_t> ports,
                       uint32_t seed,
                       CallHistory* history)
    : m_kind(kind),
      m_item(std::move(item)),
      m_watched(std::move(watched)),
      m_ports(std::move(ports)),
      m_history(history),
      m_random(seed),
      m_thread([this]() { Run(); }) {}

SoakCaller::~SoakCaller() {
  m_stop = true;
  m_thread.join();
}

void SoakCaller::Run() {
  while (!m_stop) {
    if ((!m_connection || m_connection->Closed()) && !Connect()) {
      absl::SleepFor(absl::Milliseconds(30));
      continue;
    }
    if (m_kind == CallerKind::kViews || Below(2) == 0) {
      Read();
    } else if (Below(3) == 0) {
      WriteInTransaction();
    } else {
      Write();
    }
    absl::SleepFor(absl::Milliseconds(Below(20)));
  }
}

bool SoakCaller::Connect() {
  static constexpr const char* kDatabases[] = {"orders", "stock", "views"};
  m_connection = std::make_unique<Connection>();
  if (!m_connection->Open(m_ports[Below(m_ports.size())],
                          kDatabases[static_cast<size_t>(m_kind)])) {
    m_connection.reset();
    return false;
  }
  m_session_began = SteadyNow();
  return true;
}

void SoakCaller::Record(uint64_t number, WriteOutcome outcome) {
  m_history->AddWrite({m_item, number, outcome, SteadyNow()});
  m_done += outcome == WriteOutcome::kDone ? 1 : 0;
}

void SoakCaller::Write() {
  const uint64_t number = ++m_number;
  const Answer answer = m_connection->Query(
      absl::StrCat("WRITE ", m_item, " ", CallHistory::ValueOfNumber(number)));
  Record(number, OutcomeOf(answer));
}

void SoakCaller::WriteInTransaction() {
  const uint64_t number = ++m_number;
  Answer answer = m_connection->Query("BEGIN");
  if (answer.complete) {
    answer = m_connection->Query(absl::StrCat(
        "WRITE ", m_item, " ", CallHistory::ValueOfNumber(number)));
  }
  if (!answer.complete) {
    // Without COMMIT nothing may be kept, whatever the answer was.
    Record(number, WriteOutcome::kNotRun);
    m_connection.reset();
    return;
  }
  absl::SleepFor(absl::Milliseconds(Below(60)));
  Record(number, OutcomeOf(m_connection->Query("COMMIT")));
}

void SoakCaller::Read() {
  ReadRecord read;
  read.item = m_kind == CallerKind::kViews ? m_watched[Below(m_watched.size())]
                                           : m_item;
  read.started = SteadyNow();
  if (m_kind == CallerKind::kViews) {
    read.allowed_age = kViewsAge;
  } else if (m_kind == CallerKind::kStock) {
    read.allowed_age = kStockAge;
    read.session_began = m_session_began;
  }
  const Answer answer = m_connection->Query(absl::StrCat("READ ", read.item));
  if (answer.complete) {
    read.number = CallHistory::NumberOfValue(answer.row);
    m_history->AddRead(std::move(read));
  }
}

}  // namespace heatherwick::platform
