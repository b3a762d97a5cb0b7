#include "dispatch/internal/receive_delay.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace foxtailrudder {
namespace {

/// A baseline is one to two of these old. Long enough to contain a moment without a queue, and
/// clocks that drift apart by 100 ppm differ by 3 ms in it.
constexpr std::chrono::seconds kBaselinePeriod{30};

/// Messages older than this say nothing about the present: some report periods.
constexpr std::chrono::milliseconds kRecent{300};

/// With fewer senders, the median may be that of one that is slow itself.
constexpr std::size_t kMinSenders = 3;

}  // namespace

void ReceiveDelay::OnMessage(NodeRef sender, SteadyTime sent_at, Now now) {
  const SteadyTime::duration difference = now.steady - sent_at;
  const auto [found, is_new] = m_senders.try_emplace(sender.id);
  Sender& state = found->second;
  if (is_new || state.incarnation != sender.incarnation) {
    // The first message of a process says nothing about its delay.
    state = {sender.incarnation,      difference,  difference, now.steady + kBaselinePeriod,
             SteadyTime::duration(0), SteadyTime()};
    return;
  }
  if (now.steady >= state.period_end) {
    state.smallest_before = std::exchange(state.smallest, difference);
    state.period_end = now.steady + kBaselinePeriod;
  }
  state.smallest = std::min(state.smallest, difference);
  state.delay = difference - std::min(state.smallest, state.smallest_before);
  state.received_at = now.steady;
}

void ReceiveDelay::Refresh(Now now) {
  std::vector<SteadyTime::duration> delays;
  for (const auto& [id, sender] : m_senders) {
    if (now.steady - sender.received_at <= kRecent) delays.push_back(sender.delay);
  }
  m_estimate = {};
  if (delays.size() < kMinSenders) return;
  const auto middle = delays.begin() + static_cast<std::ptrdiff_t>(delays.size() / 2);
  std::ranges::nth_element(delays, middle);
  m_estimate = std::chrono::duration_cast<std::chrono::milliseconds>(*middle);
}

}  // namespace foxtailrudder
