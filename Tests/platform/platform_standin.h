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

 private:
  void Accept();

  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  const Serve m_serve;
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
  // Answers 503 to every call.
  void SetBusy(bool busy) { m_busy = busy; }
  // Called for POST /promote with the service and the id; returns a status.
  std::function<unsigned(const std::string&, const std::string&)> on_promote;
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
  std::unique_ptr<LoopbackServer> m_server;
};

// A group of databases with one log that replicas receive at once.
class StandInGroup {
 public:
  StandInGroup(std::string service, size_t databases, StandInStore* store);

  void Promote(const std::string& id);
  void Crash(const std::string& id);
  std::string Primary();
  // Every write that was committed, by the primary that committed it.
  std::vector<std::string> Committed();

 private:
  struct Session {
    bool open = false;  // In a transaction.
    bool failed = false;
    bool read_only = false;
    std::vector<std::string> writes;
    std::map<std::string, std::string> prepared;
  };

  void Serve(const std::string& id, boost::asio::ip::tcp::socket socket);
  std::string Answer(const std::string& id,
                     const std::string& line,
                     Session* session);
  std::string Ready(const Session& session);
  void Register(const std::string& id);

  const std::string m_service;
  StandInStore* const m_store;
  absl::Mutex m_mutex;
  std::map<std::string, std::unique_ptr<LoopbackServer>> m_servers;
  std::string m_primary;
  uint64_t m_term = 1;
  uint64_t m_number = 1;
  std::map<std::string, std::string> m_items;
  std::vector<std::string> m_committed;
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_PLATFORM_STANDIN_H_
