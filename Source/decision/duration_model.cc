// Smoothed durations and their spread for each shape of statement.

#include "Source/decision/duration_model.h"

#include <algorithm>

namespace heatherwick {
namespace {

// Bounds the memory of a group; applications have a few hundred shapes.
constexpr size_t kMaxShapes = 4096;
// Weight of the newest duration, as for smoothed round-trip times.
constexpr double kGain = 0.125;
// Relative step of the median for each statement.
constexpr double kMedianStep = 0.02;
constexpr absl::Duration kLowestMedian = absl::Microseconds(10);
// A statement that runs this many times the median delays the rest.
constexpr double kLongFactor = 8.0;
// After this many statements a shape that is new is a rare one.
constexpr uint64_t kWarm = 100;
// Spread that is assumed for a shape before its second execution.
constexpr double kUnknownSpread = 1.0;

}  // namespace

void DurationModel::Learn(uint64_t shape, absl::Duration ran_for) {
  ++m_learned;
  m_median *= ran_for > m_median ? 1.0 + kMedianStep : 1.0 - kMedianStep;
  m_median = std::max(m_median, kLowestMedian);
  if (shape == 0) {
    return;
  }
  const auto found = m_shapes.find(shape);
  if (found == m_shapes.end()) {
    if (m_shapes.size() < kMaxShapes) {
      m_shapes[shape] = {ran_for, ran_for * kUnknownSpread / 2};
    }
    return;
  }
  Learned& learned = found->second;
  const absl::Duration error = ran_for - learned.mean;
  learned.mean += error * kGain;
  learned.deviation += (absl::AbsDuration(error) - learned.deviation) * kGain;
}

DurationEstimate DurationModel::Estimate(uint64_t shape) const {
  const auto found = m_shapes.find(shape);
  if (found == m_shapes.end()) {
    return {m_median, m_median * (1.0 + kUnknownSpread)};
  }
  return {found->second.mean, found->second.mean + 2 * found->second.deviation};
}

bool DurationModel::IsUnknown(uint64_t shape) const {
  return shape != 0 && m_learned >= kWarm && !m_shapes.contains(shape);
}

bool DurationModel::IsLong(absl::Duration duration) const {
  return duration > m_median * kLongFactor;
}

}  // namespace heatherwick
