#include "coordination/internal/team_quotas.h"

#include <iterator>

namespace foxtailrudder {

void TeamQuotas::SetShares(std::vector<std::pair<std::string, double>> shares) {
  m_shares = {std::make_move_iterator(shares.begin()), std::make_move_iterator(shares.end())};
}

bool TeamQuotas::TryTake(const TeamConfig& team, std::uint32_t tasks, Now now) {
  const auto found = m_shares.find(team.name);
  const double share = found == m_shares.end() ? 1.0 : found->second;
  const double rate = team.tasks_per_second * share;
  const double burst = team.burst * share;
  auto [position, added] = m_teams.try_emplace(team.name, TokenBucket(rate, burst, now.steady));
  Team& state = position->second;
  if (added || state.rate != rate || state.burst != burst) {
    if (!added) state.bucket.SetLimits(rate, burst, now.steady);
    state.rate = rate;
    state.burst = burst;
  }
  const std::int64_t number = SlotAt(now.steady);
  DemandSlot& slot = state.demand[static_cast<std::size_t>(number) % kDemandSlotCount];
  if (slot.number != number) slot = {number, 0};
  slot.tasks += tasks;
  return team.tasks_per_second == 0 || state.bucket.TryTake(tasks, now.steady);
}

std::vector<TeamDemand> TeamQuotas::Demands(Now now) const {
  constexpr auto kWindow = kDemandSlotLength * kDemandSlotCount;
  const std::int64_t newest = SlotAt(now.steady);
  std::vector<TeamDemand> demands;
  for (const auto& [name, team] : m_teams) {
    std::uint64_t tasks = 0;
    for (const DemandSlot& slot : team.demand) {
      if (slot.number > newest - static_cast<std::int64_t>(kDemandSlotCount)) tasks += slot.tasks;
    }
    const auto rate = tasks * std::chrono::milliseconds(std::chrono::seconds(1)).count() /
                      static_cast<std::uint64_t>(kWindow.count());
    demands.push_back({name, static_cast<std::uint32_t>(rate)});
  }
  return demands;
}

}  // namespace foxtailrudder
