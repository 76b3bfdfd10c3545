// A connection to a target, and the driver that opens connections.

#ifndef SOURCE_GATEWAY_TARGET_LINK_H_
#define SOURCE_GATEWAY_TARGET_LINK_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Source/base/error.h"
#include "Source/gateway/configuration.h"
#include "Source/gateway/statement.h"
#include "absl/strings/string_view.h"

namespace heatherwick {

// One statement as it is sent to a target.
struct TargetCommand {
  std::string id;  // Empty for a command of the gateway's own.
  StatementKind kind = StatementKind::kRead;
  // The text of a read, write or commit; others are built from the fields.
  std::string text;
  std::string name;
  std::string argument;
  // The target refuses the statement when its log lacks this position.
  std::optional<Position> required_position;
};

using ReplyHandler = std::function<void(Reply)>;

// Commands may be sent before earlier ones are answered; replies come in
// order.
class TargetLink {
 public:
  virtual ~TargetLink() = default;

  // `on_reply` is not called once the link has closed. Commands sent before
  // the link is open follow when it opens.
  virtual void Send(TargetCommand command, ReplyHandler on_reply) = 0;
  // Closes the connection at once; no handler of it is called afterwards.
  virtual void Close() = 0;
};

class TargetDriver {
 public:
  static constexpr absl::string_view kPluginKind = "target driver";

  virtual ~TargetDriver() = default;

  // Opens a connection. `on_open` is called once, with the position that the
  // target showed or with why it refused; `on_close` at most once, after a
  // successful open, when the connection is lost.
  virtual std::unique_ptr<TargetLink> Open(
      const ListedTarget& target,
      std::function<void(Result<Position>)> on_open,
      std::function<void(Error)> on_close) = 0;

  virtual std::optional<TargetStatus> ParseStatus(const Reply& reply) = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_TARGET_LINK_H_
