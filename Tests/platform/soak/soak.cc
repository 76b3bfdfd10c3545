// Injects the faults and runs the checks.

#include "Tests/platform/soak/soak.h"

#include <signal.h>
#include <stdlib.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <utility>

#include "Tests/platform/soak/pause_draws.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "boost/beast/core.hpp"
#include "boost/beast/http.hpp"

namespace heatherwick::platform {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kDatabaseCount = 3;
constexpr size_t kCallersPerKind = 4;
// An instance that can reach the store again serves well within this time.
constexpr absl::Duration kRecoveryTimeout = absl::Seconds(20);
constexpr absl::Duration kReplicaLag = absl::Milliseconds(30);
// Bounds of the random pause between two faults and of the random duration of
// a fault.
constexpr uint32_t kMaxPauseBetweenFaultsMs = 900;
constexpr uint32_t kMaxFaultDurationMs = 4000;
// With late orders all instances are killed at the same moment, after a random
// time between these bounds.
constexpr uint32_t kMinTimeToKillAllMs = 4000;
constexpr uint32_t kMaxTimeToKillAllMs = 14000;

// Bounds of the random pause between two changes of keys.
constexpr uint32_t kMinTimeToChangeKeyMs = 500;
constexpr uint32_t kMaxTimeToChangeKeyMs = 3000;
// Shorter than most outages of the store, so that instances reach it.
constexpr absl::Duration kRevocationLimit = absl::Milliseconds(2500);
// Those of the deployments with workspaces.
constexpr double kQuotaOvershoot = 0.1;
constexpr double kQuotaSlack = 20;
// Quotas of the workspaces but the first, which has none. With 2.5 operations a
// second a caller was not served for 8 s, as others were admitted before it.
constexpr WorkspaceQuota kQuotas[] = {{40, 20}, {15, 5}, {7.5, 4}};

// With returns of the store: between two copies, and bounds of the random pause
// between two returns, one in four of which comes within a second.
constexpr absl::Duration kCopyInterval = absl::Milliseconds(250);
constexpr uint32_t kMinTimeToReturnMs = 3000;
constexpr uint32_t kMaxTimeToReturnMs = 12000;
constexpr uint32_t kMaxTimeToNextReturnMs = 1000;
constexpr uint32_t kMaxCopyAgeMs = 6000;
// Longer than a lease, so that some returns find no valid one.
constexpr uint32_t kMaxStoreAwayMs = 2500;
constexpr uint32_t kMaxRewriteTimeMs = 2000;

// With faults of the links between instances: bounds of the random duration of
// a fault, of which one in four is long, and of the pause before the next.
// Shorter ones end before a lease does.
constexpr uint32_t kMinLinkFaultMs = 1500;
constexpr uint32_t kMaxLinkFaultMs = 7000;
constexpr uint32_t kMaxLongLinkFaultMs = 25000;
constexpr uint32_t kMaxTimeToLinkFaultMs = 3000;

// With long faults: the term that the first group begins in; each other group
// begins in the next one.
constexpr uint64_t kFirstTerm = 3;

// Kinds of the faults of an instance.
enum InstanceFault : uint32_t { kKill, kTerminate, kPause, kHangUp };

bool IsReady(uint16_t port) {
  namespace http = boost::beast::http;
  boost::asio::io_context context;
  tcp::socket socket(context);
  error_code error;
  socket.connect({boost::asio::ip::make_address("127.0.0.1"), port}, error);
  http::request<http::empty_body> request(http::verb::get, "/heatherwick/ready",
                                          11);
  if (!error) {
    http::write(socket, request, error);
  }
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  if (!error) {
    http::read(socket, buffer, response, error);
  }
  return !error && response.result_int() == 200;
}

absl::Duration TimeToKillAll(std::mt19937* random) {
  return absl::Milliseconds(kMinTimeToKillAllMs +
                            (*random)() %
                                (kMaxTimeToKillAllMs - kMinTimeToKillAllMs));
}

std::string GroupNameAt(int index) {
  return absl::StrCat("s", index);
}

std::string WorkspaceNameAt(size_t index) {
  return absl::StrCat("w", index);
}

std::string KeyAt(size_t workspace, size_t index) {
  return absl::StrCat("soakkey-", workspace, "-", index);
}

// Nothing for the first workspace.
std::optional<WorkspaceQuota> QuotaAt(size_t workspace) {
  return workspace == 0
             ? std::nullopt
             : std::optional(kQuotas[(workspace - 1) % std::size(kQuotas)]);
}

// `workspaces` is the list of them; empty if there is none.
std::string Configuration(int version,
                          int groups,
                          int sync_replicas,
                          const std::string& workspaces) {
  std::vector<std::string> routes;
  std::vector<std::string> services;
  const auto add_route = [&](CallerKind kind, const char* type,
                             absl::Duration max_staleness,
                             const std::string& group) {
    const std::string host = DatabaseName(kind, group);
    routes.push_back(absl::StrCat(
        R"({"name":")", host, R"(","host":")", host, R"(","type":")", type,
        R"(","maxStalenessMs":)", absl::ToInt64Milliseconds(max_staleness),
        R"(,"timeoutMs":1500,"targetLatencyMs":200,)",
        R"("priority":1,"service":")", group, R"("})"));
  };
  for (int index = 0; index < groups; ++index) {
    const std::string group = GroupNameAt(index);
    add_route(CallerKind::kOrders, "primary", absl::ZeroDuration(), group);
    add_route(CallerKind::kStock, "read_your_writes", kStockMaxStaleness,
              group);
    add_route(CallerKind::kViews, "bounded_staleness", kViewsMaxStaleness,
              group);
    services.push_back(absl::StrCat(
        R"({"name":")", group, R"(","maxConnections":60)",
        sync_replicas > 0 ? absl::StrCat(R"(,"syncReplicas":)", sync_replicas)
                          : "",
        "}"));
  }
  return absl::StrCat(R"({"version":)", version, R"(,"routes":[)",
                      absl::StrJoin(routes, ","), R"(],"services":[)",
                      absl::StrJoin(services, ","),
                      workspaces.empty() ? "]" : R"(],"tenants":)", workspaces,
                      R"(,"limits":{"txIdleMs":3000}})");
}

}  // namespace

