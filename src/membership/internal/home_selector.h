#pragma once

#include <chrono>
#include <unordered_map>
#include <vector>

#include "model/model.h"

namespace foxtailrudder {

/// Selects the home entry of a sidecar: the first in the ranking without a recent failure. A
/// failure is a missing reply or a reply from an entry that is not fresh.
class HomeSelector {
 public:
  /// If all entries failed recently, returns the one whose failure is the oldest.
  NodeId Choose(const std::vector<NodeId>& ranking, SteadyTime now) const;
  bool IsAvoided(NodeId entry, SteadyTime now) const;
  void OnFailure(NodeId entry, SteadyTime now);
  void OnSuccess(NodeId entry);

 private:
  /// Time after which a failed entry is tried again. A trial costs one reply timeout if the entry
  /// is silent, which the permit of the previous heartbeat covers, or one round trip if it is not
  /// fresh.
  static constexpr std::chrono::seconds kAvoidTime{5};

  std::unordered_map<NodeId, SteadyTime> m_avoid_until;
};

}  // namespace foxtailrudder
