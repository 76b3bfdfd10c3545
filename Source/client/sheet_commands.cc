// Commands about sheets: check, submit, show, diff, history, wait.

#include <algorithm>
#include <utility>
#include <variant>

#include "Source/base/steady_clock.h"
#include "Source/client/command.h"
#include "Source/client/text_file.h"
#include "Source/decision/sheet_diff.h"
#include "Source/decision/sheet_parser.h"
#include "absl/random/random.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace heatherwick {

namespace {

constexpr absl::Duration kWaitPollPeriod = absl::Milliseconds(250);
// Short, so that a member that does not answer leaves time for the others.
constexpr absl::Duration kMemberTimeout = absl::Seconds(1);

using Mistakes = std::vector<SheetMistake>;

Mistakes FromProto(
    const google::protobuf::RepeatedPtrField<proto::SheetMistake>& messages) {
  Mistakes mistakes;
  for (const proto::SheetMistake& message : messages) {
    mistakes.push_back({message.row(), message.column(), message.message()});
  }
  return mistakes;
}

std::string LocationOf(const std::string& file, const SheetMistake& mistake) {
  std::string location = file;
  if (mistake.row > 0) {
    absl::StrAppend(&location, ": row ", mistake.row);
  }
  if (!mistake.column.empty()) {
    absl::StrAppend(&location, ", column ", mistake.column);
  }
  return location;
}

ExitCode PrintMistakes(const CommandContext& context,
                       const std::string& file,
                       const Mistakes& mistakes) {
  if (context.global.output == OutputFormat::kTable) {
    for (const SheetMistake& mistake : mistakes) {
      *context.out << LocationOf(file, mistake) << ": " << mistake.message
                   << '\n';
    }
  } else {
    Table table{{"file", "row", "column", "message"}, {}};
    for (const SheetMistake& mistake : mistakes) {
      table.rows.push_back(
          {file, mistake.row, mistake.column, mistake.message});
    }
    PrintTable(table, context.global.output, context.out);
  }
  if (mistakes.empty()) {
    return ExitCode::kDone;
  }
  return context.Fail(
      ExitCode::kUsage,
      absl::StrCat(file, " has ", mistakes.size(),
                   mistakes.size() == 1 ? " mistake" : " mistakes"));
}

bool ParseVersion(const std::string& text, uint64_t* version) {
  return absl::SimpleAtoi(text, version) && *version > 0;
}

Error InvalidVersionError(const std::string& text) {
  return {ErrorKind::kInvalidArgument,
          absl::StrCat("\"", text, "\" is not a version"),
          "use a whole number from 1, as `heatherwick sheet history` lists"};
}

std::string TimeText(int64_t unix_ms) {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::FromUnixMillis(unix_ms),
                          absl::UTCTimeZone());
}

void PrintHeads(const CommandContext& context,
                const std::vector<proto::SheetHead>& heads) {
  Table table{{"version", "accepted", "operator", "base", "submission", "hash"},
              {}};
  for (const proto::SheetHead& head : heads) {
    table.rows.push_back({head.version(), TimeText(head.submitted_unix_ms()),
                          head.submitted_by(), head.base_version(),
                          head.submission(), head.content_hash()});
  }
  PrintTable(table, context.global.output, context.out);
}

ExitCode RunCheck(const CommandContext& context) {
  const std::string& file = context.arguments[0];
  const Result<std::string> content = ReadFile(file);
  if (!Ok(content)) {
    return context.Fail(ExitCode::kUsage, ErrorOf(content).Describe());
  }
  Mistakes mistakes;
  if (context.global.instances.empty()) {
    ParsedSheet parsed = ParseSheet(ValueOf(content));
    if (auto* found = std::get_if<Mistakes>(&parsed)) {
      mistakes = std::move(*found);
    }
  } else {
    proto::CheckSheetRequest request;
    request.set_content(ValueOf(content));
    proto::CheckSheetReply reply;
    const CallResult result = context.MakeClient().CallOperator(
        &proto::Operator::Stub::CheckSheet, request, &reply);
    if (result.outcome != CallOutcome::kAnswered) {
      return context.FailUnansweredCall(result, /*modifies_state=*/false);
    }
    mistakes = FromProto(reply.mistakes());
  }
  if (mistakes.empty() && context.global.output == OutputFormat::kTable) {
    *context.out << file << ": no mistakes\n";
    return ExitCode::kDone;
  }
  return PrintMistakes(context, file, mistakes);
}