Soak::Soak(const SoakOptions& options)
    : m_options(options),
      m_random(static_cast<uint32_t>(options.seed)),
      m_planner(static_cast<uint32_t>(options.seed), options.orders_late),
      m_key_random(static_cast<uint32_t>(options.seed)),
      m_return_random(static_cast<uint32_t>(options.seed)),
      m_link_random(static_cast<uint32_t>(options.seed)),
      m_replica_random(static_cast<uint32_t>(options.seed)),
      m_workspace_history(kRevocationLimit,
                          {absl::Seconds(5), kQuotaOvershoot, kQuotaSlack}) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "heatherwick-soak-XXXXXX");
  m_directory = mkdtemp(pattern.data());
  for (int index = 0; index < options.groups; ++index) {
    AddGroup(GroupNameAt(index));
  }
  m_store->on_promote = [this](const FakePromotionOrder& order) {
    return TakeOrder(order);
  };
  for (int index = 0; index < options.workspaces; ++index) {
    const auto workspace = static_cast<size_t>(index);
    for (const size_t key : {0, 1}) {
      SetKey(KeyAt(workspace, key), WorkspaceNameAt(workspace));
    }
    if (QuotaAt(workspace)) {
      m_workspace_history.SetQuota(WorkspaceNameAt(workspace),
                                   *QuotaAt(workspace));
    }
  }
  m_store->Put("op", "config",
               Configuration(m_configuration_version, options.groups,
                             options.sync_replicas, Workspaces()));
  // Earlier versions drew the ports from the seed, too; its faults stay the
  // same.
  m_random.discard(static_cast<uint64_t>(options.instances));
  std::vector<uint16_t> ports;
  for (int index = 0; index < options.instances; ++index) {
    m_store_links.push_back(new FaultProxy(m_store->Address()));
    InstanceSettings settings;
    settings.program = options.program;
    settings.directory = m_directory;
    settings.name = absl::StrCat("i", index);
    settings.store = m_store_links.back()->Address();
    settings.promotions = settings.store;
    if (options.workspaces > 0) {
      settings.more_lines = absl::StrCat(
          "bounds.revokeStrict=true\nbounds.revokeMs=",
          absl::ToInt64Milliseconds(kRevocationLimit),
          "\nbounds.quotaWindowS=5\nbounds.quotaOvershoot=", kQuotaOvershoot,
          "\nbounds.quotaSlack=", kQuotaSlack, "\n");
    }
    m_ports.push_back(std::make_unique<PortBlock>());
    settings.first_port = m_ports.back()->FirstPort();
    if (options.peer_links) {
      m_peer_links.push_back(
          new FaultProxy(InstanceProcess::PeerAddress(settings.first_port)));
      settings.advertised_peer = m_peer_links.back()->Address();
    }
    ports.push_back(settings.first_port);
    m_instances.push_back(std::make_unique<InstanceProcess>(settings));
    m_down_until.push_back(absl::InfinitePast());
  }
  RestartExitedInstances();
  size_t item_count = 0;
  for (const FakeDatabaseGroup* group : m_groups) {
    std::vector<std::string> items;
    for (const CallerKind kind :
         {CallerKind::kOrders, CallerKind::kStock, CallerKind::kViews}) {
      for (size_t index = 0; index < kCallersPerKind; ++index) {
        const std::string item = absl::StrCat("k", item_count++);
        const size_t workspaces = static_cast<size_t>(options.workspaces);
        m_callers.push_back(std::make_unique<SoakCaller>(
            kind, group->Name(), item, items, ports, m_random(), &m_history,
            workspaces == 0
                ? ""
                : KeyAt(item_count % workspaces, item_count / workspaces % 2),
            workspaces == 0 ? nullptr : &m_workspace_history));
        items.push_back(item);
        if (kind != CallerKind::kViews) {
          m_items[group->Name()].push_back(item);
        }
      }
    }
  }
}

