// Measures how many routing and admission decisions per second the group
// scheduler makes on one core, by the processor time of this process and by the
// wall clock.

#ifndef SOURCE_LOAD_DECISION_RATE_H_
#define SOURCE_LOAD_DECISION_RATE_H_

#include <cstdint>

#include "Source/decision/group_scheduler.h"

namespace heatherwick {

struct DecisionRate {
  uint64_t decisions = 0;  // Statements started and requests refused.
  uint64_t refused = 0;
  double seconds = 0;       // Wall clock; grows when the machine is busy.
  double core_seconds = 0;  // Processor time.

  double PerCoreSecond() const {
    return static_cast<double>(decisions) / core_seconds;
  }
};

// Submits `requests` requests at a rate that keeps every slot busy and the
// queue filled.
DecisionRate MeasureDecisionRate(const SchedulerOptions& policies,
                                 uint64_t requests);

}  // namespace heatherwick

#endif  // SOURCE_LOAD_DECISION_RATE_H_