// Sets `base` to the version given by --base or, without that option, to the
// version in force at the instance. Returns kDone on success.
ExitCode GetBaseVersion(const CommandContext& context,
                        InstanceClient* client,
                        uint64_t* base) {
  const std::string& base_option = context.options.base;
  if (!base_option.empty()) {
    if (!absl::SimpleAtoi(base_option, base)) {
      return context.Fail(ExitCode::kUsage,
                          absl::StrCat("--base=", base_option,
                                       ": not a version; use a whole number, "
                                       "0 for the first sheet"));
    }
    return ExitCode::kDone;
  }
  proto::GetSheetReply reply;
  const CallResult result = client->CallOperator(
      &proto::Operator::Stub::GetSheet, proto::GetSheetRequest(), &reply);
  if (result.outcome != CallOutcome::kAnswered) {
    return context.FailUnansweredCall(result, /*modifies_state=*/false);
  }
  *base = reply.found() ? reply.head().version() : 0;
  return ExitCode::kDone;
}

std::string NewSubmissionId() {
  absl::BitGen random;
  return absl::StrCat("cli-", absl::ToUnixMillis(absl::Now()), "-",
                      absl::Hex(absl::Uniform<uint64_t>(random)));
}

ExitCode ReportSubmission(const CommandContext& context,
                          const proto::SubmitSheetRequest& request,
                          const proto::SubmitSheetReply& reply) {
  if (reply.mistakes_size() > 0) {
    return PrintMistakes(context, context.arguments[0],
                         FromProto(reply.mistakes()));
  }
  if (reply.accepted()) {
    PrintHeads(context, {reply.head()});
    return ExitCode::kDone;
  }
  const ExitCode code = ExitCodeOfErrorKind(reply.error_kind());
  if (code == ExitCode::kConflict && reply.head().version() > 0) {
    PrintHeads(context, {reply.head()});
  }
  return context.Fail(
      code,
      absl::StrCat(reply.error_message(), " (--base=", request.base_version(),
                   " --submission=", request.submission(), ")"));
}

ExitCode RunSubmit(const CommandContext& context) {
  const Result<std::string> content = ReadFile(context.arguments[0]);
  if (!Ok(content)) {
    return context.Fail(ExitCode::kUsage, ErrorOf(content).Describe());
  }
  InstanceClient client = context.MakeClient();
  uint64_t base = 0;
  const ExitCode base_result = GetBaseVersion(context, &client, &base);
  if (base_result != ExitCode::kDone) {
    return base_result;
  }
  proto::SubmitSheetRequest request;
  request.set_content(ValueOf(content));
  request.set_base_version(base);
  request.set_submitted_by(context.options.submitted_by);
  request.set_submission(context.options.submission.empty()
                             ? NewSubmissionId()
                             : context.options.submission);
  proto::SubmitSheetReply reply;
  // The submission id makes it safe to send the same submission again to
  // another instance.
  const CallResult result = client.CallOperator(
      &proto::Operator::Stub::SubmitSheet, request, &reply, Retry::kAllowed);
  if (result.outcome != CallOutcome::kAnswered) {
    *context.err << "heatherwick: to learn the outcome, submit again with "
                    "--base="
                 << base << " --submission=" << request.submission() << '\n';
    return context.FailUnansweredCall(result, /*modifies_state=*/true);
  }
  return ReportSubmission(context, request, reply);
}

// Fetches a version of the sheet; 0 stands for the version in force at the
// instance. Returns kDone on success.
ExitCode FetchVersion(const CommandContext& context,
                      uint64_t version,
                      proto::GetSheetReply* reply) {
  if (context.global.instances.empty()) {
    return context.Fail(ExitCode::kUsage,
                        "a version is fetched from an instance; name one "
                        "with --instance=IP:PORT");
  }
  proto::GetSheetRequest request;
  request.set_version(version);
  const CallResult result = context.MakeClient().CallOperator(
      &proto::Operator::Stub::GetSheet, request, reply);
  if (result.outcome != CallOutcome::kAnswered) {
    return context.FailUnansweredCall(result, /*modifies_state=*/false);
  }
  if (!reply->found()) {
    return context.Fail(ExitCode::kRefused, reply->error_message());
  }
  return ExitCode::kDone;
}

ExitCode RunShow(const CommandContext& context) {
  uint64_t version = 0;
  if (!context.arguments.empty() &&
      !ParseVersion(context.arguments[0], &version)) {
    return context.Fail(ExitCode::kUsage,
                        InvalidVersionError(context.arguments[0]).Describe());
  }
  proto::GetSheetReply reply;
  const ExitCode fetch_result = FetchVersion(context, version, &reply);
  if (fetch_result != ExitCode::kDone) {
    return fetch_result;
  }
  if (context.global.output == OutputFormat::kTable) {
    *context.out << reply.content();
    return ExitCode::kDone;
  }
  PrintJson({{"version", reply.head().version()},
             {"operator", reply.head().submitted_by()},
             {"accepted", TimeText(reply.head().submitted_unix_ms())},
             {"content", reply.content()}},
            context.out);
  return ExitCode::kDone;
}

