#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "model/time.h"

namespace foxtailrudder {

/// Token bucket rate limiter with a burst allowance.
class TokenBucket {
 public:
  /// The bucket starts full.
  TokenBucket(double rate_per_second, double burst, SteadyTime now);

  /// Takes `count` tokens, or returns false and takes none. A request larger than the burst is
  /// admitted when the bucket is full and leaves a negative balance, so that large jobs are delayed
  /// rather than always rejected.
  bool TryTake(std::uint32_t count, SteadyTime now);

  /// Changes the limits and discards tokens above the new burst.
  void SetLimits(double rate_per_second, double burst, SteadyTime now);

 private:
  void Refill(SteadyTime now);

  double m_rate;
  double m_burst;
  double m_tokens;
  SteadyTime m_refilled_at;
};

/// Divides a team's quota among the entries in proportion to demand.
class QuotaShares {
 public:
  /// Share of the quota that is split evenly, so that an entry without recent demand can still
  /// admit jobs.
  static constexpr double kEvenShare = 0.1;

  /// Returns one share per demand; the shares add up to 1. Quota that an entry has no demand for
  /// goes to the others.
  static std::vector<double> Split(std::span<const std::uint32_t> demands);
};

}  // namespace foxtailrudder
