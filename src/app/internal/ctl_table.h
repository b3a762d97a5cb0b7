#pragma once

#include <string>
#include <string_view>

namespace foxtailrudder {

/// Formats a JSON answer as readable text: members as "name  value" lines, and each array of
/// objects as a table with the member names as its header. Text that is not a JSON object is
/// returned unchanged.
std::string FormatTable(std::string_view json_text);

}  // namespace foxtailrudder
