// Decides which workspaces get the few connections of an instance to a target.
//
// A connection belongs to one workspace for its whole life, and opening one
// occupies a slot of the target about as long as a statement does. Answers the
// load in which many workspaces of uneven size share fewer connections than
// there are workspaces:
// - An idle connection is kept until another workspace needs its place; the one
//   that was idle longest goes first.
// - A workspace that has a connection waits for it about as long as opening
//   another would take, before it takes an idle one from another workspace.
// - A workspace gives a connection up when it becomes free while another one
//   waits that holds fewer: at once if both then hold the same number or the
//   other still holds fewer, otherwise after a while.
// - Of the workspaces that wait, those that hold the fewest take a place first.
//
// Without workspaces all connections have the same, empty name, and none of
// this applies.

#ifndef SOURCE_DECISION_CONNECTION_SHARE_H_
#define SOURCE_DECISION_CONNECTION_SHARE_H_

#include <cstddef>
#include <map>
#include <vector>

#include "Source/base/types.h"
#include "absl/time/time.h"

namespace heatherwick {

struct SharedConnection {
  WorkspaceName workspace;
  bool open = false;  // False while it is being opened.
  bool busy = false;
  // When it was opened, and when it was last released.
  absl::Time opened_at;
  absl::Time idle_since;
};

class ConnectionShare {
 public:
  enum class Action {
    kOpen,     // Open one more connection.
    kReplace,  // Close the idle connection `replaced`, then open one.
    kWait,     // For a connection in use, or for `retry_after`.
  };
  struct Choice {
    Action action = Action::kWait;
    size_t replaced = 0;  // Index of the connection.
    absl::Duration retry_after = absl::InfiniteDuration();
  };

  // Chooses how a statement of `workspace` that found no free connection gets
  // one. At most `limit` connections may exist. Remembers that the workspace
  // waits.
  Choice Choose(const WorkspaceName& workspace,
                const std::vector<SharedConnection>& connections,
                size_t limit,
                absl::Time now);
  // True if the free connection `index` should not be used by its workspace
  // again, because another one waits and has a better claim.
  bool MustYield(size_t index,
                 const std::vector<SharedConnection>& connections,
                 size_t limit,
                 absl::Time now) const;
  // True if another workspace waits; without this, nothing must be yielded.
  bool OthersWait(const WorkspaceName& workspace, absl::Time now) const;
  // A statement of the workspace got a connection.
  void OnAcquired(const WorkspaceName& workspace) {
    m_waiting.erase(workspace);
  }

 private:
  struct Wait {
    absl::Time since;
    absl::Time last_attempt;
  };

  // Whether a workspace still waits.
  static bool Waits(const Wait& wait, absl::Time now);

  // By workspace. Entries that have not been repeated lately do not count.
  std::map<WorkspaceName, Wait> m_waiting;
};

}  // namespace heatherwick

#endif  // SOURCE_DECISION_CONNECTION_SHARE_H_
