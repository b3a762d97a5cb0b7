#pragma once

#include <span>
#include <vector>

namespace foxtailrudder::bench {

/// Least-squares line.
struct LinearFit {
  double slope = 0;
  double intercept = 0;
  /// Coefficient of determination; 1 if all points have the same y.
  double r2 = 1;
};

/// Needs at least one point. If all x values are equal, the line is flat at the mean of y.
LinearFit FitLine(std::span<const double> x, std::span<const double> y);

struct Summary {
  std::size_t count = 0;
  double mean = 0;
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
  double max = 0;
};

/// Computes quantiles by nearest rank. All fields are zero if there are no values.
Summary Summarize(std::vector<double> values);

}  // namespace foxtailrudder::bench
