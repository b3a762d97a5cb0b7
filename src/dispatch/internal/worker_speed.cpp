#include "dispatch/internal/worker_speed.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace foxtailrudder {
namespace {

using Seconds = std::chrono::duration<double>;

/// Weight of one run in the present slowness, and the half-life with which it returns to the
/// baseline.
constexpr double kPresentWeight = 0.15;
constexpr Seconds kPresentHalfLife{2.0};
constexpr double kMaxPresentSample = 20;

/// A run counts in the baseline as at most this many times slower or faster than the baseline.
/// Three in a hundred tasks take seven times as long as usual at any worker.
constexpr double kMaxBaselineStep = 3;

/// The baseline starts at 1 with the weight of this many runs. Callers' estimates deviate by 0.4,
/// so a mean of fewer runs is no better than the assumption that workers are alike.
constexpr double kPriorRuns = 10;

/// After this many runs the baseline changes at a rate by time, so that a busy worker does not
/// learn a disturbance of some seconds.
constexpr std::uint32_t kWarmUpRuns = 100;
constexpr Seconds kBaselineHalfLife{30.0};
/// The pause before a run counts as at most this long, so that no single run decides the baseline.
constexpr Seconds kMaxRunWeightTime{0.5};

}  // namespace

void WorkerSpeed::OnRun(double slowness, Now now) {
  UpdatePresent(slowness, now);
  UpdateBaseline(slowness, now);
}

void WorkerSpeed::OnProgress(double slowness, Now now) { UpdatePresent(slowness, now); }

void WorkerSpeed::UpdatePresent(double slowness, Now now) {
  m_present = present(now);
  m_present += kPresentWeight * (std::min(slowness, kMaxPresentSample) - m_present);
  m_present_updated_at = now.steady;
}

void WorkerSpeed::UpdateBaseline(double slowness, Now now) {
  const double sample =
      std::clamp(slowness, m_baseline / kMaxBaselineStep, m_baseline * kMaxBaselineStep);
  double weight = 1.0 / (m_runs + kPriorRuns + 1);
  if (m_runs >= kWarmUpRuns) {
    const Seconds pause = std::min<Seconds>(now.steady - m_baseline_updated_at, kMaxRunWeightTime);
    weight = 1.0 - std::exp2(-std::max(pause.count(), 0.0) / kBaselineHalfLife.count());
  } else {
    ++m_runs;
  }
  m_baseline += weight * (sample - m_baseline);
  m_baseline_updated_at = now.steady;
}

double WorkerSpeed::present(Now now) const {
  const Seconds age = now.steady - m_present_updated_at;
  const double remaining = std::exp2(-std::max(age.count(), 0.0) / kPresentHalfLife.count());
  return m_baseline + (m_present - m_baseline) * remaining;
}

}  // namespace foxtailrudder
