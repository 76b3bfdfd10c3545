#include "databases.h"

#include <sys/socket.h>

#include <algorithm>
#include <cmath>
#include <thread>
#include <utility>

#include "nlohmann/json.hpp"

namespace review {
namespace {

using nlohmann::json;

constexpr double kHeartbeatMs = 1200;
constexpr double kReplicationStepMs = 2;
// An entry is removed after three heartbeat intervals of silence.
constexpr double kEntryExpiryMs = 3 * kHeartbeatMs;
// The old primary goes on for so long after it can reach the new one.
constexpr double kDemotionMs = 1000;

std::pair<uint64_t, uint64_t> ParsePosition(const std::string& text) {
  const size_t dot = text.find('.');
  return {strtoull(text.c_str(), nullptr, 10),
          dot == std::string::npos
              ? 0
              : strtoull(text.c_str() + dot + 1, nullptr, 10)};
}

}  // namespace

Group::Group(std::string service, Store* store, GroupOptions options)
    : m_service(std::move(service)), m_store(store), m_options(options) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const char* zone : {"ro-central-a", "ro-central-b", "ro-central-c"}) {
    const std::string id =
        "i-" + m_service + "-" + std::to_string(m_ids.size());
    m_ids.push_back(id);
    Database& database = m_databases[id];
    database.zone = zone;
    database.leads = m_ids.size() == 1;
    database.listener = std::make_unique<Listener>(
        [this, id](Socket socket) { Serve(id, std::move(socket)); });
    Register(id);
  }
  m_leader = m_ids.front();
  std::thread([this]() {
    while (true) {
      SleepMs(kReplicationStepMs);
      const std::lock_guard<std::mutex> step(m_mutex);
      ReplicateAll();
    }
  }).detach();
  std::thread([this]() {
    while (true) {
      SleepMs(kHeartbeatMs);
      const std::lock_guard<std::mutex> beat(m_mutex);
      for (const std::string& id : m_ids) {
        if (m_databases[id].alive) {
          Register(id);
        }
      }
    }
  }).detach();
}

void Group::Register(const std::string& id) {
  Database& database = m_databases[id];
  m_store->Put("servers", id,
               json{{"service", m_service},
                    {"address", database.listener->Address()},
                    {"zone", database.zone},
                    {"version", "1"},
                    {"slots", m_options.slots},
                    {"state", database.draining ? "draining" : "ready"},
                    {"coldRemainingMs", 0},
                    {"sequence", ++database.sequence},
                    {"born", 1700000000000},
                    {"dbRole", database.leads ? "primary" : "replica"}}
                   .dump());
}

int Group::Promote(const std::string& id) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_databases.find(id);
    if (found == m_databases.end() || !found->second.alive) {
      return 409;
    }
    if (id == m_leader) {
      return 200;
    }
  }
  std::thread([this, id]() {
    SleepMs(m_options.promote_ms);
    const std::lock_guard<std::mutex> lock(m_mutex);
    Database& promoted = m_databases[id];
    if (!promoted.alive || id == m_leader) {
      return;
    }
    Replicate(id);
    const std::string old = std::exchange(m_leader, id);
    promoted.leads = true;
    promoted.term = ++m_term;
    Write("promote of " + id + " takes effect, term " + std::to_string(m_term) +
          ", position " + Position(promoted));
    Register(id);
    std::thread([this, old]() {
      SleepMs(kDemotionMs);
      const std::lock_guard<std::mutex> demoting(m_mutex);
      Database& replaced = m_databases[old];
      if (old != m_leader && replaced.alive && replaced.leads) {
        replaced.leads = false;
        Register(old);
      }
    }).detach();
  }).detach();
  return 200;
}

void Group::Crash(const std::string& id) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    Database& database = m_databases[id];
    database.alive = false;
    database.listener->Close();
    for (const int descriptor : database.descriptors) {
      shutdown(descriptor, SHUT_RDWR);
    }
    m_freed.notify_all();
  }
  Write("database " + id + " crashes");
  std::thread([this, id]() {
    SleepMs(kEntryExpiryMs);
    m_store->Drop("servers", id);
  }).detach();
}

void Group::SetDraining(const std::string& id) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_databases[id].draining = true;
  Register(id);
  Write("database " + id + " is draining");
}

void Group::SetDeaf(const std::string& id, bool deaf) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_databases[id].deaf = deaf;
  Write("database " + id +
        (deaf ? " receives nothing from now on" : " receives again"));
}

void Group::SetGrey(const std::string& id, double part) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_databases[id].grey = part;
  Write("database " + id + " fails " + std::to_string(part) +
        " of its requests from now on");
}

std::string Group::Leader() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_leader;
}

std::vector<DatabaseCommit> Group::Commits() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_commits;
}

std::vector<DatabaseRun> Group::Runs() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_runs;
}

