#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace foxtailrudder {

/// Estimates the run time of each service from finished tasks, with exponentially decaying weights.
class RunTimeEstimator {
 public:
  /// Number of finished tasks after which the initial estimate no longer counts.
  static constexpr std::uint32_t kWarmUpSamples = 20;
  /// Maximum number of tracked services; further services keep their initial estimate.
  static constexpr std::size_t kMaxServices = 1'024;

  void OnFinished(std::string_view service, std::chrono::milliseconds run_time);

  /// Exponentially weighted mean, blended with the initial estimate during the first tasks.
  std::chrono::milliseconds Estimate(std::string_view service,
                                     std::chrono::milliseconds initial) const;

  /// Run time that the given share of tasks does not exceed, accurate to within a fifth.
  std::chrono::milliseconds Quantile(std::string_view service, double share,
                                     std::chrono::milliseconds initial) const;

 private:
  /// Four histogram buckets per doubling, from 1 ms to over an hour.
  static constexpr std::size_t kBuckets = 96;

  struct Record {
    std::uint32_t finished = 0;
    double mean_ms = 0;
    double total = 0;
    std::array<float, kBuckets> buckets{};
  };

  std::map<std::string, Record, std::less<>> m_records;
};

}  // namespace foxtailrudder
