#pragma once

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "bench/statistics.h"

namespace foxtailrudder::bench {

/// A cost measured at several sizes, with a least-squares line through the points.
struct CostSeries {
  std::string name;
  /// What x and y count or measure, such as "members" or "bytes".
  std::string x_unit;
  std::string y_unit;
  std::vector<double> x;
  std::vector<double> y;

  LinearFit fit() const { return FitLine(x, y); }
};

/// Measures CPU time and memory of the decision libraries on one thread, without I/O.
std::vector<CostSeries> MeasureDecisions();

std::string ToTable(const std::vector<CostSeries>& series);
boost::json::array ToJson(const std::vector<CostSeries>& series);

}  // namespace foxtailrudder::bench
