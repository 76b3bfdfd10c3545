// Collects the measured points of a slope and prints them as text and JSON. A
// slope shows how a cost grows with a size, for example memory with the number
// of connections.

#ifndef SOURCE_LOAD_SLOPES_SLOPE_REPORT_H_
#define SOURCE_LOAD_SLOPES_SLOPE_REPORT_H_

#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"

namespace heatherwick {

// The line y = intercept + slope * x, fitted by least squares.
struct LinearFit {
  double intercept = 0;
  double slope = 0;
};

LinearFit FitLine(const std::vector<std::pair<double, double>>& points);

// Returns the quantile (0 to 1) of a sample that is not empty.
double QuantileOf(std::vector<double> sample, double quantile);

class SlopeReport {
 public:
  using Row = std::vector<std::pair<std::string, double>>;

  explicit SlopeReport(std::string slope) : m_slope(std::move(slope)) {}

  // Prints the row as "name=value ..." at once, so that an interrupted run
  // still shows what it measured.
  void Add(Row row);
  // Adds and prints the linear fit of the column `y` over the column `x`.
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
