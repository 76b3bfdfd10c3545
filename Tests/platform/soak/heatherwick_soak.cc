// The fault soak: runs real instances as processes against stand-ins of the
// store and the databases, and injects faults from outside. A seed chooses the
// faults. Prints the faults, a summary and each violated guarantee; exits with
// status 1 when there is a violation.

#include <popt.h>
#include <signal.h>
#include <stdlib.h>

#include <atomic>
#include <exception>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Source/base/steady_clock.h"
#include "Tests/platform/platform_fakes.h"
#include "Tests/platform/soak/call_history.h"
#include "Tests/platform/soak/fault_proxy.h"
#include "Tests/platform/soak/instance_process.h"
#include "Tests/platform/soak/soak_caller.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "boost/beast/core.hpp"
#include "boost/beast/http.hpp"

namespace heatherwick::platform {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int kUsageExitStatus = 2;
constexpr size_t kDatabaseCount = 3;
constexpr size_t kCallersPerKind = 4;
// An instance that can reach the store again serves well within this time.
constexpr absl::Duration kRecoveryTimeout = absl::Seconds(20);
constexpr absl::Duration kReplicaLag = absl::Milliseconds(30);
constexpr absl::Duration kPromotionTime = absl::Milliseconds(400);
// Bounds of the random pause between two faults and of the random duration of
// a fault.
constexpr uint32_t kMaxPauseBetweenFaultsMs = 900;
constexpr uint32_t kMaxFaultDurationMs = 4000;

struct Options {
  int seed = 1;
  int seconds = 20;
  int instances = 4;
  int groups = 1;
  // Ends and starts instances far more often than other faults occur.
  bool restart_often = false;
  std::string program;
};

// Returns the first of four consecutive free ports for one instance.
uint16_t FreePorts(std::mt19937* random) {
  while (true) {
    const auto first = static_cast<uint16_t>(20000 + (*random)() % 10000);
    boost::asio::io_context context;
    std::vector<tcp::acceptor> acceptors;
    error_code error;
    for (uint16_t port = first; port < first + 4 && !error; ++port) {
      acceptors.emplace_back(context);
      acceptors.back().open(tcp::v4(), error);
      acceptors.back().bind({boost::asio::ip::make_address("127.0.0.1"), port},
                            error);
    }
    if (!error) {
      return first;
    }
  }
}

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

std::string GroupNameAt(int index) {
  return absl::StrCat("s", index);
}

std::string Configuration(int version, int groups) {
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
    services.push_back(
        absl::StrCat(R"({"name":")", group, R"(","maxConnections":60})"));
  }
  return absl::StrCat(R"({"version":)", version, R"(,"routes":[)",
                      absl::StrJoin(routes, ","), R"(],"services":[)",
                      absl::StrJoin(services, ","),
                      R"(],"limits":{"txIdleMs":3000}})");
}

class Soak {
 public:
  explicit Soak(const Options& options);

  // Returns the violated guarantees, one a line.
  std::vector<std::string> Run();
  const std::string& Directory() const { return m_directory; }

 private:
  // The action that ends a fault, and the time for it.
  struct ScheduledEnd {
    absl::Time at;
    std::function<void()> action;
  };

  // Injects one random fault.
  void InjectFault();
  void InjectInstanceFault(InstanceProcess* instance, uint32_t kind);
  void AddGroup(const std::string& name);
  void CrashDatabase(FakeDatabaseGroup* group, absl::Time end);
  void DrainDatabase(FakeDatabaseGroup* group, absl::Time end);
  // The commits of all groups, each group's in order.
  std::vector<FakeCommit> Commits();
  // Ends the faults whose end lies at or before `until`.
  void EndFaults(absl::Time until);
  void RestartExitedInstances();
  // Waits until every instance is ready and every writing caller has had a
  // write acknowledged. False when kRecoveryTimeout passes first.
  bool WaitForRecovery();
  void PrintEvent(const std::string& event);
  uint32_t RandomBelow(uint32_t limit) { return m_random() % limit; }

  const Options m_options;
  std::mt19937 m_random;
  const absl::Time m_start = SteadyNow();
  std::string m_directory;
  CallHistory m_history;
  // The stand-ins are never destroyed, because their threads use them until
  // the process ends.
  FakeStore* const m_store = new FakeStore();
  std::vector<FaultProxy*> m_store_links;
  std::map<std::string, FaultProxy*> m_database_links;
  std::vector<FakeDatabaseGroup*> m_groups;
  std::vector<std::unique_ptr<InstanceProcess>> m_instances;
  std::vector<std::unique_ptr<SoakCaller>> m_callers;
  std::atomic<size_t> m_last_holder = 0;  // Index of the last to promote.
  std::vector<ScheduledEnd> m_scheduled_ends;
  std::vector<std::string> m_violations;
  int m_configuration_version = 1;
};

