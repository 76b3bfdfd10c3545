// Implements the protocols of the fake store and databases.

#include "Tests/platform/platform_fakes.h"

#include <sys/socket.h>

#include <algorithm>
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

// With a copy each 250 ms, the oldest is 8 s old.
constexpr size_t kCopiesKept = 32;
// After this time a commit that too few replicas have received is answered as
// one whose outcome is unknown.
constexpr absl::Duration kSyncCommitTimeout = absl::Seconds(1);
constexpr absl::Duration kSyncCommitPoll = absl::Milliseconds(2);
// So many commits go to the same replicas before others receive theirs, so that
// the logs of replicas differ.
constexpr size_t kCommitsToSameReplicas = 8;

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
      m_endpoint(m_acceptor.local_endpoint()),
      m_serve(std::move(serve)),
      m_accepting([this]() { Accept(); }) {}

std::string LoopbackServer::Address() const {
  return absl::StrCat("127.0.0.1:", m_endpoint.port());
}

void LoopbackServer::Reopen() {
  m_accepting.join();
  error_code ignored;
  m_acceptor.close(ignored);
  m_acceptor.open(tcp::v4());
  m_acceptor.set_option(tcp::acceptor::reuse_address(true));
  m_acceptor.bind(m_endpoint);
  m_acceptor.listen();
  m_accepting = std::thread([this]() { Accept(); });
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
                 open_socket =
                     std::make_shared<tcp::socket>(std::move(socket))]() {
      m_serve(std::move(*open_socket));
      absl::MutexLock lock(&m_mutex);
      m_open.erase(descriptor);
    }).detach();
  }
}

void LoopbackServer::Close() {
  // Shutting down the listening socket makes it refuse connections and wakes
  // the accepting thread.
  shutdown(m_acceptor.native_handle(), SHUT_RDWR);
  absl::MutexLock lock(&m_mutex);
  for (const int descriptor : m_open) {
    shutdown(descriptor, SHUT_RDWR);
  }
}

FakeStore::FakeStore()
    : m_server(std::make_unique<LoopbackServer>(
          [this](tcp::socket socket) { Serve(std::move(socket)); })) {}

void FakeStore::Put(const std::string& table,
                    const std::string& key,
                    const std::string& value) {
  absl::MutexLock lock(&m_mutex);
  m_owned_rows[{table, key}] = value;
  m_tables[table][key] = {value, ++m_version, false};
}

void FakeStore::Drop(const std::string& table, const std::string& key) {
  absl::MutexLock lock(&m_mutex);
  m_owned_rows[{table, key}] = std::nullopt;
  m_tables[table][key] = {"", ++m_version, true};
}

void FakeStore::TakeCopy() {
  absl::MutexLock lock(&m_mutex);
  m_copies.push_back({SteadyNow(), m_tables, m_version});
  while (m_copies.size() > kCopiesKept) {
    m_copies.pop_front();
  }
}

void FakeStore::ReturnToCopy(absl::Duration age, absl::Duration rewrite_time) {
  std::vector<std::pair<std::string, std::string>> missing;
  {
    absl::MutexLock lock(&m_mutex);
    const absl::Time before = SteadyNow() - age;
    while (m_copies.size() > 1 && m_copies.back().taken > before) {
      m_copies.pop_back();
    }
    if (m_copies.empty()) {
      return;
    }
    m_tables = m_copies.back().tables;
    m_version = m_copies.back().version;
    ++m_era;
    for (const auto& [name, value] : m_owned_rows) {
      const auto table = m_tables.find(name.first);
      const Row* row = nullptr;
      if (table != m_tables.end() && table->second.contains(name.second)) {
        row = &table->second.at(name.second);
      }
      const bool present = row != nullptr && !row->deleted;
      if (present != value.has_value() || (present && row->value != *value)) {
        missing.push_back(name);
      }
    }
  }
  std::thread([this, missing, rewrite_time]() {
    WriteAgain(missing, rewrite_time);
  }).detach();
}

void FakeStore::WriteAgain(
    const std::vector<std::pair<std::string, std::string>>& missing,
    absl::Duration time) {
  for (const auto& name : missing) {
    absl::SleepFor(time / static_cast<double>(missing.size()));
    absl::MutexLock lock(&m_mutex);
    const std::optional<std::string>& value = m_owned_rows[name];
    m_tables[name.first][name.second] = {value.value_or(""), ++m_version,
                                         !value.has_value()};
  }
}

