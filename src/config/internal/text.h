#pragma once

#include <string>
#include <string_view>

namespace foxtailrudder {

/// Whether the bytes are well-formed UTF-8, which JSON requires of strings.
bool IsUtf8(std::string_view bytes);

std::string EncodeBase64(std::string_view bytes);

}  // namespace foxtailrudder
