#include "policy/retry_budget.h"

#include <algorithm>

namespace foxtailrudder {
namespace {

constexpr std::uint64_t kRetryCost = 100;

}  // namespace

RetryBudget::RetryBudget(std::uint32_t percent)
    : m_percent(percent), m_balance(percent == 0 ? 0 : kReservedRetries * kRetryCost) {}

void RetryBudget::SetPercent(std::uint32_t percent) {
  m_percent = percent;
  m_balance = std::min(m_balance, Limit());
}

void RetryBudget::OnFirstAttempt() { m_balance = std::min(m_balance + m_percent, Limit()); }

bool RetryBudget::TryRetry() {
  if (m_balance < kRetryCost) return false;
  m_balance -= kRetryCost;
  return true;
}

std::uint64_t RetryBudget::Limit() const {
  return m_percent == 0
             ? 0
             : kReservedRetries * kRetryCost + std::uint64_t{kRecentFirstAttempts} * m_percent;
}

std::chrono::milliseconds Backoff::Next(std::uint32_t attempt, Random& random,
                                        std::chrono::milliseconds base,
                                        std::chrono::milliseconds cap) {
  // 20 doublings exceed every cap in use; the limit keeps the shift defined.
  const std::int64_t grown = base.count() * (std::int64_t{1} << std::min(attempt, 20U));
  const std::int64_t limit =
      std::clamp<std::int64_t>(grown, 1, std::max<std::int64_t>(1, cap.count()));
  return std::chrono::milliseconds(1 + random.Below(static_cast<std::uint32_t>(limit)));
}

}  // namespace foxtailrudder
