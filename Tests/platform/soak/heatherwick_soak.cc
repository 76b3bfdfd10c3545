// The fault soak: real instances as processes before stand-ins of the store
// and the databases, with seeded faults from outside. Prints the faults, a
// summary and each broken promise; exit status 1 when there is one.

#include <popt.h>
#include <signal.h>
#include <stdlib.h>

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
#include "Tests/platform/platform_standin.h"
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

constexpr int kUsageStatus = 2;
constexpr size_t kDatabases = 3;
constexpr size_t kCallersOfKind = 4;
// An instance that can reach the store again serves well within this.
constexpr absl::Duration kRecoveryLimit = absl::Seconds(20);
constexpr absl::Duration kReplicaLag = absl::Milliseconds(30);
constexpr absl::Duration kPromoteTime = absl::Milliseconds(400);
// Between two faults, and the length of one.
constexpr uint32_t kPauseLimitMs = 900;
constexpr uint32_t kFaultLimitMs = 4000;

struct Options {
  int seed = 1;
  int seconds = 20;
  int instances = 4;
  std::string program;
};

// A free block of ports for one instance.
uint16_t FreePorts(std::mt19937* random) {
  while (true) {
    const auto first = static_cast<uint16_t>(20000 + (*random)() % 10000);
    boost::asio::io_context context;
    std::vector<tcp::acceptor> held;
    error_code error;
    for (uint16_t port = first; port < first + 4 && !error; ++port) {
      held.emplace_back(context);
      held.back().open(tcp::v4(), error);
      held.back().bind({boost::asio::ip::make_address("127.0.0.1"), port},
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

std::string Configuration(int version) {
  const auto route = [](const char* host, const char* type,
                        absl::Duration age) {
    return absl::StrCat(R"({"name":")", host, R"(","host":")", host,
                        R"(","type":")", type, R"(","maxStalenessMs":)",
                        absl::ToInt64Milliseconds(age),
                        R"(,"timeoutMs":1500,"targetLatencyMs":200,)",
                        R"("priority":1,"service":"s"})");
  };
  return absl::StrCat(R"({"version":)", version, R"(,"routes":[)",
                      route("orders", "primary", absl::ZeroDuration()), ",",
                      route("stock", "read_your_writes", kStockAge), ",",
                      route("views", "bounded_staleness", kViewsAge),
                      R"(],"services":[{"name":"s","maxConnections":60}],)",
                      R"("limits":{"txIdleMs":3000}})");
}

class Soak {
 public:
  explicit Soak(const Options& options);

  // Returns the broken promises.
  std::vector<std::string> Run();
  const std::string& Directory() const { return m_directory; }

 private:
  // A fault that ends later.
  struct Ending {
    absl::Time at;
    std::function<void()> action;
  };

  void Strike();
  void StrikeInstance(InstanceProcess* instance, uint32_t kind);
  void EndFaults(absl::Time until);
  void RestartEnded();
  bool Recovered();
  void Tell(const std::string& fault);
  uint32_t Below(uint32_t limit) { return m_random() % limit; }

  const Options m_options;
  std::mt19937 m_random;
  const absl::Time m_start = SteadyNow();
  std::string m_directory;
  CallHistory m_history;
  // Threads of the stand-ins use these until the process ends.
  StandInStore* const m_store = new StandInStore();
  std::vector<FaultProxy*> m_store_links;
  std::map<std::string, FaultProxy*> m_database_links;
  StandInGroup* m_group = nullptr;
  std::vector<std::unique_ptr<InstanceProcess>> m_instances;
  std::vector<std::unique_ptr<SoakCaller>> m_callers;
  std::vector<Ending> m_endings;
  std::vector<std::string> m_broken;
  int m_configuration = 1;
};

Soak::Soak(const Options& options)
    : m_options(options), m_random(static_cast<uint32_t>(options.seed)) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "heatherwick-soak-XXXXXX");
  m_directory = mkdtemp(pattern.data());
  m_group =
      new StandInGroup("s", kDatabases, m_store, {kReplicaLag, kPromoteTime},
                       [this](const std::string& address) {
                         FaultProxy*& link = m_database_links[address];
                         if (link == nullptr) {
                           link = new FaultProxy(address);
                         }
                         return link->Address();
                       });
  m_store->on_promote = [this](const std::string&, const std::string& id) {
    m_group->Promote(id);
    return 200U;
  };
  m_store->on_token = [this](const std::string& holder, uint64_t token) {
    m_history.AddToken({holder, token});
  };
  m_store->Put("op", "config", Configuration(m_configuration));
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
  std::vector<std::string> items;
  for (const CallerKind kind :
       {CallerKind::kOrders, CallerKind::kStock, CallerKind::kViews}) {
    for (size_t index = 0; index < kCallersOfKind; ++index) {
      const std::string item = absl::StrCat("k", items.size());
      m_callers.push_back(std::make_unique<SoakCaller>(kind, item, items, ports,
                                                       m_random(), &m_history));
      items.push_back(item);
    }
  }
}

