// Measures the p99 of ordinary callers beside eight slow readers against theirs
// alone, in turns. Not a test of CI, because it depends on the machine's speed:
//   misbehaving_test --no-skip --test-case="Measurement_*"

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "Source/base/steady_clock.h"
#include "Tests/platform/misbehaving/limited_instance.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "boost/asio/read_until.hpp"
#include "boost/asio/write.hpp"
#include "doctest/doctest.h"

namespace heatherwick::platform {
namespace {

using boost::asio::ip::tcp;

constexpr int kPairs = 7;
constexpr size_t kOrdinaryCallers = 4;
constexpr size_t kSlowReaders = 8;
constexpr absl::Duration kTurn = absl::Seconds(1);
constexpr absl::Duration kPause = absl::Milliseconds(2);
constexpr size_t kLongNameBytes = 1000000;

// Sends single writes and waits for each answer.
std::vector<absl::Duration> CallFor(uint16_t port, absl::Duration time) {
  boost::asio::io_context context;
  tcp::socket socket(context);
  socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  socket.set_option(tcp::no_delay(true));
  std::vector<absl::Duration> latencies;
  std::string buffer;
  const auto ask = [&socket, &buffer](const std::string& message) {
    boost::asio::write(socket, boost::asio::buffer(message));
    std::string line;
    while (!absl::StartsWith(line, "READY")) {
      const size_t length = boost::asio::read_until(
          socket, boost::asio::dynamic_buffer(buffer), "\r\n");
      line = buffer.substr(0, length);
      buffer.erase(0, length);
    }
  };
  ask("START orders u1\r\n");
  const absl::Time end = SteadyNow() + time;
  while (SteadyNow() < end) {
    const absl::Time start = SteadyNow();
    ask("QUERY ordinary WRITE k v\r\n");
    latencies.push_back(SteadyNow() - start);
    absl::SleepFor(kPause);
  }
  return latencies;
}

// Sends long statements without a pause and reads 16 bytes now and then.
void ReadSlowly(uint16_t port, const std::atomic<bool>* stop) {
  const std::string message = absl::StrCat(
      "QUERY long EXECUTE ", std::string(kLongNameBytes, 'x'), " 1\r\n");
  RawCaller caller(port);
  caller.Ask("START orders u1\r\n", absl::Seconds(1));
  while (!*stop && caller.Open()) {
    if (caller.Unsent() == 0) {
      caller.Append(message);
    }
    caller.Push(kLongNameBytes);
    caller.Take(16);
    absl::SleepFor(absl::Milliseconds(10));
  }
}

double MeasureP99Ms(uint16_t port) {
  std::vector<std::vector<absl::Duration>> latencies(kOrdinaryCallers);
  std::vector<std::thread> callers;
  callers.reserve(kOrdinaryCallers);
  for (std::vector<absl::Duration>& own : latencies) {
    callers.emplace_back([port, &own]() { own = CallFor(port, kTurn); });
  }
  std::vector<absl::Duration> all;
  for (size_t index = 0; index < callers.size(); ++index) {
    callers[index].join();
    all.insert(all.end(), latencies[index].begin(), latencies[index].end());
  }
  std::sort(all.begin(), all.end());
  return absl::ToDoubleMilliseconds(all.at(all.size() * 99 / 100));
}

TEST_CASE_FIXTURE(LimitedInstance,
                  "Measurement_slow_readers_P99_BesideAndAlone" *
                      doctest::skip()) {
  Start();
  std::vector<double> alone;
  std::vector<double> beside;
  std::vector<double> ratios;
  for (int pair = 0; pair < kPairs; ++pair) {
    alone.push_back(MeasureP99Ms(Port()));
    std::atomic<bool> stop = false;
    std::vector<std::thread> readers;
    readers.reserve(kSlowReaders);
    for (size_t index = 0; index < kSlowReaders; ++index) {
      readers.emplace_back([this, &stop]() { ReadSlowly(Port(), &stop); });
    }
    absl::SleepFor(absl::Milliseconds(200));
    beside.push_back(MeasureP99Ms(Port()));
    stop = true;
    for (std::thread& reader : readers) {
      reader.join();
    }
    ratios.push_back(beside.back() / alone.back());
    MESSAGE("alone ", alone.back(), " ms, beside ", beside.back(), " ms");
  }
  for (std::vector<double>* values : {&alone, &beside, &ratios}) {
    std::sort(values->begin(), values->end());
  }
  MESSAGE("medians: alone ", alone[kPairs / 2], " ms, beside ",
          beside[kPairs / 2], " ms, ratio ", ratios[kPairs / 2]);
}

}  // namespace
}  // namespace heatherwick::platform
