// Creates, starts and gracefully stops the components of an instance.

#include "Source/runtime/daemon.h"
#include "Source/base/steady_clock.h"
#include "Source/runtime/grpc_deadline.h"

#include <algorithm>
#include <utility>

#include "Source/decision/member_record.h"
#include "Source/kernel/registry.h"
#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "glog/logging.h"
#include "grpcpp/security/server_credentials.h"
#include "grpcpp/server_builder.h"

namespace heatherwick {

namespace {

constexpr absl::Duration kTickPeriod = absl::Milliseconds(5);
constexpr absl::Duration kReconcilePeriod = absl::Milliseconds(200);
// Peers and the load balancer learn within this time that the instance is
// leaving. Until then it still receives and forwards requests.
constexpr absl::Duration kLeaveAnnouncementTime = absl::Seconds(1);
// A caller with an open connection learns from a reply that the instance is
// leaving. gRPC aborts a request that arrives while the server shuts down, so
// the shutdown waits until no request has arrived for kQuietPeriod. It waits at
// most kMaxQuietWait, because some callers may never stop sending.
constexpr absl::Duration kQuietPeriod = absl::Milliseconds(300);
constexpr absl::Duration kMaxQuietWait = absl::Seconds(5);
constexpr absl::Duration kMinShutdownTime = absl::Milliseconds(500);
// Number of peers that are asked for a sheet before the store is asked.
constexpr size_t kMaxSheetPeers = 3;
// Upper limit of the wait for running gRPC callbacks to return when the homes
// are closed. Callbacks normally return much sooner.
constexpr absl::Duration kCloseTimeout = absl::Seconds(1);
constexpr absl::Duration kStopPollPeriod = absl::Milliseconds(20);

std::string NewIncarnation() {
  absl::BitGen random;
  return MakeIncarnation(absl::Now(), random);
}

}  // namespace

Result<std::unique_ptr<Daemon>> Daemon::Start(const DaemonOptions& options) {
  std::unique_ptr<Daemon> daemon(new Daemon(options));
  const Status created = daemon->CreateComponents();
  if (!Ok(created)) {
    return ErrorOf(created);
  }
  const Status started = daemon->StartServer();
  if (!Ok(started)) {
    return ErrorOf(started);
  }
  return daemon;
}

Daemon::Daemon(const DaemonOptions& options)
    : m_options(options),
      m_decision_log(options.log_level,
                     static_cast<uint32_t>(options.decision_lines)) {}

Daemon::~Daemon() {
  Stop();
}

Status Daemon::CreateComponents() {
  auto store = Registry<StoreClient, const std::string&>::Create(
      m_options.store, m_options.platform);
  if (!Ok(store)) {
    return ErrorOf(store);
  }
  m_store = std::move(ValueOf(store));
  auto driver = Registry<TargetDriver, ChannelPool*>::Create(
      m_options.target_driver, &m_channels);
  if (!Ok(driver)) {
    return ErrorOf(driver);
  }
  m_driver = std::move(ValueOf(driver));
  const auto scheduler = GroupScheduler::Create(m_options.scheduler);
  if (!Ok(scheduler)) {
    return ErrorOf(scheduler);
  }

  const MemberInfo self{m_options.instance_id, m_options.listen,
                        m_options.data_centre, m_options.region,
                        NewIncarnation()};
  const auto log = [this](const DecisionRecord& record) {
    m_decision_log.Write(record, SteadyNow());
  };
  MemberManagerOptions members;
  members.own = self;
  members.store = m_store.get();
  members.channels = &m_channels;
  members.record = log;
  members.own_sheet_version = [this] {
    return m_sheets == nullptr ? 0 : m_sheets->Current().version;
  };
  members.on_peer_sheet = [this](const InstanceId& /*id*/,
                                 const std::string& address, uint64_t version) {
    if (m_sheets != nullptr) {
      m_sheets->ReportVersion(version, address);
    }
  };
  m_members = std::make_unique<MemberManager>(std::move(members));

  SheetManagerOptions sheets;
  sheets.own_id = self.id;
  sheets.store = m_store.get();
  sheets.channels = &m_channels;
  sheets.record = log;
  sheets.is_poller = [this] { return m_members->IsStorePoller(); };
  sheets.peer_addresses = [this] { return RandomPeerAddresses(); };
  m_sheets = std::make_unique<SheetManager>(std::move(sheets));

  m_home_context = {self, m_driver.get(), &m_decision_log, &m_metrics,
                    m_options.scheduler};
  m_homes = std::make_unique<HomeDirectory>(&m_home_context, m_sheets.get(),
                                            m_members.get());
  m_timers = std::make_unique<TimerQueue>();
  m_routing.self = self;
  m_routing.incarnation = [this] { return m_members->Incarnation(); };
  m_routing.homes = m_homes.get();
  m_routing.members = m_members.get();
  m_routing.sheets = m_sheets.get();
  m_routing.channels = &m_channels;
  m_routing.timers = m_timers.get();
  m_routing.decision_log = &m_decision_log;
  m_routing.metrics = &m_metrics;
  m_proxy_service = std::make_unique<ProxyService>(&m_routing);
  m_peer_service = std::make_unique<PeerService>(&m_routing);
  m_operator_service = std::make_unique<OperatorService>(
      &m_routing, [this] { m_drain_requested = true; });
  return std::monostate{};
}

std::vector<std::string> Daemon::RandomPeerAddresses() const {
  std::vector<std::string> addresses;
  for (const MemberInfo& member : *m_members->Members()) {
    if (member.id != m_options.instance_id) {
      addresses.push_back(member.address);
    }
  }
  absl::BitGen random;
  std::shuffle(addresses.begin(), addresses.end(), random);
  addresses.resize(std::min(addresses.size(), kMaxSheetPeers));
  return addresses;
}

Status Daemon::StartServer() {
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(m_options.listen, grpc::InsecureServerCredentials(),
                           &port);
  // Without this setting, a second process could bind the same address and
  // receive some of the calls.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS,
                              static_cast<int>(m_options.threads));
  builder.RegisterService(m_proxy_service.get());
  builder.RegisterService(m_peer_service.get());
  builder.RegisterService(m_operator_service.get());
  m_server = builder.BuildAndStart();
  if (m_server == nullptr || port == 0) {
    return Error{ErrorKind::kInvalidArgument,
                 absl::StrCat("cannot listen on ", m_options.listen),
                 "choose a free address of this machine with --listen"};
  }
  m_members->Start();
  m_tick_thread = std::thread([this] { RunTickLoop(); });
  return std::monostate{};
}

