// Collects measured points of a slope and prints them as text and JSON.

#ifndef SOURCE_LOAD_SLOPES_SLOPE_REPORT_H_
#define SOURCE_LOAD_SLOPES_SLOPE_REPORT_H_

#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"

namespace heatherwick {

// y = intercept + slope * x by least squares.
struct LinearFit {
  double intercept = 0;
  double slope = 0;
};

LinearFit FitLine(const std::vector<std::pair<double, double>>& points);

// The value at `quantile` (0 to 1) of a sample that is not empty.
double QuantileOf(std::vector<double> sample, double quantile);

class SlopeReport {
 public:
  using Row = std::vector<std::pair<std::string, double>>;

  explicit SlopeReport(std::string slope) : m_slope(std::move(slope)) {}

  // Prints the row as "name=value ..." at once, so that an interrupted run
  // still shows what it measured.
  void Add(Row row);
  // Adds the fit of `y` over `x`, both names of columns.
  void AddFit(const std::string& x, const std::string& y);

  std::string ToJson() const;

 private:
  struct NamedFit {
    std::string x;
    std::string y;
    LinearFit fit;
  };

  std::string m_slope;
  std::vector<Row> m_rows;
  std::vector<NamedFit> m_fits;
};

}  // namespace heatherwick

#endif  // SOURCE_LOAD_SLOPES_SLOPE_REPORT_H_
