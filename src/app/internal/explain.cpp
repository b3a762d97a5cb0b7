#include "app/explain.h"

#include <algorithm>
#include <boost/json.hpp>
#include <istream>
#include <ostream>
#include <vector>

namespace foxtailrudder {
namespace {

namespace json = boost::json;

struct Line {
  std::int64_t time_ms = 0;
  json::object fields;
};

/// Members common to all lines; the others are specific to the event.
constexpr std::array<std::string_view, 7> kCommonFields = {
    "time_ms", "level", "process", "zone", "incarnation", "event", "request"};

std::string TextOf(const json::object& fields, std::string_view key) {
  const auto* value = fields.if_contains(json::string_view(key.data(), key.size()));
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::optional<Line> Parse(const std::string& text) {
  const auto brace = text.find('{');
  if (brace == std::string::npos) return std::nullopt;
  boost::system::error_code error;
  json::value value = json::parse(json::string_view(text).substr(brace), error);
  if (error || !value.is_object()) return std::nullopt;
  Line line{0, std::move(value.get_object())};
  const auto* time = line.fields.if_contains("time_ms");
  if (time == nullptr || !time->is_int64()) return std::nullopt;
  line.time_ms = time->get_int64();
  return line;
}

void Print(const Line& line, std::int64_t start_ms, bool is_first_warning, std::ostream& out) {
  out << (is_first_warning ? "> " : "  ") << "+" << line.time_ms - start_ms << " ms  "
      << TextOf(line.fields, "process") << "  " << TextOf(line.fields, "event");
  for (const auto& field : line.fields) {
    if (std::ranges::find(kCommonFields, std::string_view(field.key())) != kCommonFields.end())
      continue;
    out << "  " << std::string_view(field.key()) << "=" << json::serialize(field.value());
  }
  out << '\n';
}

}  // namespace

ExitStatus Explain(const std::string& request, std::istream& logs, std::ostream& out) {
  std::vector<Line> lines;
  std::string text;
  while (std::getline(logs, text)) {
    // Most lines are about other requests; this avoids parsing them.
    if (text.find(request) == std::string::npos) continue;
    auto line = Parse(text);
    const bool matches = line && (TextOf(line->fields, "request") == request ||
                                  TextOf(line->fields, "target").ends_with(request));
    if (matches) lines.push_back(std::move(*line));
  }
  if (lines.empty()) {
    out << "no line names the request " << request << '\n';
    return ExitStatus::kFailed;
  }
  std::ranges::stable_sort(lines, {}, &Line::time_ms);
  bool has_warning = false;
  for (const Line& line : lines) {
    const bool is_first_warning = !has_warning && TextOf(line.fields, "level") == "warning";
    has_warning |= is_first_warning;
    Print(line, lines.front().time_ms, is_first_warning, out);
  }
  if (!has_warning) out << "no line is a warning\n";
  return ExitStatus::kOk;
}

}  // namespace foxtailrudder
