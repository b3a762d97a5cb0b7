#include "membership/internal/home_selector.h"

namespace foxtailrudder {

NodeId HomeSelector::Choose(const std::vector<NodeId>& ranking, SteadyTime now) const {
  NodeId earliest = 0;
  SteadyTime earliest_end = SteadyTime::max();
  for (const NodeId id : ranking) {
    const auto avoid = m_avoid_until.find(id);
    if (avoid == m_avoid_until.end() || avoid->second <= now) return id;
    if (avoid->second >= earliest_end) continue;
    earliest = id;
    earliest_end = avoid->second;
  }
  return earliest;
}

bool HomeSelector::IsAvoided(NodeId entry, SteadyTime now) const {
  const auto avoid = m_avoid_until.find(entry);
  return avoid != m_avoid_until.end() && avoid->second > now;
}

void HomeSelector::OnFailure(NodeId entry, SteadyTime now) {
  m_avoid_until[entry] = now + kAvoidTime;
}

void HomeSelector::OnSuccess(NodeId entry) { m_avoid_until.erase(entry); }

}  // namespace foxtailrudder
