#include "dispatch/internal/worker_table.h"

#include <algorithm>
#include <limits>

#include "dispatch/timing.h"

namespace foxtailrudder {
namespace {

/// A worker this much slower than the median gets no work until its learnt speed has decayed.
constexpr double kSlowWorker = 2.0;

/// Differences of the expected end below this are decided by load and chance, so that the entries
/// do not all choose the same worker.
constexpr double kTieMs = 12;

/// How much later than elsewhere a task may end on a worker of the entry's own share: more than
/// load and chance decide, less than a far rack costs the shortest tasks (30 ms). In the load tests
/// 20 to 50 ms served alike.
constexpr double kShareMs = 25;

/// Run time of a task whose data is on another rack, against a near one. The platform gives 1.5
/// to 2.
constexpr double kFarRack = 1.5;

/// Share of workers that may be ejected at once; room must not run out over suspicion.
constexpr std::uint32_t kMaxEjectedPercent = 34;

bool Fits(const Resources& demand, const Resources& capacity) {
  return demand.cpu_millicores <= capacity.cpu_millicores &&
         demand.memory_mib <= capacity.memory_mib && demand.gpus <= capacity.gpus;
}

bool Contains(const std::vector<std::string>& labels, std::string_view label) {
  return std::ranges::any_of(labels, [label](const std::string& held) { return held == label; });
}

std::uint64_t Committed(const WorkerRecord& worker) {
  const std::uint64_t capacity = worker.report.capacity.cpu_millicores;
  const std::uint64_t free = worker.report.load.free.cpu_millicores;
  return (capacity - std::min(free, capacity)) + worker.report.load.queued_millicores +
         worker.unreported_millicores;
}

/// By what the worker has told and what this entry has placed since. Work that has to wait does so
/// at the entry, from where it goes to whichever worker has room first.
bool HasRoom(const WorkerRecord& worker, const Resources& demand) {
  const Resources& free = worker.report.load.free;
  return Committed(worker) + demand.cpu_millicores <= worker.report.capacity.cpu_millicores &&
         free.memory_mib >= demand.memory_mib && free.gpus >= demand.gpus;
}

}  // namespace

WorkerTable::WorkerTable(NodeRef self)
    : m_self(self.id), m_random(MixHash(self.id, self.incarnation)) {}

bool WorkerTable::SetEntries(std::vector<NodeId> entries) {
  std::ranges::sort(entries);
  if (entries == m_entries) return false;
  m_entries = std::move(entries);
  Refresh();
  return true;
}

WorkerRecord& WorkerTable::Open(NodeRef sidecar) {
  WorkerRecord& worker = m_workers[sidecar.id];
  worker.sidecar = sidecar;
  return worker;
}

WorkerRecord* WorkerTable::Find(NodeId sidecar) {
  const auto found = m_workers.find(sidecar);
  return found == m_workers.end() ? nullptr : &found->second;
}

const WorkerRecord* WorkerTable::Find(NodeId sidecar) const {
  const auto found = m_workers.find(sidecar);
  return found == m_workers.end() ? nullptr : &found->second;
}

void WorkerTable::Remove(NodeId sidecar) {
  m_workers.erase(sidecar);
  m_standings.erase(sidecar);
}

void WorkerTable::TakeLoad(WorkerRecord& worker, const WorkerLoad& load, Now now) {
  worker.report.load = load;
  worker.heard_at = now.steady;
  worker.unreported_millicores = 0;
  for (auto order = worker.orders.upper_bound(load.orders_seen); order != worker.orders.end();
       ++order) {
    worker.unreported_millicores += order->second.demand.cpu_millicores;
  }
}

void WorkerTable::AddOrder(WorkerRecord& worker, OpenOrder order) {
  worker.unreported_millicores += order.demand.cpu_millicores;
  worker.orders.emplace(order.order, order);
}

void WorkerTable::RemoveOrder(WorkerRecord& worker, OrderId order) {
  const auto found = worker.orders.find(order);
  if (found == worker.orders.end()) return;
  if (order > worker.report.load.orders_seen) {
    worker.unreported_millicores -=
        std::min<std::uint64_t>(worker.unreported_millicores, found->second.demand.cpu_millicores);
  }
  worker.orders.erase(found);
}

void WorkerTable::OnOutcome(NodeId sidecar, bool failed, Now now) {
  m_ejections.OnOutcome(sidecar, failed, now);
}

void WorkerTable::Refresh() {
  if (m_tracked != m_workers.size()) {
    std::vector<NodeId> members;
    for (const auto& [id, worker] : m_workers) members.push_back(id);
    m_ejections.SetMembers(members, kMaxEjectedPercent);
    m_tracked = m_workers.size();
  }
  std::vector<double> slowness;
  for (const auto& [id, worker] : m_workers) slowness.push_back(worker.report.slowness_permille);
  if (slowness.empty()) return;
  const auto middle = slowness.begin() + static_cast<std::ptrdiff_t>(slowness.size() / 2);
  std::ranges::nth_element(slowness, middle);
  const double median = std::max(*middle, 1.0);
  // Entries that know the same entries and workers take every n-th worker each, and so share them
  // without a word; while they differ for a moment, a worker has two that prefer it, or none.
  const auto own = std::ranges::lower_bound(m_entries, m_self) - m_entries.begin();
  std::ptrdiff_t shared = 0;
  for (const auto& [id, worker] : m_workers) {
    const double relative = worker.report.slowness_permille / median;
    const bool preferred =
        TakesWork(worker) && !m_entries.empty() && shared++ % std::ssize(m_entries) == own;
    m_standings[id] = {std::max(relative, 1.0), relative > kSlowWorker, preferred};
  }
}

bool WorkerTable::TakesWork(const WorkerRecord& worker) const {
  return worker.report.accepting && !IsEvacuated(worker.report.zone);
}

bool WorkerTable::IsUsable(const WorkerRecord& worker, Now now) const {
  return TakesWork(worker) && now.steady - worker.heard_at <= kWorkerSilence;
}

bool WorkerTable::Suits(const WorkerRecord& worker, const TaskNeed& need) const {
  if (worker.report.service != need.service) return false;
  if (!need.required_label.empty() && !Contains(worker.report.labels, need.required_label)) {
    return false;
  }
  return Fits(need.demand, worker.report.capacity);
}

std::optional<NodeId> WorkerTable::Choose(const TaskNeed& need, std::uint32_t max_per_worker,
                                          const std::map<NodeId, std::uint32_t>& taken, Now now) {
  std::optional<NodeId> best;
  std::optional<NodeId> avoided;
  double best_score = std::numeric_limits<double>::max();
  for (const auto& [id, worker] : m_workers) {
    if (!IsUsable(worker, now) || !Suits(worker, need) || !HasRoom(worker, need.demand)) continue;
    if (max_per_worker > 0) {
      const auto on_worker = taken.find(id);
      if (on_worker != taken.end() && on_worker->second >= max_per_worker) continue;
    }
    const Standing standing = StandingOf(id);
    if (standing.slow) continue;
    const double weight = m_ejections.Weight(id, now);
    // A worker that returns from an ejection gets one task as a probe, then a rising share.
    if (m_ejections.IsEjected(id, now)) continue;
    if (weight < 1.0) {
      const double allowed = std::max(weight * worker.report.capacity.cpu_millicores,
                                      static_cast<double>(need.demand.cpu_millicores));
      if (static_cast<double>(Committed(worker)) + need.demand.cpu_millicores > allowed) continue;
    }
    if (id == need.avoid) {
      avoided = id;
      continue;
    }
    double run = static_cast<double>(need.expected_run.count()) * standing.relative;
    if (!need.preferred_rack.empty() && !Contains(worker.report.labels, need.preferred_rack)) {
      run *= kFarRack;
    }
    const double load = static_cast<double>(Committed(worker)) /
                        std::max<double>(1, worker.report.capacity.cpu_millicores);
    const double score =
        run + (standing.preferred ? 0 : kShareMs) + kTieMs * (load + 0.3 * m_random.Unit());
    if (score < best_score) {
      best_score = score;
      best = id;
    }
  }
  return best ? best : avoided;
}

WorkerTable::Standing WorkerTable::StandingOf(NodeId sidecar) const {
  const auto found = m_standings.find(sidecar);
  return found == m_standings.end() ? Standing{} : found->second;
}

bool WorkerTable::MayEverRun(const TaskNeed& need, Now now) const {
  return std::ranges::any_of(m_workers, [&](const auto& entry) {
    return IsUsable(entry.second, now) && Suits(entry.second, need);
  });
}

WorkerTable::Room WorkerTable::RoomOf(std::string_view service, Now now) const {
  Room room;
  for (const auto& [id, worker] : m_workers) {
    if (worker.report.service != service || !IsUsable(worker, now)) continue;
    if (m_ejections.IsEjected(id, now)) continue;
    if (StandingOf(id).slow) continue;
    ++room.workers;
    room.capacity += worker.report.capacity.cpu_millicores;
    room.committed += Committed(worker);
    for (const auto& [order, open] : worker.orders) room.own += open.demand.cpu_millicores;
  }
  return room;
}

std::uint32_t WorkerTable::usable_workers(Now now) const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      m_workers, [&](const auto& entry) { return IsUsable(entry.second, now); }));
}

}  // namespace foxtailrudder
