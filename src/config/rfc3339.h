#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "model/time.h"

namespace foxtailrudder {

/// Parses a time such as "2026-12-04T05:52:32.5+01:00". Digits beyond nanoseconds are dropped, and
/// a leap second is read as the first second of the next minute. Returns nullopt for malformed text
/// and for times outside the years 1970 to 2199.
std::optional<WallTime> ParseRfc3339(std::string_view text);

/// Formats a time in UTC without trailing zeros in the fraction: "2026-12-04T04:52:32.5Z".
std::string FormatRfc3339(WallTime time);

}  // namespace foxtailrudder
