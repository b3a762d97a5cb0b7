// The foxtailrudder binary, with one subcommand for each role.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>

#include "app/app.h"
#include "platform/platform.h"

namespace {

using foxtailrudder::ExitStatus;

/// Subcommand and options of a daemon role.
struct Role {
  CLI::App* command = nullptr;
  std::string config;
  bool check = false;
};

void AddRole(CLI::App& app, Role& role, const char* name, const char* help) {
  role.command = app.add_subcommand(name, help);
  role.command->add_option("--config", role.config, "Settings file (JSON)")
      ->envname("FOXTAILRUDDER_CONFIG")
      ->required();
  role.command->add_flag("--check", role.check, "Check the settings and exit");
}

template <typename Settings, typename Run>
ExitStatus RunRole(const Role& role, Run run) {
  const auto parsed = Settings::ParseFile(role.config);
  if (const auto* faults = std::get_if<foxtailrudder::Faults>(&parsed)) {
    std::fprintf(stderr, "%s is invalid:\n%s\n", role.config.c_str(),
                 foxtailrudder::FormatFaults(*faults).c_str());
    return ExitStatus::kUsage;
  }
  if (role.check) {
    std::printf("%s is valid\n", role.config.c_str());
    return ExitStatus::kOk;
  }
  return run(std::get<Settings>(parsed));
}

struct ExplainCommand {
  CLI::App* command = nullptr;
  std::string request;
};

struct Roles {
  Role entry;
  Role sidecar;
  Role dispatch_entry;
  Role dispatch_sidecar;
  ExplainCommand explain;
};

ExitStatus RunOnPlatform(const foxtailrudder::DispatchEntrySettings& settings,
                         const std::string& path) {
  return foxtailrudder::RunDispatchEntry(settings, path, [](auto& loop, const auto& chosen) {
    return foxtailrudder::platform::MakeEntryAdapters(loop, chosen.store_address);
  });
}

ExitStatus RunOnPlatform(const foxtailrudder::DispatchSidecarSettings& settings,
                         const std::string& path) {
  return foxtailrudder::RunDispatchSidecar(settings, path, [](auto& loop, const auto& chosen) {
    return foxtailrudder::platform::MakeSidecarAdapters(loop, chosen.store_address,
                                                        chosen.endpoint_address);
  });
}

ExitStatus RunSelectedRole(const Roles& roles, foxtailrudder::Ctl& ctl) {
  using foxtailrudder::DispatchEntrySettings;
  using foxtailrudder::DispatchSidecarSettings;
  using foxtailrudder::EntrySettings;
  using foxtailrudder::SidecarSettings;
  const Role& entry = roles.entry;
  const Role& sidecar = roles.sidecar;
  const Role& dispatch_entry = roles.dispatch_entry;
  const Role& dispatch_sidecar = roles.dispatch_sidecar;
  if (dispatch_entry.command->parsed()) {
    return RunRole<DispatchEntrySettings>(dispatch_entry, [&](const auto& settings) {
      return RunOnPlatform(settings, dispatch_entry.config);
    });
  }
  if (dispatch_sidecar.command->parsed()) {
    return RunRole<DispatchSidecarSettings>(dispatch_sidecar, [&](const auto& settings) {
      return RunOnPlatform(settings, dispatch_sidecar.config);
    });
  }
  if (entry.command->parsed()) return RunRole<EntrySettings>(entry, foxtailrudder::RunEntry);
  if (sidecar.command->parsed())
    return RunRole<SidecarSettings>(sidecar, foxtailrudder::RunSidecar);
  if (roles.explain.command->parsed()) {
    return foxtailrudder::Explain(roles.explain.request, std::cin, std::cout);
  }
  return ctl.Run();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("foxtailrudder: dispatcher for sub-second tasks");
  app.set_version_flag("--version", std::string("foxtailrudder ") + FOXTAILRUDDER_VERSION);
  app.require_subcommand(1);
  Roles roles;
  AddRole(app, roles.entry, "entry", "Serve callers and operators");
  AddRole(app, roles.sidecar, "sidecar", "Run beside one endpoint");
  AddRole(app, roles.dispatch_entry, "dispatch-entry",
          "Serve callers on the users' platform, with direct dispatch");
  AddRole(app, roles.dispatch_sidecar, "dispatch-sidecar",
          "Run beside one endpoint on the users' platform, with direct dispatch");
  roles.explain.command = app.add_subcommand(
      "explain",
      "Print the log lines of a request, in time order, from the logs on standard input");
  roles.explain.command->add_option("request", roles.explain.request, "Identifier of the request")
      ->required();
  foxtailrudder::Ctl ctl(app);

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const bool help_or_version = app.exit(error) == 0;
    return static_cast<int>(help_or_version ? ExitStatus::kOk : ExitStatus::kUsage);
  }
  return static_cast<int>(RunSelectedRole(roles, ctl));
}
