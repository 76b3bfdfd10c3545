// Sharded counters and Boost.Histogram latencies.

#include "Source/base/metrics.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <functional>
#include <tuple>

#include "nlohmann/json.hpp"

namespace heatherwick {

namespace {

constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 100.0;
constexpr unsigned kBins = 280;  // 40 for each factor of ten: 5.9% steps.

}  // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(
          Axis(kBins, kLowestSeconds, kHighestSeconds))) {}

void LatencyHistogram::Add(absl::Duration latency) {
  m_histogram(std::max(absl::ToDoubleSeconds(latency), kLowestSeconds));
  ++m_count;
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  m_histogram += other.m_histogram;
  m_count += other.m_count;
}

absl::Duration LatencyHistogram::Quantile(double quantile) const {
  if (m_count == 0) {
    return absl::ZeroDuration();
  }
  const double wanted =
      std::max(1.0, std::ceil(quantile * static_cast<double>(m_count)));
  double seen = 0;
  for (auto&& bin : boost::histogram::indexed(m_histogram)) {
    seen += *bin;
    if (seen >= wanted) {
      return absl::Seconds(bin.bin().upper());
    }
  }
  return absl::Seconds(kHighestSeconds);
}

Metrics::Shard& Metrics::ShardOfThread() {
  static std::atomic<size_t> next_index{0};
  thread_local const size_t index = next_index++ % kShards;
  return m_shards[index];
}

void Metrics::Count(absl::string_view name, uint64_t amount) {
  Shard& shard = ShardOfThread();
  absl::MutexLock lock(&shard.mutex);
  auto found = shard.counters.find(name);
  if (found == shard.counters.end()) {
    found = shard.counters.emplace(std::string(name), 0).first;
  }
  found->second += amount;
}

void Metrics::Observe(absl::string_view name, absl::Duration latency) {
  Shard& shard = ShardOfThread();
  absl::MutexLock lock(&shard.mutex);
  auto found = shard.latencies.find(name);
  if (found == shard.latencies.end()) {
    found =
        shard.latencies.emplace(std::string(name), LatencyHistogram()).first;
  }
  found->second.Add(latency);
}

std::map<std::string, uint64_t> Metrics::Counters() const {
  std::map<std::string, uint64_t> sums;
  for (const Shard& shard : m_shards) {
    absl::MutexLock lock(&shard.mutex);
    for (const auto& [name, amount] : shard.counters) {
      sums[name] += amount;
    }
  }
  return sums;
}

std::map<std::string, LatencyHistogram> Metrics::Latencies() const {
  std::map<std::string, LatencyHistogram> merged;
  for (const Shard& shard : m_shards) {
    absl::MutexLock lock(&shard.mutex);
    for (const auto& [name, histogram] : shard.latencies) {
      merged[name].Merge(histogram);
    }
  }
  return merged;
}

std::string Metrics::ToJson() const {
  nlohmann::json json;
  json["counters"] = Counters();
  json["latencies_ms"] = nlohmann::json::object();
  for (const auto& [name, histogram] : Latencies()) {
    json["latencies_ms"][name] = {
        {"count", histogram.Count()},
        {"p50", absl::ToDoubleMilliseconds(histogram.Quantile(0.5))},
        {"p99", absl::ToDoubleMilliseconds(histogram.Quantile(0.99))},
        {"p999", absl::ToDoubleMilliseconds(histogram.Quantile(0.999))}};
  }
  return json.dump();
}

}  // namespace heatherwick
