#include "policy/quota.h"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace foxtailrudder {

TokenBucket::TokenBucket(double rate_per_second, double burst, SteadyTime now)
    : m_rate(rate_per_second), m_burst(burst), m_tokens(burst), m_refilled_at(now) {}

bool TokenBucket::TryTake(std::uint32_t count, SteadyTime now) {
  Refill(now);
  if (m_tokens < std::min(static_cast<double>(count), m_burst) || m_burst <= 0) return false;
  m_tokens -= count;
  return true;
}

void TokenBucket::SetLimits(double rate_per_second, double burst, SteadyTime now) {
  Refill(now);
  m_rate = rate_per_second;
  m_burst = burst;
  m_tokens = std::min(m_tokens, burst);
}

void TokenBucket::Refill(SteadyTime now) {
  if (now <= m_refilled_at) return;
  const std::chrono::duration<double> passed = now - m_refilled_at;
  m_tokens = std::min(m_burst, m_tokens + passed.count() * m_rate);
  m_refilled_at = now;
}

std::vector<double> QuotaShares::Split(std::span<const std::uint32_t> demands) {
  if (demands.empty()) return {};
  const double even = 1.0 / static_cast<double>(demands.size());
  const double total = std::accumulate(demands.begin(), demands.end(), 0.0);
  if (total <= 0) return std::vector<double>(demands.size(), even);
  std::vector<double> shares;
  shares.reserve(demands.size());
  for (const std::uint32_t demand : demands) {
    shares.push_back(kEvenShare * even + (1 - kEvenShare) * demand / total);
  }
  return shares;
}

}  // namespace foxtailrudder
