#pragma once

#include <span>
#include <string>
#include <utility>
#include <vector>

#include "model/counters.h"
#include "observe/latency_histogram.h"

namespace foxtailrudder {

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

struct Gauge {
  /// Excludes the prefix "foxtailrudder_".
  std::string name;
  std::string help;
  MetricLabels labels;
  double value = 0;
};

struct HistogramMetric {
  /// Excludes the prefix "foxtailrudder_"; ends in "_seconds".
  std::string name;
  std::string help;
  MetricLabels labels;
  LatencyHistogram histogram;
};

/// Returns all metrics in the Prometheus text format 0.0.4. Every refusal and retry reason has a
/// series even if it has not occurred, so that alerts can rely on the series. Metrics with the same
/// name and different labels may be given in any order.
std::string PrometheusText(const Counters& counters, std::span<const Gauge> gauges,
                           std::span<const HistogramMetric> histograms);

}  // namespace foxtailrudder
