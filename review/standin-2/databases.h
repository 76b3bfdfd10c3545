// A stand-in of one service with three databases, after PROTOCOL.md:
// replication with a delay, synchronous replicas, terms, promotion, heartbeats.

#ifndef REVIEW_STANDIN_2_DATABASES_H_
#define REVIEW_STANDIN_2_DATABASES_H_

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "store.h"
#include "support.h"

namespace review {

struct Commit {
  uint64_t term = 0;
  uint64_t number = 0;
  std::string id;  // Of the statement that committed.
  std::string item;
  std::string value;
  int64_t at_ms = 0;
};

struct Promotion {
  std::string id;
  uint64_t term = 0;
  int64_t at_ms = 0;  // Of its effect.
  std::vector<Commit> log;
};

struct ServiceOptions {
  std::string name = "depot-db";
  size_t sync_replicas = 0;
  // The mean delay from a commit to its receipt by a replica.
  double lag_ms = 20;
  double max_lag_ms = 120;
  int64_t promote_ms = 1000;
  int64_t work_ms = 5;
  size_t slots = 3;
  size_t max_connections = 34;
  int64_t heartbeat_ms = 1200;
};

class Service {
 public:
  Service(Store* store, ServiceOptions options);
  ~Service();

  int Promote(const std::string& id);
  // Crashes the primary and the replica that has received most, at a moment at
  // which the other replica has not received the last `apart` of that one's
  // commits, or after 20 s. Returns the two.
  std::pair<std::string, std::string> CrashTwo(size_t apart);
  // The database comes back with its log.
  void Restart(const std::string& id);
  std::string Primary();
  std::vector<Promotion> Promotions();
  std::vector<Commit> LogOf(const std::string& id);

 private:
  struct Database {
    std::string id;
    std::string zone;
    std::unique_ptr<Listener> listener;
    bool alive = true;
    bool primary = false;
    uint64_t term = 1;
    std::vector<Commit> log;
    std::map<std::string, std::string> items;
    size_t connections = 0;
    size_t busy = 0;
    uint64_t sequence = 0;
    uint64_t run = 0;
    int64_t last_heartbeat = 0;
    int64_t next_receipt = 0;
    Service* service = nullptr;
  };
  struct Session {
    bool open = false;
    bool failed = false;
    bool read_only = false;
    std::vector<std::pair<std::string, std::string>> writes;
    std::map<std::string, std::string> prepared;
  };

  // Loss of power: connections end, nothing is sent any more.
  void CrashLocked(Database* database);
  static void Serve(void* database, Socket* socket);
  std::string Run(Database* database,
                  const std::string& line,
                  Session* session,
                  std::unique_lock<std::mutex>* lock);
  std::string Execute(Database* database,
                      const std::string& id,
                      std::string text,
                      Session* session,
                      std::unique_lock<std::mutex>* lock,
                      std::string* rows);
  // Appends the writes as one commit; waits for synchronous replicas.
  bool CommitWrites(
      Database* database,
      const std::string& id,
      const std::vector<std::pair<std::string, std::string>>& writes,
      std::unique_lock<std::mutex>* lock);
  void Tick();
  void Follow(Database* replica, const Database& primary);
  void Register(Database* database);
  std::string Ready(const Database& database, const Session& session) const;

  Store* const m_store;
  const ServiceOptions m_options;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Database> m_databases;
  std::string m_primary;
  uint64_t m_term = 1;
  std::vector<Promotion> m_promotions;
  std::mt19937 m_random{7};
  std::atomic<bool> m_stopped = false;
  std::thread m_ticker;
};

}  // namespace review

#endif  // REVIEW_STANDIN_2_DATABASES_H_