Soak::Soak(const Options& options)
    : m_options(options), m_random(static_cast<uint32_t>(options.seed)) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "heatherwick-soak-XXXXXX");
  m_directory = mkdtemp(pattern.data());
  for (int index = 0; index < options.groups; ++index) {
    AddGroup(GroupNameAt(index));
  }
  m_store->on_promote = [this](const std::string& service,
                               const std::string& id) {
    for (FakeDatabaseGroup* group : m_groups) {
      if (group->Name() == service) {
        group->Promote(id);
      }
    }
    return 200U;
  };
  m_store->on_token = [this](const std::string& holder, uint64_t token) {
    m_history.AddPromotion({holder, token});
    for (size_t index = 0; index < m_instances.size(); ++index) {
      if (m_instances[index]->Name() == holder) {
        m_last_holder = index;
      }
    }
  };
  m_store->Put("op", "config",
               Configuration(m_configuration_version, options.groups));
  std::vector<uint16_t> ports;
  for (int index = 0; index < options.instances; ++index) {
    m_store_links.push_back(new FaultProxy(m_store->Address()));
    InstanceSettings settings;
    settings.program = options.program;
    settings.directory = m_directory;
    settings.name = absl::StrCat("i", index);
    settings.store = m_store_links.back()->Address();
    settings.promotions = settings.store;
    settings.first_port = FreePorts(&m_random);
    ports.push_back(settings.first_port);
    m_instances.push_back(std::make_unique<InstanceProcess>(settings));
    m_instances.back()->Start();
  }
  size_t item_count = 0;
  for (const FakeDatabaseGroup* group : m_groups) {
    std::vector<std::string> items;
    for (const CallerKind kind :
         {CallerKind::kOrders, CallerKind::kStock, CallerKind::kViews}) {
      for (size_t index = 0; index < kCallersPerKind; ++index) {
        const std::string item = absl::StrCat("k", item_count++);
        m_callers.push_back(std::make_unique<SoakCaller>(
            kind, group->Name(), item, items, ports, m_random(), &m_history));
        items.push_back(item);
      }
    }
  }
}

