#pragma once

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <string>
#include <string_view>
#include <variant>

#include "config/internal/json_reader.h"

namespace foxtailrudder {

template <typename Settings>
std::variant<Settings, Faults> ParseSettings(std::string_view text,
                                             void (*read)(json_reader::ObjectReader&, Settings*,
                                                          Faults*)) {
  Faults faults;
  Settings settings;
  if (const auto document = json_reader::Parse(text, &faults)) {
    json_reader::ObjectReader reader(*document, "$", &faults);
    read(reader, &settings, &faults);
    reader.RejectUnknownMembers();
  }
  if (!faults.empty()) return faults;
  return settings;
}

template <typename Settings>
std::variant<Settings, Faults> ParseSettingsFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return Faults{{path, "cannot be opened: " + std::string(std::strerror(errno))}};
  std::string text;
  std::array<char, 4'096> chunk{};
  // Reads through the stream, which reports errors, such as a path to a directory, in its state;
  // reading from its buffer would throw.
  while (file.read(chunk.data(), chunk.size()) || file.gcount() > 0) {
    text.append(chunk.data(), static_cast<std::size_t>(file.gcount()));
  }
  if (file.bad()) return Faults{{path, "cannot be read"}};
  return Settings::Parse(text);
}

}  // namespace foxtailrudder
