// Interfaces for a connection to a target and for the driver that opens it.

#ifndef SOURCE_GATEWAY_TARGET_LINK_H_
#define SOURCE_GATEWAY_TARGET_LINK_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "Source/base/error.h"
#include "Source/decision/crowd_admission.h"
#include "Source/gateway/configuration.h"
#include "Source/gateway/statement.h"
#include "absl/strings/string_view.h"

namespace heatherwick {

// One statement as it is sent to a target.
struct TargetCommand {
  std::string id;  // Empty for a command that the gateway itself issues.
  StatementKind kind = StatementKind::kRead;
  // The text of a read, write or commit. The text of other commands is built
  // from the fields below.
  std::string text;
  std::string name;
  std::string argument;
  // The target refuses the statement if its log lacks this position.
  std::optional<Position> required_position;
  // For those who queue the command on its way; not sent to targets.
  WaitTerms terms;
};

using ReplyHandler = std::function<void(Reply)>;

// Commands may be pipelined: one can be sent before earlier ones are answered.
// Replies arrive in the order of the commands.
class TargetLink {
 public:
  virtual ~TargetLink() = default;

  // `on_reply` is not called after the link has closed. Commands sent before
  // the link is open are held back until it opens.
  virtual void Send(TargetCommand command, ReplyHandler on_reply) = 0;
  // Closes the connection at once; none of its handlers is called afterwards.
  virtual void Close() = 0;
  // True if the connection is borrowed from another instance for each statement
  // or transaction. A command then runs only if all those sent before it and
  // not answered yet succeed, and session values and prepared statements end
  // with the statement or transaction.
  virtual bool Borrowed() const { return false; }
};

class TargetDriver {
 public:
  static constexpr absl::string_view kPluginKind = "target driver";

  virtual ~TargetDriver() = default;

  // Opens a connection for a workspace, or for none if its name is empty.
  // `on_open` is called once, with the target's log position or with the error
  // that prevented the connection. `on_close` is called at most once, if the
  // connection is lost after it was opened.
  virtual std::unique_ptr<TargetLink> Open(
      const ListedTarget& target,
      const WorkspaceName& workspace,
      std::function<void(Result<Position>)> on_open,
      std::function<void(Error)> on_close) = 0;
  // As Open(), but the connection is never borrowed.
  virtual std::unique_ptr<TargetLink> OpenDirect(
      const ListedTarget& target,
      const WorkspaceName& workspace,
      std::function<void(Result<Position>)> on_open,
      std::function<void(Error)> on_close) {
    return Open(target, workspace, std::move(on_open), std::move(on_close));
  }

  // Borrows a connection from an instance that has one, or returns null if no
  // other instance is known. Used while the target accepts no connection more.
  virtual std::unique_ptr<TargetLink> Borrow(
      const ListedTarget&,
      const WorkspaceName&,
      const std::function<void(Error)>&) {
    return nullptr;
  }
  virtual std::optional<TargetStatus> ParseStatus(const Reply& reply) = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_TARGET_LINK_H_
