#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace foxtailrudder {

/// Percent-encodes all characters except unreserved ones (RFC 3986), so that the text forms a
/// single path segment.
std::string PercentEncode(std::string_view text);

/// Reverses PercentEncode. Returns nullopt if an escape sequence is malformed.
std::optional<std::string> PercentDecode(std::string_view text);

}  // namespace foxtailrudder
