// A caller that writes and reads through a random instance in its own thread.
// It keeps a connection until that ends, then connects to a random instance.

#ifndef TESTS_PLATFORM_SOAK_SOAK_CALLER_H_
#define TESTS_PLATFORM_SOAK_SOAK_CALLER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "Tests/platform/soak/call_history.h"
#include "Tests/platform/soak/workspace_history.h"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"

namespace heatherwick::platform {

// The routes of the soak's configuration; a caller uses one of them.
enum class CallerKind { kOrders, kStock, kViews };

inline constexpr absl::Duration kStockMaxStaleness = absl::Milliseconds(2500);
inline constexpr absl::Duration kViewsMaxStaleness = absl::Milliseconds(1500);

// The name under which callers of this kind reach the group.
std::string DatabaseName(CallerKind kind, const std::string& group);

class SoakCaller {
 public:
  // The caller uses the database of its kind in the group `group`. It writes
  // and reads `item`, which no other caller writes. A kViews caller only reads,
  // and reads from `read_items`. With a key, what it sends is added to
  // `workspaces`.
  SoakCaller(CallerKind kind,
             std::string group,
             std::string item,
             std::vector<std::string> read_items,
             std::vector<uint16_t> ports,
             uint32_t seed,
             CallHistory* history,
             std::string key = "",
             WorkspaceHistory* workspaces = nullptr);
  ~SoakCaller();

  void Stop() { m_stop = true; }
  // Number of writes that were reported as done so far.
  uint64_t AcknowledgedWrites() const { return m_acknowledged_writes; }
  CallerKind Kind() const { return m_kind; }
  // Its item and, with workspaces, its key.
  std::string Name() const {
    return m_key.empty() ? m_item : m_item + "(" + m_key + ")";
  }

 private:
  class Connection;

  void Run();
  bool Connect();
  void Write();
  void WriteInTransaction();
  void Read();
  void Record(uint64_t number, WriteOutcome outcome);
  uint32_t RandomBelow(uint32_t limit) { return m_random() % limit; }

  const CallerKind m_kind;
  const std::string m_group;
  const std::string m_item;
  const std::vector<std::string> m_read_items;
  const std::vector<uint16_t> m_ports;
  CallHistory* const m_history;
  const std::string m_key;  // Empty without workspaces.
  WorkspaceHistory* const m_workspaces;
  std::mt19937 m_random;
  uint64_t m_last_number = 0;
  std::unique_ptr<Connection> m_connection;
  absl::Time m_session_start;
  std::atomic<bool> m_stop = false;
  std::atomic<uint64_t> m_acknowledged_writes = 0;
  std::thread m_thread;
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_SOAK_SOAK_CALLER_H_
