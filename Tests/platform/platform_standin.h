// Small models of the platform's store and of its databases, on loopback, with
// the published protocols. One thread a connection.

#ifndef TESTS_PLATFORM_PLATFORM_STANDIN_H_
#define TESTS_PLATFORM_PLATFORM_STANDIN_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"

namespace heatherwick::platform {

// Accepts connections and serves each in a thread of its own.
class LoopbackServer {
 public:
  using Serve = std::function<void(boost::asio::ip::tcp::socket)>;

  explicit LoopbackServer(Serve serve);

  std::string Address() const;
  // New connections are refused and open ones closed.
  void Close();
  // Serves again at the same address.
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

class StandInStore {
 public:
  StandInStore();

  std::string Address() const { return m_server->Address(); }
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Drop(const std::string& table, const std::string& key);
  // Every n-th transaction is performed and its connection closed without an
  // answer; 0 for none.
  void LoseAnswers(uint64_t every) { m_lose_every = every; }
  // Answers 503 to every call.
  void SetBusy(bool busy) { m_busy = busy; }
  // Called for POST /promote with the service and the id; returns a status.
  std::function<unsigned(const std::string&, const std::string&)> on_promote;
  // Called with the holder and the fencing token of each promotion.
  std::function<void(const std::string&, uint64_t)> on_token;
  uint64_t Calls() const { return m_calls; }

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };

  void Serve(boost::asio::ip::tcp::socket socket);
  unsigned Answer(const std::string& method,
                  const std::string& target,
                  const std::string& body,
                  std::string* reply);
  std::string Rows(const std::string& table, uint64_t after, bool deleted);

  absl::Mutex m_mutex;
  std::map<std::string, std::map<std::string, Row>> m_tables;
  uint64_t m_version = 1;
  std::atomic<bool> m_busy = false;
  std::atomic<uint64_t> m_calls = 0;
  std::atomic<uint64_t> m_lose_every = 0;
  std::unique_ptr<LoopbackServer> m_server;
};

// A commit, as its database made it.
struct StandInCommit {
  std::string id;  // Of the statement that committed.
  std::string item;
  std::string value;
  uint64_t term = 0;
  uint64_t number = 0;
  absl::Time committed;
  bool deposed = false;  // Committed by a primary that had been replaced.
  bool lost = false;     // The promoted database had not received it.
};

struct StandInModel {
  absl::Duration lag;           // From a commit to its receipt by replicas.
  absl::Duration promote_time;  // From the order to its effect.
  absl::Duration demote_time = absl::Seconds(1);  // And to the old one's end.
};

// A group of databases: asynchronous replication, terms, promotion, and a
// replaced primary that goes on leading in its term for a while.
class StandInGroup {
 public:
  // Returns the address that callers of a database's address shall use.
  using Route = std::function<std::string(const std::string&)>;

  StandInGroup(std::string service,
               size_t databases,
               StandInStore* store,
               StandInModel model = {},
               Route route = nullptr);

  void Promote(const std::string& id);
  // Connections are refused until the database is restarted.
  void Crash(const std::string& id);
  // The database runs again with its log.
  void Restart(const std::string& id);
  std::string Primary();
  std::vector<std::string> Names() const;
  // Values of all commits, in order.
  std::vector<std::string> Committed();
  std::vector<StandInCommit> Commits();

 private:
  struct Session {
    bool open = false;  // In a transaction.
    bool failed = false;
    bool read_only = false;
    std::vector<std::pair<std::string, std::string>> writes;
    std::map<std::string, std::string> prepared;
  };
  struct Database {
    std::unique_ptr<LoopbackServer> server;
    bool alive = true;
    bool leads = false;
    uint64_t term = 1;          // In which it leads, or which it follows.
    std::vector<size_t> log;    // Indices into m_commits.
    uint64_t first_number = 1;  // Number before the first entry.
    std::map<std::string, std::string> items;
  };

  void Serve(const std::string& id, boost::asio::ip::tcp::socket socket);
  std::string Answer(const std::string& id,
                     const std::string& line,
                     Session* session);
  std::string Run(Database* database,
                  const std::string& id,
                  const std::string& statement,
                  std::vector<std::string> words,
                  Session* session,
                  std::string* rows);
  void Commit(Database* database,
              const std::string& statement,
              const std::string& item,
              const std::string& value);
  void Append(Database* database, size_t commit);
  // A replica receives what its primary committed before the lag.
  void Receive(Database* database);
  void Demote(const std::string& id);
  std::pair<uint64_t, uint64_t> End(const Database& database) const;
  std::string Ready(const Database& database, const Session& session) const;
  void Register(const std::string& id);
  void RunLater(absl::Duration delay, std::function<void()> task);

  const std::string m_service;
  StandInStore* const m_store;
  const StandInModel m_model;
  const Route m_route;
  absl::Mutex m_mutex;
  std::map<std::string, Database> m_databases;
  std::string m_primary;  // Of the newest term.
  uint64_t m_term = 1;
  std::vector<StandInCommit> m_commits;
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_PLATFORM_STANDIN_H_
