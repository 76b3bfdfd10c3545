// What an instance knows about each instance when it assigns work to them.

#ifndef SOURCE_DECISION_FLEET_MEMBER_H_
#define SOURCE_DECISION_FLEET_MEMBER_H_

#include <cstdint>

#include "Source/base/types.h"

namespace heatherwick {

struct FleetMember {
  InstanceId id;
  DataCentreName data_centre;
  // Relative capacity for work that an instance does for others. Members with
  // more of it are preferred.
  uint32_t capacity = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_FLEET_MEMBER_H_
