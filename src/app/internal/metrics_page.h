#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "app/internal/refusal_counters.h"
#include "http/server.h"
#include "model/model.h"
#include "observe/observe.h"
#include "transport/transport.h"

namespace foxtailrudder {

/// Collects the metrics of one process and formats them as Prometheus text.
class MetricsPage {
 public:
  void AddGauge(std::string name, std::string help, double value);
  /// A monotonic counter. The name must end in "_total".
  void AddCounter(std::string_view name, std::string_view help, std::uint64_t value);
  void AddHistogram(std::string name, std::string help, LatencyHistogram histogram);
  /// Traffic and refusals of the internal network, and inputs dropped because the ring was full.
  void AddNetwork(const NetworkCounters& network, std::uint64_t ring_full);

  /// Requests, and refusals by the HTTP server and by the handler on its thread.
  void AddHttp(const HttpServerCounters& http, const RefusalCounters& refusals);

  std::string Text(const Counters& counters) const;

 private:
  void AddTraffic(std::string_view direction, const TrafficByType& traffic);

  std::vector<Gauge> m_gauges;
  std::vector<HistogramMetric> m_histograms;
  std::string m_counters;
};

}  // namespace foxtailrudder
