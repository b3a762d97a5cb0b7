#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace foxtailrudder {

/// Header fields in insertion order. Names are compared case-insensitively.
class HttpHeaders {
 public:
  void Add(std::string name, std::string value) {
    m_fields.emplace_back(std::move(name), std::move(value));
  }

  /// Returns the first value of a field, or null if there is none.
  const std::string* Find(std::string_view name) const;

  const std::vector<std::pair<std::string, std::string>>& fields() const { return m_fields; }

 private:
  std::vector<std::pair<std::string, std::string>> m_fields;
};

}  // namespace foxtailrudder
