#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/fault.h"

namespace foxtailrudder {

/// An entry listed in the settings, used until the member row has been read.
struct SeedEntry {
  std::string name;
  /// Internal address, such as "127.0.0.1:7101".
  std::string address;

  friend bool operator==(const SeedEntry&, const SeedEntry&) = default;
};

enum class LogFormat : std::uint8_t { kText, kJson };

/// Behavior of an entry while the store cannot be read. Only kConfirm is meant for production.
enum class OutageSetting : std::uint8_t { kConfirm, kStop, kUnchecked };

/// Settings of `foxtailrudder entry`. docs/configuration.md lists keys, defaults and bounds.
struct EntrySettings {
  std::string name;
  std::string region;
  std::string zone;
  std::string rack;
  std::string internal_address;
  std::string http_address;
  std::string platform_address;
  std::vector<SeedEntry> peers;
  std::string log_level = "info";
  LogFormat log_format = LogFormat::kText;
  std::uint32_t max_body_bytes = 8 * 1024 * 1024;
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint32_t max_connections = 4'096;
  /// Longest time for a client to send a request or to receive the response before it is
  /// disconnected.
  std::chrono::milliseconds slow_client_timeout{5'000};
  OutageSetting outage_mode = OutageSetting::kConfirm;

  static std::variant<EntrySettings, Faults> Parse(std::string_view json);
  static std::variant<EntrySettings, Faults> ParseFile(const std::string& path);
};

/// Settings of `foxtailrudder sidecar`.
struct SidecarSettings {
  std::string name;
  std::string region;
  std::string zone;
  std::string rack;
  std::string worker;
  std::string internal_address;
  /// Loopback HTTP address that serves announcements, /metrics, /livez and /readyz.
  std::string announce_address;
  std::vector<SeedEntry> entries;
  std::string log_level = "info";
  LogFormat log_format = LogFormat::kText;
  std::chrono::milliseconds endpoint_connect_timeout{500};
  /// Longest wait for the response of a started task.
  std::chrono::milliseconds endpoint_response_timeout{60'000};
  /// An endpoint that has not renewed its announcement for this long is considered lost.
  std::chrono::milliseconds announcement_timeout{3'000};

  static std::variant<SidecarSettings, Faults> Parse(std::string_view json);
  static std::variant<SidecarSettings, Faults> ParseFile(const std::string& path);
};

/// Settings of `foxtailrudder ctl`.
struct CtlSettings {
  /// HTTP address of an entry.
  std::string entry;
  std::string operator_name;

  static std::variant<CtlSettings, Faults> Parse(std::string_view json);
  static std::variant<CtlSettings, Faults> ParseFile(const std::string& path);
};

}  // namespace foxtailrudder
