#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/internal/claim.h"
#include "coordination/internal/executor_pool.h"
#include "policy/policy.h"

namespace foxtailrudder {

struct QueuedTask {
  ClaimId claim = 0;
  std::uint32_t index = 0;
  std::uint16_t epoch = 0;
  Urgency urgency = Urgency::kNormal;
  WallTime deadline;
  Now queued_at;
};

/// Queue of the tasks that may run on the same executors. Shards with the same executor subset for
/// a service share one queue. Tasks for which the spread rule excludes executors have a queue of
/// their own, so a full executor never blocks tasks that other executors could run.
struct TaskGroup {
  std::vector<PoolMember*> executors;
  UrgencyQueue<QueuedTask> queue;
};

/// The task queues of a coordinator. An item whose task was since dispatched, dropped or handed
/// over stays until it is popped; the caller recognizes it by its outdated epoch.
class TaskQueues {
 public:
  /// Regroups all queued tasks for a new member table. `claim_of` returns the claim of a task, or
  /// null to discard it.
  template <typename ClaimOf>
  void OnView(const ClusterView& view, ExecutorPool& pool, ClaimOf&& claim_of);

  TaskGroup& GroupOf(const ClusterView& view, ExecutorPool& pool, const Claim& claim);

  void Push(TaskGroup& group, const QueuedTask& task);

  const std::vector<std::unique_ptr<TaskGroup>>& groups() const { return m_groups; }

 private:
  std::vector<std::unique_ptr<TaskGroup>> m_groups;
  std::map<std::pair<std::string, std::vector<NodeId>>, TaskGroup*> m_by_executors;
  std::vector<std::map<std::pair<std::string, EntryPlace>, TaskGroup*>> m_by_shard;
  std::vector<UrgencyRule> m_rules;
};

template <typename ClaimOf>
void TaskQueues::OnView(const ClusterView& view, ExecutorPool& pool, ClaimOf&& claim_of) {
  const auto old_groups = std::exchange(m_groups, {});
  m_by_executors.clear();
  m_by_shard.assign(kShardCount, {});
  m_rules = view.bundle.urgency_rules;
  for (const auto& group : old_groups) {
    while (auto task = group->queue.Pop(Now{})) {
      const Claim* claim = claim_of(*task);
      if (claim == nullptr) continue;
      Push(GroupOf(view, pool, *claim), *task);
    }
  }
}

}  // namespace foxtailrudder
