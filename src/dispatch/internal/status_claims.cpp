#include "dispatch/internal/status_claims.h"

#include <algorithm>
#include <utility>

namespace foxtailrudder {
namespace {

/// Endpoints repeat their status every 1 to 2 s.
constexpr std::chrono::milliseconds kClaimLifetime{2'000};

/// Bounds the memory and the calls when many different reports come in; the oldest is dropped.
constexpr std::size_t kMaxClaims = 4;

}  // namespace

void StatusClaims::Add(EndpointStatus status, Now now) {
  const SteadyTime expires_at = now.steady + kClaimLifetime;
  const auto same = std::ranges::find_if(m_claims, [&status](const Claim& claim) {
    return claim.status.id == status.id && claim.status.born == status.born;
  });
  if (same != m_claims.end()) {
    if (status.sequence > same->status.sequence) same->status = std::move(status);
    same->expires_at = expires_at;
    return;
  }
  if (m_claims.size() == kMaxClaims) m_claims.erase(m_claims.begin());
  m_claims.push_back({std::move(status), now.steady, expires_at, now.steady});
}

std::vector<std::string> StatusClaims::TakeDue(Now now) {
  std::erase_if(m_claims, [now](const Claim& claim) { return now.steady >= claim.expires_at; });
  std::vector<std::string> due;
  for (Claim& claim : m_claims) {
    if (now.steady < claim.call_at) continue;
    claim.call_at = SteadyTime::max();
    due.push_back(claim.status.id);
  }
  return due;
}

void StatusClaims::OnNoAnswer(const std::string& id, SteadyTime call_again_at) {
  for (Claim& claim : m_claims) {
    if (claim.status.id == id) claim.call_at = call_again_at;
  }
}

std::optional<EndpointStatus> StatusClaims::TakeConfirmed(const std::string& id,
                                                          std::chrono::milliseconds born) {
  const auto confirmed = std::ranges::find_if(m_claims, [&](const Claim& claim) {
    return claim.status.id == id && claim.status.born == born;
  });
  if (confirmed == m_claims.end()) return std::nullopt;
  EndpointStatus status = std::move(confirmed->status);
  m_claims.erase(confirmed);
  return status;
}

std::size_t StatusClaims::Refute(const std::string& id, SteadyTime called_at) {
  return std::erase_if(m_claims, [&](const Claim& claim) {
    return claim.status.id == id && claim.received_at <= called_at;
  });
}

}  // namespace foxtailrudder
