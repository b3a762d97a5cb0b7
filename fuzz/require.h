#pragma once

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace foxtailrudder::fuzzing {

/// Aborts if the property does not hold, so that libFuzzer reports the input.
inline void Require(bool holds, const char* property) {
  if (holds) return;
  std::fprintf(stderr, "property violated: %s\n", property);
  std::abort();
}

inline std::string_view InputText(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace foxtailrudder::fuzzing
