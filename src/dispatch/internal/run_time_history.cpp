#include "dispatch/internal/run_time_history.h"

#include <algorithm>
#include <vector>

#include "dispatch/internal/milliseconds.h"

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

/// Samples that confirm estimates, and that correct them or stand in for them: with fewer, one job
/// whose tasks all took long would decide.
constexpr std::size_t kMinSamples = 4;
constexpr std::size_t kMinSamplesToCorrect = 16;
constexpr std::size_t kMaxSamples = 32;

/// What is known ends after this time, so that a kind of task which is refused because of it is
/// tried again.
constexpr std::chrono::seconds kSampleLifetime{30};

/// Further kinds are not learnt.
constexpr std::size_t kMaxKinds = 1'024;

/// Estimates are rough; those that are off by less than this factor are used as they are.
constexpr double kRoughFactor = 3.0;

/// A corrected estimate is beyond the longest and the shortest recent run by no more than this
/// factor. The estimates that have been off may be those of one caller, for tasks of another size.
constexpr int kMaxBeyondObserved = 2;

double QuantileOf(std::vector<double>& ratios, double share) {
  const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(ratios.size() - 1));
  const auto position = ratios.begin() + rank;
  std::ranges::nth_element(ratios, position);
  return *position;
}

double RatioOf(milliseconds estimate, milliseconds run_time) {
  return static_cast<double>(run_time.count()) /
         static_cast<double>(std::max<std::int64_t>(1, estimate.count()));
}

}  // namespace

void RunTimeHistory::OnDone(const std::string& queue, std::uint32_t step, milliseconds estimate,
                            milliseconds run_time, Now now) {
  Add(queue, step, estimate, run_time, run_time, now);
}

void RunTimeHistory::OnUnfinished(const std::string& queue, std::uint32_t step,
                                  milliseconds estimate, milliseconds run_time, Now now) {
  Add(queue, step, estimate, std::max(estimate, run_time), run_time, now);
}

void RunTimeHistory::Add(const std::string& queue, std::uint32_t step, milliseconds estimate,
                         milliseconds assumed_run, milliseconds observed_run, Now now) {
  const TaskKind kind{queue, step, estimate.count() > 0};
  if (m_samples.size() >= kMaxKinds && !m_samples.contains(kind)) return;
  std::deque<Sample>& samples = m_samples[kind];
  if (samples.size() == kMaxSamples) samples.pop_front();
  samples.push_back({RatioOf(estimate, assumed_run), observed_run, now.steady + kSampleLifetime});
}

std::optional<KnownRunTime> RunTimeHistory::Find(const std::string& queue, std::uint32_t step,
                                                 milliseconds estimate, Now now) const {
  const auto found = m_samples.find({queue, step, estimate.count() > 0});
  if (found == m_samples.end()) return std::nullopt;
  std::vector<double> ratios;
  milliseconds longest{0};
  milliseconds shortest = milliseconds::max();
  for (const Sample& sample : found->second) {
    if (now.steady >= sample.expires_at) continue;
    ratios.push_back(sample.ratio);
    longest = std::max(longest, sample.observed_run);
    shortest = std::min(shortest, sample.observed_run);
  }
  if (ratios.size() < kMinSamples) return std::nullopt;
  const double median = QuantileOf(ratios, 0.5);
  const bool can_correct = ratios.size() >= kMinSamplesToCorrect;
  if (estimate.count() == 0) {
    if (!can_correct) return std::nullopt;
    return KnownRunTime{Scaled(milliseconds(1), median),
                        Scaled(milliseconds(1), QuantileOf(ratios, 0.9))};
  }
  if (median > 1 / kRoughFactor && median < kRoughFactor) return KnownRunTime{estimate, estimate};
  if (!can_correct) return std::nullopt;
  const milliseconds corrected =
      std::clamp(Scaled(estimate, median), std::min(estimate, shortest / kMaxBeyondObserved),
                 std::max(estimate, kMaxBeyondObserved * longest));
  return KnownRunTime{corrected, corrected};
}

void RunTimeHistory::Expire(Now now) {
  std::erase_if(m_samples,
                [now](const auto& kind) { return now.steady >= kind.second.back().expires_at; });
}

}  // namespace foxtailrudder