void Daemon::RunTickLoop() {
  absl::Time next_reconcile = absl::InfinitePast();
  while (!m_stopping) {
    const absl::Time now = SteadyNow();
    if (now >= next_reconcile) {
      m_homes->Reconcile();
      CancelCallsToSuspects();
      next_reconcile = now + kReconcilePeriod;
    }
    m_homes->Tick();
    for (const InstanceId& peer : m_routing.peer_calls.TakeSilentPeers(now)) {
      m_members->ReportUnreachable(peer);
    }
    absl::SleepFor(kTickPeriod);
  }
}

void Daemon::CancelCallsToSuspects() {
  for (const MemberInfo& member : *m_members->Members()) {
    if (member.suspect) {
      m_routing.peer_calls.CancelCalls(member.id);
    }
  }
}

bool Daemon::IsDrained(absl::Time start) const {
  const absl::Time now = SteadyNow();
  const absl::Time last_arrival =
      absl::FromUnixMicros(m_routing.last_arrival_us);
  const bool quiet =
      now >= last_arrival + kQuietPeriod || now >= start + kMaxQuietWait;
  return now >= start + kLeaveAnnouncementTime && quiet &&
         m_homes->CountUnfinished() == 0 && m_routing.in_flight == 0;
}

void Daemon::Stop() {
  if (m_server == nullptr) {
    return;
  }
  const absl::Time start = SteadyNow();
  const absl::Time end = start + m_options.stop_timeout;
  m_homes->StartDraining();
  m_members->Leave();
  while (SteadyNow() < end && !IsDrained(start)) {
    absl::SleepFor(kStopPollPeriod);
  }
  // Shutdown waits until its deadline for the requests that are still being
  // served.
  m_server->Shutdown(
      GrpcDeadline(std::max(end, SteadyNow() + kMinShutdownTime)));
  m_stopping = true;
  m_tick_thread.join();
  m_members->Stop();
  m_homes->CloseAll(SteadyNow() + kCloseTimeout);
  m_server->Wait();
  m_server.reset();
}

}  // namespace heatherwick
