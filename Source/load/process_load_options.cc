// Parses the lists of callers and read kinds and declares the flags.

#include "Source/load/process_load_options.h"

#include <functional>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace heatherwick {

namespace {

constexpr uint64_t kMaxRate = 20000;
constexpr uint64_t kMaxSessions = 2000;

std::optional<std::string> ParseNames(const std::string& text,
                                      std::vector<std::string>* names) {
  *names = absl::StrSplit(text, ',', absl::SkipEmpty());
  if (names->empty()) {
    return "needs at least one name";
  }
  return std::nullopt;
}

std::optional<std::string> ParseCallers(const std::string& text,
                                        std::vector<LoadCaller>* callers) {
  callers->clear();
  for (absl::string_view item : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    const std::vector<std::string> parts = absl::StrSplit(item, ':');
    LoadCaller caller;
    caller.name = parts[0];
    if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &caller.weight) ||
        caller.weight == 0) {
      return "needs NAME:WEIGHT items with weights of at least 1";
    }
    callers->push_back(caller);
  }
  if (callers->empty()) {
    return "needs at least one caller";
  }
  return std::nullopt;
}

std::optional<std::string> ParseReadKinds(const std::string& text,
                                          std::vector<LoadReadKind>* kinds) {
  kinds->clear();
  bool has_current = false;
  for (absl::string_view item : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    const std::vector<std::string> parts = absl::StrSplit(item, ':');
    LoadReadKind kind;
    kind.name = parts[0];
    if (parts.size() != 3 || !absl::SimpleAtoi(parts[1], &kind.weight) ||
        !absl::ParseDuration(parts[2], &kind.max_age)) {
      return "needs NAME:WEIGHT:MAX_AGE items such as browse:4:500ms";
    }
    has_current |= kind.max_age == absl::ZeroDuration();
    kinds->push_back(kind);
  }
  if (!has_current) {
    return "needs a kind with a greatest age of 0 for the verification";
  }
  return std::nullopt;
}

void AddList(
    SettingsParser* parser,
    std::string name,
    std::string placeholder,
    std::string help,
    std::string default_value,
    std::function<std::optional<std::string>(const std::string&)> parse) {
  parser->Add({std::move(name), std::move(placeholder), std::move(help),
               std::move(default_value), std::move(parse)});
}

void AddLists(SettingsParser* parser, ProcessLoadOptions* options) {
  AddList(parser, "proxies", "IP:PORT,...", "Proxies that requests go to", "",
          [options](const std::string& text) {
            return ParseNames(text, &options->proxies);
          });
  AddList(parser, "groups", "NAME,...", "Groups of the sheet", "",
          [options](const std::string& text) {
            return ParseNames(text, &options->groups);
          });
  AddList(parser, "callers", "NAME:WEIGHT,...",
          "Callers with their weight in the traffic", "load:1",
          [options](const std::string& text) {
            return ParseCallers(text, &options->callers);
          });
  AddList(parser, "read-kinds", "NAME:WEIGHT:MAX_AGE,...",
          "Read kinds with their traffic and the greatest age in the sheet",
          "current:1:0s,browse:3:2s", [options](const std::string& text) {
            return ParseReadKinds(text, &options->read_kinds);
          });
}

void AddNumbers(SettingsParser* parser, ProcessLoadOptions* options) {
  parser->AddUint("rate", "N", "Arrivals per second", 1, kMaxRate,
                  &options->rate);
  parser->AddUint("sessions", "N", "Sessions, one request each at a time", 1,
                  kMaxSessions, &options->sessions);
  parser->AddUint("write-percent", "N", "Share of single writes", 0, 100,
                  &options->write_percent);
  parser->AddUint("transaction-percent", "N", "Share of transactions", 0, 100,
                  &options->transaction_percent);
  parser->AddUint("long-percent", "N", "Share of long statements", 0, 100,
                  &options->long_percent);
  parser->AddUint("long-work-ms", "N", "Length of long statements", 1, 60000,
                  &options->long_work_ms);
  parser->AddUint("seed", "N", "Seed of arrivals and choices", 0, UINT64_MAX,
                  &options->seed);
}

}  // namespace

const LoadReadKind* ProcessLoadOptions::CurrentReadKind() const {
  for (const LoadReadKind& kind : read_kinds) {
    if (kind.max_age == absl::ZeroDuration()) {
      return &kind;
    }
  }
  return nullptr;
}

void AddProcessLoadSettings(SettingsParser* parser,
                            ProcessLoadOptions* options) {
  AddLists(parser, options);
  AddNumbers(parser, options);
  options->once_kind = "order";
  options->repeatable_kind = "stock";
  parser->AddRequiredString("once-kind", "NAME",
                            "Request kind that must not be repeated",
                            &options->once_kind);
  parser->AddRequiredString("repeatable-kind", "NAME",
                            "Request kind that may be repeated",
                            &options->repeatable_kind);
  parser->AddDuration("duration", "TIME", "Length of the load",
                      absl::Milliseconds(100), absl::Minutes(10),
                      &options->duration);
  parser->AddDuration("deadline", "TIME", "Deadline of each request",
                      absl::Milliseconds(10), absl::Minutes(1),
                      &options->deadline);
  parser->AddDuration(
      "settle-limit", "TIME", "Time to settle unknown outcomes and to verify",
      absl::Seconds(1), absl::Minutes(5), &options->settle_limit);
  parser->AddString("json", "FILE", "Also write the report as JSON",
                    &options->json_file);
}

}  // namespace heatherwick
