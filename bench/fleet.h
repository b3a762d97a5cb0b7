#pragma once

#include <boost/json.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/client.h"

namespace foxtailrudder::bench {

/// A process started by scripts/fleet.
struct FleetProcess {
  std::string role;
  std::string name;
  std::string zone;
  std::string http_address;
  int pid = 0;
};

/// Counters of /metrics, summed over all processes.
struct FleetCounters {
  double refused = 0;
  double retried = 0;
  double duplicated = 0;
  double started = 0;
  double dispatched = 0;

  FleetCounters operator-(const FleetCounters& before) const;
  /// Refused, retried and duplicated dispatches per started task. There are no probe messages: a
  /// dispatch that is sent without a known free slot and then refused counts as refused.
  double WastedPerTask() const;
};

/// Adds the counters of one process's /metrics page to the sums.
void AddMetricsPage(const std::string& page, const std::string& role, FleetCounters& counters);

/// A running system that was started by scripts/fleet.
class Fleet {
 public:
  /// Reads DIR/fleet.json and the team and service from an entry. Returns nullopt if the file is
  /// missing or malformed, it lists no entry, or the entry returns no valid bundle.
  static std::optional<Fleet> Open(const std::string& directory);

  std::vector<FleetProcess> ProcessesOf(const std::string& role) const;
  /// Blocks until the response arrives. Returns nullopt unless its status is 200 to 299.
  std::optional<std::string> Call(const std::string& address, const std::string& method,
                                  const std::string& target, const std::string& body = {}) const;
  FleetCounters ReadCounters() const;
  HttpClient& client() const { return *m_client; }

  const std::string& team() const { return m_team; }
  const std::string& service() const { return m_service; }

 private:
  std::vector<FleetProcess> m_processes;
  std::unique_ptr<HttpClient> m_client;
  std::string m_team;
  std::string m_service;
};

}  // namespace foxtailrudder::bench
