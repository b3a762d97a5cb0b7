#include "config/internal/json_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <boost/json/basic_parser_impl.hpp>
#include <charconv>
#include <set>

#include "config/rfc3339.h"

namespace foxtailrudder {

std::string FormatFaults(const Faults& faults) {
  std::string text;
  for (const Fault& fault : faults) text += fault.path + ": " + fault.message + "\n";
  return text;
}

}  // namespace foxtailrudder

namespace foxtailrudder::json_reader {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxDepth = 32;
constexpr std::size_t kMaxExcerptBytes = 64;
constexpr std::size_t kMaxSuggestionDistance = 2;

json::parse_options ParseOptions() {
  json::parse_options options;
  options.max_depth = kMaxDepth;
  return options;
}

// Shortens input for use in a message, without splitting a UTF-8 character.
std::string Excerpt(std::string_view text) {
  if (text.size() <= kMaxExcerptBytes) return std::string(text);
  std::size_t end = kMaxExcerptBytes;
  while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) --end;
  return std::string(text.substr(0, end)) + "...";
}

std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  for (std::size_t i = 0; i < row.size(); ++i) row[i] = i;
  for (std::size_t i = 0; i < left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < right.size(); ++j) {
      const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, diagonal + 1, row[j] + 1});
    }
  }
  return row.back();
}

template <typename Names>
std::string Suggestion(std::string_view given, const Names& names) {
  if (given.empty() || given.size() > kMaxExcerptBytes) return {};
  std::string best;
  std::size_t best_distance = std::min(kMaxSuggestionDistance, given.size() - 1) + 1;
  for (const auto& name : names) {
    const std::size_t distance = EditDistance(given, name);
    if (distance >= best_distance) continue;
    best_distance = distance;
    best = name;
  }
  return best.empty() ? "" : "; did you mean \"" + best + "\"?";
}

std::string_view TypeName(const json::value& value) {
  switch (value.kind()) {
    case json::kind::null:
      return "null";
    case json::kind::bool_:
      return "a boolean";
    case json::kind::int64:
    case json::kind::uint64:
      return "a whole number";
    case json::kind::double_:
      return "a number with a fraction or exponent";
    case json::kind::string:
      return "a string";
    case json::kind::array:
      return "an array";
    case json::kind::object:
      break;
  }
  return "an object";
}

std::string TypeMismatch(std::string_view expected, const json::value& value) {
  return "expected " + std::string(expected) + ", found " + std::string(TypeName(value));
}

// Parser handler that finds duplicate member names within an object. json::value keeps only the
// last of two members with the same name, so duplicates cannot be found in the parsed document.
// NOLINTBEGIN(readability-identifier-naming)
class DuplicateMemberFinder {
 public:
  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

  const std::optional<std::string>& duplicate() const { return m_duplicate; }

  bool on_document_begin(json::error_code&) { return true; }
  bool on_document_end(json::error_code&) { return true; }
  bool on_object_begin(json::error_code&) {
    m_open_objects.emplace_back();
    return true;
  }
  bool on_object_end(std::size_t, json::error_code&) {
    m_open_objects.pop_back();
    return true;
  }
  bool on_array_begin(json::error_code&) { return true; }
  bool on_array_end(std::size_t, json::error_code&) { return true; }
  bool on_key_part(json::string_view part, std::size_t, json::error_code&) {
    m_key.append(part.data(), part.size());
    return true;
  }
  bool on_key(json::string_view part, std::size_t, json::error_code&) {
    m_key.append(part.data(), part.size());
    if (!m_open_objects.back().insert(m_key).second && !m_duplicate) m_duplicate = m_key;
    m_key.clear();
    return true;
  }
  bool on_string_part(json::string_view, std::size_t, json::error_code&) { return true; }
  bool on_string(json::string_view, std::size_t, json::error_code&) { return true; }
  bool on_number_part(json::string_view, json::error_code&) { return true; }
  bool on_int64(std::int64_t, json::string_view, json::error_code&) { return true; }
  bool on_uint64(std::uint64_t, json::string_view, json::error_code&) { return true; }
  bool on_double(double, json::string_view, json::error_code&) { return true; }
  bool on_bool(bool, json::error_code&) { return true; }
  bool on_null(json::error_code&) { return true; }
  bool on_comment_part(json::string_view, json::error_code&) { return true; }
  bool on_comment(json::string_view, json::error_code&) { return true; }

