#include "app/dispatch_roles.h"

#include "app/internal/dispatch_entry_app.h"
#include "app/internal/dispatch_sidecar_app.h"

namespace foxtailrudder {
namespace {

template <typename Settings>
DispatchProcessConfig ProcessConfig(const Settings& settings, const std::string& path) {
  DispatchProcessConfig config;
  config.name = settings.name;
  config.region = settings.region;
  config.zone = settings.zone;
  config.internal_address = settings.internal_address;
  config.seed_entries = settings.seed_entries;
  const auto& lines = settings.log_lines_per_second;
  config.log_rate_limits = {lines.routine, lines.anomaly, lines.state_change};
  config.settings_path = path;
  config.reload = [path]() -> std::variant<std::vector<std::string>, std::string> {
    auto parsed = Settings::ParseFile(path);
    if (const auto* faults = std::get_if<Faults>(&parsed)) return FormatFaults(*faults);
    return std::get<Settings>(parsed).seed_entries;
  };
  return config;
}

}  // namespace

ExitStatus RunDispatchEntry(const DispatchEntrySettings& settings, const std::string& settings_path,
                            const MakeEntryAdapters& make_adapters) {
  DispatchEntryApp app(
      settings, ProcessConfig(settings, settings_path),
      [&](boost::asio::io_context& loop) { return make_adapters(loop, settings); });
  return app.Run();
}

ExitStatus RunDispatchSidecar(const DispatchSidecarSettings& settings,
                              const std::string& settings_path,
                              const MakeSidecarAdapters& make_adapters) {
  DispatchSidecarApp app(
      settings, ProcessConfig(settings, settings_path),
      [&](boost::asio::io_context& loop) { return make_adapters(loop, settings); });
  return app.Run();
}

}  // namespace foxtailrudder
