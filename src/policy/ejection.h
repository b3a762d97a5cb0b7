#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <span>

#include "model/ids.h"
#include "model/time.h"

namespace foxtailrudder {

/// Outlier ejection: stops dispatch to executors whose started tasks fail. Without it, a broken
/// endpoint that fails fast looks idle and attracts the most work.
class EjectionTracker {
 public:
  static constexpr std::uint32_t kConsecutiveFailureThreshold = 5;
  static constexpr double kFailureRateThreshold = 0.5;
  /// Minimum number of outcomes before the failure rate is evaluated.
  static constexpr std::uint32_t kMinOutcomes = 20;
  static constexpr std::chrono::milliseconds kBaseEjectionTime{5'000};
  static constexpr std::chrono::milliseconds kMaxEjectionTime{60'000};
  static constexpr std::chrono::milliseconds kDefaultRamp{3'000};

  /// Sets the tracked members and keeps the records of those that stay. At most max_ejected_percent
  /// of the members are ejected at once; if a non-zero percentage rounds down to no member, one may
  /// still be ejected when there are at least three.
  void SetMembers(std::span<const NodeId> members, std::uint32_t max_ejected_percent);
  void SetRamp(std::chrono::milliseconds ramp) { m_ramp = ramp; }

  /// Records the outcome of a started task. A refusal before the start does not count as an
  /// outcome.
  void OnOutcome(NodeId id, bool failed, Now now);

  bool IsEjected(NodeId id, Now now) const;
  /// Share of the slots to use: 0 while the outcome of a probe task is pending (ExecutorLoad turns
  /// this into one usable slot), then rising to 1.
  double Weight(NodeId id, Now now) const;
  std::uint32_t ejected_count() const { return m_ejected; }
  /// Number of ejections since the process started.
  std::uint64_t ejections() const { return m_ejections; }

 private:
  enum class State : std::uint8_t { kHealthy, kEjected, kRamping };

  struct Record {
    State state = State::kHealthy;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t outcomes = 0;
    double failure_rate = 0;
    std::chrono::milliseconds ejection{0};
    /// End of the ejection in kEjected; start of the ramp in kRamping.
    SteadyTime since;
  };

  void Eject(Record& record, Now now);
  bool MayEject() const;

  std::map<NodeId, Record> m_records;
  std::uint32_t m_max_percent = 33;
  std::chrono::milliseconds m_ramp = kDefaultRamp;
  std::uint32_t m_ejected = 0;
  std::uint64_t m_ejections = 0;
};

}  // namespace foxtailrudder
