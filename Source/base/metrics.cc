// Counters in shards, and latency histograms based on Boost.Histogram.

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

constexpr double kMinLatencySeconds = 1e-5;
constexpr double kMaxLatencySeconds = 100.0;
constexpr unsigned kBinCount = 280;  // 40 per factor of ten, in steps of 5.9%.
// CountUpTo includes a bin whose upper edge exceeds the limit by no more than
// this factor, which is half of the bin's width.
constexpr double kBinTolerance = 1.03;
// Upper limits of the buckets in the text format. They range from the latency
// of a local answer to the longest deadline in use.
constexpr double kBucketLimitsMs[] = {1,   2,   5,    10,   20,   50,   100,
                                      200, 500, 1000, 2000, 5000, 10000};

// Splits the name of a metric into its family in the text format and its label:
// "statements/in_doubt" into heatherwick_statements and kind="in_doubt".
std::pair<std::string, std::string> FamilyAndLabel(absl::string_view name) {
  const std::pair<absl::string_view, absl::string_view> parts =
      absl::StrSplit(name, absl::MaxSplits('/', 1));
  std::string family = absl::StrCat(
      "heatherwick_", absl::StrReplaceAll(parts.first, {{"-", "_"}}));
  return {std::move(family),
          parts.second.empty()
              ? ""
              : absl::StrCat("kind=\"", absl::CEscape(parts.second), "\"")};
}

std::string FormatLabels(absl::string_view labels) {
  return labels.empty() ? "" : absl::StrCat("{", labels, "}");
}

// Appends the type line that precedes the samples of each family, unless
// `family` is still `*last_family`.
void AppendTypeLine(const std::string& family,
                    const char* type,
                    std::string* last_family,
                    std::string* text) {
  if (family != *last_family) {
    absl::StrAppend(text, "# TYPE ", family, " ", type, "\n");
    *last_family = family;
  }
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(
          Axis(kBinCount, kMinLatencySeconds, kMaxLatencySeconds))) {}

void LatencyHistogram::Add(absl::Duration latency) {
  m_histogram(std::max(absl::ToDoubleSeconds(latency), kMinLatencySeconds));
  ++m_count;
  m_sum += latency;
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  m_histogram += other.m_histogram;
  m_count += other.m_count;
  m_sum += other.m_sum;
}

uint64_t LatencyHistogram::CountUpTo(absl::Duration limit) const {
  double count = 0;
  for (auto&& bin : boost::histogram::indexed(
           m_histogram, boost::histogram::coverage::all)) {
    if (bin.bin().upper() <= absl::ToDoubleSeconds(limit) * kBinTolerance) {
      count += *bin;
    }
  }
  return static_cast<uint64_t>(count);
}

absl::Duration LatencyHistogram::Quantile(double quantile) const {
  if (m_count == 0) {
    return absl::ZeroDuration();
  }
  const double rank =
      std::max(1.0, std::ceil(quantile * static_cast<double>(m_count)));
  double cumulative = 0;
  for (auto&& bin : boost::histogram::indexed(m_histogram)) {
    cumulative += *bin;
    if (cumulative >= rank) {
      return absl::Seconds(bin.bin().upper());
    }
  }
  return absl::Seconds(kMaxLatencySeconds);
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
  std::string last_family;
  for (const auto& [name, amount] : Counters()) {
    const auto [family, labels] = FamilyAndLabel(name);
    AppendTypeLine(family + "_total", "counter", &last_family, &text);
    absl::StrAppend(&text, family, "_total", FormatLabels(labels), " ", amount,
                    "\n");
  }
  {
    absl::MutexLock lock(&m_gauge_mutex);
    for (const auto& [name, value] : m_gauges) {
      const auto [family, labels] = FamilyAndLabel(name);
      AppendTypeLine(family, "gauge", &last_family, &text);
      absl::StrAppend(&text, family, FormatLabels(labels), " ", value, "\n");
    }
  }
  for (const auto& [name, histogram] : Latencies()) {
    const auto [base, labels] = FamilyAndLabel(name);
    const std::string family = base + "_seconds";
    AppendTypeLine(family, "histogram", &last_family, &text);
    const std::string label_prefix = labels.empty() ? "" : labels + ",";
    for (const double limit : kBucketLimitsMs) {
      absl::StrAppend(&text, family, "_bucket{", label_prefix, "le=\"",
                      limit / 1000, "\"} ",
                      histogram.CountUpTo(absl::Milliseconds(limit)), "\n");
    }
    absl::StrAppend(
        &text, family, "_bucket{", label_prefix, "le=\"+Inf\"} ",
        histogram.Count(), "\n", family, "_sum", FormatLabels(labels), " ",
        absl::ToDoubleSeconds(histogram.Sum()), "\n", family, "_count",
        FormatLabels(labels), " ", histogram.Count(), "\n");
  }
  return text;
}

}  // namespace heatherwick
