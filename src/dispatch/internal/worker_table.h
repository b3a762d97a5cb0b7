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

/// A placement that a worker has not reported as ended.
struct OpenOrder {
  OrderId order = 0;
  Resources demand;
  SteadyTime sent_at;
  bool withdrawn = false;
};

/// What an entry believes of one worker and its sidecar.
struct WorkerRecord {
  NodeRef sidecar;
  WorkerReport report;
  /// When the report, or a later load figure, was received.
  SteadyTime heard_at;
  std::map<OrderId, OpenOrder> orders;
  /// Highest TaskReport::sequence taken.
  std::uint64_t reports_seen = 0;
  /// Millicores of the orders that are not in the reported load yet; a cached sum.
  std::uint64_t unreported_millicores = 0;
};

/// What a task asks of the worker that is to run it.
struct TaskNeed {
  std::string_view service;
  std::string_view required_label;
  std::string_view preferred_rack;
  Resources demand;
  std::chrono::milliseconds expected_run{0};
  /// Worker that failed or lost the task last; used only if no other will do. 0: none.
  NodeId avoid = 0;
};

/// An entry's view of all workers, and the choice of one for a task.
class WorkerTable {
 public:
  /// An entry's table; ties between workers are broken by a sequence that its name seeds.
  explicit WorkerTable(NodeRef self);

  WorkerRecord& Open(NodeRef sidecar);
  WorkerRecord* Find(NodeId sidecar);
  const WorkerRecord* Find(NodeId sidecar) const;
  void Remove(NodeId sidecar);
  std::map<NodeId, WorkerRecord>& workers() { return m_workers; }
  const std::map<NodeId, WorkerRecord>& workers() const { return m_workers; }

  /// The entries that share the workers, in any order; false if they are the same as before.
  bool SetEntries(std::vector<NodeId> entries);

  void SetEvacuated(std::set<std::string, std::less<>> zones) { m_evacuated = std::move(zones); }
  bool IsEvacuated(std::string_view zone) const { return m_evacuated.contains(zone); }

  void TakeLoad(WorkerRecord& worker, const WorkerLoad& load, Now now);
  void AddOrder(WorkerRecord& worker, OpenOrder order);
  void RemoveOrder(WorkerRecord& worker, OrderId order);

  /// A run ended; failed ones eject a worker against its peers.
  void OnOutcome(NodeId sidecar, bool failed, Now now);
  /// Ejections, relative speeds and this entry's share of the workers change with the reports.
  void Refresh();

  /// The worker that would finish the task first, among those with room for it, and rather one of
  /// this entry's share: the other entries leave its room alone while they have their own, so that
  /// what this entry believes of it is true. `taken` counts the tasks of the same step on each
  /// worker, for TaskNeed's limit.
  std::optional<NodeId> Choose(const TaskNeed& need, std::uint32_t max_per_worker,
                               const std::map<NodeId, std::uint32_t>& taken, Now now);

  /// Whether any known worker, busy or not, could ever run the task.
  bool MayEverRun(const TaskNeed& need, Now now) const;

  /// Millicores of the workers of a service that take work now, and how many are committed.
  struct Room {
    std::uint64_t capacity = 0;
    std::uint64_t committed = 0;
    /// Of the committed ones, those of this entry's orders.
    std::uint64_t own = 0;
    std::uint32_t workers = 0;
  };
  Room RoomOf(std::string_view service, Now now) const;

  /// Workers that may be given work.
  std::uint32_t usable_workers(Now now) const;

 private:
  struct Standing {
    /// Slowness against the median of the workers.
    double relative = 1.0;
    bool slow = false;
    /// In this entry's share.
    bool preferred = false;
  };

  bool TakesWork(const WorkerRecord& worker) const;
  bool IsUsable(const WorkerRecord& worker, Now now) const;
  bool Suits(const WorkerRecord& worker, const TaskNeed& need) const;
  Standing StandingOf(NodeId sidecar) const;

  const NodeId m_self;
  std::vector<NodeId> m_entries;
  std::map<NodeId, WorkerRecord> m_workers;
  std::map<NodeId, Standing> m_standings;
  std::set<std::string, std::less<>> m_evacuated;
  EjectionTracker m_ejections;
  std::size_t m_tracked = 0;
  Random m_random;
};

}  // namespace foxtailrudder
