#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "model/decision_log.h"
#include "model/time.h"

namespace spdlog {
class logger;
}

namespace foxtailrudder {

/// Rate limits in lines per second, by DecisionClass. Lines over the limit are dropped and counted.
struct EventLogRateLimits {
  std::uint32_t routine = 0;
  std::uint32_t anomaly = 0;
  /// Lines of DecisionClass::kStateChange. The field of log_lines_dropped is "belief".
  std::uint32_t state_change = 0;
};

/// Writes decisions as JSON lines to standard output, from one thread. Never blocks: lines that
/// standard output does not accept are buffered up to kMaxUnwrittenBytes, then dropped and counted.
class EventLog : public DecisionLog {
 public:
  /// Size of the buffer while standard output is blocked: a few seconds of a busy process.
  static constexpr std::size_t kMaxUnwrittenBytes = 128U << 10U;

  /// Every line contains process, zone and incarnation. descriptor 1 is standard output.
  static std::unique_ptr<EventLog> Create(const std::string& process, const std::string& zone,
                                          std::uint64_t incarnation, EventLogRateLimits limits,
                                          int descriptor = 1);
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;
  ~EventLog() override;

  void Record(DecisionClass kind, std::string_view event, std::string_view job,
              std::initializer_list<LogField> fields) override;

  /// Writes buffered lines. Renews the limits once a second has passed and then logs how many lines
  /// were dropped, if any.
  void Tick(Now now);

  std::uint64_t dropped_lines() const { return m_dropped_total; }

 private:
  class Sink;
  EventLog(const std::string& process, const std::string& zone, std::uint64_t incarnation,
           EventLogRateLimits limits, std::shared_ptr<Sink> sink);
  void Write(DecisionClass kind, std::string_view event, std::string_view job,
             std::initializer_list<LogField> fields);

  std::string m_common_fields;
  std::array<std::uint32_t, 3> m_limits;
  std::array<std::uint32_t, 3> m_remaining;
  std::array<std::uint64_t, 3> m_dropped_this_second{};
  std::uint64_t m_dropped_total = 0;
  SteadyTime m_second_start;
  std::shared_ptr<Sink> m_sink;
  std::shared_ptr<spdlog::logger> m_logger;
};

}  // namespace foxtailrudder
