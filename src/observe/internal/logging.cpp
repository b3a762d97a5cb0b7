#include "observe/logging.h"

#include <spdlog/async.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <exception>
#include <memory>

namespace foxtailrudder {
namespace {

// Length of the UTF-8 sequence at the start of the text, 0 if it is malformed. Only overlong forms
// of two bytes and wrong continuation bytes are detected, which suffices for readable log lines.
std::size_t Utf8Length(std::string_view text) {
  const auto lead = static_cast<unsigned char>(text[0]);
  std::size_t length = 0;
  if (lead < 0x80) length = 1;
  if (lead >= 0xC2 && lead < 0xE0) length = 2;
  if (lead >= 0xE0 && lead < 0xF0) length = 3;
  if (lead >= 0xF0 && lead < 0xF5) length = 4;
  if (length > text.size()) return 0;
  for (std::size_t i = 1; i < length; ++i) {
    if ((static_cast<unsigned char>(text[i]) & 0xC0U) != 0x80U) return 0;
  }
  return length;
}

// Formats each message as one line with a JSON object.
class JsonLinesFormatter : public spdlog::formatter {
 public:
  JsonLinesFormatter(std::string process, Incarnation incarnation)
      : m_process(std::move(process)), m_incarnation(incarnation) {}

  void format(const spdlog::details::log_msg& message, spdlog::memory_buf_t& buffer) override {
    const auto level = spdlog::level::to_string_view(message.level);
    const std::string text =
        EscapeForJson(std::string_view(message.payload.data(), message.payload.size()));
    const auto microseconds =
        std::chrono::duration_cast<std::chrono::microseconds>(message.time.time_since_epoch());
    std::string line = R"({"time_us":)" + std::to_string(microseconds.count()) + R"(,"level":")" +
                       std::string(level.data(), level.size()) + R"(","process":")" +
                       EscapeForJson(m_process) + R"(","incarnation":)" +
                       std::to_string(m_incarnation) + R"(,"message":")" + text + "\"}\n";
    buffer.append(line.data(), line.data() + line.size());
  }

  std::unique_ptr<spdlog::formatter> clone() const override {
    return std::make_unique<JsonLinesFormatter>(m_process, m_incarnation);
  }

 private:
  std::string m_process;
  Incarnation m_incarnation;
};

// Escapes percent signs, which start a flag in an spdlog pattern.
std::string EscapeForPattern(std::string_view text) {
  std::string escaped;
  for (const char c : text) escaped += c == '%' ? std::string("%%") : std::string(1, c);
  return escaped;
}

}  // namespace

std::optional<Error> SetUpLogging(std::string_view level, LogOutput output,
                                  std::string_view process, Incarnation incarnation) {
  const std::string level_name(level);
  const auto parsed = spdlog::level::from_str(level_name);
  if (parsed == spdlog::level::off && level_name != "off") {
    return Error{ErrorKind::kInternal, "unknown log level " + level_name};
  }
  try {
    spdlog::init_thread_pool(kLogQueueSize, 1);
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    auto logger =
        std::make_shared<spdlog::async_logger>(std::string(process), sink, spdlog::thread_pool(),
                                               spdlog::async_overflow_policy::overrun_oldest);
    if (output == LogOutput::kJsonLines) {
      logger->set_formatter(
          std::make_unique<JsonLinesFormatter>(std::string(process), incarnation));
    } else {
      logger->set_pattern("%Y-%m-%dT%H:%M:%S.%fZ %^%l%$ " + EscapeForPattern(process) + "/" +
                              std::to_string(incarnation) + " %v",
                          spdlog::pattern_time_type::utc);
    }
    logger->set_level(parsed);
    logger->flush_on(spdlog::level::warn);
    spdlog::set_default_logger(std::move(logger));
    spdlog::flush_every(std::chrono::seconds(1));
  } catch (const std::exception& exception) {
    return Error{ErrorKind::kInternal, exception.what()};
  }
  return std::nullopt;
}

void ShutDownLogging() {
  spdlog::shutdown();
  // After shutdown spdlog has no default logger, and a later message would dereference a null
  // pointer.
  auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  spdlog::set_default_logger(std::make_shared<spdlog::logger>("", std::move(sink)));
}

std::uint64_t DroppedLogMessages() {
  const auto pool = spdlog::thread_pool();
  return pool == nullptr ? 0 : pool->overrun_counter();
}

std::string EscapeForJson(std::string_view text) {
  std::string escaped;
  escaped.reserve(text.size());
  while (!text.empty()) {
    const std::size_t length = Utf8Length(text);
    const auto byte = static_cast<unsigned char>(text[0]);
    if (length == 0) {
      escaped += "\\ufffd";
    } else if (byte == '"' || byte == '\\') {
      escaped += {'\\', text[0]};
    } else if (byte < 0x20) {
      std::array<char, 8> code{};
      std::snprintf(code.data(), code.size(), "\\u%04x", static_cast<unsigned>(byte));
      escaped += code.data();
    } else {
      escaped += text.substr(0, length);
    }
    text.remove_prefix(length == 0 ? 1 : length);
  }
  return escaped;
}

}  // namespace foxtailrudder
