// Reads the memory and descriptors of the process from /proc.

#include "Tests/platform/misbehaving/limited_instance.h"

#include <stdlib.h>
#include <sys/resource.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "Source/base/steady_clock.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "doctest/doctest.h"

namespace heatherwick::platform {
namespace {

// Ends a test whose process hangs; not a bound of what is measured.
constexpr absl::Duration kHangTimeout = absl::Seconds(30);
constexpr absl::Duration kAnswerTimeout = absl::Seconds(3);
constexpr absl::Duration kObserveInterval = absl::Milliseconds(10);
// The process receives what the crowd has sent; its memory is read after this.
constexpr absl::Duration kSettleTime = absl::Milliseconds(500);

std::string Configuration() {
  return R"({"version":3,"routes":[{"name":"r","host":"orders",)"
         R"("type":"primary","timeoutMs":3000,"targetLatencyMs":200,)"
         R"("priority":1,"service":"s"},{"name":"e","host":"endless",)"
         R"("type":"primary","timeoutMs":3000,"targetLatencyMs":200,)"
         R"("priority":1,"service":"endless"}],)"
         R"("services":[{"name":"s","maxConnections":16},)"
         R"({"name":"endless","maxConnections":16}],)"
         R"("limits":{"txIdleMs":3000}})";
}

// The largest resident memory of the process since its start, in MB.
size_t MostMemoryMb(pid_t process) {
  std::ifstream file(absl::StrCat("/proc/", process, "/status"));
  std::string word;
  while (file >> word) {
    if (word == "VmHWM:") {
      size_t kilobytes = 0;
      file >> kilobytes;
      return kilobytes / 1024;
    }
  }
  return 0;
}

size_t CountDescriptors(pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator files(
      absl::StrCat("/proc/", process, "/fd"), error);
  return error ? 0 : std::distance(begin(files), end(files));
}

}  // namespace

LimitedInstance::LimitedInstance()
    : m_store(new FakeStore()),
      m_group(new FakeDatabaseGroup("s", 3, m_store)) {
  std::string pattern =
      std::filesystem::temp_directory_path() / "heatherwick-misbehaving-XXXXXX";
  m_directory = mkdtemp(pattern.data());
  m_store->on_promote = [](const FakePromotionOrder&) { return 409U; };
  m_store->Put("op", "config", Configuration());
  InstanceSettings settings;
  settings.program = HEATHERWICK_PROGRAM;
  settings.directory = m_directory;
  settings.name = "i0";
  settings.store = m_store->Address();
  settings.promotions = settings.store;
  settings.first_port = m_ports.FirstPort();
  settings.more_lines = absl::StrCat("limits.memoryMb=", kMemoryMb,
                                     "\nlimits.maxFds=", kMaxDescriptors, "\n");
  m_process = std::make_unique<InstanceProcess>(settings);
}

LimitedInstance::~LimitedInstance() {
  m_ending = true;
  if (m_observer.joinable()) {
    m_observer.join();
  }
  m_process->Kill();
  std::filesystem::remove_all(m_directory);
}

void LimitedInstance::Start() {
  m_process->Start();
  m_observer = std::thread([this]() { ObserveDescriptors(); });
  REQUIRE(Serves());
  MESSAGE("before: ", MostMemoryMb(m_process->Process()), " MB, ",
          m_most_descriptors.load(), " descriptors");
}

void LimitedInstance::StartWithDescriptors(size_t descriptors) {
  // The process inherits the limit of this one.
  rlimit own = {};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &own) == 0);
  const rlimit lowered = {descriptors, own.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
  m_process->Start();
  REQUIRE(setrlimit(RLIMIT_NOFILE, &own) == 0);
  m_observer = std::thread([this]() { ObserveDescriptors(); });
  REQUIRE(Serves());
}

size_t LimitedInstance::LogBytes() const {
  return std::filesystem::file_size(absl::StrCat(m_directory, "/i0.log"));
}

void LimitedInstance::ObserveDescriptors() {
  const pid_t process = m_process->Process();
  while (!m_ending) {
    m_most_descriptors =
        std::max(m_most_descriptors.load(), CountDescriptors(process));
    absl::SleepFor(kObserveInterval);
  }
}

Crowd LimitedInstance::Connect(size_t callers) const {
  Crowd crowd;
  for (size_t index = 0; index < callers; ++index) {
    crowd.push_back(std::make_unique<RawCaller>(Port()));
  }
  return crowd;
}

Crowd LimitedInstance::Open(size_t callers) const {
  Crowd crowd = Connect(callers);
  for (const auto& caller : crowd) {
    caller->Ask("START orders u1\r\n", kAnswerTimeout);
  }
  return crowd;
}

bool LimitedInstance::Serves() const {
  const absl::Time end = SteadyNow() + kHangTimeout;
  while (SteadyNow() < end) {
    RawCaller caller(Port());
    if (absl::StartsWith(caller.Ask("START orders u1\r\n", kAnswerTimeout),
                         "READY") &&
        absl::StrContains(
            caller.Ask("QUERY ordinary WRITE k v\r\n", kAnswerTimeout),
            "COMPLETE")) {
      return true;
    }
    absl::SleepFor(absl::Milliseconds(50));
  }
  return false;
}

void LimitedInstance::CheckHeld() {
  absl::SleepFor(kSettleTime);
  bool unexpected = false;
  CHECK_MESSAGE(!m_process->Reap(&unexpected), "the process has ended");
  if (!m_process->Running()) {
    return;
  }
  CHECK_MESSAGE(Serves(), "an ordinary request is not answered");
  const size_t memory_mb = MostMemoryMb(m_process->Process());
  MESSAGE("most: ", memory_mb, " MB, ", m_most_descriptors.load(),
          " descriptors");
  CHECK(memory_mb < kMemoryMb);
  CHECK(m_most_descriptors < kMaxDescriptors);
}

}  // namespace heatherwick::platform
