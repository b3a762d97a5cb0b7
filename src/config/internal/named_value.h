#pragma once

#include <array>
#include <span>
#include <string_view>

namespace foxtailrudder {

/// A value and the name that denotes it in JSON.
template <typename T>
struct NamedValue {
  std::string_view name;
  T value;
};

template <typename T>
using NamedValues = std::span<const NamedValue<T>>;

}  // namespace foxtailrudder
