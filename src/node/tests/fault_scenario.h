#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "node/tests/checkers.h"
#include "node/tests/simulation.h"

namespace foxtailrudder::testing {

/// Faults that a scenario can inject.
enum class Fault : std::uint8_t {
  kKillEntry,
  kKillCoordinator,
  kKillExecutor,
  kKillZone,
  kRestartEntry,
  kRestartCoordinator,
  kRestartExecutor,
  kFreezeEntry,
  kFreezeCoordinator,
  kFreezeExecutor,
  kCutEntry,
  kCutCoordinator,
  kCutExecutor,
  kLateMessages,
  kDuplicatedMessages,
  kReorderedMessages,
  kStoreDown,
  kStoreDownForOneEntry,
  kStoreSlow,
  kStoreReplyLost,
  kOperatorRace,
  kEndpointFailsAll,
  kEndpointHangs,
  kStraggler,
  kCancellationWave,
  kBurst,
  kCount,
};

/// The step of a job, a change or a planned stop at which a scenario injects its faults.
enum class FaultStep : std::uint8_t {
  kSubmit,
  kClaim,
  kDispatch,
  kStart,
  kRun,
  kAnswer,
  kTakeOut,
  kReturn,
  kRollOut,
  kTakeover,
  kDrain,
  kStop,
  kCount,
};

inline constexpr std::size_t kFaultCount = static_cast<std::size_t>(Fault::kCount);
inline constexpr std::size_t kStepCount = static_cast<std::size_t>(FaultStep::kCount);

std::string_view FaultName(Fault fault);
std::string_view StepName(FaultStep step);

/// Runs one scenario: a small load in which two devices submit each key, the faults at the given
/// step, recovery, and resubmission by the callers. Returns the violated invariants.
std::vector<Violation> RunFaultScenario(const SimulationOptions& options, FaultStep step,
                                        const std::vector<Fault>& faults);

}  // namespace foxtailrudder::testing
