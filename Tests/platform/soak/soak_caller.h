// A caller that writes and reads through any instance, in a thread of its own,
// and keeps open connections until they end.

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
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"

namespace heatherwick::platform {

// The routes of the soak's configuration.
enum class CallerKind { kOrders, kStock, kViews };

inline constexpr absl::Duration kStockAge = absl::Milliseconds(2500);
inline constexpr absl::Duration kViewsAge = absl::Milliseconds(1500);

class SoakCaller {
 public:
  // Writes and reads an item of its own; kViews reads `watched` instead.
  SoakCaller(CallerKind kind,
             std::string item,
             std::vector<std::string> watched,
             std::vector<uint16_t> ports,
             uint32_t seed,
             CallHistory* history);
  ~SoakCaller();

  void Stop() { m_stop = true; }
  // Writes that were told done so far.
  uint64_t Done() const { return m_done; }
  CallerKind Kind() const { return m_kind; }

 private:
  class Connection;

  void Run();
  bool Connect();
  void Write();
  void WriteInTransaction();
  void Read();
  void Record(uint64_t number, WriteOutcome outcome);
  uint32_t Below(uint32_t limit) { return m_random() % limit; }

  const CallerKind m_kind;
  const std::string m_item;
  const std::vector<std::string> m_watched;
  const std::vector<uint16_t> m_ports;
  CallHistory* const m_history;
  std::mt19937 m_random;
  uint64_t m_number = 0;
  std::unique_ptr<Connection> m_connection;
  absl::Time m_session_began;
  std::atomic<bool> m_stop = false;
  std::atomic<uint64_t> m_done = 0;
  std::thread m_thread;
};

}  // namespace heatherwick::platform

#endif  // TESTS_PLATFORM_SOAK_SOAK_CALLER_H_
