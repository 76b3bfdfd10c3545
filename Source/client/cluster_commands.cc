// Commands about instances and groups: groups, instances, drain, stats.

#include "Source/client/command.h"
#include "Source/proto/target.pb.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/string_view.h"

namespace heatherwick {

namespace {

std::string StateName(const proto::MemberUpdate& member) {
  switch (member.state()) {
    case proto::ALIVE:
      return "alive";
    case proto::SUSPECT:
      return "suspect";
    case proto::LEAVING_STATE:
      return "leaving";
    case proto::DEAD:
      return "dead";
    default:
      return "unknown";
  }
}

void AddGroupRows(const proto::GroupState& group, Table* table) {
  for (const proto::StatusReply& target : group.targets()) {
    const std::string role = target.leaving()   ? "leaving"
                             : target.primary() ? "primary"
                                                : "replica";
    table->rows.push_back({group.group(), group.home(), target.target(), role,
                           target.term(), target.last().lsn(), target.age_ms(),
                           target.busy_slots(), target.slots(),
                           target.connections(), target.max_connections(),
                           group.queued(), group.open_transactions()});
  }
  if (group.targets().empty()) {
    table->rows.push_back({group.group(), group.home(), "", "no_answer",
                           group.term(), 0, 0, 0, 0, 0, 0, group.queued(),
                           group.open_transactions()});
  }
}

ExitCode RunGroups(const CommandContext& context) {
  proto::ListGroupsRequest request;
  if (!context.arguments.empty()) {
    request.set_group(context.arguments[0]);
  }
  proto::ListGroupsReply reply;
  const CallResult result = context.MakeClient().CallOperator(
      &proto::Operator::Stub::ListGroups, request, &reply);
  if (result.outcome != CallOutcome::kAnswered) {
    return context.FailUnansweredCall(result, /*modifies_state=*/false);
  }
  Table table{{"group", "home", "target", "role", "term", "lsn", "age_ms",
               "busy_slots", "slots", "connections", "max_connections",
               "queued", "open_transactions"},
              {}};
  ExitCode code = ExitCode::kDone;
  for (const proto::GroupState& group : reply.groups()) {
    AddGroupRows(group, &table);
    if (!group.error_message().empty()) {
      code = context.Fail(ExitCode::kRefused,
                          group.group() + ": " + group.error_message());
    }
  }
  PrintTable(table, context.global.output, context.out);
  if (!context.arguments.empty() && reply.groups().empty()) {
    return context.Fail(ExitCode::kRefused,
                        "group " + context.arguments[0] +
                            " is not in the sheet; see `heatherwick groups`");
  }
  return code;
}

ExitCode RunInstances(const CommandContext& context) {
  proto::ListMembersReply reply;
  const CallResult result = context.MakeClient().CallOperator(
      &proto::Operator::Stub::ListMembers, proto::ListMembersRequest(), &reply);
  if (result.outcome != CallOutcome::kAnswered) {
    return context.FailUnansweredCall(result, /*modifies_state=*/false);
  }
  Table table{{"instance", "address", "region", "data_centre", "state",
               "incarnation", "answered"},
              {}};
  for (const proto::MemberUpdate& member : reply.members()) {
    table.rows.push_back({member.id(), member.address(), member.region(),
                          member.data_centre(), StateName(member),
                          member.incarnation(),
                          member.id() == reply.self() ? "yes" : ""});
  }
  PrintTable(table, context.global.output, context.out);
  return ExitCode::kDone;
}

ExitCode RunDrain(const CommandContext& context) {
  if (context.global.instances.size() != 1) {
    return context.Fail(ExitCode::kUsage,
                        "drain shuts down one instance; name exactly one "
                        "with --instance=IP:PORT");
  }
  proto::DrainReply reply;
  const CallResult result = context.MakeClient().CallOperator(
      &proto::Operator::Stub::Drain, proto::DrainRequest(), &reply,
      Retry::kForbidden);
  if (result.outcome != CallOutcome::kAnswered) {
    return context.FailUnansweredCall(result, /*modifies_state=*/true);
  }
  if (context.global.output == OutputFormat::kTable) {
    *context.out << "instance " << result.address
                 << " finishes its requests and then exits\n";
  } else {
    PrintJson({{"draining", result.address}}, context.out);
  }
  return ExitCode::kDone;
}

ExitCode RunStats(const CommandContext& context) {
  proto::StatisticsReply reply;
  const CallResult result = context.MakeClient().CallOperator(
      &proto::Operator::Stub::Statistics, proto::StatisticsRequest(), &reply);
  if (result.outcome != CallOutcome::kAnswered) {
    return context.FailUnansweredCall(result, /*modifies_state=*/false);
  }
  const auto json = nlohmann::ordered_json::parse(reply.json(), nullptr,
                                                  /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return context.Fail(ExitCode::kRefused,
                        "the instance's statistics are not valid JSON; use a "
                        "client of the instance's version");
  }
  if (context.global.output == OutputFormat::kJson) {
    PrintJson(json, context.out);
    return ExitCode::kDone;
  }
  Table table{{"statistic", "value"}, {}};
  const nlohmann::ordered_json values = json.flatten();
  for (const auto& [path, value] : values.items()) {
    // Paths are JSON pointers, which escape a "/" in a metric's label as "~1",
    // as in "/counters/requests~1done".
    const std::string name =
        absl::StrReplaceAll(absl::string_view(path).substr(1), {{"~1", "/"}});
    table.rows.push_back({name, value});
  }
  PrintTable(table, context.global.output, context.out);
  return ExitCode::kDone;
}

}  // namespace

std::vector<Command> ClusterCommands() {
  const auto no_options = [](SettingsParser*, CommandOptions*) {};
  return {
      {"groups",
       "[NAME]",
       "Lists the groups with their homes and targets.",
       "One row for each target, as the group's home sees it.",
       {"heatherwick groups --instance=127.0.0.1:7400",
        "heatherwick groups boot-core-1 --instance=127.0.0.1:7400"},
       0,
       1,
       true,
       no_options,
       RunGroups},
      {"instances",
       "",
       "Lists the instances that the instance knows, with their states.",
       "The instance that answered is marked.",
       {"heatherwick instances --instance=127.0.0.1:7400"},
       0,
       0,
       true,
       no_options,
       RunInstances},
      {"drain",
       "",
       "Asks one instance to shut down gracefully.",
       "The instance announces that it leaves, hands over its groups, "
       "finishes the requests in flight and exits. The command returns when "
       "the instance has accepted the request.",
       {"heatherwick drain --instance=127.0.0.1:7400"},
       0,
       0,
       true,
       no_options,
       RunDrain},
      {"stats",
       "",
       "Prints the counters and latencies of one instance.",
       "Counters grow from the start of the instance. Latencies are in "
       "milliseconds.",
       {"heatherwick stats --instance=127.0.0.1:7400 --output=json"},
       0,
       0,
       true,
       no_options,
       RunStats},
  };
}

}  // namespace heatherwick
