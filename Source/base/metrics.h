// Counters, gauges and latency histograms of a process. Counters and histograms
// are sharded, so that threads rarely contend for a lock.

#ifndef SOURCE_BASE_METRICS_H_
#define SOURCE_BASE_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "boost/histogram.hpp"

namespace heatherwick {

// A distribution of latencies from 10 us to 100 s on a logarithmic axis.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(absl::Duration latency);
  void Merge(const LatencyHistogram& other);
  uint64_t Count() const { return m_count; }
  absl::Duration Sum() const { return m_sum; }
  // Number of latencies up to `limit`. The limit is rounded to the edge of a
  // bin; bins are 6% wide.
  uint64_t CountUpTo(absl::Duration limit) const;
  // Upper edge of the bin that contains the quantile, 0 <= quantile <= 1. Zero
  // if the histogram is empty. The relative error is below 6%.
  absl::Duration Quantile(double quantile) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

  Histogram m_histogram;
  uint64_t m_count = 0;
  absl::Duration m_sum;
};

class Metrics {
 public:
  // All methods are thread-safe. Names are in snake_case. A metric with a label
  // has "/" and the label's value after its name, as in "requests/done".
  void Count(absl::string_view name, uint64_t amount = 1);
  void Observe(absl::string_view name, absl::Duration latency);
  // Sets the current value of a gauge, which replaces the previous value.
  void SetGauge(absl::string_view name, int64_t value);

  std::map<std::string, uint64_t> Counters() const;
  std::map<std::string, LatencyHistogram> Latencies() const;
  // {"counters":{...},"latencies_ms":{name:{count,p50,p99,p999}}}
  std::string ToJson() const;
  // Returns the text format that monitoring systems scrape. "requests/done"
  // becomes heatherwick_requests_total{kind="done"}, and latencies become
  // histograms in seconds.
  std::string ToText() const;

 private:
  static constexpr size_t kShards = 16;
  struct Shard {
    mutable absl::Mutex mutex;
    std::map<std::string, uint64_t, std::less<>> counters
        ABSL_GUARDED_BY(mutex);
    std::map<std::string, LatencyHistogram, std::less<>> latencies
        ABSL_GUARDED_BY(mutex);
  };

  Shard& ShardOfThread();

  std::array<Shard, kShards> m_shards;
  mutable absl::Mutex m_gauge_mutex;
  std::map<std::string, int64_t, std::less<>> m_gauges
      ABSL_GUARDED_BY(m_gauge_mutex);
};

}  // namespace heatherwick

#endif  // SOURCE_BASE_METRICS_H_
