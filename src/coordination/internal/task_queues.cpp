#include "coordination/internal/task_queues.h"

#include <algorithm>

namespace foxtailrudder {
namespace {

// The coordinator limits the queued tasks itself; this limit leaves room for outdated items.
constexpr std::size_t kQueueCapacity = 1'000'000;

}  // namespace

TaskGroup& TaskQueues::GroupOf(const ClusterView& view, ExecutorPool& pool, const Claim& claim) {
  if (m_by_shard.empty()) m_by_shard.resize(kShardCount);
  auto& of_shard = m_by_shard[claim.shard];
  const std::pair<std::string, EntryPlace> kind{claim.job.service, claim.place};
  const auto known = of_shard.find(kind);
  if (known != of_shard.end()) return *known->second;

  std::vector<PoolMember*> members;
  for (const NodeId id : Placement::ExecutorSubset(view.table, claim.shard, claim.job.service)) {
    if (PoolMember* member = pool.FindById(id)) members.push_back(member);
  }
  const std::size_t subset_size = members.size();
  members = pool.ApplySpreadRule(std::move(members), claim.place);
  std::vector<NodeId> executors;
  executors.reserve(members.size());
  for (const PoolMember* member : members) executors.push_back(member->ref.id);
  std::sort(executors.begin(), executors.end());
  auto& group = m_by_executors[{claim.job.service, executors}];
  if (group == nullptr) {
    auto added = std::make_unique<TaskGroup>(
        TaskGroup{std::move(members), UrgencyQueue<QueuedTask>::Create(kQueueCapacity)});
    group = added.get();
    group->queue.SetRules(m_rules);
    // Groups restricted by the spread rule are dispatched first: the other tasks can use the
    // remaining executors as well.
    const bool restricted = group->executors.size() < subset_size;
    m_groups.insert(restricted ? m_groups.begin() : m_groups.end(), std::move(added));
  }
  of_shard.emplace(kind, group);
  return *group;
}

void TaskQueues::Push(TaskGroup& group, const QueuedTask& task) {
  group.queue.Push(task, task.urgency, task.deadline, task.queued_at);
}

}  // namespace foxtailrudder
