#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "model/error_kind.h"
#include "model/ids.h"

namespace foxtailrudder {

enum class LogOutput : std::uint8_t { kText, kJsonLines };

/// Maximum number of messages queued for the log thread. When the queue is full, the oldest
/// messages are dropped, so that logging never delays a decision.
inline constexpr std::size_t kLogQueueSize = 8'192;

/// Sets up spdlog's default logger to write to standard error from a thread of its own. Every line
/// contains the process name and incarnation. Call once, before other threads start.
std::optional<Error> SetUpLogging(std::string_view level, LogOutput output,
                                  std::string_view process, Incarnation incarnation);

/// Writes the queued messages and stops the log thread. Call last.
void ShutDownLogging();

/// Number of messages dropped since the start because the queue was full.
std::uint64_t DroppedLogMessages();

/// Escapes text for use within a JSON string. Bytes that are not UTF-8 become U+FFFD.
std::string EscapeForJson(std::string_view text);

}  // namespace foxtailrudder
