#pragma once

#include <optional>

#include "config/config.h"
#include "observe/observe.h"

namespace foxtailrudder {

/// Sets up process logging from the settings of a role.
template <typename Settings>
std::optional<Error> StartLogging(const Settings& settings, Incarnation incarnation) {
  const LogOutput output =
      settings.log_format == LogFormat::kJson ? LogOutput::kJsonLines : LogOutput::kText;
  return SetUpLogging(settings.log_level, output, settings.name, incarnation);
}

}  // namespace foxtailrudder
