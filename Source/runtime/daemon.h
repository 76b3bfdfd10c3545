// One heatherwick instance: creates, starts and stops its components.

#ifndef SOURCE_RUNTIME_DAEMON_H_
#define SOURCE_RUNTIME_DAEMON_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Source/base/decision_log.h"
#include "Source/base/error.h"
#include "Source/base/metrics.h"
#include "Source/runtime/channel_pool.h"
#include "Source/runtime/daemon_options.h"
#include "Source/runtime/home_directory.h"
#include "Source/runtime/member_manager.h"
#include "Source/runtime/operator_service.h"
#include "Source/runtime/peer_service.h"
#include "Source/runtime/proxy_service.h"
#include "Source/runtime/routed_request.h"
#include "Source/runtime/sheet_manager.h"
#include "Source/runtime/store_client.h"
#include "Source/runtime/target_driver.h"
#include "Source/runtime/timer_queue.h"
#include "grpcpp/server.h"

namespace heatherwick {

class Daemon {
 public:
  // Fails when an address or the name of a plug-in is invalid.
  static Result<std::unique_ptr<Daemon>> Start(const DaemonOptions& options);

  ~Daemon();

  // True once an operator has asked for a drain.
  bool DrainRequested() const { return m_drain_requested; }

  // Stops gracefully: announces that the instance is leaving, accepts no new
  // requests as a home, waits for requests in flight, and closes the server.
  // Returns at most one second after the stop timeout.
  void Stop();

 private:
  explicit Daemon(const DaemonOptions& options);

  Status CreateComponents();
  Status StartServer();
  // Returns the addresses of a few other instances in random order.
  std::vector<std::string> RandomPeerAddresses() const;
  void RunTickLoop();
  // Cancels the calls to suspected instances, so that the requests that wait
  // for them can be completed elsewhere within their deadlines.
  void CancelCallsToSuspects();
  // Returns whether a graceful stop that began at `start` may close the server.
  bool IsDrained(absl::Time start) const;

  const DaemonOptions m_options;
  std::atomic<bool> m_drain_requested{false};
  std::atomic<bool> m_stopping{false};

  // Declared in the order of construction: each member may use those above it.
  DecisionLog m_decision_log;
  Metrics m_metrics;
  ChannelPool m_channels;
  std::unique_ptr<StoreClient> m_store;
  std::unique_ptr<TargetDriver> m_driver;
  std::unique_ptr<MemberManager> m_members;
  std::unique_ptr<SheetManager> m_sheets;
  HomeContext m_home_context;
  std::unique_ptr<HomeDirectory> m_homes;
  std::unique_ptr<TimerQueue> m_timers;
  RoutingContext m_routing;
  std::unique_ptr<ProxyService> m_proxy_service;
  std::unique_ptr<PeerService> m_peer_service;
  std::unique_ptr<OperatorService> m_operator_service;
  std::unique_ptr<grpc::Server> m_server;
  std::thread m_tick_thread;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_DAEMON_H_
