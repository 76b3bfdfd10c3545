// One routing or placement decision with its reason. The decision library
// returns it, and the decision log prints it.

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
  // Why, as one snake_case word, so that equal reasons can be counted.
  absl::string_view reason;
  std::vector<std::pair<absl::string_view, std::string>> fields;

  // Returns "decision=route reason=freshest group=g1 ...". Empty values and
  // values with white space, quotes or '=' are quoted.
  std::string Format() const;
};

}  // namespace heatherwick

#endif  // SOURCE_BASE_DECISION_RECORD_H_