void Soak::AddGroup(const std::string& name) {
  FakeGroupOptions options{kReplicaLag, absl::ZeroDuration()};
  options.first_term = m_options.long_faults ? kFirstTerm + m_groups.size() : 1;
  options.sync_replicas = static_cast<uint32_t>(m_options.sync_replicas);
  m_groups.push_back(
      new FakeDatabaseGroup(name, kDatabaseCount, m_store, options,
                            [this](const std::string& address) {
                              FaultProxy*& link = m_database_links[address];
                              if (link == nullptr) {
                                link = new FaultProxy(address);
                              }
                              return link->Address();
                            }));
}

std::vector<FakeCommit> Soak::Commits() {
  std::vector<FakeCommit> all;
  for (FakeDatabaseGroup* group : m_groups) {
    for (FakeCommit& commit : group->Commits()) {
      all.push_back(std::move(commit));
    }
  }
  return all;
}

void Soak::PutConfiguration() {
  m_store->Put("op", "config",
               Configuration(++m_configuration_version, m_options.groups,
                             m_options.sync_replicas, Workspaces()));
}

std::string Soak::Workspaces() const {
  if (m_options.workspaces == 0) {
    return "";
  }
  std::vector<std::string> list;
  for (int index = 0; index < m_options.workspaces; ++index) {
    const std::string name = WorkspaceNameAt(static_cast<size_t>(index));
    std::vector<std::string> keys;
    for (const auto& [key, workspace] : m_keys) {
      if (workspace == name) {
        keys.push_back(absl::StrCat("\"", key, "\""));
      }
    }
    const auto quota = QuotaAt(static_cast<size_t>(index));
    list.push_back(absl::StrCat(
        R"({"name":")", name, R"(","apiKeys":[)", absl::StrJoin(keys, ","), "]",
        quota ? absl::StrCat(R"(,"ratePerS":)", quota->rate_per_s,
                             R"(,"burst":)", quota->burst)
              : "",
        "}"));
  }
  return absl::StrCat("[", absl::StrJoin(list, ","), "]");
}

void Soak::SetKey(const std::string& key, const std::string& workspace) {
  m_keys[key] = workspace;
  m_workspace_history.SetKey(key, workspace, SteadyNow());
}

void Soak::ChangeKey() {
  const auto changed = std::next(
      m_keys.begin(), static_cast<ptrdiff_t>(m_key_random() % m_keys.size()));
  const std::string target =
      m_key_random() % 2 == 0
          ? ""
          : WorkspaceNameAt(m_key_random() %
                            static_cast<size_t>(m_options.workspaces));
  PrintEvent(
      absl::StrCat("key ", changed->first, " is now of \"", target, "\""));
  // The history has the time after the change, so that the one before counts
  // until then.
  m_keys[changed->first] = target;
  PutConfiguration();
  m_workspace_history.SetKey(changed->first, target, SteadyNow());
}

void Soak::RestoreKeys() {
  for (int index = 0; index < m_options.workspaces; ++index) {
    for (const size_t key : {0, 1}) {
      const auto workspace = static_cast<size_t>(index);
      m_keys[KeyAt(workspace, key)] = WorkspaceNameAt(workspace);
    }
  }
  PutConfiguration();
  for (const auto& [key, workspace] : m_keys) {
    m_workspace_history.SetKey(key, workspace, SteadyNow());
  }
}

void Soak::CheckWorkspaces() {
  std::vector<FakeStatement> reached;
  for (FakeDatabaseGroup* group : m_groups) {
    for (FakeStatement& statement : group->Statements()) {
      reached.push_back(std::move(statement));
    }
  }
  for (std::string& violation : m_workspace_history.Check(reached)) {
    m_violations.push_back(std::move(violation));
  }
  for (const auto& instance : m_instances) {
    std::ifstream log(absl::StrCat(m_directory, "/", instance->Name(), ".log"));
    for (std::string line; std::getline(log, line);) {
      if (absl::StrContains(line, "soakkey-")) {
        m_violations.push_back(
            absl::StrCat("the log of ", instance->Name(), " has a key"));
        break;
      }
    }
  }
  PrintEvent(m_workspace_history.Summary());
}

