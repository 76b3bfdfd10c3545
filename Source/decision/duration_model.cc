// Keeps the smoothed duration and its deviation for each shape of statement.

#include "Source/decision/duration_model.h"

#include <algorithm>

namespace heatherwick {
namespace {

// Bounds the memory for each group. Applications have a few hundred shapes.
constexpr size_t kMaxShapes = 4096;
// Weight of the newest duration, the same as in TCP's smoothed round-trip time.
constexpr double kSmoothingFactor = 0.125;
// Relative change of the median estimate for each statement.
constexpr double kMedianStep = 0.02;
constexpr absl::Duration kMinMedian = absl::Microseconds(10);
// A statement that runs longer than this many times the median is long: it
// delays the other statements.
constexpr double kLongFactor = 8.0;
// Number of statements after which a shape that has not run yet counts as new.
// Before, most shapes have not run yet.
constexpr uint64_t kMinStatements = 100;
// Relative spread that is assumed for a shape before its second execution.
constexpr double kInitialSpread = 1.0;

}  // namespace

void DurationModel::RecordDuration(uint64_t shape, absl::Duration ran_for) {
  ++m_statement_count;
  m_median *= ran_for > m_median ? 1.0 + kMedianStep : 1.0 - kMedianStep;
  m_median = std::max(m_median, kMinMedian);
  if (shape == 0) {
    return;
  }
  const auto found = m_shapes.find(shape);
  if (found == m_shapes.end()) {
    if (m_shapes.size() < kMaxShapes) {
      m_shapes[shape] = {ran_for, ran_for * kInitialSpread / 2};
    }
    return;
  }
  ShapeStatistics& statistics = found->second;
  const absl::Duration error = ran_for - statistics.mean;
  statistics.mean += error * kSmoothingFactor;
  statistics.deviation +=
      (absl::AbsDuration(error) - statistics.deviation) * kSmoothingFactor;
}

DurationEstimate DurationModel::Estimate(uint64_t shape) const {
  const auto found = m_shapes.find(shape);
  if (found == m_shapes.end()) {
    return {m_median, m_median * (1.0 + kInitialSpread)};
  }
  return {found->second.mean, found->second.mean + 2 * found->second.deviation};
}

bool DurationModel::IsNewShape(uint64_t shape) const {
  return shape != 0 && m_statement_count >= kMinStatements &&
         !m_shapes.contains(shape);
}

bool DurationModel::IsLong(absl::Duration duration) const {
  return duration > m_median * kLongFactor;
}

}  // namespace heatherwick
