// Estimates how long statements run from earlier statements of the same shape.
// The shape is a hash of the statement without its literals.

#ifndef SOURCE_DECISION_DURATION_MODEL_H_
#define SOURCE_DECISION_DURATION_MODEL_H_

#include <cstddef>
#include <cstdint>

#include "Source/decision/pending_request.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace heatherwick {

class DurationModel {
 public:
  // Shape 0 means that the shape is unknown.
  void RecordDuration(uint64_t shape, absl::Duration ran_for);

  DurationEstimate Estimate(uint64_t shape) const;
  bool IsLong(absl::Duration duration) const;
  // Whether the shape has not run yet, although enough statements have run that
  // most of them have a known shape.
  bool IsNewShape(uint64_t shape) const;
  // Running estimate of the median over all statements.
  absl::Duration Median() const { return m_median; }

 private:
  struct ShapeStatistics {
    absl::Duration mean;
    absl::Duration deviation;
  };

  uint64_t m_statement_count = 0;
  absl::Duration m_median = absl::Milliseconds(5);
  absl::flat_hash_map<uint64_t, ShapeStatistics> m_shapes;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_DURATION_MODEL_H_
