#include "dispatch/fencing_token.h"

#include <algorithm>

namespace foxtailrudder {
namespace {

/// The first step covers a wall clock that was set back by some seconds. Each later one is twice as
/// large, so that any difference is covered after a few refusals.
constexpr std::uint64_t kFirstStep = 4'096;

/// The highest integer that every JSON reader keeps exact.
constexpr std::uint64_t kMaxToken = (std::uint64_t{1} << 53U) - 1;

}  // namespace

FencingToken::FencingToken(WallTime started_at)
    : m_value(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(started_at.time_since_epoch())
              .count())),
      m_next_step(kFirstStep) {}

void FencingToken::OnStatus(const EndpointStatus& status) {
  if (!status.clock || status.born.count() == 0) return;
  const auto endpoint_time = static_cast<std::uint64_t>((status.born + *status.clock).count());
  if (endpoint_time <= kMaxToken) m_value = std::max(m_value, endpoint_time);
}

bool FencingToken::OnRefused(std::uint64_t token) {
  if (token != m_value) return false;
  m_value = std::min(m_value + m_next_step, kMaxToken);
  m_next_step = std::min(m_next_step * 2, kMaxToken);
  return true;
}

}  // namespace foxtailrudder