void Soak::PrintEvent(const std::string& event) {
  std::cout << absl::StrCat(absl::ToInt64Milliseconds(SteadyNow() - m_start),
                            " ms ", event, "\n")
            << std::flush;
}

unsigned Soak::TakeOrder(const FakePromotionOrder& order) {
  m_history.AddPromotion({order.holder, order.fencing_token});
  const OrderPlan plan = m_planner.Plan();
  unsigned status = 409;
  for (FakeDatabaseGroup* group : m_groups) {
    if (group->Name() == order.service) {
      status = group->Promote(order.id, plan.effect_delay);
      size_t holder = 0;
      while (holder < m_instances.size() &&
             m_instances[holder]->Name() != order.holder) {
        ++holder;
      }
      m_last_holder = holder % m_instances.size();
      absl::MutexLock lock(&m_orders_mutex);
      for (const OrderFault& fault : plan.faults) {
        m_order_faults.push_back(
            {SteadyNow() + fault.start, fault, group, order.id, m_last_holder});
      }
    }
  }
  PrintEvent(
      absl::StrCat(order.holder, " orders ", order.id,
                   " token=", order.fencing_token, " status=", status,
                   " effect_ms=", absl::ToInt64Milliseconds(plan.effect_delay),
                   " answer_ms=", absl::ToInt64Milliseconds(plan.answer_delay),
                   plan.answer_lost ? " answer lost" : ""));
  absl::SleepFor(plan.answer_delay);
  return plan.answer_lost ? 0 : status;
}

void Soak::InjectOrderFaults() {
  std::vector<ScheduledOrderFault> due;
  {
    absl::MutexLock lock(&m_orders_mutex);
    const auto first_due =
        std::partition(m_order_faults.begin(), m_order_faults.end(),
                       [](const ScheduledOrderFault& fault) {
                         return fault.at > SteadyNow();
                       });
    due.assign(first_due, m_order_faults.end());
    m_order_faults.erase(first_due, m_order_faults.end());
  }
  for (const ScheduledOrderFault& scheduled : due) {
    InjectOrderFault(scheduled);
  }
}

void Soak::InjectOrderFault(const ScheduledOrderFault& scheduled) {
  const OrderFault& fault = scheduled.fault;
  const absl::Time end = SteadyNow() + fault.duration;
  InstanceProcess* const holder = m_instances[scheduled.holder].get();
  switch (fault.kind) {
    case OrderFaultKind::kKillHolder:
      KillInstances(scheduled.holder, 1, fault.duration);
      break;
    case OrderFaultKind::kTerminateHolder:
      InjectInstanceFault(holder, kTerminate, end);
      break;
    case OrderFaultKind::kPauseHolder:
      InjectInstanceFault(holder, kPause, end);
      break;
    case OrderFaultKind::kKillAllInstances:
      KillInstances(0, m_instances.size(), fault.duration);
      break;
    case OrderFaultKind::kCrashTarget:
      CrashDatabase(scheduled.group, scheduled.id, end);
      break;
  }
}

void Soak::KillInstances(size_t first, size_t count, absl::Duration down) {
  PrintEvent(absl::StrCat("kill ", count, " instances from ",
                          m_instances[first]->Name(), " for ",
                          absl::ToInt64Milliseconds(down), " ms"));
  for (size_t index = first; index < first + count; ++index) {
    m_instances[index]->Signal(SIGKILL);
    m_down_until[index] = SteadyNow() + down;
  }
  for (size_t index = first; index < first + count; ++index) {
    m_instances[index]->Kill();
  }
}

absl::Time Soak::RandomEnd() {
  return SteadyNow() + absl::Milliseconds(RandomBelow(kMaxFaultDurationMs));
}

void Soak::InjectInstanceFault(InstanceProcess* instance,
                               uint32_t kind,
                               absl::Time end) {
  if (instance == m_long_paused) {
    return;
  }
  switch (kind) {
    case kKill:
      PrintEvent(absl::StrCat("kill ", instance->Name()));
      instance->Kill();
      break;
    case kTerminate:
      PrintEvent(absl::StrCat("terminate ", instance->Name()));
      instance->Signal(SIGTERM);
      break;
    case kPause:
      PrintEvent(absl::StrCat("pause ", instance->Name()));
      instance->Signal(SIGSTOP);
      m_scheduled_ends.push_back({end, [this, instance]() {
                                    if (instance != m_long_paused) {
                                      instance->Signal(SIGCONT);
                                    }
                                  }});
      break;
    default:
      PrintEvent(absl::StrCat("hang up ", instance->Name()));
      instance->Signal(SIGHUP);
      break;
  }
}

