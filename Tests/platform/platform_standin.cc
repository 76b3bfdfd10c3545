// The stand-ins' protocols.

#include "Tests/platform/platform_standin.h"

#include <sys/socket.h>

#include <utility>

#include "Source/base/steady_clock.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "boost/asio/read_until.hpp"
#include "boost/asio/write.hpp"
#include "boost/beast/core.hpp"
#include "boost/beast/http.hpp"
#include "nlohmann/json.hpp"

namespace heatherwick::platform {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;

std::string Parameter(const std::string& target, const std::string& name) {
  const std::vector<std::string> parts =
      absl::StrSplit(target, absl::ByAnyChar("?&"));
  for (const std::string& part : parts) {
    if (absl::StartsWith(part, name + "=")) {
      return part.substr(name.size() + 1);
    }
  }
  return "";
}

uint64_t Number(const std::string& text) {
  uint64_t number = 0;
  (void)absl::SimpleAtoi(text, &number);
  return number;
}

}  // namespace

LoopbackServer::LoopbackServer(Serve serve)
    : m_acceptor(m_context,
                 tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
      m_serve(std::move(serve)) {
  std::thread([this]() { Accept(); }).detach();
}

std::string LoopbackServer::Address() const {
  return absl::StrCat("127.0.0.1:", m_acceptor.local_endpoint().port());
}

void LoopbackServer::Accept() {
  while (true) {
    error_code error;
    tcp::socket socket(m_context);
    m_acceptor.accept(socket, error);
    if (error) {
      return;
    }
    socket.set_option(tcp::no_delay(true), error);
    const int descriptor = socket.native_handle();
    {
      absl::MutexLock lock(&m_mutex);
      m_open.insert(descriptor);
    }
    std::thread([this, descriptor,
                 held = std::make_shared<tcp::socket>(std::move(socket))]() {
      m_serve(std::move(*held));
      absl::MutexLock lock(&m_mutex);
      m_open.erase(descriptor);
    }).detach();
  }
}

void LoopbackServer::Close() {
  // A listening socket that is shut down refuses connections and wakes the
  // accepting thread.
  shutdown(m_acceptor.native_handle(), SHUT_RDWR);
  absl::MutexLock lock(&m_mutex);
  for (const int descriptor : m_open) {
    shutdown(descriptor, SHUT_RDWR);
  }
}

StandInStore::StandInStore()
    : m_server(std::make_unique<LoopbackServer>(
          [this](tcp::socket socket) { Serve(std::move(socket)); })) {}

void StandInStore::Put(const std::string& table,
                       const std::string& key,
                       const std::string& value) {
  absl::MutexLock lock(&m_mutex);
  m_tables[table][key] = {value, ++m_version, false};
}

void StandInStore::Drop(const std::string& table, const std::string& key) {
  absl::MutexLock lock(&m_mutex);
  m_tables[table][key] = {"", ++m_version, true};
}

void StandInStore::Serve(tcp::socket socket) {
  beast::flat_buffer buffer;
  while (true) {
    error_code error;
    http::request<http::string_body> request;
    http::read(socket, buffer, request, error);
    if (error) {
      return;
    }
    ++m_calls;
    http::response<http::string_body> response;
    response.version(11);
    std::string reply;
    response.result(Answer(std::string(request.method_string()),
                           std::string(request.target()), request.body(),
                           &reply));
    response.body() = reply;
    response.prepare_payload();
    http::write(socket, response, error);
    if (error) {
      return;
    }
  }
}

std::string StandInStore::Rows(const std::string& table,
                               uint64_t after,
                               bool deleted) {
  json rows = json::array();
  for (const auto& [key, row] : m_tables[table]) {
    if (row.version > after && (deleted || !row.deleted)) {
      json item = {{"table", table},
                   {"part", ""},
                   {"key", key},
                   {"value", absl::Base64Escape(row.value)},
                   {"ver", row.version}};
      if (row.deleted) {
        item["deleted"] = true;
      }
      rows.push_back(item);
    }
  }
  return json{{"rows", rows},
              {"hasMore", false},
              {"ver", m_version},
              {"nowMs", absl::ToUnixMillis(SteadyNow())}}
      .dump();
}

unsigned StandInStore::Answer(const std::string& method,
                              const std::string& target,
                              const std::string& body,
                              std::string* reply) {
  if (method == "POST" && target == "/promote") {
    const json order = json::parse(body);
    return on_promote(order["service"], order["id"]);
  }
  if (m_busy) {
    return 503;
  }
  const std::string table = Parameter(target, "table");
  if (absl::StartsWith(target, "/heatherwick/rows-get")) {
    absl::MutexLock lock(&m_mutex);
    *reply = Rows(table, 0, false);
    return 200;
  }
  if (absl::StartsWith(target, "/heatherwick/rows-feed")) {
    const uint64_t after = Number(Parameter(target, "after"));
    const absl::Time end =
        SteadyNow() + absl::Milliseconds(Number(Parameter(target, "waitMs")));
    while (SteadyNow() < end && !m_busy) {
      {
        absl::MutexLock lock(&m_mutex);
        for (const auto& [key, row] : m_tables[table]) {
          if (row.version > after) {
            *reply = Rows(table, after, true);
            return 200;
          }
        }
      }
      absl::SleepFor(absl::Milliseconds(3));
    }
    absl::MutexLock lock(&m_mutex);
    *reply = Rows(table, after, true);
    return m_busy ? 503 : 200;
  }
  const json transaction = json::parse(body);
  absl::MutexLock lock(&m_mutex);
  for (const json& row : transaction["expected"]) {
    const Row& held = m_tables[row["table"]][row["key"]];
    if ((held.deleted ? 0 : held.version) != row["ver"].get<uint64_t>()) {
      return 412;
    }
  }
  ++m_version;
  for (const json& row : transaction["setKeys"]) {
    std::string value;
    (void)absl::Base64Unescape(row["value"].get<std::string>(), &value);
    m_tables[row["table"]][row["key"]] = {value, m_version, false};
  }
  for (const json& row : transaction["deleteKeys"]) {
    m_tables[row["table"]][row["key"]] = {"", m_version, true};
  }
  *reply = json{{"ver", m_version}, {"nowMs", absl::ToUnixMillis(SteadyNow())}}
               .dump();
  return 200;
}

StandInGroup::StandInGroup(std::string service,
                           size_t databases,
                           StandInStore* store)
    : m_service(std::move(service)), m_store(store) {
  for (size_t index = 0; index < databases; ++index) {
    const std::string id = absl::StrCat(m_service, "-", index);
    m_servers[id] = std::make_unique<LoopbackServer>(
        [this, id](tcp::socket socket) { Serve(id, std::move(socket)); });
    if (index == 0) {
      m_primary = id;
    }
    Register(id);
  }
}

void StandInGroup::Register(const std::string& id) {
  m_store->Put("servers", id,
               json{{"service", m_service},
                    {"address", m_servers[id]->Address()},
                    {"zone", "z-a"},
                    {"state", "ready"},
                    {"dbRole", id == m_primary ? "primary" : "replica"}}
                   .dump());
}

void StandInGroup::Promote(const std::string& id) {
  absl::MutexLock lock(&m_mutex);
  m_primary = id;
  ++m_term;
  m_number = 1;
  Register(id);
}

void StandInGroup::Crash(const std::string& id) {
  m_servers[id]->Close();
  m_store->Drop("servers", id);
}

std::string StandInGroup::Primary() {
  absl::MutexLock lock(&m_mutex);
  return m_primary;
}

std::vector<std::string> StandInGroup::Committed() {
  absl::MutexLock lock(&m_mutex);
  return m_committed;
}

std::string StandInGroup::Ready(const Session& session) {
  return absl::StrCat("READY ",
                      session.failed ? "E" : (session.open ? "T" : "I"), " ",
                      m_term, ".", m_number, "\r\n");
}

void StandInGroup::Serve(const std::string& id, tcp::socket socket) {
  Session session;
  std::string buffer;
  bool started = false;
  while (true) {
    error_code error;
    const size_t length = boost::asio::read_until(
        socket, boost::asio::dynamic_buffer(buffer), "\r\n", error);
    if (error) {
      return;
    }
    const std::string line = buffer.substr(0, length - 2);
    buffer.erase(0, length);
    std::string reply;
    if (!started) {
      started = true;
      const std::vector<std::string> words = absl::StrSplit(line, ' ');
      if (words.size() != 4 || words[1] != m_service || words[3] != id) {
        reply = "ERROR MOVED wrong name\r\n";
      } else {
        absl::MutexLock lock(&m_mutex);
        reply = Ready(session);
      }
    } else {
      reply = Answer(id, line, &session);
    }
    boost::asio::write(socket, boost::asio::buffer(reply), error);
  }
}

std::string StandInGroup::Answer(const std::string& id,
                                 const std::string& line,
                                 Session* session) {
  absl::MutexLock lock(&m_mutex);
  std::vector<std::string> words = absl::StrSplit(line, ' ');
  words.erase(words.begin(), words.begin() + 2);  // QUERY and the id.
  if (words[0] == "AFTER") {
    words.erase(words.begin(), words.begin() + 2);
  }
  const bool primary = id == m_primary;
  if (words[0] == "EXECUTE") {
    const auto prepared = session->prepared.find(words[1]);
    if (prepared == session->prepared.end()) {
      return absl::StrCat("ERROR NOSTMT ", words[1], "\r\n", Ready(*session));
    }
    words.erase(words.begin());
    words[0] = prepared->second;
  }
  const bool writes =
      words[0] == "WRITE" || (words[0] == "BEGIN" && words.size() == 1);
  if (writes && !primary) {
    session->failed = session->open;
    return absl::StrCat("ERROR READONLY ", id, "\r\n", Ready(*session));
  }
  std::string rows;
  std::string signature = "-";
  if (words[0] == "BEGIN") {
    session->open = true;
  } else if (words[0] == "ROLLBACK") {
    *session = {false, false, false, {}, session->prepared};
  } else if (words[0] == "COMMIT") {
    for (const std::string& write : session->writes) {
      m_committed.push_back(write);
      ++m_number;
    }
    session->writes.clear();
    session->open = false;
    signature = "commit";
  } else if (words[0] == "READ") {
    rows = absl::StrCat("DATAROW ", m_items[words[1]], "\r\n");
    signature = absl::StrCat("read.", id);
  } else if (words[0] == "WRITE") {
    m_items[words[1]] = words[2];
    if (session->open) {
      session->writes.push_back(words[2]);
    } else {
      m_committed.push_back(words[2]);
      ++m_number;
    }
    signature = absl::StrCat("write.", id);
  } else if (words[0] == "PREPARE") {
    session->prepared[words[1]] = words[2];
  } else if (words[0] == "RESET") {
    session->prepared.clear();
  } else if (words[0] == "STATUS") {
    rows = absl::StrCat("DATAROW ", primary ? "primary " : "replica ", m_term,
                        " ", m_term, ".", m_number, " 0 1 0 1\r\n");
  }
  return absl::StrCat(rows, "COMPLETE ", signature, "\r\n", Ready(*session));
}

}  // namespace heatherwick::platform
