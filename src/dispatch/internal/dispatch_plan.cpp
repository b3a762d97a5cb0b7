#include "dispatch/dispatch_plan.h"

namespace foxtailrudder {

const QueuePlan* DispatchPlan::Find(std::string_view host, std::string_view path) const {
  const QueuePlan* best = nullptr;
  for (const QueuePlan& queue : queues) {
    if (queue.host != host || !path.starts_with(queue.path_prefix)) continue;
    if (best == nullptr || queue.path_prefix.size() > best->path_prefix.size()) best = &queue;
  }
  return best;
}

}  // namespace foxtailrudder