std::vector<std::string> Group::Log(const std::string& id) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<std::string> ids;
  for (const size_t place : m_databases[id].log) {
    ids.push_back(m_commits[place].id);
  }
  return ids;
}

void Group::Append(Database* database, size_t place) {
  database->log.push_back(place);
  const std::vector<std::string> words = Words(m_values[place]);
  for (size_t index = 0; index + 1 < words.size(); index += 2) {
    database->items[words[index]] = words[index + 1];
  }
}

void Group::Replicate(const std::string& id) {
  Database& replica = m_databases[id];
  Database& leader = m_databases[m_leader];
  if (replica.leads || &replica == &leader || replica.deaf || !replica.alive) {
    return;
  }
  const bool prefix =
      replica.log.size() <= leader.log.size() &&
      std::equal(replica.log.begin(), replica.log.end(), leader.log.begin());
  if (!prefix) {  // Rolls back what the leader lacks.
    replica.log.clear();
    replica.items.clear();
  }
  replica.term = leader.term;
  while (replica.log.size() < leader.log.size() &&
         m_commits[leader.log[replica.log.size()]].at_ms + m_options.lag_ms <=
             NowMs()) {
    Append(&replica, leader.log[replica.log.size()]);
  }
}

void Group::ReplicateAll() {
  for (const std::string& id : m_ids) {
    Replicate(id);
  }
  m_freed.notify_all();
}

std::string Group::Position(const Database& database) const {
  return std::to_string(database.term) + "." +
         std::to_string(database.log.size() + 1);
}

bool Group::TakeSlot(std::unique_lock<std::mutex>* lock, Database* database) {
  if (database->busy >= m_options.slots &&
      database->waiting >= m_options.queue) {
    return false;
  }
  ++database->waiting;
  m_freed.wait(*lock, [&]() {
    return database->busy < m_options.slots || !database->alive;
  });
  --database->waiting;
  ++database->busy;
  return true;
}

void Group::Work(std::unique_lock<std::mutex>* lock,
                 Database* database,
                 double mean_ms) {
  constexpr double kSpread = 0.7;
  const double ms = std::lognormal_distribution<double>(
      std::log(mean_ms) - kSpread * kSpread / 2, kSpread)(m_random);
  lock->unlock();
  SleepMs(ms);
  lock->lock();
  --database->busy;
  m_freed.notify_all();
}

void Group::Serve(const std::string& id, Socket socket) {
  std::string line;
  if (!socket.ReadLine(&line)) {
    return;
  }
  const std::vector<std::string> words = Words(line);
  std::string first;
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    Database& database = m_databases[id];
    if (words.size() != 4 || words[0] != "START" || words[1] != m_service ||
        words[3] != id) {
      first = "ERROR MOVED " + id + "\r\n";
    } else if (database.connections >= m_options.max_connections) {
      first = "ERROR TOOMANY " + id + "\r\n";
    } else if (!database.alive) {
      return;
    } else {
      ++database.connections;
      database.descriptors.push_back(socket.Descriptor());
      if (TakeSlot(&lock, &database)) {
        Work(&lock, &database, m_options.handshake_ms);
      }
    }
  }
  if (!first.empty()) {
    socket.Send(first);
    return;
  }
  Session session;
  session.database = id;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    first = "READY I " + Position(m_databases[id]) + "\r\n";
  }
  bool open = socket.Send(first);
  while (open && socket.ReadLine(&line)) {
    const std::string answer = Answer(&session, line);
    open = !answer.empty() && socket.Send(answer);
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  Database& database = m_databases[id];
  --database.connections;
  std::erase(database.descriptors, socket.Descriptor());
}

std::string Group::Answer(Session* session, const std::string& line) {
  std::vector<std::string> words = Words(line);
  if (words.size() < 3 || words[0] != "QUERY") {
    return "";
  }
  const std::string id = words[1];
  words.erase(words.begin(), words.begin() + 2);
  std::string rows;
  const std::string outcome = Run(session, id, std::move(words), &rows);
  const std::lock_guard<std::mutex> lock(m_mutex);
  const Database& database = m_databases[session->database];
  if (!database.alive) {
    return "";
  }
  return rows + outcome + "\r\nREADY " +
         (session->failed ? "E" : (session->open ? "T" : "I")) + " " +
         Position(database) + "\r\n";
}

std::string Group::RunRead(const std::string& statement,
                           Session* session,
                           Database* database,
                           const std::string& item,
                           std::string* rows) {
  *rows = "DATAROW " + item + "=" + database->items[item] + "\r\n";
  m_runs.push_back({statement, session->database, NowMs(), session->first});
  return "COMPLETE sig." + statement;
}