std::string Soak::DatabaseToCrash(FakeDatabaseGroup* group) {
  const std::string primary = group->Primary();
  const std::string any = group->Names()[RandomBelow(kDatabaseCount)];
  return RandomBelow(2) == 0 ? primary : any;
}

void Soak::CrashDatabase(FakeDatabaseGroup* group,
                         const std::string& id,
                         absl::Time end) {
  PrintEvent(absl::StrCat("crash ", id));
  group->Crash(id);
  m_scheduled_ends.push_back({end, [group, id]() { group->Restart(id); }});
}

void Soak::CrashReplicas() {
  FakeDatabaseGroup* const group =
      m_groups[m_replica_random() % m_groups.size()];
  const std::string primary = group->Primary();
  std::vector<std::string> replicas = group->Names();
  std::erase(replicas, primary);
  std::shuffle(replicas.begin(), replicas.end(), m_replica_random);
  // In half of the cases as many as a commit needs.
  replicas.resize(m_replica_random() % 2 == 0
                      ? static_cast<size_t>(m_options.sync_replicas)
                      : 1);
  CrashDatabase(group, primary,
                SteadyNow() + DrawTime(kReplicaCrash, &m_replica_random));
  for (const std::string& id : replicas) {
    CrashDatabase(group, id,
                  SteadyNow() + DrawTime(kReplicaCrash, &m_replica_random));
  }
  if (m_replica_random() % 2 == 0) {
    m_scheduled_ends.push_back(
        {SteadyNow() + DrawTime(kTimeToKillAllAfterCrash, &m_replica_random),
         [this]() {
           KillInstances(0, m_instances.size(), absl::ZeroDuration());
         }});
  }
}

void Soak::LoseReplicaLog() {
  FakeDatabaseGroup* const group =
      m_groups[m_replica_random() % m_groups.size()];
  const std::vector<std::string> names = group->Names();
  const std::string& id = names[m_replica_random() % names.size()];
  const absl::Time end =
      SteadyNow() + DrawTime(kLostLogRestart, &m_replica_random);
  // More logs than one may be the only ones with a commit; the group then waits
  // for them without end.
  if (m_groups_with_lost_log.contains(group->Name()) || !group->LoseLog(id)) {
    return;
  }
  m_groups_with_lost_log.insert(group->Name());
  PrintEvent(absl::StrCat(id, " loses its log"));
  m_scheduled_ends.push_back({end, [group, id]() { group->RestartEmpty(id); }});
}

void Soak::DrainDatabase(FakeDatabaseGroup* group, absl::Time end) {
  const std::string id = group->Primary();
  PrintEvent(absl::StrCat("drain ", id));
  group->SetDraining(id, true);
  m_scheduled_ends.push_back(
      {end, [group, id]() { group->SetDraining(id, false); }});
}

void Soak::InjectFault() {
  static constexpr LinkFault kFaults[] = {
      LinkFault::kDelayed, LinkFault::kSilent, LinkFault::kAnswersLost};
  static constexpr const char* kFaultNames[] = {"delayed", "silent",
                                                "answers lost"};
  const absl::Time end = RandomEnd();
  const uint32_t fault = RandomBelow(3);
  const auto disturb_link = [&](FaultProxy* link, const std::string& name) {
    PrintEvent(absl::StrCat("link to ", name, " ", kFaultNames[fault]));
    link->SetFault(kFaults[fault]);
    m_scheduled_ends.push_back(
        {end, [link]() { link->SetFault(LinkFault::kNone); }});
  };
  const size_t instance_index = RandomBelow(m_instances.size());
  FakeDatabaseGroup* const group = m_groups[RandomBelow(m_groups.size())];
  const uint32_t extra = m_options.restart_often ? RandomBelow(10) : 10;
  // With late orders more of the faults are such that a change follows.
  if (extra < (m_options.orders_late ? 2 : 4)) {
    // Often the instance that carries out a change.
    const size_t holder = m_last_holder;
    const size_t index = RandomBelow(2) == 0 ? holder : instance_index;
    const uint32_t kind = RandomBelow(5);
    InjectInstanceFault(m_instances[index].get(), kind <= kPause ? kind : kKill,
                        RandomEnd());
    return;
  }
  if (extra < 8) {
    if (RandomBelow(2) == 0) {
      CrashDatabase(group, DatabaseToCrash(group), end);
    } else {
      DrainDatabase(group, end);
    }
    return;
  }
  switch (RandomBelow(m_options.groups > 1 ? 11 : 9)) {
    case 9:
      DrainDatabase(group, end);
      break;
    case 10:
      CrashDatabase(group, DatabaseToCrash(group), end);
      break;
    case 0:
    case 1:
    case 2: {
      const uint32_t kind = RandomBelow(kHangUp + 1);
      InjectInstanceFault(m_instances[instance_index].get(), kind, RandomEnd());
      break;
    }
    case 3:
      disturb_link(m_store_links[instance_index],
                   absl::StrCat("the store of i", instance_index));
      break;
    case 4: {
      const auto link = std::next(m_database_links.begin(),
                                  RandomBelow(m_database_links.size()));
      disturb_link(link->second, "the database at " + link->first);
      break;
    }
    case 5: {
      const auto link = std::next(m_database_links.begin(),
                                  RandomBelow(m_database_links.size()));
      PrintEvent("reset the connections to the database at " + link->first);
      link->second->Reset();
      break;
    }
    case 6:
      CrashDatabase(group, DatabaseToCrash(group), end);
      break;
    case 7:
      PrintEvent("the store loses answers");
      m_store->LoseAnswers(2 + RandomBelow(4));
      m_scheduled_ends.push_back({end, [this]() { m_store->LoseAnswers(0); }});
      break;
    default:
      if (RandomBelow(2) == 0) {
        PrintEvent("the store refuses all calls");
        m_store->SetBusy(true);
        m_scheduled_ends.push_back(
            {end, [this]() { m_store->SetBusy(false); }});
      } else {
        PrintEvent("change the configuration");
        PutConfiguration();
      }
      break;
  }
}

