#include "config/internal/text.h"

#include <cstdint>

namespace foxtailrudder {
namespace {

struct LeadByte {
  std::size_t length;
  std::uint32_t value_bits;
  std::uint32_t min_code_point;
};

LeadByte DecodeLeadByte(unsigned char byte) {
  if (byte < 0x80) return {1, byte, 0};
  if ((byte & 0xE0U) == 0xC0U) return {2, byte & 0x1FU, 0x80};
  if ((byte & 0xF0U) == 0xE0U) return {3, byte & 0x0FU, 0x800};
  if ((byte & 0xF8U) == 0xF0U) return {4, byte & 0x07U, 0x10000};
  return {0, 0, 0};
}

}  // namespace

bool IsUtf8(std::string_view bytes) {
  std::size_t position = 0;
  while (position < bytes.size()) {
    const LeadByte lead = DecodeLeadByte(static_cast<unsigned char>(bytes[position]));
    if (lead.length == 0 || position + lead.length > bytes.size()) return false;
    std::uint32_t code_point = lead.value_bits;
    for (std::size_t i = 1; i < lead.length; ++i) {
      const auto byte = static_cast<unsigned char>(bytes[position + i]);
      if ((byte & 0xC0U) != 0x80U) return false;
      code_point = (code_point << 6U) | (byte & 0x3FU);
    }
    const bool surrogate = code_point >= 0xD800 && code_point <= 0xDFFF;
    if (code_point < lead.min_code_point || code_point > 0x10FFFF || surrogate) return false;
    position += lead.length;
  }
  return true;
}

std::string EncodeBase64(std::string_view bytes) {
  static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      group = (group << 8U) | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += j <= count ? kDigits[(group >> (18 - 6 * j)) & 0x3FU] : '=';
    }
  }
  return text;
}

}  // namespace foxtailrudder
