#pragma once

#include <string>
#include <vector>

namespace foxtailrudder {

/// A validation error in a JSON document.
struct Fault {
  /// Path of the faulty member, such as "$.services[2].name".
  std::string path;
  std::string message;

  friend bool operator==(const Fault&, const Fault&) = default;
};

/// Faults of a document in the order in which they were found, at most kMaxFaults.
using Faults = std::vector<Fault>;

/// Limits the size of the response to a document with many faults.
inline constexpr std::size_t kMaxFaults = 100;

/// Returns one line per fault: "path: message".
std::string FormatFaults(const Faults& faults);

}  // namespace foxtailrudder
