// The configuration in force and the targets that are listed, as the gateway
// uses them.

#ifndef SOURCE_GATEWAY_CONFIGURATION_H_
#define SOURCE_GATEWAY_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <string>

#include "Source/base/types.h"
#include "absl/time/time.h"

namespace heatherwick {

// What a read must see.
enum class Consistency {
  kCurrent,         // Every acknowledged commit.
  kBoundedAge,      // Every commit acknowledged before the allowed age.
  kReadYourWrites,  // As kBoundedAge, and the session's own commits.
};

// How requests for one database name are served.
struct Route {
  std::string database;
  GroupName group;
  Consistency consistency = Consistency::kCurrent;
  absl::Duration allowed_age;        // Not used by kCurrent.
  absl::Duration statement_timeout;  // Of one statement.
  absl::Duration latency_objective;  // Of a whole operation.
  int priority = 0;                  // 0 is served first.
};

struct GroupSettings {
  uint32_t max_connections = 1;  // To each target, from all instances.
  uint32_t sync_replicas = 0;    // Replicas that receive a commit first.
};

struct Configuration {
  uint64_t version = 0;
  std::map<std::string, Route, std::less<>> routes;  // By database name.
  std::map<GroupName, GroupSettings, std::less<>> groups;
  absl::Duration idle_transaction_timeout = absl::Seconds(3);
};

// A target as it registered itself.
struct ListedTarget {
  TargetId id;
  GroupName group;
  std::string address;
  DataCentreName data_centre;
  bool draining = false;
  bool claims_primary = false;  // By its own view, which may be outdated.
  int64_t started_unix_ms = 0;  // Tells two runs under one id apart; 0: none.
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_CONFIGURATION_H_