void Soak::Tell(const std::string& fault) {
  std::cout << absl::ToInt64Milliseconds(SteadyNow() - m_start) << " ms "
            << fault << std::endl;
}

void Soak::StrikeInstance(InstanceProcess* instance, uint32_t kind) {
  const absl::Time end = SteadyNow() + absl::Milliseconds(Below(kFaultLimitMs));
  switch (kind) {
    case 0:
      Tell(absl::StrCat("kill ", instance->Name()));
      instance->Kill();
      break;
    case 1:
      Tell(absl::StrCat("terminate ", instance->Name()));
      instance->Signal(SIGTERM);
      break;
    case 2:
      Tell(absl::StrCat("pause ", instance->Name()));
      instance->Signal(SIGSTOP);
      m_endings.push_back({end, [instance]() { instance->Signal(SIGCONT); }});
      break;
    default:
      Tell(absl::StrCat("hang up ", instance->Name()));
      instance->Signal(SIGHUP);
      break;
  }
}

void Soak::Strike() {
  static constexpr LinkFault kFaults[] = {
      LinkFault::kDelayed, LinkFault::kSilent, LinkFault::kAnswersLost};
  static constexpr const char* kNames[] = {"delayed", "silent", "answers lost"};
  const absl::Time end = SteadyNow() + absl::Milliseconds(Below(kFaultLimitMs));
  const uint32_t fault = Below(3);
  const auto harm = [&](FaultProxy* link, const std::string& name) {
    Tell(absl::StrCat("link to ", name, " ", kNames[fault]));
    link->SetFault(kFaults[fault]);
    m_endings.push_back({end, [link]() { link->SetFault(LinkFault::kNone); }});
  };
  const size_t chosen = Below(m_instances.size());
  switch (Below(9)) {
    case 0:
    case 1:
    case 2:
      StrikeInstance(m_instances[chosen].get(), Below(4));
      break;
    case 3:
      harm(m_store_links[chosen], absl::StrCat("the store of i", chosen));
      break;
    case 4: {
      const auto link =
          std::next(m_database_links.begin(), Below(m_database_links.size()));
      harm(link->second, "the database at " + link->first);
      break;
    }
    case 5: {
      const auto link =
          std::next(m_database_links.begin(), Below(m_database_links.size()));
      Tell("connections reset to the database at " + link->first);
      link->second->Reset();
      break;
    }
    case 6: {
      const std::string id = Below(2) == 0
                                 ? m_group->Primary()
                                 : m_group->Names()[Below(kDatabases)];
      Tell("crash " + id);
      m_group->Crash(id);
      m_endings.push_back({end, [this, id]() { m_group->Restart(id); }});
      break;
    }
    case 7:
      Tell("the store loses answers");
      m_store->LoseAnswers(2 + Below(4));
      m_endings.push_back({end, [this]() { m_store->LoseAnswers(0); }});
      break;
    default:
      if (Below(2) == 0) {
        Tell("the store refuses all");
        m_store->SetBusy(true);
        m_endings.push_back({end, [this]() { m_store->SetBusy(false); }});
      } else {
        Tell("configuration changes");
        m_store->Put("op", "config", Configuration(++m_configuration));
      }
      break;
  }
}

void Soak::EndFaults(absl::Time until) {
  for (size_t index = 0; index < m_endings.size();) {
    if (m_endings[index].at <= until) {
      m_endings[index].action();
      m_endings.erase(m_endings.begin() + static_cast<ptrdiff_t>(index));
    } else {
      ++index;
    }
  }
}

