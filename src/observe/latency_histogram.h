#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace foxtailrudder {

/// Histogram of latencies with logarithmic buckets, 16 per doubling, from 0.1 ms to 105 s. Not
/// thread-safe; other threads get a copy.
class LatencyHistogram {
 public:
  struct Bucket {
    double upper_seconds = 0;
    /// Number of values up to upper_seconds.
    std::uint64_t cumulative = 0;
  };

  LatencyHistogram();
  LatencyHistogram(const LatencyHistogram& other);
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(const LatencyHistogram& other);
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;
  ~LatencyHistogram();

  void Record(std::chrono::duration<double> latency);
  void Merge(const LatencyHistogram& other);

  std::uint64_t count() const;
  std::chrono::duration<double> sum() const;
  /// Returns the quantile for a fraction from 0 to 1, interpolated within its bucket. Zero if the
  /// histogram is empty; the upper end of the range if the quantile lies beyond it.
  std::chrono::duration<double> Quantile(double fraction) const;
  /// Returns one bucket per doubling, without the +Inf bucket.
  std::vector<Bucket> Buckets() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
