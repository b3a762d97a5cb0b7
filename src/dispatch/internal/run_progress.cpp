#include "dispatch/internal/run_progress.h"

#include <algorithm>

#include "dispatch/internal/milliseconds.h"

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

/// A run is compared with others once it has taken this many times what they usually take, but not
/// before kMinCheckTime: the percentage says little about a run that has just begun.
constexpr double kCheckFactor = 2.0;
constexpr milliseconds kMinCheckTime{150};

/// Its remaining time then has to exceed the cost of restarting it elsewhere: this factor times the
/// usual run time, plus a round trip through the entry.
constexpr double kRestartFactor = 1.5;
constexpr milliseconds kRestartOverhead{50};

/// How much more time each earlier stall allows.
constexpr std::uint32_t kStallAllowance = 8;
constexpr std::uint32_t kStandstillAllowance = 2;
constexpr std::uint32_t kMaxCountedStalls = 6;

/// A run stands still if it has not advanced by one percent for this long: at that rate it would
/// take 30 s. A run that has advanced before is allowed this many times its own pace.
constexpr milliseconds kStandstill{300};
constexpr double kPaceFactor = 4.0;

/// Lists come at least every 200 ms. Of a longer pause, in which the endpoint or this process may
/// have been stopped, no more than this counts.
constexpr milliseconds kMaxListInterval{250};

constexpr std::uint32_t Power(std::uint32_t base, std::uint32_t exponent) {
  std::uint32_t result = 1;
  for (std::uint32_t i = 0; i < std::min(exponent, kMaxCountedStalls); ++i) result *= base;
  return result;
}

}  // namespace

RunProgress::RunProgress(SteadyTime started_at)
    : m_started_at(started_at), m_listed_at(started_at), m_advanced_at(started_at) {}

bool RunProgress::HasStalled(std::uint32_t percent, const ProgressReference& reference, Now now) {
  const auto interval = now.steady - m_listed_at;
  m_listed_at = now.steady;
  if (percent > m_percent) {
    m_percent = percent;
    m_advanced_at = now.steady;
    m_still_for = {};
  } else {
    m_still_for += std::min<SteadyTime::duration>(interval, kMaxListInterval);
  }
  const double elapsed = static_cast<double>(Ms(now.steady - m_started_at).count());
  const double done = std::max(0.5, static_cast<double>(percent)) / 100.0;
  m_projected_run = milliseconds(static_cast<std::int64_t>(elapsed / done));
  if (StandsStill(reference)) return true;
  if (reference.usual_run.count() == 0 || !is_projection_sound(reference, now)) return false;
  const double usual = static_cast<double>(reference.usual_run.count()) *
                       Power(kStallAllowance, reference.earlier_stalls);
  const double left = elapsed / done - elapsed;
  return elapsed >= kCheckFactor * usual &&
         left > kRestartFactor * usual + static_cast<double>(kRestartOverhead.count());
}

bool RunProgress::is_projection_sound(const ProgressReference& reference, Now now) const {
  const auto elapsed = now.steady - m_started_at;
  return elapsed >= kMinCheckTime &&
         elapsed >= std::chrono::duration_cast<SteadyTime::duration>(
                        kCheckFactor * std::max(reference.usual_run, reference.estimate));
}

bool RunProgress::StandsStill(const ProgressReference& reference) const {
  // Time for one percent.
  const double pace =
      m_percent > 0
          ? static_cast<double>(Ms(m_advanced_at - m_started_at).count()) / m_percent
          : static_cast<double>(std::max(reference.usual_run, reference.estimate).count()) / 100.0;
  const double limit = std::max(static_cast<double>(kStandstill.count()), kPaceFactor * pace) *
                       Power(kStandstillAllowance, reference.earlier_stalls);
  return static_cast<double>(Ms(m_still_for).count()) > limit;
}

}  // namespace foxtailrudder
