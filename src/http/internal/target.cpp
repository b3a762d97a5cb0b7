#include "http/target.h"

#include <charconv>

namespace foxtailrudder {

std::string PercentEncode(std::string_view text) {
  static constexpr std::string_view kHex = "0123456789ABCDEF";
  static constexpr std::string_view kUnreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  std::string out;
  out.reserve(text.size());
  for (const char c : text) {
    if (kUnreserved.find(c) != std::string_view::npos) {
      out += c;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      out += '%';
      out += kHex[byte >> 4U];
      out += kHex[byte & 15U];
    }
  }
  return out;
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    if (i + 2 >= text.size()) {
      return std::nullopt;
    }
    unsigned byte = 0;
    const char* begin = text.data() + i + 1;
    const auto parsed = std::from_chars(begin, begin + 2, byte, 16);
    if (parsed.ec != std::errc() || parsed.ptr != begin + 2) {
      return std::nullopt;
    }
    out += static_cast<char>(byte);
    i += 2;
  }
  return out;
}

}  // namespace foxtailrudder