absl::Time Soak::DisturbPeerLinks() {
  static constexpr LinkFault kFaults[] = {
      LinkFault::kRefused, LinkFault::kRefused, LinkFault::kSilent,
      LinkFault::kDelayed, LinkFault::kAnswersLost};
  static constexpr const char* kFaultNames[] = {"refused", "refused", "silent",
                                                "delayed", "answers lost"};
  const uint32_t instance = m_link_random() % m_instances.size();
  const uint32_t fault = m_link_random() % std::size(kFaults);
  const uint32_t scope = m_link_random() % 8;
  const uint32_t limit_ms =
      m_link_random() % 4 == 0 ? kMaxLongLinkFaultMs : kMaxLinkFaultMs;
  const uint32_t duration_ms =
      kMinLinkFaultMs + m_link_random() % (limit_ms - kMinLinkFaultMs);
  // The ways to all other instances are disturbed, so that none of their
  // answers reaches this one. The others go on with the store. Without the way
  // to this instance it is not told of changes, either.
  std::vector<FaultProxy*> links;
  for (size_t index = 0; index < m_peer_links.size(); ++index) {
    if (index != instance || scope > 0) {
      links.push_back(m_peer_links[index]);
    }
  }
  if (scope > 1) {
    links.push_back(m_store_links[instance]);
  }
  PrintEvent(absl::StrCat("links to the peers of i", instance,
                          scope > 1 ? " and to its store" : "", " ",
                          kFaultNames[fault], " for ", duration_ms, " ms"));
  for (FaultProxy* const link : links) {
    link->SetFault(kFaults[fault]);
  }
  const absl::Time end = SteadyNow() + absl::Milliseconds(duration_ms);
  m_scheduled_ends.push_back({end, [this, links]() {
                                PrintEvent("links between instances restored");
                                for (FaultProxy* const link : links) {
                                  link->SetFault(LinkFault::kNone);
                                }
                              }});
  return end;
}

absl::Time Soak::PauseForLong() {
  InstanceProcess* const instance =
      m_instances[m_link_random() % m_instances.size()].get();
  const absl::Duration pause = DrawTime(kLongPause, &m_link_random);
  const absl::Time end = SteadyNow() + pause;
  PrintEvent(absl::StrCat("pause ", instance->Name(), " for ",
                          absl::ToInt64Milliseconds(pause), " ms"));
  instance->Signal(SIGSTOP);
  m_long_paused = instance;
  m_scheduled_ends.push_back({end, [this, instance]() {
                                PrintEvent(
                                    absl::StrCat(instance->Name(), " goes on"));
                                m_long_paused = nullptr;
                                instance->Signal(SIGCONT);
                              }});
  return end;
}

void Soak::LosePower() {
  PrintEvent("the power is lost");
  const absl::Duration down = DrawTime(kTimeWithoutPower, &m_link_random);
  KillInstances(0, m_instances.size(), down);
  for (FakeDatabaseGroup* const group : m_groups) {
    for (const std::string& id : group->Names()) {
      CrashDatabase(group, id,
                    SteadyNow() + DrawTime(kTimeWithoutPower, &m_link_random));
    }
  }
  while (!m_scheduled_ends.empty()) {
    EndFaults(SteadyNow());
    RestartExitedInstances();
    absl::SleepFor(absl::Milliseconds(20));
  }
}

