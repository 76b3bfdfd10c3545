// Sharded counters and Boost.Histogram latencies.

#include "Source/base/metrics.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <functional>
#include <tuple>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "nlohmann/json.hpp"

namespace heatherwick {

namespace {

constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 100.0;
constexpr unsigned kBins = 280;  // 40 for each factor of ten: 5.9% steps.
// A bin belongs to a limit that lies within half of its width.
constexpr double kBinTolerance = 1.03;
// Bucket limits of the text format, in milliseconds: from a local answer to
// the longest deadline in use.
constexpr double kBucketsMs[] = {1,   2,   5,    10,   20,   50,   100,
                                 200, 500, 1000, 2000, 5000, 10000};

// "statements/in_doubt" to heatherwick_statements and {kind="in_doubt"}.
std::pair<std::string, std::string> TextName(absl::string_view name) {
  const std::pair<absl::string_view, absl::string_view> parts =
      absl::StrSplit(name, absl::MaxSplits('/', 1));
  std::string family = absl::StrCat(
      "heatherwick_", absl::StrReplaceAll(parts.first, {{"-", "_"}}));
  return {std::move(family),
          parts.second.empty()
              ? ""
              : absl::StrCat("kind=\"", absl::CEscape(parts.second), "\"")};
}

std::string Labels(absl::string_view labels) {
  return labels.empty() ? "" : absl::StrCat("{", labels, "}");
}

// The type line that precedes the samples of each family.
void StartFamily(const std::string& family,
                 const char* type,
                 std::string* last,
                 std::string* text) {
  if (family != *last) {
    absl::StrAppend(text, "# TYPE ", family, " ", type, "\n");
    *last = family;
  }
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(
          Axis(kBins, kLowestSeconds, kHighestSeconds))) {}

void LatencyHistogram::Add(absl::Duration latency) {
  m_histogram(std::max(absl::ToDoubleSeconds(latency), kLowestSeconds));
  ++m_count;
  m_sum += latency;
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  m_histogram += other.m_histogram;
  m_count += other.m_count;
  m_sum += other.m_sum;
}

uint64_t LatencyHistogram::CountUpTo(absl::Duration limit) const {
  double counted = 0;
  for (auto&& bin : boost::histogram::indexed(
           m_histogram, boost::histogram::coverage::all)) {
    if (bin.bin().upper() <= absl::ToDoubleSeconds(limit) * kBinTolerance) {
      counted += *bin;
    }
  }
  return static_cast<uint64_t>(counted);
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

void Metrics::SetGauge(absl::string_view name, int64_t value) {
  absl::MutexLock lock(&m_gauge_mutex);
  m_gauges.insert_or_assign(std::string(name), value);
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

std::string Metrics::ToText() const {
  std::string text;
  std::string last;
  for (const auto& [name, amount] : Counters()) {
    const auto [family, labels] = TextName(name);
    StartFamily(family + "_total", "counter", &last, &text);
    absl::StrAppend(&text, family, "_total", Labels(labels), " ", amount, "\n");
  }
  {
    absl::MutexLock lock(&m_gauge_mutex);
    for (const auto& [name, value] : m_gauges) {
      const auto [family, labels] = TextName(name);
      StartFamily(family, "gauge", &last, &text);
      absl::StrAppend(&text, family, Labels(labels), " ", value, "\n");
    }
  }
  for (const auto& [name, histogram] : Latencies()) {
    const auto [base, labels] = TextName(name);
    const std::string family = base + "_seconds";
    StartFamily(family, "histogram", &last, &text);
    const std::string before = labels.empty() ? "" : labels + ",";
    for (const double limit : kBucketsMs) {
      absl::StrAppend(&text, family, "_bucket{", before, "le=\"", limit / 1000,
                      "\"} ", histogram.CountUpTo(absl::Milliseconds(limit)),
                      "\n");
    }
    absl::StrAppend(&text, family, "_bucket{", before, "le=\"+Inf\"} ",
                    histogram.Count(), "\n", family, "_sum", Labels(labels),
                    " ", absl::ToDoubleSeconds(histogram.Sum()), "\n", family,
                    "_count", Labels(labels), " ", histogram.Count(), "\n");
  }
  return text;
}

}  // namespace heatherwick
