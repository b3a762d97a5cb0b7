#pragma once

#include <chrono>
#include <cstdint>

#include "policy/random.h"

namespace foxtailrudder {

/// Limits retries to a percentage of recent first attempts.
class RetryBudget {
 public:
  /// Retries available before any first attempt, so that a process with little traffic can retry.
  static constexpr std::uint32_t kReservedRetries = 10;
  /// Number of first attempts that count as recent; unused retries earned by older ones expire.
  static constexpr std::uint32_t kRecentFirstAttempts = 1'000;

  /// `percent` is the number of retries per hundred first attempts; 0 disables retries.
  explicit RetryBudget(std::uint32_t percent);

  void SetPercent(std::uint32_t percent);
  void OnFirstAttempt();
  /// Takes one retry from the budget; false if none is left.
  bool TryRetry();

 private:
  std::uint64_t Limit() const;

  std::uint32_t m_percent;
  /// In hundredths of a retry.
  std::uint64_t m_balance;
};

/// Exponential backoff with full jitter.
class Backoff {
 public:
  /// A free slot on another executor is usually found at once, so the first wait is a few
  /// milliseconds.
  static constexpr std::chrono::milliseconds kExecutorBase{5};
  static constexpr std::chrono::milliseconds kExecutorCap{200};

  /// Delay before retry number `attempt` (from 0), uniform between 1 ms and min(cap, base *
  /// 2^attempt).
  static std::chrono::milliseconds Next(std::uint32_t attempt, Random& random,
                                        std::chrono::milliseconds base = kExecutorBase,
                                        std::chrono::milliseconds cap = kExecutorCap);
};

}  // namespace foxtailrudder
