#include "config/dispatch_settings.h"

#include "config/internal/settings_reader.h"

namespace foxtailrudder {
namespace {

using json_reader::kOptional;
using json_reader::kRequired;
using json_reader::ObjectReader;
using std::chrono::milliseconds;

constexpr std::size_t kMaxSeedEntries = 100;
constexpr double kMaxRemoteRackFactor = 10;
constexpr std::uint32_t kMaxLogLinesPerSecond = 100'000;
constexpr std::size_t kMinMemoryLimitMb = 32;
constexpr std::size_t kMaxMemoryLimitMb = 1U << 20U;
constexpr std::size_t kMinDescriptors = 128;
constexpr std::size_t kMaxDescriptors = 1U << 20U;
constexpr std::size_t kMinHeaderFields = 20;
constexpr std::size_t kMaxHeaderFields = 10'000;

/// Reads a duration that the platform may give as a whole or fractional number of units.
void ReadDuration(ObjectReader& reader, std::string_view key, milliseconds unit, milliseconds min,
                  milliseconds max, milliseconds* target) {
  const boost::json::value* value = reader.FindMember(key, kOptional);
  if (value == nullptr) return;
  const double number = value->is_number() ? value->to_number<double>() : -1;
  const double duration_ms = number * static_cast<double>(unit.count());
  if (duration_ms < static_cast<double>(min.count()) ||
      duration_ms > static_cast<double>(max.count())) {
    reader.Report(key, "must be a number that gives " + std::to_string(min.count()) + " to " +
                           std::to_string(max.count()) + " ms");
    return;
  }
  *target = milliseconds(static_cast<std::int64_t>(duration_ms));
}

void ReadFactor(ObjectReader& reader, std::string_view key, double min, double max,
                double* target) {
  const boost::json::value* value = reader.FindMember(key, kOptional);
  if (value == nullptr) return;
  const double number = value->is_number() ? value->to_number<double>() : min - 1;
  if (!(number >= min && number <= max)) {
    reader.Report(key, "must be a number from " + std::to_string(static_cast<int>(min)) + " to " +
                           std::to_string(static_cast<int>(max)));
    return;
  }
  *target = number;
}

/// Reads a number that the platform may give as a whole or fractional one.
void ReadCount(ObjectReader& reader, std::string_view key, std::size_t min, std::size_t max,
               std::size_t* target) {
  const boost::json::value* value = reader.FindMember(key, kOptional);
  if (value == nullptr) return;
  const double number = value->is_number() ? value->to_number<double>() : -1;
  if (!(number >= static_cast<double>(min) && number <= static_cast<double>(max))) {
    reader.Report(key,
                  "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
    return;
  }
  *target = static_cast<std::size_t>(number);
}

void ReadClients(ObjectReader& reader, ClientSettings* clients) {
  ReadCount(reader, "memory_limit_mb", kMinMemoryLimitMb, kMaxMemoryLimitMb,
            &clients->memory_limit_mb);
  ReadCount(reader, "max_descriptors", kMinDescriptors, kMaxDescriptors, &clients->max_descriptors);
  ReadCount(reader, "max_header_fields", kMinHeaderFields, kMaxHeaderFields,
            &clients->max_header_fields);
  ReadDuration(reader, "slow_client_timeout_ms", milliseconds(1), milliseconds(100),
               milliseconds(600'000), &clients->slow_client_timeout);
  ReadDuration(reader, "idle_client_timeout_ms", milliseconds(1), milliseconds(100),
               milliseconds(3'600'000), &clients->idle_client_timeout);
}

/// Reads the settings that entries and sidecars share.
template <typename Settings>
void ReadCommon(ObjectReader& reader, Settings* settings, Faults* faults) {
  reader.Name("name", kRequired, &settings->name);
  reader.Name("region", kRequired, &settings->region);
  reader.Name("zone", kRequired, &settings->zone);
  reader.Address("internal_address", kRequired, &settings->internal_address);
  reader.Address("metrics_address", kOptional, &settings->metrics_address);
  reader.Address("store_address", kRequired, &settings->store_address);
  ReadDuration(reader, "stop_grace_s", milliseconds(1'000), milliseconds(500),
               milliseconds(600'000), &settings->stop_grace);
  reader.Array("seed_entries", kOptional, 0, kMaxSeedEntries,
               [&](const boost::json::value& value, const std::string& path) {
                 if (!value.is_string() || !json_reader::IsAddress(value.get_string())) {
                   json_reader::AddFault(faults, path, "must be an IP address and port");
                   return;
                 }
                 settings->seed_entries.emplace_back(value.get_string());
               });
  ReadClients(reader, &settings->clients);
  if (const auto* lines = reader.FindMember("log_lines_per_second", kOptional)) {
    ObjectReader limits(*lines, reader.PathOf("log_lines_per_second"), faults);
    auto& target = settings->log_lines_per_second;
    limits.Number("routine", kOptional, 0U, kMaxLogLinesPerSecond, &target.routine);
    limits.Number("anomaly", kOptional, 0U, kMaxLogLinesPerSecond, &target.anomaly);
    limits.Number("belief", kOptional, 0U, kMaxLogLinesPerSecond, &target.state_change);
    limits.RejectUnknownMembers();
  }
}

void ReadEntry(ObjectReader& reader, DispatchEntrySettings* settings, Faults* faults) {
  ReadCommon(reader, settings, faults);
  reader.Address("caller_address", kRequired, &settings->caller_address);
  reader.Address("readiness_address", kRequired, &settings->readiness_address);
  ReadFactor(reader, "remote_rack_factor", 1.0, kMaxRemoteRackFactor,
             &settings->remote_rack_factor);
}

void ReadSidecar(ObjectReader& reader, DispatchSidecarSettings* settings, Faults* faults) {
  ReadCommon(reader, settings, faults);
  reader.Address("announce_address", kRequired, &settings->announce_address);
  reader.Address("endpoint_address", kRequired, &settings->endpoint_address);
  ReadDuration(reader, "max_run_lease_ms", milliseconds(1), milliseconds(300), milliseconds(60'000),
               &settings->max_run_lease);
}

}  // namespace

std::variant<DispatchEntrySettings, Faults> DispatchEntrySettings::Parse(std::string_view json) {
  return ParseSettings<DispatchEntrySettings>(json, ReadEntry);
}

std::variant<DispatchEntrySettings, Faults> DispatchEntrySettings::ParseFile(
    const std::string& path) {
  return ParseSettingsFile<DispatchEntrySettings>(path);
}

std::variant<DispatchSidecarSettings, Faults> DispatchSidecarSettings::Parse(
    std::string_view json) {
  return ParseSettings<DispatchSidecarSettings>(json, ReadSidecar);
}

std::variant<DispatchSidecarSettings, Faults> DispatchSidecarSettings::ParseFile(
    const std::string& path) {
  return ParseSettingsFile<DispatchSidecarSettings>(path);
}

}  // namespace foxtailrudder
