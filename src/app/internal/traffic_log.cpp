#include "app/internal/traffic_log.h"

#include <string>

namespace foxtailrudder {
namespace {

constexpr std::chrono::seconds kPeriod{1};

/// Types of which less was sent in a period are left out.
constexpr std::uint64_t kMinBytes = 1'000;

/// Messages and bytes of each type since `before`, such as "place_tasks=8/5120".
std::string TextOf(const TrafficByType& traffic, const TrafficByType& before) {
  std::string text;
  for (std::size_t i = 0; i < traffic.size(); ++i) {
    const std::uint64_t bytes = traffic[i].bytes - before[i].bytes;
    if (bytes < kMinBytes) continue;
    if (!text.empty()) text += ' ';
    text += std::string(MessageNameAt(i)) + "=" +
            std::to_string(traffic[i].messages - before[i].messages) + "/" + std::to_string(bytes);
  }
  return text;
}

}  // namespace

void TrafficLog::Tick(const Network& peers, const HttpServer& server, Now now) {
  if (now.steady < m_next_at) return;
  m_next_at = now.steady + kPeriod;
  const NetworkCounters network = peers.counters();
  const HttpServerCounters http = server.counters();
  const std::string sent = TextOf(network.sent_by_type, m_network.sent_by_type);
  const std::string received = TextOf(network.received_by_type, m_network.received_by_type);
  if (!sent.empty() || !received.empty()) {
    m_log.Record(
        DecisionClass::kStateChange, "traffic", {},
        {{"sent", sent},
         {"received", received},
         {"http_received", static_cast<std::int64_t>(http.received_bytes - m_http.received_bytes)},
         {"http_sent", static_cast<std::int64_t>(http.sent_bytes - m_http.sent_bytes)},
         {"http_requests", static_cast<std::int64_t>(http.requests - m_http.requests)},
         {"connections_made",
          static_cast<std::int64_t>(network.connections_made - m_network.connections_made)},
         {"dropped",
          static_cast<std::int64_t>(network.dropped_messages - m_network.dropped_messages)},
         {"queued_bytes", static_cast<std::int64_t>(network.queued_bytes)}});
  }
  m_network = network;
  m_http = http;
}

}  // namespace foxtailrudder
