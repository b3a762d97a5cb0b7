#pragma once

#include <optional>
#include <set>
#include <utility>

#include "model/ids.h"
#include "model/time.h"

namespace foxtailrudder {

/// Timers of requests, one per request, ordered by due time.
class TimerIndex {
 public:
  /// Moves the timer of a request from `previous` to `next`.
  void Move(RequestId request, SteadyTime previous, SteadyTime next) {
    m_timers.erase({previous, request});
    m_timers.emplace(next, request);
  }

  void Remove(RequestId request, SteadyTime due) { m_timers.erase({due, request}); }

  /// Returns the request with the earliest timer if that timer is due.
  std::optional<RequestId> NextDue(SteadyTime now) const {
    if (m_timers.empty() || m_timers.begin()->first > now) return std::nullopt;
    return m_timers.begin()->second;
  }

 private:
  std::set<std::pair<SteadyTime, RequestId>> m_timers;
};

}  // namespace foxtailrudder
