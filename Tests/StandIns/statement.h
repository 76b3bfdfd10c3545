// The statement language of the stand-in database: GET key, PUT key value,
// ADD key n, APPEND key text and WORK milliseconds, joined by ';'.

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

// Nothing when the text is not a statement.
std::optional<Statement> ParseStatement(const std::string& text);

bool IsReadOnly(const Statement& statement);
// Milliseconds of all WORK steps.
int64_t WorkOf(const Statement& statement);

// Runs the steps over `read` and `*writes`, which later steps see. Returns
// the steps' results, joined by ';': the value of GET, the new value of ADD
// and OK for the others.
std::string RunStatement(
    const Statement& statement,
    const std::function<std::string(const std::string& key)>& read,
    Writes* writes);

}  // namespace heatherwick

#endif  // TESTS_STANDINS_STATEMENT_H_