void Soak::RestartEnded() {
  for (const auto& instance : m_instances) {
    bool unexpected = false;
    if (instance->Reap(&unexpected)) {
      if (unexpected) {
        m_broken.push_back(instance->Name() + " ended by itself");
      }
      instance->Start();
    }
  }
}

bool Soak::Recovered() {
  std::vector<uint64_t> before;
  for (const auto& caller : m_callers) {
    before.push_back(caller->Done());
  }
  const absl::Time end = SteadyNow() + kRecoveryLimit;
  while (SteadyNow() < end) {
    RestartEnded();
    bool recovered = true;
    for (const auto& instance : m_instances) {
      recovered &= IsReady(instance->ReadyPort());
    }
    for (size_t index = 0; index < m_callers.size(); ++index) {
      recovered &= m_callers[index]->Kind() == CallerKind::kViews ||
                   m_callers[index]->Done() > before[index];
    }
    if (recovered) {
      return true;
    }
    absl::SleepFor(absl::Milliseconds(100));
  }
  return false;
}

std::vector<std::string> Soak::Run() {
  if (!Recovered()) {
    return {"the instances did not start to serve"};
  }
  const absl::Time end = SteadyNow() + absl::Seconds(m_options.seconds);
  absl::Time next = SteadyNow();
  while (SteadyNow() < end) {
    if (SteadyNow() >= next) {
      Strike();
      next = SteadyNow() + absl::Milliseconds(Below(kPauseLimitMs));
    }
    EndFaults(SteadyNow());
    RestartEnded();
    absl::SleepFor(absl::Milliseconds(20));
  }
  EndFaults(absl::InfiniteFuture());
  Tell("all faults are over");
  if (!Recovered()) {
    m_broken.push_back("not all callers were served again in time");
  }
  for (const auto& caller : m_callers) {
    caller->Stop();
  }
  m_callers.clear();
  m_instances.clear();
  for (std::string& broken : m_history.Check(m_group->Commits())) {
    m_broken.push_back(std::move(broken));
  }
  Tell(m_history.Summary(m_group->Commits()));
  return m_broken;
}

bool ParseOptions(int argc, const char** argv, Options* options) {
  char* program = nullptr;
  const poptOption table[] = {
      {"seed", 's', POPT_ARG_INT, &options->seed, 0, "Seed of the faults.",
       "NUMBER"},
      {"seconds", 't', POPT_ARG_INT, &options->seconds, 0,
       "Time with faults, in seconds.", "SECONDS"},
      {"instances", 'n', POPT_ARG_INT, &options->instances, 0,
       "Processes to start.", "NUMBER"},
      {"program", 'p', POPT_ARG_STRING, &program, 0,
       "The heatherwick-platform to start.", "PATH"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("heatherwick-soak", argc, argv, table, 0);
  const int parsed = poptGetNextOpt(context);
  options->program = program == nullptr ? "" : program;
  free(program);
  if (parsed < -1) {
    std::cerr << "heatherwick-soak: " << poptStrerror(parsed) << ": "
              << poptBadOption(context, 0) << "\n";
  } else if (options->program.empty() || options->instances < 1) {
    std::cerr << "heatherwick-soak: --program names the heatherwick-platform "
                 "to start; --instances is at least 1\n";
  }
  poptFreeContext(context);
  return parsed == -1 && !options->program.empty() && options->instances > 0;
}

int Main(int argc, const char** argv) {
  Options options;
  if (!ParseOptions(argc, argv, &options)) {
    return kUsageStatus;
  }
  signal(SIGPIPE, SIG_IGN);
  auto* const soak = new Soak(options);
  const std::vector<std::string> broken = soak->Run();
  for (const std::string& promise : broken) {
    std::cout << "BROKEN " << promise << "\n";
  }
  std::cout << "seed=" << options.seed << " broken=" << broken.size();
  if (broken.empty()) {
    std::filesystem::remove_all(soak->Directory());
  } else {
    std::cout << " logs=" << soak->Directory();
  }
  std::cout << std::endl;
  // The stand-ins' threads go on until here.
  std::_Exit(broken.empty() ? 0 : 1);
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
