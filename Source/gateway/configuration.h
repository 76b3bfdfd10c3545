// The gateway's view of the current configuration and of the registered
// targets.

#ifndef SOURCE_GATEWAY_CONFIGURATION_H_
#define SOURCE_GATEWAY_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "Source/base/types.h"
#include "Source/decision/workspace_quota.h"
#include "absl/time/time.h"

namespace heatherwick {

// What a read must see.
enum class Consistency {
  kCurrent,           // Every acknowledged commit.
  kBoundedStaleness,  // Every commit acknowledged longer ago than the limit.
  kReadYourWrites,    // As kBoundedStaleness, plus the session's own commits.
};

// How requests for one database name are served.
struct Route {
  std::string database;
  GroupName group;
  Consistency consistency = Consistency::kCurrent;
  absl::Duration max_staleness;  // Unused by kCurrent.
  absl::Duration statement_timeout;
  absl::Duration latency_objective;  // For a whole operation.
  int priority = 0;                  // Lower values are served first.
  bool is_public = false;            // Callers need no key.
};

// A customer's account. Its callers are known by their keys.
struct Workspace {
  WorkspaceName name;
  std::set<std::string> keys;  // Never logged.
  int priority = 0;            // Lower values are served first.
  // Operations over all instances. Nothing if the operator set no limit.
  std::optional<WorkspaceQuota> quota;
};

struct GroupSettings {
  uint32_t max_connections = 1;  // To each target, by all instances together.
  uint32_t sync_replicas = 0;    // Replicas that receive a commit first.
};

struct Configuration {
  uint64_t version = 0;
  // True if the operator lists workspaces; callers then need a key of one,
  // except on public routes.
  bool has_workspaces = false;
  // Workspaces with usable names and keys. No key belongs to two of them.
  std::map<WorkspaceName, Workspace, std::less<>> workspaces;
  // Workspaces whose quota could not be read. They keep the one of the
  // configuration before.
  std::set<WorkspaceName> invalid_quotas;
  std::map<std::string, Route, std::less<>> routes;  // By database name.
  std::map<GroupName, GroupSettings, std::less<>> groups;
  // Groups whose settings could not be read. The gateway keeps those of the
  // configuration before.
  std::set<GroupName> invalid_groups;
  absl::Duration idle_transaction_timeout = absl::Seconds(3);
};

// What a target registered about itself.
struct ListedTarget {
  TargetId id;
  GroupName group;
  std::string address;
  DataCentreName data_centre;
  bool draining = false;
  bool claims_primary = false;  // The target's own view; may be outdated.
  int64_t started_unix_ms = 0;  // Distinguishes runs under one id; 0 if unset.
  uint64_t sequence = 0;        // Of the entry, in one run; 0 if unset.
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_CONFIGURATION_H_
