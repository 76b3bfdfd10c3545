// Fakes of the platform's store and of a group of databases, which serve the
// published protocols on the loopback interface. Each connection has a thread.

#ifndef TESTS_PLATFORM_PLATFORM_FAKES_H_
#define TESTS_PLATFORM_PLATFORM_FAKES_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"

namespace heatherwick::platform {

// Accepts connections and serves each of them in its own thread.
class LoopbackServer {
 public:
  using Serve = std::function<void(boost::asio::ip::tcp::socket)>;

  explicit LoopbackServer(Serve serve);

  std::string Address() const;
  // Refuses new connections and closes the open ones.
  void Close();
  // Accepts connections again at the same address.
  void Reopen();

 private:
  void Accept();

  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  const boost::asio::ip::tcp::endpoint m_endpoint;
  const Serve m_serve;
  std::thread m_accepting;
  absl::Mutex m_mutex;
  std::set<int> m_open;  // Descriptors of open connections.
};

// An order of a promotion, as the platform receives it.
struct FakePromotionOrder {
  std::string service;
  std::string id;
  std::string holder;
  uint64_t fencing_token = 0;
};

class FakeStore {
 public:
  FakeStore();

  std::string Address() const { return m_server->Address(); }
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Drop(const std::string& table, const std::string& key);
  // Whenever the number of calls is a multiple of `interval`, performs the
  // transaction but closes its connection without a response. 0 means never.
  void LoseAnswers(uint64_t interval) { m_lose_interval = interval; }
  // Answers 503 to every call.
  void SetBusy(bool busy) { m_busy = busy; }
  // Keeps a copy of all rows, to which the store can return.
  void TakeCopy();
  // Returns to the newest copy that is at least `age` old, or to the oldest
  // one. What was written since is gone, versions are given out again, and the
  // era rises. Rows of Put() and Drop() that the copy lacks are written again
  // one by one within `rewrite_time`.
  void ReturnToCopy(absl::Duration age, absl::Duration rewrite_time);
  uint64_t Era() const { return m_era; }
  // Called for POST /promote; returns the HTTP status, or 0 to close the
  // connection without a response.
  std::function<unsigned(const FakePromotionOrder&)> on_promote;
  uint64_t Calls() const { return m_calls; }

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };

  struct Copy {
    absl::Time taken;
    std::map<std::string, std::map<std::string, Row>> tables;
    uint64_t version = 0;
  };
  // A row of the operator or of a database, by table and key; no value if it
  // was dropped.
  using OwnedRows =
      std::map<std::pair<std::string, std::string>, std::optional<std::string>>;

  void Serve(boost::asio::ip::tcp::socket socket);
  // Writes the rows again, unless their owners have written them meanwhile.
  void WriteAgain(
      const std::vector<std::pair<std::string, std::string>>& missing,
      absl::Duration time);
  unsigned HandleRequest(const std::string& target,
                         const std::string& body,
                         std::string* reply);
  std::string FormatRows(const std::string& table,
                         uint64_t after,
                         bool deleted);

  absl::Mutex m_mutex;
  std::map<std::string, std::map<std::string, Row>> m_tables;
  uint64_t m_version = 1;
  OwnedRows m_owned_rows;
  std::deque<Copy> m_copies;
  std::atomic<uint64_t> m_era = 0;
  std::atomic<bool> m_busy = false;
  std::atomic<uint64_t> m_calls = 0;
  std::atomic<uint64_t> m_lose_interval = 0;
  std::unique_ptr<LoopbackServer> m_server;
};

// A commit that a database made.
struct FakeCommit {
  std::string id;  // Of the committing statement.
  std::string item;
  std::string value;
  uint64_t term = 0;
  uint64_t number = 0;
  absl::Time committed;
  bool deposed = false;  // Committed by a primary that had been replaced.
  bool lost = false;     // The promoted database had not received it.
};

// A statement that reached a database: BEGIN, COMMIT, ROLLBACK, or one that
// reads or writes.
struct FakeStatement {
  std::string id;
  std::string workspace;  // That START named for its connection.
  absl::Time received;
};

// A read or write that a database ran.
struct FakeRun {
  std::string id;  // Of the statement.
  std::string database;
  bool writes = false;
  uint64_t term = 0;  // Of the database.
  // Commits in the log of the present primary that the database's log lacked,
  // by their places in Commits().
  std::vector<size_t> absent;
};

struct FakeGroupOptions {
  absl::Duration lag;  // From a commit to its receipt by replicas.
  // From the order of a promotion to its effect, unless Promote is given a
  // delay.
  absl::Duration promotion_delay;
  // From the promotion to the end of the old primary's writes, if the new
  // primary runs then.
  absl::Duration demotion_delay = absl::Seconds(1);
  // The term that the databases begin in. Their logs have one entry for each
  // term up to it.
  uint64_t first_term = 1;
  // Replicas that receive a commit before it is acknowledged. If there are any,
  // replicas receive nothing from a primary that does not run, and databases
  // state their starts.
  uint32_t sync_replicas = 0;
};

