#pragma once

#include <array>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "model/model.h"
#include "policy/policy.h"

namespace foxtailrudder {

/// Enforces this entry's share of the teams' quotas and measures the teams' demand.
class TeamQuotas {
 public:
  void SetShares(std::vector<std::pair<std::string, double>> shares);

  /// Adds the tasks to the demand and takes a token for each. Returns false if the quota is
  /// exhausted. A team with rate 0 is not limited.
  bool TryTake(const TeamConfig& team, std::uint32_t tasks, Now now);

  std::vector<TeamDemand> Demands(Now now) const;

 private:
  static constexpr std::chrono::milliseconds kDemandSlotLength{100};
  static constexpr std::size_t kDemandSlotCount = 20;

  struct DemandSlot {
    std::int64_t number = -1;
    std::uint64_t tasks = 0;
  };
  struct Team {
    explicit Team(TokenBucket tokens) : bucket(tokens) {}
    TokenBucket bucket;
    double rate = 0;
    double burst = 0;
    std::array<DemandSlot, kDemandSlotCount> demand{};
  };

  static std::int64_t SlotAt(SteadyTime now) { return now.time_since_epoch() / kDemandSlotLength; }

  std::map<std::string, double, std::less<>> m_shares;
  std::map<std::string, Team, std::less<>> m_teams;
};

}  // namespace foxtailrudder
