// The statement language of the stand-in database. A statement is a list of
// steps joined by ';': GET key, PUT key value, ADD key n, APPEND key text and
// WORK milliseconds.

#ifndef TESTS_STANDINS_STATEMENT_H_
#define TESTS_STANDINS_STATEMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heatherwick {

enum class Verb { kGet, kPut, kAdd, kAppend, kWork };

struct StatementStep {
  Verb verb = Verb::kGet;
  std::string key;
  std::string text;
  int64_t number = 0;
};

using Statement = std::vector<StatementStep>;
using Writes = std::map<std::string, std::string>;

// Returns std::nullopt if the text is not a valid statement.
std::optional<Statement> ParseStatement(const std::string& text);

bool IsReadOnly(const Statement& statement);
// Total duration of all WORK steps in milliseconds.
int64_t TotalWorkMs(const Statement& statement);

// Runs the steps in order. A step reads a key from `*writes` if an earlier step
// has written it and through `read` otherwise; writes go to `*writes`. Returns
// the results of the steps joined by ';': the value for GET, the new value for
// ADD and OK for the others.
std::string RunStatement(
    const Statement& statement,
    const std::function<std::string(const std::string& key)>& read,
    Writes* writes);

}  // namespace heatherwick

#endif  // TESTS_STANDINS_STATEMENT_H_
