// Stand-ins of the platform: the metadata store, the promotion call, and the
// machines on which heatherwick's processes run.

#ifndef REVIEW_STANDIN_PLATFORM_H_
#define REVIEW_STANDIN_PLATFORM_H_

#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "network.h"

namespace review {

// The store of PROTOCOL.md in the form of a table.
class Store {
 public:
  Store();

  std::string Address() const { return m_listener->Address(); }
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Drop(const std::string& table, const std::string& key);

 private:
  struct Row {
    std::string value;  // In base64.
    uint64_t version = 0;
    bool deleted = false;
  };

  void Serve(Socket socket);
  int Handle(const std::string& target,
             const std::string& body,
             std::string* answer);
  int Commit(const std::string& body, std::string* answer);
  std::string Rows(const std::string& table, uint64_t after, bool deleted);
  bool Changed(const std::string& table, uint64_t after);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, Row>> m_tables;
  uint64_t m_version = 1;
  std::unique_ptr<Listener> m_listener;
};

// Serves POST /promote.
class PromotionService {
 public:
  // Called with the service, the id, the holder and the fencing token; returns
  // the status.
  using Promote = std::function<int(const std::string&,
                                    const std::string&,
                                    const std::string&,
                                    uint64_t)>;

  explicit PromotionService(Promote promote);
  std::string Address() const { return m_listener->Address(); }

 private:
  void Serve(Socket socket);

  Promote m_promote;
  std::unique_ptr<Listener> m_listener;
};

// One `front` machine with the process that the deploy file starts on it.
class Machine {
 public:
  Machine(const std::string& name,
          const std::string& zone,
          const std::string& store,
          const std::string& promotions,
          const std::string& folder);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  void Start();
  void Signal(int number);
  void Kill();
  // True once the process has ended; it is not started again.
  bool Ended();
  bool Ready() const;
  // Memory that the process uses, in MB.
  double MemoryMb() const;
  uint16_t Port() const { return m_port; }
  const std::string& Name() const { return m_name; }

  // Ends the processes of all machines, before this process exits.
  static void KillAll();

  static constexpr double kMemoryMb = 260;
  static constexpr double kGraceMs = 6000;

 private:
  // Called once the process has ended.
  void Forget();

  const std::string m_name;
  const std::string m_file;
  const uint16_t m_port;
  pid_t m_process = 0;
};

}  // namespace review

#endif  // REVIEW_STANDIN_PLATFORM_H_
