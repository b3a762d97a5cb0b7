#include "config/settings.h"

#include <array>

#include "config/internal/settings_reader.h"

namespace foxtailrudder {
namespace {

using json_reader::kOptional;
using json_reader::kRequired;
using json_reader::ObjectReader;
using std::chrono::milliseconds;

constexpr std::size_t kMaxSeedEntries = 1'000;
constexpr std::uint32_t kMaxBodyBytes = 256U << 20U;

constexpr std::array<NamedValue<std::string_view>, 5> kLogLevels = {{{"trace", "trace"},
                                                                     {"debug", "debug"},
                                                                     {"info", "info"},
                                                                     {"warn", "warn"},
                                                                     {"error", "error"}}};
constexpr std::array<NamedValue<LogFormat>, 2> kLogFormats = {
    {{"text", LogFormat::kText}, {"json", LogFormat::kJson}}};
constexpr std::array<NamedValue<OutageSetting>, 3> kOutageModes = {
    {{"confirm", OutageSetting::kConfirm},
     {"stop", OutageSetting::kStop},
     {"unchecked", OutageSetting::kUnchecked}}};

void ReadLocation(ObjectReader& reader, std::string* name, std::string* region, std::string* zone,
                  std::string* rack) {
  reader.Name("name", kRequired, name);
  reader.Name("region", kRequired, region);
  reader.Name("zone", kRequired, zone);
  reader.Name("rack", kRequired, rack);
}

void ReadLogging(ObjectReader& reader, std::string* level, LogFormat* format) {
  std::string_view level_name = *level;
  reader.Choice<std::string_view>("log_level", kOptional, kLogLevels, &level_name);
  *level = std::string(level_name);
  reader.Choice<LogFormat>("log_format", kOptional, kLogFormats, format);
}

void ReadSeedEntries(ObjectReader& reader, std::string_view key, std::size_t min,
                     std::string_view own_name, std::vector<SeedEntry>* seeds, Faults* faults) {
  json_reader::UniqueNames names;
  json_reader::UniqueNames addresses;
  reader.Array(key, min == 0 ? kOptional : kRequired, min, kMaxSeedEntries,
               [&](const boost::json::value& value, const std::string& path) {
                 ObjectReader seed(value, path, faults);
                 SeedEntry read;
                 seed.Name("name", kRequired, &read.name);
                 seed.Address("address", kRequired, &read.address);
                 seed.RejectUnknownMembers();
                 names.Add(read.name, path + ".name", faults);
                 addresses.Add(read.address, path + ".address", faults);
                 if (!read.name.empty() && read.name == own_name) {
                   json_reader::AddFault(faults, path + ".name", "is this process itself");
                 }
                 seeds->push_back(std::move(read));
               });
}

void RejectSameAddress(ObjectReader& reader, std::string_view key, const std::string& address,
                       std::string_view other_key, const std::string& other) {
  if (!address.empty() && address == other) {
    reader.Report(key, "is the same address as " + std::string(other_key));
  }
}

void ReadEntry(ObjectReader& reader, EntrySettings* settings, Faults* faults) {
  ReadLocation(reader, &settings->name, &settings->region, &settings->zone, &settings->rack);
  reader.Address("internal_address", kRequired, &settings->internal_address);
  reader.Address("http_address", kRequired, &settings->http_address);
  reader.Address("platform_address", kRequired, &settings->platform_address);
  RejectSameAddress(reader, "http_address", settings->http_address, "internal_address",
                    settings->internal_address);
  ReadSeedEntries(reader, "peers", 0, settings->name, &settings->peers, faults);
  ReadLogging(reader, &settings->log_level, &settings->log_format);
  reader.Number("max_body_bytes", kOptional, 1'024U, kMaxBodyBytes, &settings->max_body_bytes);
  reader.Number("max_header_bytes", kOptional, 1'024U, 1U << 20U, &settings->max_header_bytes);
  reader.Number("max_connections", kOptional, 1U, 1'000'000U, &settings->max_connections);
  reader.Milliseconds("slow_client_timeout_ms", kOptional, milliseconds(100), milliseconds(600'000),
                      &settings->slow_client_timeout);
  reader.Choice<OutageSetting>("outage_mode", kOptional, kOutageModes, &settings->outage_mode);
}

void ReadSidecar(ObjectReader& reader, SidecarSettings* settings, Faults* faults) {
  ReadLocation(reader, &settings->name, &settings->region, &settings->zone, &settings->rack);
  reader.Name("worker", kRequired, &settings->worker);
  reader.Address("internal_address", kRequired, &settings->internal_address);
  reader.Address("announce_address", kRequired, &settings->announce_address);
  const std::string& announce = settings->announce_address;
  if (!announce.empty() && !announce.starts_with("127.") && !announce.starts_with("[::1]:")) {
    reader.Report("announce_address", "must be a loopback address");
  }
  RejectSameAddress(reader, "announce_address", settings->announce_address, "internal_address",
                    settings->internal_address);
  ReadSeedEntries(reader, "entries", 1, settings->name, &settings->entries, faults);
  ReadLogging(reader, &settings->log_level, &settings->log_format);
  reader.Milliseconds("endpoint_connect_timeout_ms", kOptional, milliseconds(10),
                      milliseconds(60'000), &settings->endpoint_connect_timeout);
  reader.Milliseconds("endpoint_response_timeout_ms", kOptional, milliseconds(100),
                      milliseconds(3'600'000), &settings->endpoint_response_timeout);
  reader.Milliseconds("announcement_timeout_ms", kOptional, milliseconds(500), milliseconds(60'000),
                      &settings->announcement_timeout);
}

void ReadCtl(ObjectReader& reader, CtlSettings* settings, Faults* /*faults*/) {
  reader.Address("entry", kRequired, &settings->entry);
  reader.Name("operator", kRequired, &settings->operator_name);
}

}  // namespace

std::variant<EntrySettings, Faults> EntrySettings::Parse(std::string_view json) {
  return ParseSettings<EntrySettings>(json, ReadEntry);
}

std::variant<EntrySettings, Faults> EntrySettings::ParseFile(const std::string& path) {
  return ParseSettingsFile<EntrySettings>(path);
}

std::variant<SidecarSettings, Faults> SidecarSettings::Parse(std::string_view json) {
  return ParseSettings<SidecarSettings>(json, ReadSidecar);
}

std::variant<SidecarSettings, Faults> SidecarSettings::ParseFile(const std::string& path) {
  return ParseSettingsFile<SidecarSettings>(path);
}

std::variant<CtlSettings, Faults> CtlSettings::Parse(std::string_view json) {
  return ParseSettings<CtlSettings>(json, ReadCtl);
}

std::variant<CtlSettings, Faults> CtlSettings::ParseFile(const std::string& path) {
  return ParseSettingsFile<CtlSettings>(path);
}

}  // namespace foxtailrudder
