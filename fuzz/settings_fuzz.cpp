// Parses the input as the settings of each command. Accepted settings must contain what a process
// needs to start.
#include "config/config.h"
#include "fuzz/require.h"

namespace {

using foxtailrudder::fuzzing::Require;

template <typename Settings>
const Settings* SettingsIfAccepted(const std::variant<Settings, foxtailrudder::Faults>& parsed) {
  if (const auto* faults = std::get_if<foxtailrudder::Faults>(&parsed)) {
    Require(!faults->empty(), "a rejected input has at least one fault");
    Require(faults->size() <= foxtailrudder::kMaxFaults,
            "the number of faults is at most kMaxFaults");
  }
  return std::get_if<Settings>(&parsed);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = foxtailrudder::fuzzing::InputText(data, size);
  const auto entry = foxtailrudder::EntrySettings::Parse(text);
  if (const auto* settings = SettingsIfAccepted(entry)) {
    Require(!settings->name.empty() && !settings->region.empty() && !settings->zone.empty(),
            "an entry has a name, a region and a zone");
    Require(!settings->platform_address.empty(), "an entry has a platform address");
    Require(settings->slow_client_timeout.count() > 0, "timeouts are positive");
  }
  const auto sidecar = foxtailrudder::SidecarSettings::Parse(text);
  if (const auto* settings = SettingsIfAccepted(sidecar)) {
    Require(!settings->name.empty() && !settings->region.empty() && !settings->zone.empty(),
            "a sidecar has a name, a region and a zone");
    Require(!settings->entries.empty(), "a sidecar has at least one seed entry");
    Require(settings->announcement_timeout.count() > 0, "timeouts are positive");
  }
  const auto ctl = foxtailrudder::CtlSettings::Parse(text);
  static_cast<void>(SettingsIfAccepted(ctl));
  return 0;
}
