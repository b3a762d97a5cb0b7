#include "app/internal/url_path.h"

#include <algorithm>

#include "http/target.h"

namespace foxtailrudder {
namespace {

// A malformed escape is kept as literal text, so that no resource matches it.
std::string Decode(std::string_view text) {
  return PercentDecode(text).value_or(std::string(text));
}

}  // namespace

UrlPath UrlPath::Parse(std::string_view target) {
  UrlPath path;
  const std::size_t mark = target.find('?');
  if (mark != std::string_view::npos) path.query = target.substr(mark + 1);
  target = target.substr(0, mark);

  while (!target.empty()) {
    if (target.front() == '/') {
      target.remove_prefix(1);
      continue;
    }
    const std::size_t end = std::min(target.find('/'), target.size());
    path.segments.push_back(Decode(target.substr(0, end)));
    target.remove_prefix(end);
  }
  return path;
}

bool UrlPath::Matches(std::initializer_list<std::string_view> pattern) const {
  return std::equal(segments.begin(), segments.end(), pattern.begin(), pattern.end(),
                    [](const std::string& segment, std::string_view expected) {
                      return expected == "*" || expected == segment;
                    });
}

std::string UrlPath::QueryValue(std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return Decode(pair.substr(equals + 1));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

}  // namespace foxtailrudder