// A group of databases with replication, terms and promotion. A replaced
// primary continues to accept writes in its term for a while.
class FakeDatabaseGroup {
 public:
  // Maps the address of a database to the address that the group registers for
  // it, such as that of a proxy.
  using Route = std::function<std::string(const std::string&)>;

  FakeDatabaseGroup(std::string service,
                    size_t databases,
                    FakeStore* store,
                    FakeGroupOptions options = {},
                    Route route = nullptr);

  const std::string& Name() const { return m_service; }
  // Takes an order of a promotion and returns the HTTP status of its answer.
  // The order takes effect after `delay`, whatever becomes of the answer.
  // Whether `id` is the present primary is decided at the effect.
  unsigned Promote(const std::string& id,
                   std::optional<absl::Duration> delay = std::nullopt);
  void SetDraining(const std::string& id, bool draining);
  // Stops the database; connections are refused until it is restarted.
  void Crash(const std::string& id);
  // Starts the database again with the log that it had, unless it has lost it.
  void Restart(const std::string& id);
  // Stops a replica, which loses its log. Does nothing and returns false if the
  // database leads, or is to lead by an order that has not taken effect.
  bool LoseLog(const std::string& id);
  // Starts a database that has lost its log.
  void RestartEmpty(const std::string& id);
  std::string Primary();
  std::vector<std::string> Names() const;
  // The values of all commits, in order.
  std::vector<std::string> Committed();
  std::vector<FakeCommit> Commits();
  // All statements that reached the databases, in order.
  std::vector<FakeStatement> Statements();
  // All reads and writes that the databases ran, in order.
  std::vector<FakeRun> Runs();

 private:
  struct Session {
    std::string workspace;
    bool open = false;  // In a transaction.
    bool failed = false;
    bool read_only = false;
    std::vector<std::pair<std::string, std::string>> writes;
    std::map<std::string, std::string> prepared;
  };
  struct Database {
    std::unique_ptr<LoopbackServer> server;
    bool alive = true;
    bool draining = false;
    bool is_primary = false;
    uint64_t term = 0;            // The term that it leads or follows.
    std::vector<size_t> log;      // Indices into m_commits.
    uint64_t log_offset = 0;      // Position just before the first entry.
    int64_t started_unix_ms = 0;  // 0 if it does not state its start.
    bool log_lost = false;        // Since it was stopped.
    int pending_orders = 0;       // That have not taken effect.
    std::map<std::string, std::string> items;
  };

  void Serve(const std::string& id, boost::asio::ip::tcp::socket socket);
  std::string HandleRequest(const std::string& id,
                            const std::string& line,
                            Session* session);
  std::string RunCommand(Database* database,
                         const std::string& id,
                         const std::string& statement,
                         std::vector<std::string> words,
                         Session* session,
                         std::string* rows);
  void Commit(Database* database,
              const std::string& statement,
              const std::string& item,
              const std::string& value);
  // Waits until enough replicas have received all that the database has
  // committed. False if they do not in time, or if it is replaced meanwhile.
  // Releases the mutex while it waits.
  bool AwaitReplicas(const std::string& id);
  // The statement's answer once its commit may be acknowledged.
  std::string FormatCommitted(const std::string& id, const std::string& tag);
  void Append(Database* database, size_t commit);
  void RecordRun(const Database& database,
                 const std::string& id,
                 const std::string& statement,
                 bool writes);
  // Copies to the replica `database` the primary's commits that are older than
  // `lag`.
  void Replicate(Database* database, absl::Duration lag);
  // Stops the database.
  void Stop(const std::string& id);
  // Starts the database.
  void Start(const std::string& id);
  void Demote(const std::string& id);
  // Demotes `id` after the demotion delay, and not before the new primary runs.
  void DemoteLater(const std::string& id);
  std::pair<uint64_t, uint64_t> LogEnd(const Database& database) const;
  std::string FormatReady(const Database& database,
                          const Session& session) const;
  void Register(const std::string& id);
  void RunLater(absl::Duration delay, std::function<void()> task);

  const std::string m_service;
  FakeStore* const m_store;
  const FakeGroupOptions m_options;
  const Route m_route;
  absl::Mutex m_mutex;
  std::map<std::string, Database> m_databases;
  std::string m_primary;  // The primary of the newest term.
  uint64_t m_term;
  size_t m_term_log_size = 0;  // Of the primary when m_term began.
  std::vector<FakeCommit> m_commits;
  std::vector<FakeStatement> m_statements;
  std::vector<FakeRun> m_runs;
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_PLATFORM_FAKES_H_
