#include "app/internal/ctl_table.h"

#include <algorithm>
#include <boost/json.hpp>
#include <vector>

namespace foxtailrudder {
namespace {

namespace json = boost::json;
using Row = std::vector<std::string>;

std::string Cell(const json::value& value) {
  if (value.is_string()) return std::string(value.as_string());
  return json::serialize(value);
}

std::string Align(const std::vector<Row>& rows) {
  std::vector<std::size_t> widths;
  for (const Row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const Row& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      text += row[i];
      if (i + 1 < row.size()) text.append(widths[i] - row[i].size() + 2, ' ');
    }
    text += '\n';
  }
  return text;
}

std::string FormatArray(const json::array& array) {
  std::vector<Row> rows;
  Row header;
  for (const auto& member : array.front().as_object()) header.emplace_back(member.key());
  rows.push_back(header);
  for (const json::value& item : array) {
    Row row;
    for (const std::string& key : header) {
      const json::value* value = item.is_object() ? item.as_object().if_contains(key) : nullptr;
      row.push_back(value == nullptr ? "" : Cell(*value));
    }
    rows.push_back(std::move(row));
  }
  return Align(rows);
}

bool IsTable(const json::value& value) {
  return value.is_array() && !value.as_array().empty() && value.as_array().front().is_object();
}

}  // namespace

std::string FormatTable(std::string_view json_text) {
  json::error_code error;
  const json::value value =
      json::parse(json::string_view(json_text.data(), json_text.size()), error);
  if (error || !value.is_object()) return std::string(json_text);

  std::vector<Row> members;
  std::string tables;
  for (const auto& member : value.as_object()) {
    if (IsTable(member.value())) {
      tables += "\n" + std::string(member.key()) + ":\n" + FormatArray(member.value().as_array());
    } else {
      members.push_back({std::string(member.key()), Cell(member.value())});
    }
  }
  return Align(members) + tables;
}

}  // namespace foxtailrudder
