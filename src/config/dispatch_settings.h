#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/fault.h"

namespace foxtailrudder {

/// Rate limits of the event log in lines per second, by DecisionClass.
struct LogRateLimitSettings {
  std::uint32_t routine = 200;
  std::uint32_t anomaly = 60;
  /// Lines of DecisionClass::kStateChange. The key in the settings is "belief".
  std::uint32_t state_change = 60;

  friend bool operator==(const LogRateLimitSettings&, const LogRateLimitSettings&) = default;
};

/// Limits for clients, which may send anything.
struct ClientSettings {
  /// Memory and file descriptors that the process may use; 0 for what the machine allows.
  std::size_t memory_limit_mb = 0;
  std::size_t max_descriptors = 0;
  /// Of a request, with its trailer.
  std::size_t max_header_fields = 100;
  /// Limit for receiving a request, from its first byte to its last, and for writing a response.
  std::chrono::milliseconds slow_client_timeout{5'000};
  /// A connection without a request is closed after this time.
  std::chrono::milliseconds idle_client_timeout{60'000};
};

/// Settings of `foxtailrudder dispatch-entry`. docs/configuration.md lists keys and bounds.
struct DispatchEntrySettings {
  std::string name;
  std::string region;
  std::string zone;
  /// IP address and port for other processes. All machines use the same port.
  std::string internal_address;
  std::string caller_address;
  std::string readiness_address;
  /// No metrics are served if empty.
  std::string metrics_address;
  std::string store_address;
  /// Addresses on machines that may run an entry. Only the IP is used. The list may be outdated.
  std::vector<std::string> seed_entries;
  /// Longest duration of an orderly shutdown. The process then ends in any case.
  std::chrono::milliseconds stop_grace{6'000};
  /// Run time of a task whose data is on another rack, relative to the same rack.
  double remote_rack_factor = 1.5;
  ClientSettings clients;
  LogRateLimitSettings log_lines_per_second;

  static std::variant<DispatchEntrySettings, Faults> Parse(std::string_view json);
  static std::variant<DispatchEntrySettings, Faults> ParseFile(const std::string& path);
};

/// Settings of `foxtailrudder dispatch-sidecar`.
struct DispatchSidecarSettings {
  std::string name;
  std::string region;
  std::string zone;
  std::string internal_address;
  /// Address at which this process receives announcements of the endpoint on this machine.
  std::string announce_address;
  /// Address at which the endpoint on this machine accepts requests.
  std::string endpoint_address;
  std::string metrics_address;
  std::string store_address;
  std::vector<std::string> seed_entries;
  /// Longest lease that the endpoint grants.
  std::chrono::milliseconds max_run_lease{1'000};
  std::chrono::milliseconds stop_grace{6'000};
  ClientSettings clients;
  LogRateLimitSettings log_lines_per_second;

  static std::variant<DispatchSidecarSettings, Faults> Parse(std::string_view json);
  static std::variant<DispatchSidecarSettings, Faults> ParseFile(const std::string& path);
};

}  // namespace foxtailrudder
