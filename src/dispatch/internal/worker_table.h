#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/job.h"
#include "model/messages.h"
#include "policy/policy.h"

namespace foxtailrudder {

/// An order (the placement of one task on a worker) whose end the worker has not reported.
struct OpenOrder {
  OrderId order = 0;
  Resources demand;
  SteadyTime sent_at;
  bool withdrawn = false;
};

/// An entry's view of one worker and its sidecar.
struct WorkerRecord {
  NodeRef sidecar;
  WorkerReport report;
  /// When the last report or load update was received.
  SteadyTime last_contact_at;
  std::map<OrderId, OpenOrder> orders;
  /// Highest TaskReport::sequence processed.
  std::uint64_t reports_seen = 0;
  /// Cached sum of the demand of orders that the reported load does not include yet.
  std::uint64_t unreported_millicores = 0;
};

/// Requirements of a task on its worker.
struct TaskRequirements {
  std::string_view service;
  std::string_view required_label;
  std::string_view preferred_rack;
  Resources demand;
  std::chrono::milliseconds expected_run{0};
  /// Worker on which the last attempt ended without success; chosen only if no other is suitable. 0
  /// if none.
  NodeId avoid = 0;
};

/// An entry's view of all workers; chooses the worker for a task.
class WorkerTable {
 public:
  /// Ties between workers are broken by a random sequence seeded with the entry's id and
  /// incarnation.
  explicit WorkerTable(NodeRef self);

  WorkerRecord& Open(NodeRef sidecar);
  WorkerRecord* Find(NodeId sidecar);
  const WorkerRecord* Find(NodeId sidecar) const;
  void Remove(NodeId sidecar);
  std::map<NodeId, WorkerRecord>& workers() { return m_workers; }
  const std::map<NodeId, WorkerRecord>& workers() const { return m_workers; }

  /// Sets the entries that share the workers, in any order. Returns whether they changed.
  bool SetEntries(std::vector<NodeId> entries);

  void SetEvacuated(std::set<std::string, std::less<>> zones) {
    m_evacuated_zones = std::move(zones);
  }
  bool IsEvacuated(std::string_view zone) const { return m_evacuated_zones.contains(zone); }

  void UpdateLoad(WorkerRecord& worker, const WorkerLoad& load, Now now);
  void AddOrder(WorkerRecord& worker, OpenOrder order);
  void RemoveOrder(WorkerRecord& worker, OrderId order);

  /// Records the outcome of a run; a worker that fails more often than its peers is ejected.
  void OnOutcome(NodeId sidecar, bool failed, Now now);
  /// Updates the tracked workers, their relative slowness and this entry's share from the latest
  /// reports.
  void Refresh();

  /// Returns the worker with enough free capacity that is expected to finish the task first,
  /// preferring this entry's share. Other entries use that share only when their own is full, so
  /// this entry's view of it is accurate. `tasks_per_worker` counts the step's tasks on each
  /// worker, for the limit `max_per_worker`.
  std::optional<NodeId> Choose(const TaskRequirements& requirements, std::uint32_t max_per_worker,
                               const std::map<NodeId, std::uint32_t>& tasks_per_worker, Now now);

  /// Whether any usable worker, busy or not, could ever run the task.
  bool CanEverRun(const TaskRequirements& requirements, Now now) const;

  /// Total and committed millicores of the workers of a service that can be given work now.
  struct ServiceCapacity {
    std::uint64_t total = 0;
    std::uint64_t committed = 0;
    /// Millicores committed by this entry's orders.
    std::uint64_t own = 0;
    std::uint32_t workers = 0;
  };
  ServiceCapacity CapacityOf(std::string_view service, Now now) const;

  /// Number of workers that can be given work.
  std::uint32_t usable_workers(Now now) const;

 private:
  struct PlacementState {
    /// Slowness relative to the median worker, at least 1.
    double relative_slowness = 1.0;
    bool is_slow = false;
    /// The worker belongs to this entry's share.
    bool is_preferred = false;
  };

  bool AcceptsWork(const WorkerRecord& worker) const;
  bool IsUsable(const WorkerRecord& worker, Now now) const;
  bool MeetsRequirements(const WorkerRecord& worker, const TaskRequirements& requirements) const;
  PlacementState PlacementStateOf(NodeId sidecar) const;

  const NodeId m_self;
  std::vector<NodeId> m_entries;
  std::map<NodeId, WorkerRecord> m_workers;
  std::map<NodeId, PlacementState> m_placement_states;
  std::set<std::string, std::less<>> m_evacuated_zones;
  EjectionTracker m_ejections;
  std::size_t m_tracked_workers = 0;
  Random m_random;
};

}  // namespace foxtailrudder
