#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace foxtailrudder {

enum class DrainPhase : std::uint8_t { kIdle, kRefusing, kFinishing, kHandingOver, kLeft };

enum class DrainEvent : std::uint8_t {
  /// A planned stop began: new work is refused.
  kBegin,
  /// The member row lists the process as draining, so peers send no new work.
  kListedDraining,
  /// No request or task is in progress.
  kWorkDone,
  /// Everything is handed over and the member record is removed.
  kHandedOver,
  /// The planned stop was cancelled.
  kCancel,
};

/// Phases of a planned stop.
class DrainLifecycle {
 public:
  DrainLifecycle();
  DrainLifecycle(DrainLifecycle&&) noexcept;
  DrainLifecycle& operator=(DrainLifecycle&&) noexcept;
  ~DrainLifecycle();

  /// Returns false and changes nothing if the event is not accepted in the current phase.
  bool Fire(DrainEvent event);

  DrainPhase phase() const;
  /// Name of the phase in snake_case, for logs.
  std::string_view phase_name() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