 private:
  std::vector<std::set<std::string>> m_open_objects;
  std::string m_key;
  std::optional<std::string> m_duplicate;
};
// NOLINTEND(readability-identifier-naming)

}  // namespace

std::optional<json::value> ParseTrusted(std::string_view text, Faults* faults) {
  json::error_code error;
  json::value value = json::parse({text.data(), text.size()}, error, {}, ParseOptions());
  if (!error) return value;
  AddFault(faults, "$", "not valid JSON: " + error.message());
  return std::nullopt;
}

std::optional<json::value> Parse(std::string_view text, Faults* faults) {
  auto value = ParseTrusted(text, faults);
  if (!value) return std::nullopt;
  json::error_code error;
  json::basic_parser<DuplicateMemberFinder> finder(ParseOptions());
  finder.write_some(false, text.data(), text.size(), error);
  if (const auto& duplicate = finder.handler().duplicate()) {
    AddFault(faults, "$", "an object names the member \"" + Excerpt(*duplicate) + "\" twice");
    return std::nullopt;
  }
  return value;
}

void AddFault(Faults* faults, std::string path, std::string message) {
  if (faults->size() < kMaxFaults) faults->push_back({std::move(path), std::move(message)});
}

bool IsName(std::string_view text) {
  const auto is_alphanumeric = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
  };
  if (text.empty() || text.size() > 64 || !is_alphanumeric(text[0])) return false;
  return std::ranges::all_of(
      text, [&](char c) { return is_alphanumeric(c) || c == '.' || c == '_' || c == '-'; });
}

bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const char* const port_end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), port_end, port);
  if (parsed.ec != std::errc() || parsed.ptr != port_end || port == 0) return false;
  std::string host(text.substr(0, colon));
  std::array<unsigned char, sizeof(in6_addr)> number{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), number.data()) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), number.data()) == 1;
}

ObjectReader::ObjectReader(const json::value& value, std::string path, Faults* faults)
    : m_object(value.if_object()), m_path(std::move(path)), m_faults(faults) {
  if (m_object == nullptr) AddFault(m_faults, m_path, TypeMismatch("an object", value));
}

const json::value* ObjectReader::FindMember(std::string_view key, Presence presence) {
  m_known_members.emplace_back(key);
  if (m_object == nullptr) return nullptr;
  const json::value* const found = m_object->if_contains({key.data(), key.size()});
  if (found == nullptr && presence == kRequired) Report(key, "is required");
  return found;
}

bool ObjectReader::Has(std::string_view key) const {
  return m_object != nullptr && m_object->contains({key.data(), key.size()});
}

void ObjectReader::Report(std::string_view key, std::string message) {
  AddFault(m_faults, PathOf(key), std::move(message));
}

const json::string* ObjectReader::ReadString(std::string_view key, Presence presence) {
  const json::value* const value = FindMember(key, presence);
  if (value == nullptr) return nullptr;
  if (!value->is_string()) Report(key, TypeMismatch("a string", *value));
  return value->if_string();
}

void ObjectReader::Text(std::string_view key, Presence presence, std::size_t min_bytes,
                        std::size_t max_bytes, std::string* target) {
  const json::string* const text = ReadString(key, presence);
  if (text == nullptr) return;
  if (text->size() < min_bytes || text->size() > max_bytes) {
    Report(key, "must have " + std::to_string(min_bytes) + " to " + std::to_string(max_bytes) +
                    " bytes, has " + std::to_string(text->size()));
    return;
  }
  target->assign(text->data(), text->size());
}

void ObjectReader::Name(std::string_view key, Presence presence, std::string* target) {
  const json::string* const text = ReadString(key, presence);
  if (text == nullptr) return;
  if (!IsName({text->data(), text->size()})) {
    Report(key,
           "must be a name: 1 to 64 letters, digits, '.', '_' or '-', first a letter or digit");
    return;
  }
  target->assign(text->data(), text->size());
}

void ObjectReader::Address(std::string_view key, Presence presence, std::string* target) {
  const json::string* const text = ReadString(key, presence);
  if (text == nullptr) return;
  if (!IsAddress({text->data(), text->size()})) {
    Report(key, "must be an IP number and a port, as \"127.0.0.1:7101\"");
    return;
  }
  target->assign(text->data(), text->size());
}

