#include "app/internal/metrics_page.h"

#include <utility>

namespace foxtailrudder {

void MetricsPage::AddGauge(std::string name, std::string help, double value) {
  m_gauges.push_back({std::move(name), std::move(help), {}, value});
}

void MetricsPage::AddCounter(std::string_view name, std::string_view help, std::uint64_t value) {
  const std::string full_name = "foxtailrudder_" + std::string(name);
  m_counters += "# HELP " + full_name + " " + std::string(help) + "\n";
  m_counters += "# TYPE " + full_name + " counter\n";
  m_counters += full_name + " " + std::to_string(value) + "\n";
}

void MetricsPage::AddHistogram(std::string name, std::string help, LatencyHistogram histogram) {
  m_histograms.push_back({std::move(name), std::move(help), {}, std::move(histogram)});
}

void MetricsPage::AddNetwork(const NetworkCounters& network, std::uint64_t ring_full) {
  AddCounter("ring_full_total", "Inputs dropped because the input ring was full", ring_full);
  AddCounter("network_sent_messages_total", "Messages sent to other processes",
             network.sent_messages);
  AddCounter("network_sent_bytes_total", "Bytes sent to other processes", network.sent_bytes);
  AddCounter("network_received_messages_total", "Messages received from other processes",
             network.received_messages);
  AddCounter("network_received_bytes_total", "Bytes received from other processes",
             network.received_bytes);
  AddCounter("network_dropped_messages_total", "Messages dropped before they were written",
             network.dropped_messages);
  AddCounter("network_refused_hellos_total", "Peers refused for protocol version or region",
             network.refused_hellos);
  AddCounter("network_connections_refused_total", "Internal connections over the limit",
             network.connections_refused);
  AddCounter("network_malformed_frames_total", "Frames that failed verification",
             network.malformed_frames);
}

void MetricsPage::AddHttp(const HttpServerCounters& http, const RefusalCounters& refusals) {
  AddCounter("http_requests_total", "HTTP requests received", http.requests);
  AddCounter("http_requests_refused_total",
             "HTTP requests over a limit, malformed, cut off or too slow", http.requests_refused);
  AddCounter("http_connections_refused_total", "HTTP connections over the limit",
             http.connections_refused);
  AddCounter("http_clients_gone_total", "Clients that closed before their answer",
             http.clients_disconnected);
  // Includes reasons with a count of 0, so that alerts can rely on the series.
  m_counters +=
      "# HELP foxtailrudder_http_refusals_total Requests refused before they reached the decision "
      "code, by reason\n# TYPE foxtailrudder_http_refusals_total counter\n";
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const auto reason = static_cast<ErrorKind>(i);
    m_counters += "foxtailrudder_http_refusals_total{reason=\"" +
                  std::string(ErrorAnswerOf(reason).name) + "\"} " +
                  std::to_string(refusals.Get(reason)) + "\n";
  }
}

std::string MetricsPage::Text(const Counters& counters) const {
  return PrometheusText(counters, m_gauges, m_histograms) + m_counters;
}

}  // namespace foxtailrudder
