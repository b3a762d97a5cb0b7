#pragma once

#include <boost/json.hpp>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/fault.h"
#include "config/internal/named_value.h"
#include "model/time.h"

namespace foxtailrudder::json_reader {

enum class Presence : std::uint8_t { kRequired, kOptional };
inline constexpr Presence kRequired = Presence::kRequired;
inline constexpr Presence kOptional = Presence::kOptional;

/// Parses a document. Syntax errors and duplicate members of an object are faults.
std::optional<boost::json::value> Parse(std::string_view text, Faults* faults);

/// Parses a document written by this system. Skips the check for duplicate members, which needs a
/// second pass.
std::optional<boost::json::value> ParseTrusted(std::string_view text, Faults* faults);

void AddFault(Faults* faults, std::string path, std::string message);

/// Whether the text has 1 to 64 letters, digits, '.', '_' or '-' and starts with a letter or digit.
bool IsName(std::string_view text);

/// Whether the text is an IP address and port, such as "127.0.0.1:7101" or "[::1]:7101".
bool IsAddress(std::string_view text);

/// Reads the members of an object and records each fault with its path. The target keeps its value
/// if the member is absent or faulty.
class ObjectReader {
 public:
  ObjectReader(const boost::json::value& value, std::string path, Faults* faults);

  void Text(std::string_view key, Presence presence, std::size_t min_bytes, std::size_t max_bytes,
            std::string* target);
  void Name(std::string_view key, Presence presence, std::string* target);
  void Address(std::string_view key, Presence presence, std::string* target);
  void Flag(std::string_view key, Presence presence, bool* target);
  void Time(std::string_view key, Presence presence, WallTime* target);
  void Milliseconds(std::string_view key, Presence presence, std::chrono::milliseconds min,
                    std::chrono::milliseconds max, std::chrono::milliseconds* target);

  template <std::unsigned_integral T>
  void Number(std::string_view key, Presence presence, T min, T max, T* target) {
    if (const auto number = ReadNumber(key, presence, min, max, "a whole number")) {
      *target = static_cast<T>(*number);
    }
  }

  template <typename E>
  void Choice(std::string_view key, Presence presence, NamedValues<E> choices, E* target) {
    std::vector<std::string_view> names;
    for (const auto& choice : choices) names.push_back(choice.name);
    if (const auto index = ReadChoice(key, presence, names)) *target = choices[*index].value;
  }

  /// Calls `read` with each element of the array and its path.
  void Array(std::string_view key, Presence presence, std::size_t min, std::size_t max,
             const std::function<void(const boost::json::value&, const std::string&)>& read);

  /// Returns the unchecked value of the member, nullptr if absent.
  const boost::json::value* FindMember(std::string_view key, Presence presence);

  bool Has(std::string_view key) const;
  std::string PathOf(std::string_view key) const { return m_path + "." + std::string(key); }
  void Report(std::string_view key, std::string message);

  /// Records a fault for each member of the object that has not been read.
  void RejectUnknownMembers();

 private:
  std::optional<std::uint64_t> ReadNumber(std::string_view key, Presence presence,
                                          std::uint64_t min, std::uint64_t max,
                                          std::string_view expected);
  std::optional<std::size_t> ReadChoice(std::string_view key, Presence presence,
                                        const std::vector<std::string_view>& names);
  const boost::json::string* ReadString(std::string_view key, Presence presence);

  const boost::json::object* m_object;
  std::string m_path;
  Faults* m_faults;
  std::vector<std::string> m_known_members;
};

/// Detects duplicate names within a list.
class UniqueNames {
 public:
  /// Records a fault if the name has been added before.
  void Add(const std::string& name, const std::string& path, Faults* faults);

 private:
  std::map<std::string, std::string> m_path_by_name;
};

}  // namespace foxtailrudder::json_reader
