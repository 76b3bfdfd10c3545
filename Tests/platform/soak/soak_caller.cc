// Sends a caller's statements and derives the outcomes from the answers.

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

// A caller gives up on a statement after this time.
constexpr int kReplyTimeoutS = 4;
// Error codes that guarantee that the statement's writes are not committed.
constexpr const char* kNotRunCodes[] = {"BUSY",     "ABORTED", "LAGGING",
                                        "READONLY", "MOVED",   "TOOMANY"};

struct Answer {
  bool complete = false;
  bool not_run = false;  // An error code guarantees that nothing is committed.
  bool closed = false;
  std::string row;
};

// Of the route of a caller of this kind.
absl::Duration MaxStaleness(CallerKind kind) {
  switch (kind) {
    case CallerKind::kStock:
      return kStockMaxStaleness;
    case CallerKind::kViews:
      return kViewsMaxStaleness;
    default:
      return absl::ZeroDuration();
  }
}

WriteOutcome OutcomeOf(const Answer& answer) {
  if (answer.complete) {
    return WriteOutcome::kDone;
  }
  return answer.not_run ? WriteOutcome::kNotRun : WriteOutcome::kUnknown;
}

}  // namespace

class SoakCaller::Connection {
 public:
  Connection() : m_socket(m_context) {}

  // With a key, what is sent is added to `workspaces`.
  bool Open(uint16_t port,
            const std::string& database,
            const std::string& key,
            CallHistory* history,
            absl::Duration max_staleness,
            WorkspaceHistory* workspaces) {
    m_key = key;
    m_history = history;
    m_max_staleness = max_staleness;
    m_workspaces = workspaces;
    error_code error;
    m_socket.connect(
        tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port), error);
    if (error) {
      return false;
    }
    const timeval limit{kReplyTimeoutS, 0};
    setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
               sizeof(limit));
    const Answer answer = Send(absl::StrCat(
        "START ", database, " ", key.empty() ? "soak" : key, "\r\n"));
    return !answer.closed;
  }

  Answer Query(const std::string& text) {
    const std::string id = absl::StrCat(m_session_number, "-", ++m_queries);
    if (text == "BEGIN" || !m_in_transaction) {
      static std::atomic<uint64_t> next = 0;
      m_operation = ++next;
      m_first_byte = SteadyNow();
    }
    m_history->AddSent({id, m_first_byte, m_max_staleness});
    m_in_transaction =
        text == "BEGIN" || (m_in_transaction && text != "COMMIT");
    if (m_workspaces != nullptr) {
      m_workspaces->AddSent({id, m_key, m_operation, SteadyNow()});
    }
    return Send(absl::StrCat("QUERY ", id, " ", text, "\r\n"));
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
      const std::vector<std::string> fields =
          absl::StrSplit(line, absl::MaxSplits(' ', 2));
      if (fields[0] == "DATAROW") {
        answer.row = fields.size() > 1 ? fields[1] : "";
      } else if (fields[0] == "COMPLETE") {
        answer.complete = true;
      } else if (fields[0] == "ERROR" && fields.size() > 1) {
        answer.not_run =
            std::find(std::begin(kNotRunCodes), std::end(kNotRunCodes),
                      fields[1]) != std::end(kNotRunCodes);
      } else if (fields[0] == "READY") {
        return answer;
      }
    }
    // The connection ended. An error line that arrived whole before still
    // counts, but a COMPLETE without the closing READY does not.
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

  static uint64_t NextSessionNumber() {
    static std::atomic<uint64_t> next = 0;
    return ++next;
  }

  boost::asio::io_context m_context;
  tcp::socket m_socket;
  const uint64_t m_session_number = NextSessionNumber();
  uint64_t m_queries = 0;
  std::string m_key;
  CallHistory* m_history = nullptr;
  absl::Duration m_max_staleness;
  WorkspaceHistory* m_workspaces = nullptr;
  uint64_t m_operation = 0;
  absl::Time m_first_byte;  // Of the present operation.
  bool m_in_transaction = false;
  std::string m_buffer;
  bool m_closed = false;
};

std::string DatabaseName(CallerKind kind, const std::string& group) {
  static constexpr const char* kNames[] = {"orders", "stock", "views"};
  return absl::StrCat(kNames[static_cast<size_t>(kind)], "-", group);
}

SoakCaller::SoakCaller(CallerKind kind,
                       std::string group,
                       std::string item,
                       std::vector<std::string> read_items,
                       std::vector<uint16_t> ports,
                       uint32_t seed,
                       CallHistory* history,
                       std::string key,
                       WorkspaceHistory* workspaces)
    : m_kind(kind),
      m_group(std::move(group)),
      m_item(std::move(item)),
      m_read_items(std::move(read_items)),
      m_ports(std::move(ports)),
      m_history(history),
      m_key(std::move(key)),
      m_workspaces(workspaces),
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
    if (m_kind == CallerKind::kViews || RandomBelow(2) == 0) {
      Read();
    } else if (RandomBelow(3) == 0) {
      WriteInTransaction();
    } else {
      Write();
    }
    absl::SleepFor(absl::Milliseconds(RandomBelow(20)));
  }
}

bool SoakCaller::Connect() {
  m_connection = std::make_unique<Connection>();
  if (!m_connection->Open(m_ports[RandomBelow(m_ports.size())],
                          DatabaseName(m_kind, m_group), m_key, m_history,
                          MaxStaleness(m_kind), m_workspaces)) {
    m_connection.reset();
    return false;
  }
  m_session_start = SteadyNow();
  return true;
}

void SoakCaller::Record(uint64_t number, WriteOutcome outcome) {
  m_history->AddWrite({m_item, number, outcome, SteadyNow()});
  m_acknowledged_writes += outcome == WriteOutcome::kDone ? 1 : 0;
}

void SoakCaller::Write() {
  const uint64_t number = ++m_last_number;
  const Answer answer = m_connection->Query(
      absl::StrCat("WRITE ", m_item, " ", CallHistory::FormatValue(number)));
  Record(number, OutcomeOf(answer));
}

void SoakCaller::WriteInTransaction() {
  const uint64_t number = ++m_last_number;
  Answer answer = m_connection->Query("BEGIN");
  if (answer.complete) {
    answer = m_connection->Query(
        absl::StrCat("WRITE ", m_item, " ", CallHistory::FormatValue(number)));
  }
  if (!answer.complete) {
    // Without a COMMIT no write may be committed, whatever the answer was.
    Record(number, WriteOutcome::kNotRun);
    m_connection.reset();
    return;
  }
  absl::SleepFor(absl::Milliseconds(RandomBelow(60)));
  Record(number, OutcomeOf(m_connection->Query("COMMIT")));
}

void SoakCaller::Read() {
  ReadRecord read;
  read.item = m_kind == CallerKind::kViews
                  ? m_read_items[RandomBelow(m_read_items.size())]
                  : m_item;
  read.start_time = SteadyNow();
  read.max_staleness = MaxStaleness(m_kind);
  if (m_kind == CallerKind::kStock) {
    read.session_start = m_session_start;
  }
  const Answer answer = m_connection->Query(absl::StrCat("READ ", read.item));
  if (answer.complete) {
    read.number = CallHistory::ParseValue(answer.row);
    m_history->AddRead(std::move(read));
  }
}

}  // namespace heatherwick::platform