void ObjectReader::Flag(std::string_view key, Presence presence, bool* target) {
  const json::value* const value = FindMember(key, presence);
  if (value == nullptr) return;
  if (!value->is_bool()) {
    Report(key, TypeMismatch("true or false", *value));
    return;
  }
  *target = *value->if_bool();
}

void ObjectReader::Time(std::string_view key, Presence presence, WallTime* target) {
  const json::string* const text = ReadString(key, presence);
  if (text == nullptr) return;
  const auto time = ParseRfc3339({text->data(), text->size()});
  if (!time) {
    Report(key, "must be an RFC 3339 time with offset, as \"2026-12-04T05:52:32.5+01:00\"");
    return;
  }
  *target = *time;
}

void ObjectReader::Milliseconds(std::string_view key, Presence presence,
                                std::chrono::milliseconds min, std::chrono::milliseconds max,
                                std::chrono::milliseconds* target) {
  const auto number =
      ReadNumber(key, presence, static_cast<std::uint64_t>(min.count()),
                 static_cast<std::uint64_t>(max.count()), "a whole number of milliseconds");
  if (number) *target = std::chrono::milliseconds(static_cast<std::int64_t>(*number));
}

std::optional<std::uint64_t> ObjectReader::ReadNumber(std::string_view key, Presence presence,
                                                      std::uint64_t min, std::uint64_t max,
                                                      std::string_view expected) {
  const json::value* const value = FindMember(key, presence);
  if (value == nullptr) return std::nullopt;
  if (!value->is_int64() && !value->is_uint64()) {
    Report(key, TypeMismatch(expected, *value));
    return std::nullopt;
  }
  const std::int64_t* const signed_number = value->if_int64();
  const bool negative = signed_number != nullptr && *signed_number < 0;
  const std::uint64_t number =
      signed_number != nullptr ? static_cast<std::uint64_t>(*signed_number) : *value->if_uint64();
  if (negative || number < min || number > max) {
    Report(key, "must be " + std::to_string(min) + " to " + std::to_string(max) + ", is " +
                    (negative ? std::to_string(*signed_number) : std::to_string(number)));
    return std::nullopt;
  }
  return number;
}

std::optional<std::size_t> ObjectReader::ReadChoice(std::string_view key, Presence presence,
                                                    const std::vector<std::string_view>& names) {
  const json::string* const text = ReadString(key, presence);
  if (text == nullptr) return std::nullopt;
  const std::string_view given(text->data(), text->size());
  const auto found = std::ranges::find(names, given);
  if (found != names.end()) return static_cast<std::size_t>(found - names.begin());
  std::string list;
  for (const std::string_view name : names) {
    list += (list.empty() ? "\"" : ", \"") + std::string(name) + "\"";
  }
  Report(key,
         "must be one of " + list + ", is \"" + Excerpt(given) + "\"" + Suggestion(given, names));
  return std::nullopt;
}

void ObjectReader::Array(std::string_view key, Presence presence, std::size_t min, std::size_t max,
                         const std::function<void(const json::value&, const std::string&)>& read) {
  const json::value* const value = FindMember(key, presence);
  if (value == nullptr) return;
  const json::array* const array = value->if_array();
  if (array == nullptr) {
    Report(key, TypeMismatch("an array", *value));
    return;
  }
  if (array->size() < min || array->size() > max) {
    Report(key, "must have " + std::to_string(min) + " to " + std::to_string(max) +
                    " elements, has " + std::to_string(array->size()));
    if (array->size() > max) return;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    read((*array)[i], PathOf(key) + "[" + std::to_string(i) + "]");
  }
}

void ObjectReader::RejectUnknownMembers() {
  if (m_object == nullptr) return;
  for (const auto& member : *m_object) {
    const std::string_view key(member.key().data(), member.key().size());
    if (std::ranges::find(m_known_members, key) != m_known_members.end()) continue;
    // Stops early because a body of several megabytes can have a million unknown members.
    if (m_faults->size() >= kMaxFaults) return;
    Report(Excerpt(key), "is not known" + Suggestion(key, m_known_members));
  }
}

void UniqueNames::Add(const std::string& name, const std::string& path, Faults* faults) {
  if (name.empty()) return;
  const auto found = m_path_by_name.find(name);
  if (found != m_path_by_name.end()) {
    AddFault(faults, path, "\"" + Excerpt(name) + "\" is also at " + found->second);
    return;
  }
  m_path_by_name.emplace(name, path);
}

}  // namespace foxtailrudder::json_reader