void Soak::ReturnStore() {
  const absl::Duration age =
      absl::Milliseconds(m_return_random() % kMaxCopyAgeMs);
  const absl::Duration rewrite_time =
      absl::Milliseconds(m_return_random() % kMaxRewriteTimeMs);
  const absl::Duration away =
      m_return_random() % 2 == 0
          ? absl::ZeroDuration()
          : absl::Milliseconds(m_return_random() % kMaxStoreAwayMs);
  PrintEvent(absl::StrCat("the store is away for ",
                          absl::ToInt64Milliseconds(away),
                          " ms and returns from a copy that is ",
                          absl::ToInt64Milliseconds(age), " ms old"));
  if (away > absl::ZeroDuration()) {
    m_store->SetBusy(true);
  }
  m_scheduled_ends.push_back({SteadyNow() + away, [this, age, rewrite_time]() {
                                m_store->ReturnToCopy(age, rewrite_time);
                                m_returns.push_back(SteadyNow());
                                m_store->SetBusy(false);
                                PrintEvent(
                                    absl::StrCat("era ", m_store->Era()));
                              }});
}

void Soak::PrintRecoveries() {
  std::vector<absl::Duration> groups;
  std::vector<absl::Duration> callers;
  for (size_t index = 0; index < m_returns.size(); ++index) {
    const absl::Time next = index + 1 < m_returns.size()
                                ? m_returns[index + 1]
                                : absl::InfiniteFuture();
    for (const auto& [group, items] : m_items) {
      const std::vector<absl::Duration> times =
          m_history.TimesToNextWrite(m_returns[index], items);
      const auto [first, last] =
          std::minmax_element(times.begin(), times.end());
      // A return soon after this one starts the wait anew.
      if (m_returns[index] + *last < next) {
        groups.push_back(*first);
        callers.push_back(*last);
      }
    }
  }
  if (groups.empty()) {
    return;
  }
  std::sort(groups.begin(), groups.end());
  std::sort(callers.begin(), callers.end());
  PrintEvent(
      absl::StrCat("returns=", m_returns.size(), " counted=", groups.size(),
                   " ms until a group takes writes: median ",
                   absl::ToInt64Milliseconds(groups[groups.size() / 2]),
                   " worst ", absl::ToInt64Milliseconds(groups.back()),
                   ", until all its callers do: median ",
                   absl::ToInt64Milliseconds(callers[callers.size() / 2]),
                   " worst ", absl::ToInt64Milliseconds(callers.back())));
}

void Soak::EndFaults(absl::Time until) {
  for (size_t index = 0; index < m_scheduled_ends.size();) {
    if (m_scheduled_ends[index].at <= until) {
      m_scheduled_ends[index].action();
      m_scheduled_ends.erase(m_scheduled_ends.begin() +
                             static_cast<ptrdiff_t>(index));
    } else {
      ++index;
    }
  }
}

void Soak::RestartExitedInstances() {
  for (size_t index = 0; index < m_instances.size(); ++index) {
    const auto& instance = m_instances[index];
    bool unexpected = false;
    if (instance->Reap(&unexpected)) {
      if (unexpected) {
        m_violations.push_back(instance->Name() + " exited unexpectedly");
      }
      if (m_down_until[index] <= SteadyNow()) {
        m_ports[index]->RequireUnused();
        instance->Start();
      }
    }
  }
}

bool Soak::WaitForRecovery() {
  std::vector<uint64_t> before;
  for (const auto& caller : m_callers) {
    before.push_back(caller->AcknowledgedWrites());
  }
  const absl::Time end = SteadyNow() + kRecoveryTimeout;
  absl::Time next_print = SteadyNow() + kRecoveryTimeout / 5;
  while (SteadyNow() < end) {
    RestartExitedInstances();
    std::vector<std::string> missing;
    for (const auto& instance : m_instances) {
      if (!IsReady(instance->ReadyPort())) {
        missing.push_back(instance->Name());
      }
    }
    for (size_t index = 0; index < m_callers.size(); ++index) {
      if (m_callers[index]->Kind() != CallerKind::kViews &&
          m_callers[index]->AcknowledgedWrites() == before[index]) {
        missing.push_back(m_callers[index]->Name());
      }
    }
    if (missing.empty()) {
      return true;
    }
    if (SteadyNow() >= next_print) {
      PrintEvent(absl::StrCat("not served yet: ", absl::StrJoin(missing, " ")));
      next_print += kRecoveryTimeout / 5;
    }
    absl::SleepFor(absl::Milliseconds(100));
  }
  return false;
}

void Soak::EndProcesses() {
  for (const auto& caller : m_callers) {
    caller->Stop();
  }
  m_callers.clear();
  m_instances.clear();
}

