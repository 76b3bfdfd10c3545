// Learns how long statements run, by the shape of the statement.

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
  // Shape 0 means that the shape is not known.
  void Learn(uint64_t shape, absl::Duration ran_for);

  DurationEstimate Estimate(uint64_t shape) const;
  bool IsLong(absl::Duration duration) const;
  // The shape has not run yet, while enough others have to expect better of
  // most statements.
  bool IsUnknown(uint64_t shape) const;
  // Running median over all statements.
  absl::Duration Typical() const { return m_median; }

 private:
  struct Learned {
    absl::Duration mean;
    absl::Duration deviation;
  };

  uint64_t m_learned = 0;  // Statements.
  absl::Duration m_median = absl::Milliseconds(5);
  absl::flat_hash_map<uint64_t, Learned> m_shapes;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_DURATION_MODEL_H_
