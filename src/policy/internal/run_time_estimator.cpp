#include "policy/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace foxtailrudder {
namespace {

constexpr double kSmoothingFactor = 0.05;
constexpr double kBucketsPerDoubling = 4;
// When the sample count reaches this, all buckets are halved so that the quantiles follow changes.
constexpr double kHalvingThreshold = 500;

std::size_t BucketOf(double run_time_ms, std::size_t buckets) {
  const double position = std::log2(std::max(run_time_ms, 1.0)) * kBucketsPerDoubling;
  return std::min(static_cast<std::size_t>(position), buckets - 1);
}

std::chrono::milliseconds Rounded(double milliseconds) {
  return std::chrono::milliseconds(std::llround(milliseconds));
}

}  // namespace

void RunTimeEstimator::OnFinished(std::string_view service, std::chrono::milliseconds run_time) {
  auto found = m_records.find(service);
  if (found == m_records.end()) {
    if (m_records.size() >= kMaxServices) return;
    found = m_records.emplace(std::string(service), Record{}).first;
  }
  Record& record = found->second;
  const auto sample = static_cast<double>(std::max<std::int64_t>(0, run_time.count()));
  record.finished = std::min(record.finished + 1, kWarmUpSamples);
  // Arithmetic mean over the first tasks, exponentially weighted mean afterwards.
  const double weight = std::max(kSmoothingFactor, 1.0 / record.finished);
  record.mean_ms += weight * (sample - record.mean_ms);
  record.buckets[BucketOf(sample, kBuckets)] += 1;
  record.total += 1;
  if (record.total >= kHalvingThreshold) {
    for (float& bucket : record.buckets) bucket /= 2;
    record.total /= 2;
  }
}

std::chrono::milliseconds RunTimeEstimator::Estimate(std::string_view service,
                                                     std::chrono::milliseconds initial) const {
  const auto found = m_records.find(service);
  if (found == m_records.end()) return initial;
  const double measured_share = static_cast<double>(found->second.finished) / kWarmUpSamples;
  return Rounded(measured_share * found->second.mean_ms +
                 (1 - measured_share) * static_cast<double>(initial.count()));
}

std::chrono::milliseconds RunTimeEstimator::Quantile(std::string_view service, double share,
                                                     std::chrono::milliseconds initial) const {
  const auto found = m_records.find(service);
  if (found == m_records.end() || found->second.finished < kWarmUpSamples) {
    return Estimate(service, initial);
  }
  const Record& record = found->second;
  double below = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    below += record.buckets[i];
    if (below >= share * record.total) {
      return Rounded(std::exp2(static_cast<double>(i + 1) / kBucketsPerDoubling));
    }
  }
  return Estimate(service, initial);
}

}  // namespace foxtailrudder
