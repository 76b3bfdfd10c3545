// Formats slope reports as text and JSON, and fits lines by least squares.

#include "Source/load/slopes/slope_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace heatherwick {

namespace {

const double* FindColumn(const SlopeReport::Row& row, const std::string& name) {
  for (const auto& [column, value] : row) {
    if (column == name) {
      return &value;
    }
  }
  return nullptr;
}

}  // namespace

LinearFit FitLine(const std::vector<std::pair<double, double>>& points) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const auto& [x, y] : points) {
    sum_x += x;
    sum_y += y;
    sum_xx += x * x;
    sum_xy += x * y;
  }
  const double n = static_cast<double>(points.size());
  const double denominator = n * sum_xx - sum_x * sum_x;
  if (denominator == 0) {
    return {n == 0 ? 0 : sum_y / n, 0};
  }
  const double slope = (n * sum_xy - sum_x * sum_y) / denominator;
  return {(sum_y - slope * sum_x) / n, slope};
}

double QuantileOf(std::vector<double> sample, double quantile) {
  std::sort(sample.begin(), sample.end());
  const double last = static_cast<double>(sample.size() - 1);
  return sample[static_cast<size_t>(std::lround(last * quantile))];
}

void SlopeReport::Add(Row row) {
  std::string line = m_slope;
  for (const auto& [column, value] : row) {
    absl::StrAppend(&line, " ", column, "=", value);
  }
  std::printf("%s\n", line.c_str());
  std::fflush(stdout);
  m_rows.push_back(std::move(row));
}

void SlopeReport::AddFit(const std::string& x, const std::string& y) {
  std::vector<std::pair<double, double>> points;
  for (const Row& row : m_rows) {
    const double* x_value = FindColumn(row, x);
    const double* y_value = FindColumn(row, y);
    if (x_value != nullptr && y_value != nullptr) {
      points.emplace_back(*x_value, *y_value);
    }
  }
  const LinearFit fit = FitLine(points);
  std::printf("%s fit %s = %.6g + %.6g * %s (%zu points)\n", m_slope.c_str(),
              y.c_str(), fit.intercept, fit.slope, x.c_str(), points.size());
  m_fits.push_back({x, y, fit});
}

std::string SlopeReport::ToJson() const {
  nlohmann::ordered_json json;
  json["slope"] = m_slope;
  json["points"] = nlohmann::ordered_json::array();
  for (const Row& row : m_rows) {
    nlohmann::ordered_json point;
    for (const auto& [column, value] : row) {
      point[column] = value;
    }
    json["points"].push_back(point);
  }
  json["fits"] = nlohmann::ordered_json::array();
  for (const NamedFit& fit : m_fits) {
    json["fits"].push_back({{"x", fit.x},
                            {"y", fit.y},
                            {"intercept", fit.fit.intercept},
                            {"slope", fit.fit.slope}});
  }
  return json.dump();
}

}  // namespace heatherwick