void FakeStore::Serve(tcp::socket socket) {
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
    if (request.method() == http::verb::post &&
        request.target() == "/promote") {
      const json order = json::parse(request.body());
      const unsigned status = on_promote(
          {order["service"], order["id"],
           std::string(request["X-Heatherwick-Duty-Holder"]),
           Number(std::string(request["X-Heatherwick-Fencing-Token"]))});
      if (status == 0) {
        return;
      }
      response.result(status);
    } else {
      response.result(
          HandleRequest(std::string(request.target()), request.body(), &reply));
    }
    if (request.target() != "/promote") {
      response.set("Store-Era", absl::StrCat(m_era.load()));
    }
    response.body() = reply;
    response.prepare_payload();
    const uint64_t lose_interval = m_lose_interval;
    if (lose_interval > 0 && request.target() == "/heatherwick/rows-tx" &&
        m_calls % lose_interval == 0) {
      return;
    }
    http::write(socket, response, error);
    if (error) {
      return;
    }
  }
}

std::string FakeStore::FormatRows(const std::string& table,
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

unsigned FakeStore::HandleRequest(const std::string& target,
                                  const std::string& body,
                                  std::string* reply) {
  if (m_busy) {
    return 503;
  }
  const std::string table = Parameter(target, "table");
  if (absl::StartsWith(target, "/heatherwick/rows-get")) {
    absl::MutexLock lock(&m_mutex);
    *reply = FormatRows(table, 0, false);
    return 200;
  }
  if (absl::StartsWith(target, "/heatherwick/rows-feed")) {
    const uint64_t after = Number(Parameter(target, "after"));
    const absl::Time end =
        SteadyNow() + absl::Milliseconds(Number(Parameter(target, "waitMs")));
    while (SteadyNow() < end && !m_busy) {
      {
        absl::MutexLock lock(&m_mutex);
        if (after > m_version) {
          return 410;  // The store has returned from an older copy.
        }
        for (const auto& [key, row] : m_tables[table]) {
          if (row.version > after) {
            *reply = FormatRows(table, after, true);
            return 200;
          }
        }
      }
      absl::SleepFor(absl::Milliseconds(3));
    }
    absl::MutexLock lock(&m_mutex);
    *reply = FormatRows(table, after, true);
    return m_busy ? 503 : 200;
  }
  const json transaction = json::parse(body);
  absl::MutexLock lock(&m_mutex);
  for (const json& row : transaction["expected"]) {
    const Row& current = m_tables[row["table"]][row["key"]];
    if ((current.deleted ? 0 : current.version) != row["ver"].get<uint64_t>()) {
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

FakeDatabaseGroup::FakeDatabaseGroup(std::string service,
                                     size_t databases,
                                     FakeStore* store,
                                     FakeGroupOptions options,
                                     Route route)
    : m_service(std::move(service)),
      m_store(store),
      m_options(options),
      m_route(std::move(route)),
      m_term(options.first_term) {
  absl::MutexLock lock(&m_mutex);
  for (size_t index = 0; index < databases; ++index) {
    const std::string id = absl::StrCat(m_service, "-", index);
    Database& database = m_databases[id];
    database.term = m_term;
    database.log_offset = m_term;
    if (m_options.sync_replicas > 0) {
      database.started_unix_ms = absl::ToUnixMillis(absl::Now());
    }
    database.server = std::make_unique<LoopbackServer>(
        [this, id](tcp::socket socket) { Serve(id, std::move(socket)); });
    if (index == 0) {
      m_primary = id;
      database.is_primary = true;
    }
    Register(id);
  }
}

void FakeDatabaseGroup::Register(const std::string& id) {
  const Database& database = m_databases[id];
  const std::string address = database.server->Address();
  json entry = {{"service", m_service},
                {"address", m_route ? m_route(address) : address},
                {"zone", "z-a"},
                {"state", database.draining ? "draining" : "ready"},
                {"dbRole", database.is_primary ? "primary" : "replica"}};
  if (database.started_unix_ms > 0) {
    entry["born"] = database.started_unix_ms;
  }
  m_store->Put("servers", id, entry.dump());
}

void FakeDatabaseGroup::RunLater(absl::Duration delay,
                                 std::function<void()> task) {
  if (delay <= absl::ZeroDuration()) {
    task();
    return;
  }
  std::thread([delay, task = std::move(task)]() {
    absl::SleepFor(delay);
    task();
  }).detach();
}

unsigned FakeDatabaseGroup::Promote(const std::string& id,
                                    std::optional<absl::Duration> delay) {
  {
    absl::MutexLock lock(&m_mutex);
    if (!m_databases[id].alive) {
      return 409;
    }
    ++m_databases[id].pending_orders;
  }
  RunLater(delay.value_or(m_options.promotion_delay), [this, id]() {
    absl::MutexLock lock(&m_mutex);
    Database& promoted = m_databases[id];
    --promoted.pending_orders;
    if (id == m_primary || !promoted.alive) {
      return;
    }
    Replicate(&promoted, m_options.lag);
    const std::string old = m_primary;
    for (const size_t index : m_databases[old].log) {
      FakeCommit& commit = m_commits[index];
      commit.lost |= std::find(promoted.log.begin(), promoted.log.end(),
                               index) == promoted.log.end();
    }
    m_primary = id;
    promoted.is_primary = true;
    promoted.term = ++m_term;
    ++promoted.log_offset;
    m_term_log_size = promoted.log.size();
    Register(id);
    // Another thread, because this one holds m_mutex.
    std::thread([this, old]() { DemoteLater(old); }).detach();
  });
  return 200;
}

void FakeDatabaseGroup::DemoteLater(const std::string& id) {
  while (true) {
    absl::SleepFor(m_options.demotion_delay);
    absl::MutexLock lock(&m_mutex);
    // A replaced primary continues until it can reach the new one.
    if (m_databases[m_primary].alive ||
        m_options.demotion_delay <= absl::ZeroDuration()) {
      Demote(id);
      return;
    }
  }
}

void FakeDatabaseGroup::Demote(const std::string& id) {
  Database& database = m_databases[id];
  if (id != m_primary && database.alive && database.is_primary) {
    database.is_primary = false;
    Register(id);
  }
}

void FakeDatabaseGroup::SetDraining(const std::string& id, bool draining) {
  absl::MutexLock lock(&m_mutex);
  m_databases[id].draining = draining;
  if (m_databases[id].alive) {
    Register(id);
  }
}

void FakeDatabaseGroup::Stop(const std::string& id) {
  if (m_options.sync_replicas > 0) {
    // What replicas receive from now on depends on this database.
    for (auto& [other, database] : m_databases) {
      Replicate(&database, m_options.lag);
    }
  }
  m_databases[id].alive = false;
  m_databases[id].server->Close();
}

void FakeDatabaseGroup::Start(const std::string& id) {
  Database& database = m_databases[id];
  database.alive = true;
  database.is_primary = id == m_primary;
  database.server->Reopen();
  Register(id);
}

void FakeDatabaseGroup::Crash(const std::string& id) {
  {
    absl::MutexLock lock(&m_mutex);
    Stop(id);
  }
  m_store->Drop("servers", id);
}

void FakeDatabaseGroup::Restart(const std::string& id) {
  absl::MutexLock lock(&m_mutex);
  if (!m_databases[id].alive && !m_databases[id].log_lost) {
    Start(id);
  }
}

bool FakeDatabaseGroup::LoseLog(const std::string& id) {
  {
    absl::MutexLock lock(&m_mutex);
    Database& database = m_databases[id];
    if (id == m_primary || database.is_primary || database.pending_orders > 0) {
      return false;
    }
    Stop(id);
    database.log_lost = true;
    database.term = 1;
    database.log.clear();
    database.log_offset = 0;
    database.items.clear();
  }
  m_store->Drop("servers", id);
  return true;
}

void FakeDatabaseGroup::RestartEmpty(const std::string& id) {
  absl::MutexLock lock(&m_mutex);
  Database& database = m_databases[id];
  if (database.log_lost) {
    database.log_lost = false;
    database.started_unix_ms = absl::ToUnixMillis(absl::Now());
    Start(id);
  }
}

std::string FakeDatabaseGroup::Primary() {
  absl::MutexLock lock(&m_mutex);
  return m_primary;
}

std::vector<std::string> FakeDatabaseGroup::Names() const {
  std::vector<std::string> names;
  for (const auto& [id, database] : m_databases) {
    names.push_back(id);
  }
  return names;
}

std::vector<std::string> FakeDatabaseGroup::Committed() {
  std::vector<std::string> values;
  for (const FakeCommit& commit : Commits()) {
    values.push_back(commit.value);
  }
  return values;
}

std::vector<FakeCommit> FakeDatabaseGroup::Commits() {
  absl::MutexLock lock(&m_mutex);
  return m_commits;
}

std::vector<FakeRun> FakeDatabaseGroup::Runs() {
  absl::MutexLock lock(&m_mutex);
  return m_runs;
}

void FakeDatabaseGroup::RecordRun(const Database& database,
                                  const std::string& id,
                                  const std::string& statement,
                                  bool writes) {
  FakeRun run{statement, id, writes, database.term, {}};
  const std::vector<size_t>& newest = m_databases[m_primary].log;
  // Logs that agree at a place agree before it.
  size_t common = std::min(database.log.size(), newest.size());
  while (common > 0 && database.log[common - 1] != newest[common - 1]) {
    --common;
  }
  run.absent.assign(newest.begin() + static_cast<ptrdiff_t>(common),
                    newest.end());
  m_runs.push_back(std::move(run));
}

std::vector<FakeStatement> FakeDatabaseGroup::Statements() {
  absl::MutexLock lock(&m_mutex);
  return m_statements;
}

void FakeDatabaseGroup::Append(Database* database, size_t commit) {
  database->log.push_back(commit);
  database->items[m_commits[commit].item] = m_commits[commit].value;
}

void FakeDatabaseGroup::Commit(Database* database,
                               const std::string& statement,
                               const std::string& item,
                               const std::string& value) {
  FakeCommit commit;
  commit.id = statement;
  commit.item = item;
  commit.value = value;
  commit.term = database->term;
  commit.number = database->log_offset + database->log.size() + 1;
  commit.committed = SteadyNow();
  commit.deposed = database != &m_databases[m_primary];
  commit.lost = commit.deposed;
  m_commits.push_back(commit);
  Append(database, m_commits.size() - 1);
}

bool FakeDatabaseGroup::AwaitReplicas(const std::string& id) {
  const size_t commit = m_databases[id].log.back();
  const absl::Time end = SteadyNow() + kSyncCommitTimeout;
  while (true) {
    const Database& primary = m_databases[id];
    if (id != m_primary || !primary.alive ||
        std::find(primary.log.rbegin(), primary.log.rend(), commit) ==
            primary.log.rend()) {
      return false;
    }
    std::vector<Database*> followers;
    for (auto& [other, database] : m_databases) {
      if (database.alive && !database.is_primary) {
        followers.push_back(&database);
      }
    }
    if (followers.size() >= m_options.sync_replicas) {
      const size_t first = commit / kCommitsToSameReplicas;
      for (size_t index = 0; index < m_options.sync_replicas; ++index) {
        Replicate(followers[(first + index) % followers.size()],
                  absl::ZeroDuration());
      }
      return true;
    }
    if (SteadyNow() >= end) {
      return false;
    }
    m_mutex.Unlock();
    absl::SleepFor(kSyncCommitPoll);
    m_mutex.Lock();
  }
}

std::string FakeDatabaseGroup::FormatCommitted(const std::string& id,
                                               const std::string& tag) {
  return m_options.sync_replicas == 0 || AwaitReplicas(id)
             ? absl::StrCat("COMPLETE ", tag)
             : absl::StrCat("ERROR TIMEOUT ", id);
}

void FakeDatabaseGroup::Replicate(Database* database, absl::Duration lag) {
  Database& primary = m_databases[m_primary];
  const bool connected =
      m_options.sync_replicas == 0 || (primary.alive && database->alive);
  if (database->is_primary || database == &primary || !connected) {
    return;
  }
  const absl::Time until = SteadyNow() - lag;
  const bool log_is_prefix =
      database->log.size() <= primary.log.size() &&
      std::equal(database->log.begin(), database->log.end(),
                 primary.log.begin());
  if (!log_is_prefix) {  // Rolls back what the primary lacks.
    database->log.clear();
    database->items.clear();
  }
  while (database->log.size() < primary.log.size() &&
         m_commits[primary.log[database->log.size()]].committed <= until) {
    Append(database, primary.log[database->log.size()]);
  }
  // A position in the term implies all commits of earlier ones.
  if (database->log.size() >= m_term_log_size) {
    database->term = primary.term;
    database->log_offset = primary.log_offset;
  }
}

std::pair<uint64_t, uint64_t> FakeDatabaseGroup::LogEnd(
    const Database& database) const {
  return {database.term, database.log_offset + database.log.size()};
}

std::string FakeDatabaseGroup::FormatReady(const Database& database,
                                           const Session& session) const {
  const auto [term, number] = LogEnd(database);
  return absl::StrCat("READY ",
                      session.failed ? "E" : (session.open ? "T" : "I"), " ",
                      term, ".", number, "\r\n");
}

void FakeDatabaseGroup::Serve(const std::string& id, tcp::socket socket) {
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
        session.workspace = words[2];
        absl::MutexLock lock(&m_mutex);
        reply = FormatReady(m_databases[id], session);
      }
    } else {
      reply = HandleRequest(id, line, &session);
    }
    boost::asio::write(socket, boost::asio::buffer(reply), error);
  }
}

std::string FakeDatabaseGroup::HandleRequest(const std::string& id,
                                             const std::string& line,
                                             Session* session) {
  absl::MutexLock lock(&m_mutex);
  Database& database = m_databases[id];
  Replicate(&database, m_options.lag);
  std::vector<std::string> words = absl::StrSplit(line, ' ');
  const std::string statement = words[1];
  words.erase(words.begin(), words.begin() + 2);  // QUERY and the id.
  if (words[0] != "STATUS" && words[0] != "RESET" && words[0] != "SET" &&
      words[0] != "PREPARE") {
    m_statements.push_back({statement, session->workspace, SteadyNow()});
  }
  std::string rows;
  const std::string outcome =
      RunCommand(&database, id, statement, std::move(words), session, &rows);
  return absl::StrCat(rows, outcome, "\r\n", FormatReady(database, *session));
}

std::string FakeDatabaseGroup::RunCommand(Database* database,
                                          const std::string& id,
                                          const std::string& statement,
                                          std::vector<std::string> words,
                                          Session* session,
                                          std::string* rows) {
  if (words[0] == "AFTER") {
    const std::vector<std::string> position = absl::StrSplit(words[1], '.');
    if (LogEnd(*database) <
        std::pair(Number(position[0]), Number(position[1]))) {
      return absl::StrCat("ERROR LAGGING ", id);
    }
    words.erase(words.begin(), words.begin() + 2);
  }
  if (words[0] == "EXECUTE") {
    const auto prepared = session->prepared.find(words[1]);
    if (prepared == session->prepared.end()) {
      return absl::StrCat("ERROR NOSTMT ", words[1]);
    }
    words.erase(words.begin());
    words[0] = prepared->second;
  }
  const bool plain_begin = words[0] == "BEGIN" && words.size() == 1;
  const bool needs_primary =
      words[0] == "WRITE" || plain_begin ||
      (session->open && !session->read_only && words[0] != "ROLLBACK" &&
       !(words[0] == "COMMIT" && session->writes.empty()));
  if (needs_primary && !database->is_primary) {
    session->failed = session->open;
    session->writes.clear();
    return absl::StrCat("ERROR READONLY ", id);
  }
  if (words[0] == "BEGIN") {
    session->open = true;
    session->read_only = !plain_begin;
  } else if (words[0] == "ROLLBACK") {
    *session = {session->workspace, false, false, false, {}, session->prepared};
  } else if (words[0] == "COMMIT") {
    const bool wrote = !session->writes.empty();
    for (const auto& [item, value] : session->writes) {
      Commit(database, statement, item, value);
    }
    *session = {session->workspace, false, false, false, {}, session->prepared};
    return wrote ? FormatCommitted(id, "commit") : "COMPLETE commit";
  } else if (words[0] == "READ") {
    RecordRun(*database, id, statement, false);
    *rows = absl::StrCat("DATAROW ", database->items[words[1]], "\r\n");
    return absl::StrCat("COMPLETE read.", id);
  } else if (words[0] == "WRITE") {
    RecordRun(*database, id, statement, true);
    if (session->open) {
      session->writes.emplace_back(words[1], words[2]);
    } else {
      Commit(database, statement, words[1], words[2]);
      return FormatCommitted(id, absl::StrCat("write.", id));
    }
    return absl::StrCat("COMPLETE write.", id);
  } else if (words[0] == "PREPARE") {
    session->prepared[words[1]] = words[2];
  } else if (words[0] == "RESET") {
    session->prepared.clear();
  } else if (words[0] == "STATUS") {
    const auto [term, number] = LogEnd(*database);
    *rows =
        absl::StrCat("DATAROW ", database->is_primary ? "primary " : "replica ",
                     term, " ", term, ".", number, " ", term, " 0 0 1\r\n");
  }
  return "COMPLETE -";
}

}  // namespace heatherwick::platform
