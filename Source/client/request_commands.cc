// Commands that send or explain requests of a caller: execute, resolve,
// explain.

#include <algorithm>
#include <optional>

#include "Source/base/enum_table.h"
#include "Source/client/command.h"
#include "Source/client/text_file.h"
#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

constexpr EnumName<proto::Operation> kOperationNames[] = {
    {proto::READ, "read"},         {proto::WRITE, "write"},
    {proto::BEGIN, "begin"},       {proto::COMMIT, "commit"},
    {proto::ROLLBACK, "rollback"},
};

constexpr EnumName<proto::Outcome> kOutcomeNames[] = {
    {proto::DONE, "done"},
    {proto::NOT_RUN, "not_run"},
    {proto::UNKNOWN, "unknown"},
};

// Extra time after the request's deadline for the reply to arrive.
constexpr absl::Duration kReplyMargin = absl::Seconds(1);

uint32_t DeadlineMs(const CommandContext& context) {
  return static_cast<uint32_t>(
      absl::ToInt64Milliseconds(context.options.deadline));
}

// Reads the session's token from the token file. If the file cannot be read,
// the token stays empty, which begins a new session. Returns kDone on success.
ExitCode LoadToken(const CommandContext& context, std::string* token) {
  const std::string& path = context.options.token_file;
  if (path.empty()) {
    return ExitCode::kDone;
  }
  const Result<std::string> content = ReadFile(path);
  if (Ok(content)) {
    *token = ValueOf(content);
  }
  // Write the file back now, so that a file that cannot be written is reported
  // before the request runs.
  const Status written = ReplaceFile(path, *token);
  if (!Ok(written)) {
    return context.Fail(ExitCode::kUsage, ErrorOf(written).Describe());
  }
  return ExitCode::kDone;
}

void SaveToken(const CommandContext& context, const std::string& token) {
  if (context.options.token_file.empty() || token.empty()) {
    return;
  }
  const Status written = ReplaceFile(context.options.token_file, token);
  if (!Ok(written)) {
    context.Fail(ExitCode::kDone,
                 absl::StrCat(ErrorOf(written).Describe(),
                              "; the session's new token was not saved"));
  }
}

// Fills in the request from the arguments and options. Returns kDone on
// success.
ExitCode BuildRequest(const CommandContext& context,
                      proto::ExecuteRequest* request) {
  const std::string& name = context.arguments[0];
  const std::optional<proto::Operation> operation =
      ValueOf(kOperationNames, name);
  if (!operation) {
    return context.Fail(ExitCode::kUsage,
                        absl::StrCat("operation \"", name,
                                     "\" is unknown; use read, write, begin, "
                                     "commit or rollback"));
  }
  request->set_operation(*operation);
  if (context.arguments.size() > 1) {
    request->set_statement(context.arguments[1]);
  }
  request->set_caller(context.options.caller);
  request->set_group(context.options.group);
  request->set_read_kind(context.options.read_kind);
  request->set_request_kind(context.options.request_kind);
  request->set_request_key(context.options.key);
  request->set_transaction(context.options.transaction);
  request->set_deadline_ms(DeadlineMs(context));
  return LoadToken(context, request->mutable_token());
}

ExitCode ExitCodeOfReply(const proto::ExecuteReply& reply) {
  if (reply.outcome() == proto::DONE && reply.error_kind().empty()) {
    return ExitCode::kDone;
  }
  return reply.outcome() == proto::UNKNOWN ? ExitCode::kUnknown
                                           : ExitCode::kRefused;
}

ExitCode PrintReply(const CommandContext& context,
                    const proto::ExecuteReply& reply) {
  SaveToken(context, reply.token());
  Table table{
      {"outcome", "result", "served_by", "age_ms", "transaction", "error"}, {}};
  table.rows.push_back({std::string(NameOf(kOutcomeNames, reply.outcome())),
                        reply.result(), reply.served_by(), reply.age_ms(),
                        reply.transaction(), reply.error_kind()});
  PrintTable(table, context.global.output, context.out);
  const ExitCode code = ExitCodeOfReply(reply);
  if (code == ExitCode::kDone) {
    return code;
  }
  std::string message = reply.error_message();
  if (code == ExitCode::kUnknown && !context.options.key.empty()) {
    absl::StrAppend(&message,
                    "; run `heatherwick resolve` with the same caller, "
                    "group and key to get the final outcome");
  }
  return context.Fail(code, message);
}

InstanceClient MakeRequestClient(const CommandContext& context) {
  return InstanceClient(context.global.instances,
                        std::max(context.global.timeout,
                                 context.options.deadline + kReplyMargin));
}

ExitCode RunExecute(const CommandContext& context) {
  proto::ExecuteRequest request;
  const ExitCode build_result = BuildRequest(context, &request);
  if (build_result != ExitCode::kDone) {
    return build_result;
  }
  // BEGIN may be sent again: if the reply with the transaction's handle was
  // lost, that transaction ends at its idle limit.
  const bool modifies_state =
      request.operation() != proto::READ && request.operation() != proto::BEGIN;
  proto::ExecuteReply reply;
  const CallResult result = MakeRequestClient(context).CallProxy(
      &proto::Proxy::Stub::Execute, request, &reply,
      modifies_state ? Retry::kForbidden : Retry::kAllowed);
  if (result.outcome != CallOutcome::kAnswered) {
    return context.FailUnansweredCall(result, modifies_state);
  }
  return PrintReply(context, reply);
}

