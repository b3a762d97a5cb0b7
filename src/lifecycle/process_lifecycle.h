#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace foxtailrudder {

enum class ProcessPhase : std::uint8_t {
  kStarting,
  kJoining,
  kServing,
  kDraining,
  kHandingOver,
  kStopped
};

enum class ProcessEvent : std::uint8_t {
  /// The network is up; the process asks to be listed.
  kBeginJoin,
  /// The member row lists this incarnation.
  kListed,
  /// The member row no longer lists this incarnation; it joins again.
  kDelisted,
  /// A planned stop began.
  kDrain,
  /// The planned stop was cancelled.
  kResume,
  /// No request or task is in progress.
  kWorkDone,
  /// Shards are handed over and the member record is removed.
  kLeft,
  /// The process stops without a drain.
  kStop,
};

/// Life cycle of an entry or sidecar process.
class ProcessLifecycle {
 public:
  ProcessLifecycle();
  ProcessLifecycle(ProcessLifecycle&&) noexcept;
  ProcessLifecycle& operator=(ProcessLifecycle&&) noexcept;
  ~ProcessLifecycle();

  /// Returns false and changes nothing if the event is not accepted in the current phase.
  bool Fire(ProcessEvent event);

  ProcessPhase phase() const;
  /// Name of the phase in snake_case, for logs.
  std::string_view phase_name() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