void Soak::AddGroup(const std::string& name) {
  m_groups.push_back(new FakeDatabaseGroup(
      name, kDatabaseCount, m_store, {kReplicaLag, kPromotionTime},
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

void Soak::PrintEvent(const std::string& event) {
  std::cout << absl::ToInt64Milliseconds(SteadyNow() - m_start) << " ms "
            << event << std::endl;
}

void Soak::InjectInstanceFault(InstanceProcess* instance, uint32_t kind) {
  const absl::Time end =
      SteadyNow() + absl::Milliseconds(RandomBelow(kMaxFaultDurationMs));
  switch (kind) {
    case 0:
      PrintEvent(absl::StrCat("kill ", instance->Name()));
      instance->Kill();
      break;
    case 1:
      PrintEvent(absl::StrCat("terminate ", instance->Name()));
      instance->Signal(SIGTERM);
      break;
    case 2:
      PrintEvent(absl::StrCat("pause ", instance->Name()));
      instance->Signal(SIGSTOP);
      m_scheduled_ends.push_back(
          {end, [instance]() { instance->Signal(SIGCONT); }});
      break;
    default:
      PrintEvent(absl::StrCat("hang up ", instance->Name()));
      instance->Signal(SIGHUP);
      break;
  }
}

void Soak::CrashDatabase(FakeDatabaseGroup* group, absl::Time end) {
  const std::string primary = group->Primary();
  const std::string any = group->Names()[RandomBelow(kDatabaseCount)];
  const std::string id = RandomBelow(2) == 0 ? primary : any;
  PrintEvent(absl::StrCat("crash ", id));
  group->Crash(id);
  m_scheduled_ends.push_back({end, [group, id]() { group->Restart(id); }});
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
  const absl::Time end =
      SteadyNow() + absl::Milliseconds(RandomBelow(kMaxFaultDurationMs));
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
  if (extra < 4) {
    // Often the instance that carries out a change.
    const size_t holder = m_last_holder;
    const size_t index = RandomBelow(2) == 0 ? holder : instance_index;
    const uint32_t kind = RandomBelow(5);
    InjectInstanceFault(m_instances[index].get(), kind <= 2 ? kind : 0);
    return;
  }
  if (extra < 8) {
    if (RandomBelow(2) == 0) {
      CrashDatabase(group, end);
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
      CrashDatabase(group, end);
      break;
    case 0:
    case 1:
    case 2:
      InjectInstanceFault(m_instances[instance_index].get(), RandomBelow(4));
      break;
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
      CrashDatabase(group, end);
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
        m_store->Put(
            "op", "config",
            Configuration(++m_configuration_version, m_options.groups));
      }
      break;
  }
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
  for (const auto& instance : m_instances) {
    bool unexpected = false;
    if (instance->Reap(&unexpected)) {
      if (unexpected) {
        m_violations.push_back(instance->Name() + " exited unexpectedly");
      }
      instance->Start();
    }
  }
}

bool Soak::WaitForRecovery() {
  std::vector<uint64_t> before;
  for (const auto& caller : m_callers) {
    before.push_back(caller->AcknowledgedWrites());
  }
  const absl::Time end = SteadyNow() + kRecoveryTimeout;
  while (SteadyNow() < end) {
    RestartExitedInstances();
    bool recovered = true;
    for (const auto& instance : m_instances) {
      recovered &= IsReady(instance->ReadyPort());
    }
    for (size_t index = 0; index < m_callers.size(); ++index) {
      recovered &= m_callers[index]->Kind() == CallerKind::kViews ||
                   m_callers[index]->AcknowledgedWrites() > before[index];
    }
    if (recovered) {
      return true;
    }
    absl::SleepFor(absl::Milliseconds(100));
  }
  return false;
}

std::vector<std::string> Soak::Run() {
  if (!WaitForRecovery()) {
    return {"the instances did not start to serve"};
  }
  const absl::Time end = SteadyNow() + absl::Seconds(m_options.seconds);
  absl::Time next_fault = SteadyNow();
  while (SteadyNow() < end) {
    if (SteadyNow() >= next_fault) {
      InjectFault();
      next_fault = SteadyNow() +
                   absl::Milliseconds(RandomBelow(
                       m_options.restart_often ? kMaxPauseBetweenFaultsMs / 2
                                               : kMaxPauseBetweenFaultsMs));
    }
    EndFaults(SteadyNow());
    RestartExitedInstances();
    absl::SleepFor(absl::Milliseconds(20));
  }
  EndFaults(absl::InfiniteFuture());
  PrintEvent("all faults are over");
  if (!WaitForRecovery()) {
    m_violations.push_back("not all callers were served again in time");
  }
  for (const auto& caller : m_callers) {
    caller->Stop();
  }
  m_callers.clear();
  m_instances.clear();
  for (std::string& violation : m_history.Check(Commits())) {
    m_violations.push_back(std::move(violation));
  }
  PrintEvent(m_history.Summary(Commits()));
  return m_violations;
}

bool ParseOptions(int argc, const char** argv, Options* options) {
  char* program = nullptr;
  int restart_often = 0;
  const poptOption table[] = {
      {"seed", 's', POPT_ARG_INT, &options->seed, 0, "Seed of the faults.",
       "NUMBER"},
      {"seconds", 't', POPT_ARG_INT, &options->seconds, 0,
       "Time with faults, in seconds.", "SECONDS"},
      {"instances", 'n', POPT_ARG_INT, &options->instances, 0,
       "Processes to start.", "NUMBER"},
      {"groups", 'g', POPT_ARG_INT, &options->groups, 0, "Groups of databases.",
       "NUMBER"},
      {"restart-often", 'r', POPT_ARG_NONE, &restart_often, 0,
       "End and start instances far more often.", nullptr},
      {"program", 'p', POPT_ARG_STRING, &program, 0,
       "The heatherwick-platform to start.", "PATH"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("heatherwick-soak", argc, argv, table, 0);
  const int parsed = poptGetNextOpt(context);
  options->program = program == nullptr ? "" : program;
  options->restart_often = restart_often != 0;
  free(program);
  if (parsed < -1) {
    std::cerr << "heatherwick-soak: " << poptStrerror(parsed) << ": "
              << poptBadOption(context, 0) << "\n";
  } else if (options->program.empty() || options->instances < 1 ||
             options->groups < 1) {
    std::cerr << "heatherwick-soak: --program names the heatherwick-platform "
                 "to start; --instances and --groups are at least 1\n";
  }
  poptFreeContext(context);
  return parsed == -1 && !options->program.empty() && options->instances > 0 &&
         options->groups > 0;
}

int Main(int argc, const char** argv) {
  Options options;
  if (!ParseOptions(argc, argv, &options)) {
    return kUsageExitStatus;
  }
  signal(SIGPIPE, SIG_IGN);
  auto* const soak = new Soak(options);
  const std::vector<std::string> violations = soak->Run();
  for (const std::string& violation : violations) {
    std::cout << "BROKEN " << violation << "\n";
  }
  std::cout << "seed=" << options.seed << " broken=" << violations.size();
  if (violations.empty()) {
    std::filesystem::remove_all(soak->Directory());
  } else {
    std::cout << " logs=" << soak->Directory();
  }
  std::cout << std::endl;
  // Exits without destructors, because the stand-ins' threads still run.
  std::_Exit(violations.empty() ? 0 : 1);
}

}  // namespace
}  // namespace heatherwick::platform

int main(int argc, char** argv) {
  try {
    return heatherwick::platform::Main(argc, const_cast<const char**>(argv));
  } catch (const std::exception& error) {
    std::cerr << "heatherwick-soak: " << error.what() << "\n";
    return 1;
  }
}
