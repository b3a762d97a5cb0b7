#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace foxtailrudder {

/// Path of a request target as percent-decoded segments, and its query string, not decoded.
struct UrlPath {
  std::vector<std::string> segments;
  std::string query;

  static UrlPath Parse(std::string_view target);

  /// True if the segments equal the pattern; "*" matches any single segment.
  bool Matches(std::initializer_list<std::string_view> pattern) const;

  /// Decoded value of a query parameter; empty if absent.
  std::string QueryValue(std::string_view name) const;
};

}  // namespace foxtailrudder
