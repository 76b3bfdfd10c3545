// One routing or placement decision with its reason, as the decision library
// returns it and the log prints it.

#ifndef SOURCE_BASE_DECISION_RECORD_H_
#define SOURCE_BASE_DECISION_RECORD_H_

#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"

namespace heatherwick {

struct DecisionRecord {
  // What was decided, such as "route", "refuse" or "promote".
  absl::string_view decision;
  // Why, as one snake_case word that can be counted.
  absl::string_view reason;
  std::vector<std::pair<absl::string_view, std::string>> fields;

  // "decision=route reason=freshest group=g1 ..."; values with spaces,
  // quotes or '=' are quoted.
  std::string Format() const;
};

}  // namespace heatherwick

#endif  // SOURCE_BASE_DECISION_RECORD_H_
