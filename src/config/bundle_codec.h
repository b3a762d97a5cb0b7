#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "config/fault.h"
#include "model/bundle.h"

namespace foxtailrudder {

/// Parses and validates a bundle. The text has no version; it is assigned on acceptance.
std::variant<Bundle, Faults> ParseBundle(std::string_view json);

/// Returns JSON that ParseBundle reads back to an equal bundle, except for the version.
std::string FormatBundle(const Bundle& bundle);

/// Key of a bundle text in the object store: its 128-bit XXH3 hash as 32 hex digits.
std::string DigestOfBundle(std::string_view text);

}  // namespace foxtailrudder
