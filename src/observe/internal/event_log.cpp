#include "observe/event_log.h"

#include <fcntl.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <cerrno>

#include "observe/logging.h"

namespace foxtailrudder {
namespace {

constexpr std::array<std::string_view, 3> kLevelNames = {"info", "warning", "notice"};

}  // namespace

/// Makes the descriptor non-blocking and buffers what it does not accept at once.
class EventLog::Sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit Sink(int descriptor) : m_descriptor(descriptor) {
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0) ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }

  bool has_room() const { return m_unwritten.size() < kMaxUnwrittenBytes; }

  void WriteOut() {
    std::size_t written = 0;
    while (written < m_unwritten.size()) {
      const auto size =
          ::write(m_descriptor, m_unwritten.data() + written, m_unwritten.size() - written);
      if (size < 0 && errno == EINTR) continue;
      // A closed output is treated like a blocked one: once the buffer is full, lines are dropped
      // and counted.
      if (size <= 0) break;
      written += static_cast<std::size_t>(size);
    }
    m_unwritten.erase(0, written);
  }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    m_unwritten.append(message.payload.data(), message.payload.size());
    m_unwritten.push_back('\n');
  }
  void flush_() override { WriteOut(); }

 private:
  int m_descriptor;
  std::string m_unwritten;
};

std::unique_ptr<EventLog> EventLog::Create(const std::string& process, const std::string& zone,
                                           std::uint64_t incarnation, EventLogRateLimits limits,
                                           int descriptor) {
  return std::unique_ptr<EventLog>(
      new EventLog(process, zone, incarnation, limits, std::make_shared<Sink>(descriptor)));
}

EventLog::EventLog(const std::string& process, const std::string& zone, std::uint64_t incarnation,
                   EventLogRateLimits limits, std::shared_ptr<Sink> sink)
    : m_common_fields(R"("process":")" + EscapeForJson(process) + R"(","zone":")" +
                      EscapeForJson(zone) + R"(","incarnation":)" + std::to_string(incarnation)),
      m_limits{limits.routine, limits.anomaly, limits.state_change},
      m_remaining(m_limits),
      m_sink(std::move(sink)),
      m_logger(std::make_shared<spdlog::logger>("events", m_sink)) {}

EventLog::~EventLog() { m_sink->WriteOut(); }

void EventLog::Record(DecisionClass kind, std::string_view event, std::string_view job,
                      std::initializer_list<LogField> fields) {
  const auto index = static_cast<std::size_t>(kind);
  if (m_remaining[index] == 0 || !m_sink->has_room()) {
    ++m_dropped_this_second[index];
    ++m_dropped_total;
    return;
  }
  --m_remaining[index];
  Write(kind, event, job, fields);
}

void EventLog::Write(DecisionClass kind, std::string_view event, std::string_view job,
                     std::initializer_list<LogField> fields) {
  const auto wall_time = std::chrono::system_clock::now().time_since_epoch();
  std::string line;
  line.reserve(256);
  line += R"({"time_ms":)";
  line += std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wall_time).count());
  line += R"(,"level":")";
  line += kLevelNames[static_cast<std::size_t>(kind)];
  line += "\",";
  line += m_common_fields;
  line += R"(,"event":")";
  line += event;
  line += '"';
  if (!job.empty()) {
    line += R"(,"request":")";
    line += EscapeForJson(job);
    line += '"';
  }
  for (const LogField& field : fields) {
    line += ",\"";
    line += field.key;
    line += "\":";
    if (const auto* number = std::get_if<std::int64_t>(&field.value)) {
      line += std::to_string(*number);
    } else if (const auto* floating = std::get_if<double>(&field.value)) {
      line += std::to_string(*floating);
    } else {
      line += '"';
      line += EscapeForJson(std::get<std::string_view>(field.value));
      line += '"';
    }
  }
  line += '}';
  m_logger->log(spdlog::level::info, spdlog::string_view_t(line.data(), line.size()));
}

void EventLog::Tick(Now now) {
  if (now.steady - m_second_start >= std::chrono::seconds(1)) {
    m_second_start = now.steady;
    m_remaining = m_limits;
    const auto dropped = std::exchange(m_dropped_this_second, {});
    if (dropped[0] + dropped[1] + dropped[2] > 0 && m_sink->has_room()) {
      Write(DecisionClass::kStateChange, "log_lines_dropped", {},
            {{"routine", static_cast<std::int64_t>(dropped[0])},
             {"anomaly", static_cast<std::int64_t>(dropped[1])},
             {"belief", static_cast<std::int64_t>(dropped[2])}});
    }
  }
  m_sink->WriteOut();
}

}  // namespace foxtailrudder
