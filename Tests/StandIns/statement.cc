// Parses and runs the statements of the stand-in database.

#include "Tests/StandIns/statement.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace heatherwick {

namespace {

std::optional<StatementStep> ParseStep(absl::string_view text) {
  const std::vector<std::string> words =
      absl::StrSplit(absl::StripAsciiWhitespace(text), absl::MaxSplits(' ', 2));
  StatementStep step;
  step.key = words.size() > 1 ? words[1] : "";
  step.text = words.size() > 2 ? words[2] : "";
  if (step.key.empty()) {
    return std::nullopt;
  }
  if (words[0] == "GET" && words.size() == 2) {
    step.verb = Verb::kGet;
  } else if (words[0] == "PUT") {
    step.verb = Verb::kPut;
  } else if (words[0] == "APPEND") {
    step.verb = Verb::kAppend;
  } else if (words[0] == "ADD" && absl::SimpleAtoi(step.text, &step.number)) {
    step.verb = Verb::kAdd;
  } else if (words[0] == "WORK" && absl::SimpleAtoi(step.key, &step.number) &&
             step.number >= 0) {
    step.verb = Verb::kWork;
  } else {
    return std::nullopt;
  }
  return step;
}

std::string AddNumber(const std::string& value, int64_t number) {
  int64_t sum = 0;
  if (!absl::SimpleAtoi(value, &sum)) {
    sum = 0;
  }
  return absl::StrCat(sum + number);
}

}  // namespace

std::optional<Statement> ParseStatement(const std::string& text) {
  Statement statement;
  for (absl::string_view part : absl::StrSplit(text, ';')) {
    const std::optional<StatementStep> step = ParseStep(part);
    if (!step.has_value()) {
      return std::nullopt;
    }
    statement.push_back(*step);
  }
  return statement;
}

bool IsReadOnly(const Statement& statement) {
  for (const StatementStep& step : statement) {
    if (step.verb != Verb::kGet && step.verb != Verb::kWork) {
      return false;
    }
  }
  return true;
}

int64_t TotalWorkMs(const Statement& statement) {
  int64_t work = 0;
  for (const StatementStep& step : statement) {
    work += step.verb == Verb::kWork ? step.number : 0;
  }
  return work;
}

std::string RunStatement(
    const Statement& statement,
    const std::function<std::string(const std::string& key)>& read,
    Writes* writes) {
  std::vector<std::string> results;
  for (const StatementStep& step : statement) {
    const auto written = writes->find(step.key);
    const auto current_value = [&] {
      return written != writes->end() ? written->second : read(step.key);
    };
    std::string result = "OK";
    switch (step.verb) {
      case Verb::kGet:
        result = current_value();
        break;
      case Verb::kPut:
        (*writes)[step.key] = step.text;
        break;
      case Verb::kAdd:
        result = AddNumber(current_value(), step.number);
        (*writes)[step.key] = result;
        break;
      case Verb::kAppend: {
        const std::string appended = absl::StrCat(current_value(), step.text);
        (*writes)[step.key] = appended;
        break;
      }
      case Verb::kWork:
        break;
    }
    results.push_back(result);
  }
  return absl::StrJoin(results, ";");
}

}  // namespace heatherwick
