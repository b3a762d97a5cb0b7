#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <variant>

namespace foxtailrudder {

/// Category of a logged decision. Determines which lines are kept over the log rate limit.
enum class DecisionClass : std::uint8_t {
  /// A step of a request that succeeded.
  kRoutine,
  /// A request that failed, was refused or was retried.
  kAnomaly,
  /// A change in the process's view of configuration, peers, endpoints, permits or dependencies.
  kStateChange,
};

struct LogField {
  std::string_view key;
  std::variant<std::int64_t, double, std::string_view> value;
};

/// Records decisions that affect a request or change the process's view of the system.
class DecisionLog {
 public:
  virtual ~DecisionLog() = default;

  /// `job` is empty for a decision that concerns no single request.
  virtual void Record(DecisionClass kind, std::string_view event, std::string_view job,
                      std::initializer_list<LogField> fields) = 0;
};

}  // namespace foxtailrudder