// Reads one of the two sheets to compare: `version_or_file` is a version if it
// is a positive number, else the name of a file. Returns kDone on success.
ExitCode LoadSheetToCompare(const CommandContext& context,
                            const std::string& version_or_file,
                            Sheet* sheet) {
  uint64_t version = 0;
  std::string text;
  if (ParseVersion(version_or_file, &version)) {
    proto::GetSheetReply reply;
    const ExitCode fetch_result = FetchVersion(context, version, &reply);
    if (fetch_result != ExitCode::kDone) {
      return fetch_result;
    }
    text = reply.content();
  } else {
    const Result<std::string> content = ReadFile(version_or_file);
    if (!Ok(content)) {
      return context.Fail(ExitCode::kUsage, ErrorOf(content).Describe());
    }
    text = ValueOf(content);
  }
  ParsedSheet parsed = ParseSheet(text);
  if (const auto* mistakes = std::get_if<Mistakes>(&parsed)) {
    return PrintMistakes(context, version_or_file, *mistakes);
  }
  *sheet = std::move(std::get<Sheet>(parsed));
  return ExitCode::kDone;
}

ExitCode RunDiff(const CommandContext& context) {
  Sheet before;
  Sheet after;
  for (const auto& [argument_index, sheet] :
       {std::pair{0, &before}, {1, &after}}) {
    const ExitCode load_result =
        LoadSheetToCompare(context, context.arguments[argument_index], sheet);
    if (load_result != ExitCode::kDone) {
      return load_result;
    }
  }
  Table table{{"change", "record", "name", "column", "before", "after"}, {}};
  for (const RowDifference& row : DiffSheets(before, after)) {
    for (const ValueChange& value : row.values) {
      table.rows.push_back({std::string(RowChangeName(row.change)), row.record,
                            row.name, value.column, value.before, value.after});
    }
  }
  if (table.rows.empty() && context.global.output == OutputFormat::kTable) {
    *context.out << "no difference\n";
    return ExitCode::kDone;
  }
  PrintTable(table, context.global.output, context.out);
  return ExitCode::kDone;
}

ExitCode RunHistory(const CommandContext& context) {
  proto::SheetHistoryRequest request;
  request.set_most(static_cast<uint32_t>(context.options.history_limit));
  proto::SheetHistoryReply reply;
  const CallResult result = context.MakeClient().CallOperator(
      &proto::Operator::Stub::SheetHistory, request, &reply);
  if (result.outcome != CallOutcome::kAnswered) {
    return context.FailUnansweredCall(result, /*modifies_state=*/false);
  }
  PrintHeads(context, {reply.heads().begin(), reply.heads().end()});
  if (!reply.error_message().empty()) {
    return context.Fail(
        ExitCode::kUnavailable,
        absl::StrCat("the list is incomplete: ", reply.error_message()));
  }
  return ExitCode::kDone;
}

struct MemberSheetStatus {
  std::string id;
  std::string address;
  uint64_t version = 0;
  std::string state;  // "in_force", "older" or "no_answer"
};

// Returns whether the member may serve callers. Members in the list that have
// not been heard from yet count, because they may already serve callers.
bool MayServeCallers(const proto::MemberUpdate& member) {
  return member.state() != proto::LEAVING_STATE &&
         member.state() != proto::DEAD;
}

// Asks each member that may serve callers which version it has in force, and
// compares that with `version`.
std::vector<MemberSheetStatus> QueryMembers(const proto::ListMembersReply& list,
                                            uint64_t version) {
  std::vector<MemberSheetStatus> members;
  for (const proto::MemberUpdate& member : list.members()) {
    if (!MayServeCallers(member)) {
      continue;
    }
    proto::ListMembersReply reply;
    InstanceClient client({member.address()}, kMemberTimeout);
    const CallResult result =
        client.CallOperator(&proto::Operator::Stub::ListMembers,
                            proto::ListMembersRequest(), &reply);
    std::string state = "no_answer";
    if (result.outcome == CallOutcome::kAnswered) {
      state = reply.sheet_version() >= version ? "in_force" : "older";
    }
    members.push_back(
        {member.id(), member.address(), reply.sheet_version(), state});
  }
  return members;
}

bool AllInForce(const std::vector<MemberSheetStatus>& members) {
  return std::all_of(members.begin(), members.end(),
                     [](const MemberSheetStatus& member) {
                       return member.state == "in_force";
                     });
}

