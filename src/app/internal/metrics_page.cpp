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
  AddCounter("network_former_connections_total",
             "Connections closed because their peer had restarted", network.former_connections);
  AddCounter("network_connections_refused_total", "Internal connections over the limit",
             network.connections_refused);
  AddCounter("network_malformed_frames_total", "Frames that failed verification",
             network.malformed_frames);
  AddTraffic("sent", network.sent_by_type);
  AddTraffic("received", network.received_by_type);
  AddGauge("network_queued_bytes", "Bytes that wait to be written to other processes",
           static_cast<double>(network.queued_bytes));
}

void MetricsPage::AddTraffic(std::string_view direction, const TrafficByType& traffic) {
  const auto add = [&](std::string_view unit, std::string_view help, auto value_of) {
    const std::string name = "foxtailrudder_network_" + std::string(direction) + "_" +
                             std::string(unit) + "_by_type_total";
    m_counters += "# HELP " + name + " " + std::string(help) + "\n# TYPE " + name + " counter\n";
    for (std::size_t i = 0; i < traffic.size(); ++i) {
      if (traffic[i].messages == 0) continue;
      m_counters += name + "{type=\"" + std::string(MessageNameAt(i)) + "\"} " +
                    std::to_string(value_of(traffic[i])) + "\n";
    }
  };
  add("messages", "Messages by type", [](const MessageTraffic& type) { return type.messages; });
  add("bytes", "Bytes of frames by type", [](const MessageTraffic& type) { return type.bytes; });
}

void MetricsPage::AddHttp(const HttpServerCounters& http, const RefusalCounters& refusals) {
  AddCounter("http_requests_total", "HTTP requests received", http.requests);
  AddCounter("http_requests_refused_total",
             "HTTP requests over a limit, malformed, cut off or too slow", http.requests_refused);
  AddCounter("http_connections_refused_total", "HTTP connections over the limit",
             http.connections_refused);
  AddCounter("http_connections_evicted_total",
             "Connections without a complete request closed in favour of new ones",
             http.connections_evicted);
  AddCounter("http_requests_evicted_total",
             "Unfinished requests refused because all of them held too much memory",
             http.requests_evicted);
  AddGauge("http_held_bytes", "Memory of unfinished HTTP requests",
           static_cast<double>(http.held_bytes));
  AddGauge("http_connections_open", "Open HTTP connections",
           static_cast<double>(http.connections_open));
  AddCounter("http_clients_gone_total", "Clients that closed before their answer",
             http.clients_disconnected);
  AddCounter("http_received_bytes_total", "Bytes of HTTP requests", http.received_bytes);
  AddCounter("http_sent_bytes_total", "Bytes of HTTP responses", http.sent_bytes);
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