std::string Group::Commit(std::unique_lock<std::mutex>* lock,
                          Session* session,
                          Database* database,
                          const std::string& id) {
  DatabaseCommit commit{id,
                        {},
                        NowMs(),
                        session->database,
                        database->term,
                        session->database != m_leader};
  std::string values;
  for (const auto& [write, value] : session->writes) {
    commit.writes.push_back(write);
    values += value + " ";
  }
  m_commits.push_back(commit);
  m_values.push_back(values);
  const size_t place = m_commits.size() - 1;
  Append(database, place);
  if (m_options.sync_replicas > 0) {
    // Acknowledged once one replica has received it, a draining one included.
    m_freed.wait(*lock, [&]() {
      return !database->alive ||
             std::any_of(
                 m_ids.begin(), m_ids.end(), [&](const std::string& other) {
                   const std::vector<size_t>& log = m_databases[other].log;
                   return other != session->database &&
                          std::find(log.rbegin(), log.rend(), place) !=
                              log.rend();
                 });
    });
  }
  return "COMPLETE sig." + id;
}

std::string Group::Run(Session* session,
                       const std::string& id,
                       std::vector<std::string> words,
                       std::string* rows) {
  std::unique_lock<std::mutex> lock(m_mutex);
  Database& database = m_databases[session->database];
  if (words[0] == "AFTER" && words.size() > 2) {
    const std::pair<uint64_t, uint64_t> end{database.term,
                                            database.log.size() + 1};
    if (end < ParsePosition(words[1])) {
      return "ERROR LAGGING " + session->database;
    }
    words.erase(words.begin(), words.begin() + 2);
  }
  if (words[0] == "EXECUTE" && words.size() > 1) {
    const auto prepared = session->prepared.find(words[1]);
    if (prepared == session->prepared.end()) {
      return "ERROR NOSTMT " + words[1];
    }
    words.erase(words.begin());
    words[0] = prepared->second;
  }
  const std::string verb = words[0];
  if (database.grey > 0 &&
      std::uniform_real_distribution<double>(0, 1)(m_random) < database.grey) {
    return "ERROR BUSY " + session->database;
  }
  const bool plain_begin = verb == "BEGIN" && words.size() == 1;
  if (session->failed && verb != "ROLLBACK" && verb != "COMMIT") {
    return "ERROR MALFORMED the transaction failed";
  }
  const bool needs_primary =
      verb == "WRITE" || plain_begin ||
      (session->open && !session->read_only && verb != "ROLLBACK" &&
       !(verb == "COMMIT" && session->writes.empty()));
  if (needs_primary && !database.leads) {
    session->failed = session->open;
    return "ERROR READONLY " + session->database;
  }
  const bool takes_slot =
      verb == "READ" || verb == "WRITE" || verb == "COMMIT" || verb == "STATUS";
  if (takes_slot) {
    if (!TakeSlot(&lock, &database)) {
      return "ERROR BUSY " + session->database;
    }
    Work(&lock, &database,
         verb == "READ" ? m_options.read_ms
                        : (verb == "STATUS" ? 0.5 : m_options.write_ms));
    if (!database.alive) {
      return "";
    }
  }
  if (session->open && session->first.empty() && id != "-") {
    session->first = id;
  }
  if (verb == "BEGIN") {
    session->open = true;
    session->read_only = !plain_begin;
  } else if (verb == "ROLLBACK") {
    *session = {session->database, false, false, false, "", {},
                session->prepared};
  } else if (verb == "COMMIT") {
    std::string outcome = "COMPLETE sig." + id;
    if (session->failed) {
      outcome = "ERROR ABORTED the transaction failed";
    } else if (!session->writes.empty()) {
      outcome = Commit(&lock, session, &database, id);
    }
    *session = {session->database, false, false, false, "", {},
                session->prepared};
    return outcome;
  } else if (verb == "READ" && words.size() > 1) {
    return RunRead(id, session, &database, words[1], rows);
  } else if (verb == "WRITE" && words.size() > 2) {
    m_runs.push_back({id, session->database, NowMs(), session->first});
    session->writes.emplace_back(id, words[1] + " " + words[2]);
    if (!session->open) {
      std::string outcome = Commit(&lock, session, &database, id);
      session->writes.clear();
      return outcome;
    }
    return "COMPLETE sig." + id;
  } else if (verb == "PREPARE" && words.size() > 2) {
    session->prepared[words[1]] = words[2];
  } else if (verb == "CLOSE" && words.size() > 1) {
    session->prepared.erase(words[1]);
  } else if (verb == "RESET") {
    session->prepared.clear();
  } else if (verb == "STATUS") {
    *rows = std::string("DATAROW ") +
            (database.leads ? "primary " : "replica ") +
            std::to_string(database.term) + " " + Position(database) + " 0 0 " +
            std::to_string(database.busy) + " " +
            std::to_string(database.connections) + "\r\n";
  } else if (verb != "SET") {
    return "ERROR MALFORMED " + verb;
  }
  return "COMPLETE -";
}

}  // namespace review