std::vector<std::string> Soak::Run() {
  if (!WaitForRecovery()) {
    return {"the instances did not start to serve"};
  }
  const absl::Time end = SteadyNow() + absl::Seconds(m_options.seconds);
  absl::Time next_fault = m_options.calm ? absl::InfiniteFuture() : SteadyNow();
  std::mt19937 kill_all_random(static_cast<uint32_t>(m_options.seed));
  absl::Time next_kill_all = m_options.orders_late && !m_options.calm
                                 ? SteadyNow() + TimeToKillAll(&kill_all_random)
                                 : absl::InfiniteFuture();
  absl::Time next_key_change =
      m_options.workspaces > 0 ? SteadyNow() : absl::InfiniteFuture();
  absl::Time next_copy =
      m_options.store_returns ? SteadyNow() : absl::InfiniteFuture();
  absl::Time next_return = next_copy + absl::Milliseconds(kMinTimeToReturnMs);
  absl::Time next_link_fault =
      m_options.peer_links ? SteadyNow() : absl::InfiniteFuture();
  absl::Time next_long_pause =
      m_options.long_faults ? SteadyNow() : absl::InfiniteFuture();
  absl::Time next_replica_crash =
      m_options.sync_replicas > 0 ? SteadyNow() : absl::InfiniteFuture();
  while (SteadyNow() < end) {
    if (SteadyNow() >= next_replica_crash) {
      CrashReplicas();
      LoseReplicaLog();
      next_replica_crash =
          SteadyNow() + DrawTime(kTimeToCrashReplicas, &m_replica_random);
    }
    if (SteadyNow() >= next_long_pause) {
      next_long_pause =
          PauseForLong() + DrawTime(kTimeToLongPause, &m_link_random);
    }
    if (SteadyNow() >= next_link_fault) {
      next_link_fault =
          DisturbPeerLinks() +
          absl::Milliseconds(m_link_random() % kMaxTimeToLinkFaultMs);
    }
    if (SteadyNow() >= next_copy) {
      m_store->TakeCopy();
      next_copy = SteadyNow() + kCopyInterval;
    }
    if (SteadyNow() >= next_return) {
      ReturnStore();
      const uint32_t pause =
          m_return_random() % 4 == 0
              ? m_return_random() % kMaxTimeToNextReturnMs
              : kMinTimeToReturnMs + m_return_random() % (kMaxTimeToReturnMs -
                                                          kMinTimeToReturnMs);
      next_return = SteadyNow() + absl::Milliseconds(pause);
    }
    if (SteadyNow() >= next_fault) {
      InjectFault();
      next_fault =
          SteadyNow() + absl::Milliseconds(RandomBelow(
                            m_options.restart_often && !m_options.orders_late
                                ? kMaxPauseBetweenFaultsMs / 2
                                : kMaxPauseBetweenFaultsMs));
    }
    if (SteadyNow() >= next_kill_all) {
      KillInstances(0, m_instances.size(), absl::ZeroDuration());
      next_kill_all = SteadyNow() + TimeToKillAll(&kill_all_random);
    }
    if (SteadyNow() >= next_key_change) {
      ChangeKey();
      next_key_change =
          SteadyNow() +
          absl::Milliseconds(
              kMinTimeToChangeKeyMs +
              m_key_random() % (kMaxTimeToChangeKeyMs - kMinTimeToChangeKeyMs));
    }
    InjectOrderFaults();
    EndFaults(SteadyNow());
    RestartExitedInstances();
    absl::SleepFor(absl::Milliseconds(20));
  }
  EndFaults(absl::InfiniteFuture());
  std::fill(m_down_until.begin(), m_down_until.end(), absl::InfinitePast());
  if (m_options.workspaces > 0) {
    RestoreKeys();
  }
  if (m_options.long_faults) {
    LosePower();
  }
  PrintEvent("all faults are over");
  if (!WaitForRecovery()) {
    m_violations.push_back("not all callers were served again in time");
  }
  if (m_options.workspaces > 0) {
    CheckWorkspaces();
  }
  EndProcesses();
  for (std::string& violation : m_history.Check(Commits())) {
    m_violations.push_back(std::move(violation));
  }
  if (m_options.sync_replicas > 0) {
    for (std::string& violation : m_history.CheckSynchronous(Commits())) {
      m_violations.push_back(std::move(violation));
    }
  }
  for (FakeDatabaseGroup* group : m_groups) {
    for (std::string& violation :
         m_history.CheckRuns(group->Commits(), group->Runs())) {
      m_violations.push_back(std::move(violation));
    }
  }
  PrintEvent(m_history.Summary(Commits()));
  PrintRecoveries();
  return m_violations;
}

}  // namespace heatherwick::platform
