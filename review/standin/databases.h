// Stand-in of one service's databases, after PROTOCOL.md: terms, promotion,
// replication, draining, slots, and the wire protocol.

#ifndef REVIEW_STANDIN_DATABASES_H_
#define REVIEW_STANDIN_DATABASES_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "network.h"
#include "platform.h"

namespace review {

struct GroupOptions {
  int sync_replicas = 0;
  int slots = 2;
  int queue = 16;  // Statements that wait for a slot; more get BUSY.
  int max_connections = 16;
  double handshake_ms = 12;
  double read_ms = 12;
  double write_ms = 4;
  double lag_ms = 8;
  double promote_ms = 1000;
};

// One commit that writes.
struct DatabaseCommit {
  std::string id;                   // Of the statement that committed.
  std::vector<std::string> writes;  // Ids of the write statements.
  double at_ms = 0;
  std::string database;
  uint64_t term = 0;
  bool after_promote = false;  // A promote away from it had taken effect.
};

// A statement of a client, as a database ran it.
struct DatabaseRun {
  std::string id;
  std::string database;
  double at_ms = 0;
  // The first statement of the open transaction in which it ran; empty if none.
  std::string transaction_of;
};

class Group {
 public:
  Group(std::string service, Store* store, GroupOptions options);

  // The ids of the databases; the first is the primary at the start.
  const std::vector<std::string>& Ids() const { return m_ids; }
  int Promote(const std::string& id);
  // The process ends. Its connections are reset.
  void Crash(const std::string& id);
  void SetDraining(const std::string& id);
  // A deaf replica receives nothing.
  void SetDeaf(const std::string& id, bool deaf);
  // A grey database answers a part of its requests with BUSY.
  void SetGrey(const std::string& id, double part);
  std::string Leader();
  std::vector<DatabaseCommit> Commits();
  std::vector<DatabaseRun> Runs();
  // Ids of acknowledged commits that the database's log has.
  std::vector<std::string> Log(const std::string& id);
  const std::string& Service() const { return m_service; }

 private:
  struct Session {
    std::string database;
    bool open = false;
    bool failed = false;
    bool read_only = false;
    std::string first;  // First statement of the open transaction.
    std::vector<std::pair<std::string, std::string>> writes;  // Id and text.
    std::map<std::string, std::string> prepared;
  };
  struct Database {
    std::string zone;
    std::unique_ptr<Listener> listener;
    bool alive = true;
    bool leads = false;
    bool draining = false;
    bool deaf = false;
    double grey = 0;
    uint64_t term = 1;
    uint64_t sequence = 0;
    std::vector<size_t> log;  // Places in m_commits.
    std::map<std::string, std::string> items;
    int connections = 0;
    int busy = 0;
    int waiting = 0;
    std::vector<int> descriptors;
  };

  void Serve(const std::string& id, Socket socket);
  std::string Answer(Session* session, const std::string& line);
  // Returns the outcome line; `rows` gets the rows before it.
  std::string Run(Session* session,
                  const std::string& id,
                  std::vector<std::string> words,
                  std::string* rows);
  std::string RunRead(const std::string& statement,
                      Session* session,
                      Database* database,
                      const std::string& item,
                      std::string* rows);
  std::string Commit(std::unique_lock<std::mutex>* lock,
                     Session* session,
                     Database* database,
                     const std::string& id);
  bool TakeSlot(std::unique_lock<std::mutex>* lock, Database* database);
  void Work(std::unique_lock<std::mutex>* lock,
            Database* database,
            double mean_ms);
  void Replicate(const std::string& id);
  void ReplicateAll();
  void Append(Database* database, size_t place);
  void Register(const std::string& id);
  std::string Position(const Database& database) const;

  const std::string m_service;
  Store* const m_store;
  const GroupOptions m_options;
  std::vector<std::string> m_ids;
  std::mutex m_mutex;
  std::condition_variable m_freed;
  std::map<std::string, Database> m_databases;
  std::string m_leader;  // Of the newest term.
  uint64_t m_term = 1;
  std::vector<DatabaseCommit> m_commits;
  std::vector<std::string> m_values;  // Of m_commits: item, blank, data.
  std::vector<DatabaseRun> m_runs;
  std::mt19937 m_random{std::random_device()()};
};

}  // namespace review

#endif  // REVIEW_STANDIN_DATABASES_H_
