// Prints the results of commands as an aligned table or as JSON.

#ifndef SOURCE_CLIENT_OUTPUT_H_
#define SOURCE_CLIENT_OUTPUT_H_

#include <ostream>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"

namespace heatherwick {

enum class OutputFormat { kTable, kJson };

struct Table {
  std::vector<std::string> columns;
  // Each row has a value for each column.
  std::vector<std::vector<nlohmann::ordered_json>> rows;
};

// As JSON, the table is an array with one object for each row.
void PrintTable(const Table& table, OutputFormat format, std::ostream* out);

void PrintJson(const nlohmann::ordered_json& json, std::ostream* out);

}  // namespace heatherwick

#endif  // SOURCE_CLIENT_OUTPUT_H_