ExitCode RunWait(const CommandContext& context) {
  uint64_t version = 0;
  if (!ParseVersion(context.arguments[0], &version)) {
    return context.Fail(ExitCode::kUsage,
                        InvalidVersionError(context.arguments[0]).Describe());
  }
  const absl::Time wait_deadline = SteadyNow() + context.options.limit;
  std::vector<MemberSheetStatus> members;
  while (true) {
    proto::ListMembersReply list;
    const CallResult result =
        context.MakeClient().CallOperator(&proto::Operator::Stub::ListMembers,
                                          proto::ListMembersRequest(), &list);
    if (result.outcome != CallOutcome::kAnswered) {
      return context.FailUnansweredCall(result, /*modifies_state=*/false);
    }
    members = QueryMembers(list, version);
    if (AllInForce(members) || SteadyNow() >= wait_deadline) {
      break;
    }
    absl::SleepFor(kWaitPollPeriod);
  }
  Table table{{"instance", "address", "version", "state"}, {}};
  for (const MemberSheetStatus& member : members) {
    table.rows.push_back(
        {member.id, member.address, member.version, member.state});
  }
  PrintTable(table, context.global.output, context.out);
  if (AllInForce(members)) {
    return ExitCode::kDone;
  }
  return context.Fail(
      ExitCode::kUnavailable,
      absl::StrCat("version ", version, " is not in force everywhere after ",
                   absl::FormatDuration(context.options.limit),
                   "; check the instances listed as older or no_answer"));
}

void AddSubmitOptions(SettingsParser* parser, CommandOptions* options) {
  parser->AddString("base", "VERSION",
                    "Version that the change is based on; empty: the one in "
                    "force at the instance",
                    &options->base);
  parser->AddRequiredString("submitted-by", "NAME",
                            "Operator's name in the history",
                            &options->submitted_by);
  parser->AddString("submission", "ID",
                    "Id of an earlier submission whose outcome is unknown; "
                    "empty: a new one",
                    &options->submission);
}

}  // namespace

std::vector<Command> SheetCommands() {
  const auto no_options = [](SettingsParser*, CommandOptions*) {};
  return {
      {"sheet check",
       "FILE",
       "Reports every mistake of a sheet.",
       "Without --instance the sheet is checked by this program, offline; "
       "with it, by the instance. FILE may be - for the standard input.",
       {"heatherwick sheet check monday.csv",
        "heatherwick sheet check monday.csv --instance=127.0.0.1:7400"},
       1,
       1,
       false,
       no_options,
       RunCheck},
      {"sheet submit",
       "FILE",
       "Submits a sheet, to be in force on every instance within seconds.",
       "The submission succeeds only while the base version is the newest. "
       "After a lost race the accepted sheet is shown, and the exit code is "
       "5. When the outcome is unknown (exit code 4), repeat the command with "
       "the --base and --submission that it prints.",
       {"heatherwick sheet submit monday.csv --instance=127.0.0.1:7400 "
        "--base=41 --submitted-by=ana"},
       1,
       1,
       true,
       AddSubmitOptions,
       RunSubmit},
      {"sheet show",
       "[VERSION]",
       "Prints the text of a sheet.",
       "Without VERSION, the sheet in force at the instance.",
       {"heatherwick sheet show --instance=127.0.0.1:7400",
        "heatherwick sheet show 41 --instance=127.0.0.1:7400"},
       0,
       1,
       true,
       no_options,
       RunShow},
      {"sheet diff",
       "A B",
       "Lists the rows that differ between two sheets.",
       "A and B are versions when they are numbers, else files. Only versions "
       "need --instance.",
       {"heatherwick sheet diff monday.csv tuesday.csv",
        "heatherwick sheet diff 41 tuesday.csv --instance=127.0.0.1:7400"},
       2,
       2,
       false,
       no_options,
       RunDiff},
      {"sheet history",
       "",
       "Lists the accepted versions, the newest first.",
       "The list comes from the platform's store. While that is down, only "
       "the version in force is listed, and the exit code is 3.",
       {"heatherwick sheet history --most=5 --instance=127.0.0.1:7400"},
       0,
       0,
       true,
       [](SettingsParser* parser, CommandOptions* options) {
         parser->AddUint("most", "N", "Longest list", 1, 200,
                         &options->history_limit);
       },
       RunHistory},
      {"sheet wait",
       "VERSION",
       "Waits until every instance has a version, or a later one, in force.",
       "Asks each instance of the member list, without leaving and dead ones. "
       "The exit code is 3 when the limit passes first.",
       {"heatherwick sheet wait 42 --limit=13s --instance=127.0.0.1:7400"},
       1,
       1,
       true,
       [](SettingsParser* parser, CommandOptions* options) {
         parser->AddDuration("limit", "TIME", "Longest wait",
                             absl::Milliseconds(1), absl::Hours(1),
                             &options->limit);
       },
       RunWait},
  };
}

}  // namespace heatherwick