ExitCode RunResolve(const CommandContext& context) {
  proto::ResolveRequest request;
  request.set_caller(context.options.caller);
  request.set_group(context.options.group);
  request.set_request_key(context.options.key);
  request.set_deadline_ms(DeadlineMs(context));
  const ExitCode load_result = LoadToken(context, request.mutable_token());
  if (load_result != ExitCode::kDone) {
    return load_result;
  }
  proto::ExecuteReply reply;
  const CallResult result = MakeRequestClient(context).CallProxy(
      &proto::Proxy::Stub::Resolve, request, &reply, Retry::kAllowed);
  if (result.outcome != CallOutcome::kAnswered) {
    return context.FailUnansweredCall(result, /*modifies_state=*/true);
  }
  return PrintReply(context, reply);
}

ExitCode RunExplain(const CommandContext& context) {
  proto::ExplainRequest request;
  const ExitCode build_result =
      BuildRequest(context, request.mutable_request());
  if (build_result != ExitCode::kDone) {
    return build_result;
  }
  proto::ExplainReply reply;
  const CallResult result = context.MakeClient().CallOperator(
      &proto::Operator::Stub::Explain, request, &reply);
  if (result.outcome != CallOutcome::kAnswered) {
    return context.FailUnansweredCall(result, /*modifies_state=*/false);
  }
  if (context.global.output == OutputFormat::kJson) {
    PrintJson(
        std::vector<std::string>(reply.lines().begin(), reply.lines().end()),
        context.out);
  } else {
    for (const std::string& line : reply.lines()) {
      *context.out << line << '\n';
    }
  }
  if (!reply.error_message().empty()) {
    return context.Fail(ExitCode::kRefused, reply.error_message());
  }
  return ExitCode::kDone;
}

void AddSessionOptions(SettingsParser* parser, CommandOptions* options) {
  parser->AddRequiredString("caller", "NAME", "A caller of the sheet",
                            &options->caller);
  parser->AddRequiredString("group", "NAME", "A group of the sheet",
                            &options->group);
  parser->AddString("token-file", "FILE",
                    "Keeps the session's token, so that the next command "
                    "continues the session",
                    &options->token_file);
  parser->AddDuration("deadline", "TIME", "Limit of the request itself",
                      absl::Milliseconds(1), absl::Minutes(10),
                      &options->deadline);
}

void AddExecuteOptions(SettingsParser* parser, CommandOptions* options) {
  AddSessionOptions(parser, options);
  parser->AddString("read-kind", "NAME",
                    "read: names the allowed age; empty: current data",
                    &options->read_kind);
  parser->AddString("request-kind", "NAME",
                    "write, commit: names the repeat rule",
                    &options->request_kind);
  parser->AddString("key", "KEY", "Idempotency key, unique for the caller",
                    &options->key);
  parser->AddString("transaction", "HANDLE", "Handle that begin has printed",
                    &options->transaction);
}

void AddResolveOptions(SettingsParser* parser, CommandOptions* options) {
  AddSessionOptions(parser, options);
  parser->AddRequiredString("key", "KEY", "Idempotency key of the request",
                            &options->key);
}

}  // namespace

std::vector<Command> RequestCommands() {
  return {
      {"execute",
       "OPERATION [STATEMENT]",
       "Sends one request as a caller.",
       "OPERATION is read, write, begin, commit or rollback. A write or "
       "commit that may have arrived is never sent again; its exit code is 4.",
       {"heatherwick execute read \"get stock/42\" --caller=stiefel "
        "--group=boot-core-1 --read-kind=browsing --token-file=session "
        "--instance=127.0.0.1:7400",
        "heatherwick execute write \"put order/7 boots\" --caller=stiefel "
        "--group=boot-core-1 --request-kind=order --key=order-7 "
        "--token-file=session --instance=127.0.0.1:7400"},
       1,
       2,
       true,
       AddExecuteOptions,
       RunExecute},
      {"resolve",
       "",
       "Settles a request whose outcome is unknown.",
       "The outcome done or not_run is final: a request that is reported as "
       "not_run cannot run later.",
       {"heatherwick resolve --caller=stiefel --group=boot-core-1 "
        "--key=order-7 --instance=127.0.0.1:7400"},
       0,
       0,
       true,
       AddResolveOptions,
       RunResolve},
      {"explain",
       "OPERATION [STATEMENT]",
       "Shows where a request would go and why, without running it.",
       "Takes the options of execute. Each line gives one step and its "
       "reason.",
       {"heatherwick explain read \"get stock/42\" --caller=stiefel "
        "--group=boot-core-1 --read-kind=browsing --instance=127.0.0.1:7400"},
       1,
       2,
       true,
       AddExecuteOptions,
       RunExplain},
  };
}

}  // namespace heatherwick
