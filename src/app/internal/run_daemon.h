#pragma once

#include <spdlog/spdlog.h>

#include <cstdio>
#include <memory>
#include <string_view>
#include <variant>

#include "app/exit_status.h"
#include "app/internal/clock.h"
#include "app/internal/start_logging.h"
#include "app/internal/stop_signal.h"

namespace foxtailrudder {

/// Runs a daemon role: sets up signal handling and logging, creates the app and runs it until it is
/// drained.
template <typename App, typename Settings>
ExitStatus RunDaemon(std::string_view role, const Settings& settings) {
  StopSignal signal;
  const Incarnation incarnation = NewIncarnation();
  if (const auto error = StartLogging(settings, incarnation)) {
    std::fprintf(stderr, "cannot set up logging: %s\n", error->detail.c_str());
    return ExitStatus::kFailed;
  }
  auto created = App::Create(settings, incarnation);
  if (const auto* error = std::get_if<Error>(&created)) {
    spdlog::error("{} cannot start kind={} detail={}", role, ErrorAnswerOf(error->kind).name,
                  error->detail);
    ShutDownLogging();
    return ExitStatus::kFailed;
  }
  auto& app = std::get<std::unique_ptr<App>>(created);
  signal.Listen([&app] { app->RequestStop(); });
  const ExitStatus status = app->Run();
  signal.Stop();
  app.reset();
  ShutDownLogging();
  return status;
}

}  // namespace foxtailrudder
