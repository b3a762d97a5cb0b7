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

constexpr std::array<std::string_view, 3> kClassNames = {"info", "warning", "notice"};

}  // namespace

/// Keeps what a non-blocking descriptor does not take at once.
class EventLog::Sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit Sink(int descriptor) : m_descriptor(descriptor) {
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0) ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }

  /// False once the bound is reached.
  bool has_room() const { return m_unwritten.size() < kMaxUnwrittenBytes; }

  void WriteOut() {
    std::size_t written = 0;
    while (written < m_unwritten.size()) {
      const auto size =
          ::write(m_descriptor, m_unwritten.data() + written, m_unwritten.size() - written);
      if (size < 0 && errno == EINTR) continue;
      // A closed output is treated like a full one: the bound drops and counts the lines.
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
                                           std::uint64_t incarnation, EventLogBudget budget,
                                           int descriptor) {
  return std::unique_ptr<EventLog>(
      new EventLog(process, zone, incarnation, budget, std::make_shared<Sink>(descriptor)));
}

EventLog::EventLog(const std::string& process, const std::string& zone, std::uint64_t incarnation,
                   EventLogBudget budget, std::shared_ptr<Sink> sink)
    : m_prefix(R"("process":")" + EscapeForJson(process) + R"(","zone":")" + EscapeForJson(zone) +
               R"(","incarnation":)" + std::to_string(incarnation)),
      m_budget{budget.routine, budget.anomaly, budget.belief},
      m_left(m_budget),
      m_sink(std::move(sink)),
      m_logger(std::make_shared<spdlog::logger>("events", m_sink)) {}

EventLog::~EventLog() { m_sink->WriteOut(); }

void EventLog::Record(DecisionClass kind, std::string_view event, std::string_view job,
                      std::initializer_list<LogField> fields) {
  const auto index = static_cast<std::size_t>(kind);
  if (m_left[index] == 0 || !m_sink->has_room()) {
    ++m_dropped[index];
    ++m_dropped_total;
    return;
  }
  --m_left[index];
  Write(kind, event, job, fields);
}

void EventLog::Write(DecisionClass kind, std::string_view event, std::string_view job,
                     std::initializer_list<LogField> fields) {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  std::string line;
  line.reserve(256);
  line += R"({"time_ms":)";
  line += std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wall).count());
  line += R"(,"level":")";
  line += kClassNames[static_cast<std::size_t>(kind)];
  line += "\",";
  line += m_prefix;
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
    } else if (const auto* real = std::get_if<double>(&field.value)) {
      line += std::to_string(*real);
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
  if (now.steady - m_second >= std::chrono::seconds(1)) {
    m_second = now.steady;
    m_left = m_budget;
    const auto dropped = std::exchange(m_dropped, {});
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
