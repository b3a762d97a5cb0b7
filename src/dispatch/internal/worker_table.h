#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/internal/task_report_inbox.h"
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
  /// The withdrawal is sent again if the end has not been reported by then.
  SteadyTime withdraw_again_at{};
};

/// An entry's view of one worker and its sidecar.
struct WorkerRecord {
  NodeRef sidecar;
  WorkerReport report;
  /// When the last report or load update was received.
  SteadyTime last_contact_at;
  std::map<OrderId, OpenOrder> orders;
  TaskReportInbox received_ends;
  /// Cached sum of the demand of orders that the reported load does not include yet.
  std::uint64_t unreported_millicores = 0;
  /// The worker belongs to this entry's share.
  bool is_preferred = false;
  /// The entry asks this worker for frequent reports and may place tasks there.
  bool is_wanted = false;
  /// The worker is used only if it was heard since then.
  SteadyTime wanted_since;
  /// A worker outside this entry's subset is wanted until then, because the subset was full.
  SteadyTime borrowed_until;
  /// Since when the worker has taken no work; not set while it does.
  std::optional<SteadyTime> not_accepting_since;
  /// Position of this entry among all entries in the worker's own order of them.
  std::uint32_t entry_rank = 0;
};

/// Run time of a task whose data is on another rack, relative to the same rack, unless the settings
/// tell it.
inline constexpr double kDefaultRemoteRackFactor = 1.5;

/// Requirements of a task on its worker.
struct TaskRequirements {
  std::string_view service;
  std::string_view required_label;
  std::string_view preferred_rack;
  Resources demand;
  std::chrono::milliseconds expected_run{0};
  /// Until when a caller waits for the job; a worker that is much slower than others by nature is
  /// chosen only if it is expected to finish the task by then.
  SteadyTime deadline = SteadyTime::max();
  /// Worker on which the last attempt ended without success; chosen only if no other is suitable. 0
  /// if none.
  NodeId avoid = 0;
  /// The task fails for good if this attempt fails, so only a worker with recent successes and next
  /// to no failures will do.
  bool needs_proven_worker = false;
};

/// An entry's view of all workers; chooses the worker for a task.
///
/// The entry uses a subset of the workers, so that its traffic is bounded. Each worker orders the
/// entries by a hash and belongs to the subsets of the first k, so all workers are in the same
/// number of subsets, and a change of entries or workers moves few of them. While the subset has no
/// free capacity for a task, the entry borrows workers outside it that reported free capacity.
class WorkerTable {
 public:
  /// Ties between workers are broken by a random sequence seeded with the entry's id and
  /// incarnation.
  explicit WorkerTable(NodeRef self, double remote_rack_factor = kDefaultRemoteRackFactor);

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
    m_refresh_needed = true;
  }
  bool IsEvacuated(std::string_view zone) const { return m_evacuated_zones.contains(zone); }

  void UpdateReport(WorkerRecord& worker, const WorkerReport& report, Now now);
  void UpdateLoad(WorkerRecord& worker, const WorkerLoad& load, Now now);
  void AddOrder(WorkerRecord& worker, OpenOrder order);
  void RemoveOrder(WorkerRecord& worker, OrderId order);

  /// Records the outcome of a run; a worker that fails more often than its peers is ejected.
  void OnOutcome(NodeId sidecar, bool failed, Now now);
  /// Updates the subset, the median slowness and this entry's share from the latest reports: after
  /// a change of the workers or entries, and after a number of reports that grows with the workers.
  void Refresh(Now now);

  /// Adds workers outside the subset that reported free capacity for the task, if any. Returns how
  /// many were added.
  std::uint32_t Borrow(const TaskRequirements& requirements, Now now);

  /// Returns the workers that have become wanted since the last call.
  std::vector<NodeRef> TakeNewlyWanted() { return std::exchange(m_newly_wanted, {}); }

  /// Returns the worker with enough free capacity that is expected to finish the task first,
  /// preferring this entry's share. Other entries use that share only when their own is full, so
  /// this entry's view of it is accurate. `tasks_per_worker` counts the step's tasks on each
  /// worker, for the limit `max_per_worker`.
  std::optional<NodeId> Choose(const TaskRequirements& requirements, std::uint32_t max_per_worker,
                               const std::map<NodeId, std::uint32_t>& tasks_per_worker, Now now);

  /// Returns a worker with enough free capacity among the few that are quarantined for tasks under
  /// which endpoints have crashed. All entries that use the same workers choose the same ones, and
  /// a crashed worker stays quarantined, so that the others are not at risk meanwhile.
  std::optional<NodeId> ChooseQuarantined(const TaskRequirements& requirements,
                                          std::uint32_t max_per_worker,
                                          const std::map<NodeId, std::uint32_t>& tasks_per_worker,
                                          Now now) const;

  /// Whether a usable worker, busy or not, has recent successes and next to no failures.
  bool HasProvenWorker(const TaskRequirements& requirements, Now now) const;

  /// Whether any usable worker, busy or not, could ever run the task.
  bool CanEverRun(const TaskRequirements& requirements, Now now) const;

  /// Total and committed millicores of the workers of a service that can be given work now. A
  /// millicore of a worker that is faster or slower by nature counts for the work that it does.
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
  /// Number of workers that take work, in the subset or not.
  std::uint32_t present_workers(Now now) const;

 private:
  void RankEntries(WorkerRecord& worker) const;
  void SetWanted(WorkerRecord& worker, bool wanted, Now now);
  /// Returns in how many subsets each worker is.
  std::size_t SubsetsPerWorker() const;
  bool AcceptsWork(const WorkerRecord& worker) const;
  /// Whether the worker exists and accepts work, as far as the last report tells.
  bool IsPresent(const WorkerRecord& worker, Now now) const;
  bool IsUsable(const WorkerRecord& worker, Now now) const;
  bool MeetsRequirements(const WorkerRecord& worker, const TaskRequirements& requirements) const;
  /// Whether any usable worker is neither ejected nor failing.
  bool HasSoundWorker(const TaskRequirements& requirements, Now now) const;
  /// The worker's lasting slowness relative to the mean worker; 1 for workers that are about alike.
  double BaselineFactor(const WorkerRecord& worker) const;
  /// The slowness by which a worker is slower at present than by nature, relative to the median
  /// worker; at least 1.
  double DisturbanceFactor(const WorkerRecord& worker) const;
  bool IsDisturbed(const WorkerRecord& worker) const;
  void UpdateNormalSlowness();

  const NodeId m_self;
  std::vector<NodeId> m_entries;
  std::map<NodeId, WorkerRecord> m_workers;
  std::set<std::string, std::less<>> m_evacuated_zones;
  EjectionTracker m_ejections;
  std::size_t m_tracked_workers = 0;
  const double m_remote_rack_factor;
  /// Lasting slowness of the mean worker, weighted with capacity, and the median of the workers'
  /// present slowness relative to their lasting one; in thousandths.
  double m_mean_baseline_permille = 1'000;
  double m_median_present_permille = 1'000;
  /// Workers, entries or evacuated zones have changed since the last refresh.
  bool m_refresh_needed = true;
  std::size_t m_reports_since_refresh = 0;
  SteadyTime m_next_borrow;
  std::vector<NodeRef> m_newly_wanted;
  Random m_random;
};

}  // namespace foxtailrudder
