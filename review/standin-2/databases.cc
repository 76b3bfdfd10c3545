#include "databases.h"

#include <algorithm>
#include <chrono>

#include "nlohmann/json.hpp"

namespace review {
namespace {

using nlohmann::json;

constexpr int64_t kConnectMs = 12;
constexpr int64_t kCrashTwoMs = 20000;
// Of a value; the cases do not read longer ones.
constexpr size_t kKeptBytes = 64;

std::string TakeWord(std::string* rest) {
  const size_t end = rest->find(' ');
  std::string word = rest->substr(0, end);
  *rest = end == std::string::npos ? "" : rest->substr(end + 1);
  return word;
}

}  // namespace

Service::Service(Store* store, ServiceOptions options)
    : m_store(store), m_options(std::move(options)) {
  const char* const zones[] = {"ie-east-a", "ie-east-b", "ie-east-c"};
  {
    std::lock_guard lock(m_mutex);
    for (int index = 0; index < 3; ++index) {
      const std::string id =
          "i-" + m_options.name + "-" + std::to_string(index);
      Database& database = m_databases[id];
      database.id = id;
      database.zone = zones[index];
      database.service = this;
      database.primary = index == 0;
      database.listener =
          std::make_unique<Listener>(&Service::Serve, &database);
    }
    m_primary = m_databases.begin()->first;
    for (auto& [id, database] : m_databases) {
      Register(&database);
    }
  }
  m_ticker = std::thread([this]() { Tick(); });
}

Service::~Service() {
  m_stopped = true;
  m_ticker.join();
}

void Service::Register(Database* database) {
  database->last_heartbeat = NowMs();
  m_store->Put("servers", database->id,
               json{{"service", m_options.name},
                    {"address",
                     "127.0.0.1:" + std::to_string(database->listener->Port())},
                    {"zone", database->zone},
                    {"version", "1.0"},
                    {"slots", m_options.slots},
                    {"state", "ready"},
                    {"coldRemainingMs", 0},
                    {"sequence", ++database->sequence},
                    {"born", 1700000000000},
                    {"dbRole", database->primary ? "primary" : "replica"}}
                   .dump());
}

void Service::Follow(Database* replica, const Database& primary) {
  replica->term = primary.term;
  const auto same = [](const Commit& one, const Commit& other) {
    return one.term == other.term && one.number == other.number;
  };
  // What the primary lacks is rolled back.
  while (!replica->log.empty() &&
         (replica->log.size() > primary.log.size() ||
          !same(replica->log.back(), primary.log[replica->log.size() - 1]))) {
    replica->log.pop_back();
  }
  while (replica->log.size() < primary.log.size()) {
    const Commit& next = primary.log[replica->log.size()];
    if (replica->next_receipt == 0) {
      std::exponential_distribution<double> lag(1 / m_options.lag_ms);
      replica->next_receipt = std::max<int64_t>(
          1, next.at_ms + static_cast<int64_t>(
                              std::min(lag(m_random), m_options.max_lag_ms)));
    }
    if (NowMs() < replica->next_receipt) {
      return;
    }
    replica->next_receipt = 0;
    replica->log.push_back(next);
    replica->items[next.item] = next.value;
    m_changed.notify_all();
  }
}

void Service::Tick() {
  while (!m_stopped) {
    SleepMs(1);
    std::lock_guard lock(m_mutex);
    const Database& primary = m_databases.at(m_primary);
    for (auto& [id, database] : m_databases) {
      if (!database.alive) {
        // The store removes the entry after three intervals of silence.
        if (NowMs() - database.last_heartbeat > 3 * m_options.heartbeat_ms) {
          m_store->Drop("servers", id);
        }
        continue;
      }
      if (id != m_primary && primary.alive && !database.primary) {
        Follow(&database, primary);
      }
      if (NowMs() - database.last_heartbeat >= m_options.heartbeat_ms) {
        Register(&database);
      }
    }
  }
}

int Service::Promote(const std::string& id) {
  std::lock_guard lock(m_mutex);
  const auto found = m_databases.find(id);
  if (found == m_databases.end() || !found->second.alive) {
    return 409;
  }
  std::thread([this, id]() {
    SleepMs(m_options.promote_ms);
    std::string old;
    {
      std::lock_guard effect(m_mutex);
      Database& database = m_databases.at(id);
      if (m_primary == id || !database.alive) {
        return;
      }
      old = m_primary;
      m_primary = id;
      database.primary = true;
      database.term = ++m_term;
      m_promotions.push_back({id, m_term, NowMs(), database.log});
      Record("promote takes effect: " + id + " leads term " +
             std::to_string(m_term) + " with " +
             std::to_string(database.log.size()) + " commits");
      Register(&database);
    }
    // The old primary continues until a second after it can reach the new one.
    SleepMs(1000);
    std::lock_guard demotion(m_mutex);
    Database& former = m_databases.at(old);
    if (former.alive && m_primary != old && former.primary) {
      former.primary = false;
      Register(&former);
    }
  }).detach();
  return 200;
}

void Service::CrashLocked(Database* database) {
  database->alive = false;
  ++database->run;
  database->connections = 0;
  database->busy = 0;
  database->next_receipt = 0;
  database->listener->Close();
  m_changed.notify_all();
  Record("database " + database->id + " crashes with " +
         std::to_string(database->log.size()) + " commits");
}

std::pair<std::string, std::string> Service::CrashTwo(size_t apart) {
  const int64_t end = NowMs() + kCrashTwoMs;
  while (true) {
    {
      std::lock_guard lock(m_mutex);
      std::vector<Database*> replicas;
      for (auto& [id, database] : m_databases) {
        if (id != m_primary) {
          replicas.push_back(&database);
        }
      }
      if (replicas[0]->log.size() < replicas[1]->log.size()) {
        std::swap(replicas[0], replicas[1]);
      }
      if (replicas[0]->log.size() >= replicas[1]->log.size() + apart ||
          NowMs() > end) {
        CrashLocked(&m_databases.at(m_primary));
        CrashLocked(replicas[0]);
        return {m_primary, replicas[0]->id};
      }
    }
    SleepMs(1);
  }
}

void Service::Restart(const std::string& id) {
  std::lock_guard lock(m_mutex);
  Database& database = m_databases.at(id);
  database.alive = true;
  database.primary = id == m_primary;
  database.listener->Open();
  Register(&database);
  Record("database " + id + " is back as " +
         (database.primary ? "primary" : "replica"));
}

std::string Service::Primary() {
  std::lock_guard lock(m_mutex);
  return m_primary;
}

std::vector<Promotion> Service::Promotions() {
  std::lock_guard lock(m_mutex);
  return m_promotions;
}

std::vector<Commit> Service::LogOf(const std::string& id) {
  std::lock_guard lock(m_mutex);
  return m_databases.at(id).log;
}

std::string Service::Ready(const Database& database,
                           const Session& session) const {
  return std::string("READY ") +
         (session.failed ? "E" : (session.open ? "T" : "I")) + " " +
         std::to_string(database.term) + "." +
         std::to_string(database.log.size()) + "\r\n";
}

void Service::Serve(void* context, Socket* socket) {
  Database* const database = static_cast<Database*>(context);
  Service* const service = database->service;
  Session session;
  auto line = socket->ReadLine();
  if (!line) {
    return;
  }
  SleepMs(kConnectMs);
  uint64_t run = 0;
  {
    std::unique_lock lock(service->m_mutex);
    std::string rest = *line;
    TakeWord(&rest);
    const std::string name = TakeWord(&rest);
    TakeWord(&rest);
    if (name != service->m_options.name || rest != database->id) {
      socket->Send("ERROR MOVED " + database->id + "\r\n");
      return;
    }
    if (database->connections >= service->m_options.max_connections) {
      socket->Send("ERROR TOOMANY " + database->id + "\r\n");
      return;
    }
    ++database->connections;
    run = database->run;
    socket->Send(service->Ready(*database, session));
  }
  while ((line = socket->ReadLine()) && line->rfind("QUERY ", 0) == 0) {
    std::unique_lock lock(service->m_mutex);
    if (database->run != run) {
      return;
    }
    const std::string answer =
        service->Run(database, line->substr(6), &session, &lock);
    if (database->run != run || !socket->Send(answer)) {
      break;
    }
  }
  std::lock_guard lock(service->m_mutex);
  if (database->run == run) {
    --database->connections;
  }
}

std::string Service::Run(Database* database,
                         const std::string& line,
                         Session* session,
                         std::unique_lock<std::mutex>* lock) {
  std::string text = line;
  const std::string id = TakeWord(&text);
  std::string rows;
  const std::string outcome = Execute(database, id, text, session, lock, &rows);
  return rows + outcome + "\r\n" + Ready(*database, *session);
}

bool Service::CommitWrites(
    Database* database,
    const std::string& id,
    const std::vector<std::pair<std::string, std::string>>& writes,
    std::unique_lock<std::mutex>* lock) {
  const uint64_t run = database->run;
  Commit commit{database->term, database->log.size() + 1, id, "", "", NowMs()};
  for (const auto& [item, value] : writes) {
    commit.item = item;
    commit.value = value;
    database->items[item] = value;
  }
  database->log.push_back(commit);
  if (m_options.sync_replicas == 0) {
    return true;
  }
  m_changed.wait(*lock, [&]() {
    size_t received = 0;
    for (const auto& [other, replica] : m_databases) {
      received += other != database->id && replica.alive &&
                          replica.log.size() >= commit.number &&
                          replica.log[commit.number - 1].term == commit.term
                      ? 1
                      : 0;
    }
    return received >= m_options.sync_replicas || database->run != run;
  });
  return database->run == run;
}

std::string Service::Execute(Database* database,
                             const std::string& id,
                             std::string text,
                             Session* session,
                             std::unique_lock<std::mutex>* lock,
                             std::string* rows) {
  std::string verb = TakeWord(&text);
  if (verb == "AFTER") {
    const std::string position = TakeWord(&text);
    const uint64_t term = std::stoull(position);
    const uint64_t number =
        std::stoull(position.substr(position.find('.') + 1));
    verb = TakeWord(&text);
    if (std::pair(database->term, static_cast<uint64_t>(database->log.size())) <
        std::pair(term, number)) {
      return "ERROR LAGGING " + database->id;
    }
  }
  if (verb == "STATUS") {
    *rows = std::string("DATAROW ") +
            (database->primary ? "primary " : "replica ") +
            std::to_string(database->term) + " " +
            std::to_string(database->term) + "." +
            std::to_string(database->log.size()) + " 0 0 " +
            std::to_string(database->busy) + " " +
            std::to_string(database->connections) + "\r\n";
    return "COMPLETE -";
  }
  if (verb == "SET") {
    return "COMPLETE -";
  }
  if (verb == "PREPARE") {
    const std::string name = TakeWord(&text);
    session->prepared[name] = TakeWord(&text);
    return "COMPLETE -";
  }
  if (verb == "RESET") {
    session->prepared.clear();
    return "COMPLETE -";
  }
  if (verb == "EXECUTE") {
    const auto prepared = session->prepared.find(TakeWord(&text));
    if (prepared == session->prepared.end()) {
      return "ERROR NOSTMT " + database->id;
    }
    verb = prepared->second;
  }
  if (verb == "ROLLBACK") {
    session->open = session->failed = session->read_only = false;
    session->writes.clear();
    return "COMPLETE -";
  }
  const bool plain_begin = verb == "BEGIN" && text.empty();
  const bool writes_nothing = verb == "COMMIT" && session->writes.empty();
  if (!database->primary &&
      (verb == "WRITE" || plain_begin ||
       (session->open && !session->read_only && !writes_nothing))) {
    session->failed = session->open;
    session->writes.clear();
    return "ERROR READONLY " + database->id;
  }
  if (verb == "BEGIN") {
    session->open = true;
    session->read_only = !plain_begin;
    return "COMPLETE -";
  }
  // Reads, writes and commits take a slot.
  const uint64_t run = database->run;
  m_changed.wait(*lock, [&]() {
    return database->busy < m_options.slots || database->run != run;
  });
  if (database->run != run) {
    return "ERROR FAILED crashed";
  }
  ++database->busy;
  lock->unlock();
  SleepMs(m_options.work_ms);
  lock->lock();
  if (database->run != run) {
    return "ERROR FAILED crashed";
  }
  --database->busy;
  m_changed.notify_all();
  const std::string signature = id + "." + database->id;
  Record("run " + id + " " + verb + " by " + database->id);
  if (verb == "READ") {
    *rows = "DATAROW " + database->items[TakeWord(&text)] + "\r\n";
    return "COMPLETE " + signature;
  }
  if (!database->primary && verb == "WRITE") {
    return "ERROR READONLY " + database->id;
  }
  if (verb == "WRITE") {
    const std::string item = TakeWord(&text);
    text.resize(std::min(text.size(), kKeptBytes));
    if (session->open) {
      session->writes.emplace_back(item, text);
    } else if (!CommitWrites(database, id, {{item, text}}, lock)) {
      return "ERROR FAILED crashed";
    }
    return "COMPLETE " + signature;
  }
  if (verb == "COMMIT") {
    const auto writes = std::exchange(session->writes, {});
    session->open = session->read_only = false;
    if (!writes.empty() && !CommitWrites(database, id, writes, lock)) {
      return "ERROR FAILED crashed";
    }
    return "COMPLETE " + signature;
  }
  return "ERROR MALFORMED " + verb;
}

}  // namespace review
