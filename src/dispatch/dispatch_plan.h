#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "model/ids.h"

namespace foxtailrudder {

/// Configuration of a queue to which callers submit jobs.
struct QueuePlan {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;
  /// Number of failed runs of one task after which the job fails.
  std::uint32_t max_attempts = 1;
  /// How long a caller waits that does not tell it; 0 if the operators do not limit it.
  std::chrono::milliseconds time_limit{0};
  /// A job's objective is stretch times the length of its critical path, plus target_latency. It is
  /// measured and reported; no decision depends on it.
  double stretch = 1.0;
  std::chrono::milliseconds target_latency{0};
  /// Urgency by the operators' rule; 0 is the most urgent.
  std::uint32_t priority = 0;
  /// An external service decides which workers may run a step. Such queues are not supported.
  bool needs_advice = false;

  /// The address to which callers submit jobs; it identifies the queue in all versions of the
  /// configuration.
  std::string address() const { return host + path_prefix; }
};

/// The operators' configuration of dispatch, as known to this process.
struct DispatchPlan {
  /// Version assigned by the operators; used only in logs.
  Version version = 0;
  std::vector<QueuePlan> queues;
  /// Zones whose workers receive no new tasks.
  std::set<std::string, std::less<>> evacuated_zones;

  /// Returns the queue of the host with the longest matching path prefix, or null.
  const QueuePlan* Find(std::string_view host, std::string_view path) const;
};

}  // namespace foxtailrudder
