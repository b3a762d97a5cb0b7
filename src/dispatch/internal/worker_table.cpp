#include "dispatch/internal/worker_table.h"

#include <algorithm>
#include <limits>

#include "dispatch/internal/endpoint_fit.h"
#include "dispatch/timing.h"

namespace foxtailrudder {
namespace {

/// A worker that is this many times slower than by nature gets no work until its present slowness
/// has decayed.
constexpr double kDisturbedFactor = 2.0;

/// Workers whose lasting slowness differs from the mean by less than this factor count as alike.
/// What is learnt from callers' estimates varies by some percent.
constexpr double kAlikeFactor = 1.2;

/// Limits of a worker's lasting slowness relative to the mean, so that a false report cannot
/// attract all work.
constexpr double kMinBaselineFactor = 0.25;
constexpr double kMaxBaselineFactor = 8.0;

/// Differences in expected completion below this are decided by load and a random term, so that the
/// entries do not all choose the same worker.
constexpr double kTieBreakMs = 12;

/// Penalty for workers outside the entry's own share: about what it costs to be sent back by a
/// worker whose capacity another entry has taken. Larger than the effect of load and the random
/// term.
constexpr double kOutsideSharePenaltyMs = 25;

/// Number of workers in an entry's subset. The more entries use a worker, the older each one's view
/// of it; an entry whose subset is full borrows others.
constexpr std::size_t kSubsetSize = 24;

/// Workers borrowed at a time, how long each stays borrowed after its last use, and the pause in
/// which their reports arrive before more are borrowed.
constexpr std::size_t kBorrowedAtOnce = 4;
constexpr std::chrono::milliseconds kBorrowTime{2'000};
constexpr std::chrono::milliseconds kBorrowPause{10};

/// A refresh visits all workers; it is done once for this many workers and report, so that its cost
/// for each report does not grow with the deployment.
constexpr std::size_t kRefreshCostPerReport = 16;

/// Workers quarantined at the same time: one of this many, and at least kMinQuarantined.
constexpr std::size_t kWorkersPerQuarantined = 8;
constexpr std::size_t kMinQuarantined = 2;

/// A worker that has taken no work for this long is replaced in the quarantine. A crashed endpoint
/// is back after some seconds.
constexpr std::chrono::seconds kQuarantineReplacement{5};

/// Maximum share of workers ejected at the same time, so that false suspicions do not exhaust
/// capacity.
constexpr std::uint32_t kMaxEjectedPercent = 34;

/// A worker is failing if at least this many of its recent runs, and this share of them, have
/// failed for whichever entry: it gets no work while others are sound. One failure of three runs
/// may be the fault of the task.
constexpr double kFailingTenths = 20;
constexpr double kFailingShare = 0.5;

/// A worker is proven with at least one recent success and at most this share of failures, which
/// tasks cause by their own fault at every worker.
constexpr std::uint32_t kProvenTenths = 10;
constexpr double kProvenFailureShare = 0.1;

/// What the loss of an attempt costs beside the run itself: the way to the entry and back, and a
/// second wait for a worker.
constexpr double kRepeatOverheadMs = 50;

double RecentFailureShare(const WorkerLoad& load) {
  const double ended = load.recent_done + load.recent_failed;
  // One success is assumed, so that a single failure after a pause does not count in full.
  return load.recent_failed / (ended + 10);
}

bool IsFailing(const WorkerLoad& load) {
  const double ended = load.recent_done + load.recent_failed;
  return load.recent_failed >= kFailingTenths && load.recent_failed >= kFailingShare * ended;
}

bool IsProven(const WorkerLoad& load) {
  return load.recent_done >= kProvenTenths &&
         load.recent_failed <= kProvenFailureShare * load.recent_done;
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

std::uint64_t ScaledBy(double factor, std::uint64_t millicores) {
  return static_cast<std::uint64_t>(factor * static_cast<double>(millicores));
}

/// Judged by the worker's last reported load and what this entry has placed since. Tasks wait at
/// the entry rather than at a worker, so that they go to whichever worker has free capacity first.
bool HasFreeCapacity(const WorkerRecord& worker, const Resources& demand) {
  const Resources& free = worker.report.load.free;
  return Committed(worker) + demand.cpu_millicores <= worker.report.capacity.cpu_millicores &&
         free.memory_mib >= demand.memory_mib && free.gpus >= demand.gpus;
}

/// Whether a worker has as many of a step's tasks as the step allows; 0 means no limit.
bool IsAtLimit(NodeId worker, std::uint32_t max_per_worker,
               const std::map<NodeId, std::uint32_t>& tasks_per_worker) {
  if (max_per_worker == 0) return false;
  const auto on_worker = tasks_per_worker.find(worker);
  return on_worker != tasks_per_worker.end() && on_worker->second >= max_per_worker;
}

}  // namespace

WorkerTable::WorkerTable(NodeRef self, double remote_rack_factor)
    : m_self(self.id),
      m_remote_rack_factor(remote_rack_factor),
      m_random(MixHash(self.id, self.incarnation)) {}

bool WorkerTable::SetEntries(std::vector<NodeId> entries) {
  std::ranges::sort(entries);
  if (entries == m_entries) return false;
  m_entries = std::move(entries);
  for (auto& [id, worker] : m_workers) RankEntries(worker);
  m_refresh_needed = true;
  return true;
}

void WorkerTable::RankEntries(WorkerRecord& worker) const {
  const NodeId id = worker.sidecar.id;
  const std::uint64_t own = MixHash(id, m_self);
  worker.entry_rank = static_cast<std::uint32_t>(std::ranges::count_if(
      m_entries, [&](NodeId entry) { return entry != m_self && MixHash(id, entry) > own; }));
}

WorkerRecord& WorkerTable::Open(NodeRef sidecar) {
  WorkerRecord& worker = m_workers[sidecar.id];
  worker.sidecar = sidecar;
  RankEntries(worker);
  m_refresh_needed = true;
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
  m_refresh_needed = true;
}

void WorkerTable::UpdateReport(WorkerRecord& worker, const WorkerReport& report, Now now) {
  m_refresh_needed |= worker.report.accepting != report.accepting;
  ++m_reports_since_refresh;
  if (report.accepting) {
    worker.not_accepting_since.reset();
  } else if (!worker.not_accepting_since) {
    worker.not_accepting_since = now.steady;
  }
  worker.report = report;
  UpdateLoad(worker, report.load, now);
}

void WorkerTable::UpdateLoad(WorkerRecord& worker, const WorkerLoad& load, Now now) {
  worker.report.load = load;
  worker.last_contact_at = now.steady;
  worker.unreported_millicores = 0;
  for (auto order = worker.orders.upper_bound(load.orders_seen); order != worker.orders.end();
       ++order) {
    worker.unreported_millicores += order->second.demand.cpu_millicores;
  }
}

void WorkerTable::AddOrder(WorkerRecord& worker, OpenOrder order) {
  worker.unreported_millicores += order.demand.cpu_millicores;
  if (worker.borrowed_until != SteadyTime()) worker.borrowed_until = order.sent_at + kBorrowTime;
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

std::size_t WorkerTable::SubsetsPerWorker() const {
  const std::size_t workers = std::max<std::size_t>(1, m_workers.size());
  return (kSubsetSize * m_entries.size() + workers - 1) / workers;
}

void WorkerTable::SetWanted(WorkerRecord& worker, bool wanted, Now now) {
  if (worker.is_wanted == wanted) return;
  worker.is_wanted = wanted;
  if (!wanted) return;
  worker.wanted_since = now.steady;
  m_newly_wanted.push_back(worker.sidecar);
}

std::uint32_t WorkerTable::Borrow(const TaskRequirements& requirements, Now now) {
  if (now.steady < m_next_borrow) return 0;
  m_next_borrow = now.steady + kBorrowPause;
  std::vector<WorkerRecord*> candidates;
  for (auto& [id, worker] : m_workers) {
    if (worker.is_wanted || !IsPresent(worker, now)) continue;
    if (!MeetsRequirements(worker, requirements) || !HasFreeCapacity(worker, requirements.demand))
      continue;
    candidates.push_back(&worker);
  }
  std::uint32_t borrowed = 0;
  while (borrowed < kBorrowedAtOnce && !candidates.empty()) {
    const auto picked = m_random.Below(static_cast<std::uint32_t>(candidates.size()));
    WorkerRecord& worker = *candidates[picked];
    candidates.erase(candidates.begin() + picked);
    worker.borrowed_until = now.steady + kBorrowTime;
    SetWanted(worker, true, now);
    ++borrowed;
  }
  return borrowed;
}

void WorkerTable::Refresh(Now now) {
  if (!m_refresh_needed && m_reports_since_refresh * kRefreshCostPerReport < m_workers.size())
    return;
  m_refresh_needed = false;
  m_reports_since_refresh = 0;
  if (m_tracked_workers != m_workers.size()) {
    std::vector<NodeId> members;
    for (const auto& [id, worker] : m_workers) members.push_back(id);
    m_ejections.SetMembers(members, kMaxEjectedPercent);
    m_tracked_workers = m_workers.size();
  }
  if (m_workers.empty()) return;
  UpdateNormalSlowness();
  // Each of n entries prefers every n-th worker. Entries that know the same entries and workers
  // agree on this without communication; while their views differ, a worker may be preferred by two
  // entries or by none.
  const auto own = std::ranges::lower_bound(m_entries, m_self) - m_entries.begin();
  std::ptrdiff_t shared = 0;
  const std::size_t subsets = SubsetsPerWorker();
  for (auto& [id, worker] : m_workers) {
    worker.is_preferred =
        AcceptsWork(worker) && !m_entries.empty() && shared++ % std::ssize(m_entries) == own;
    if (now.steady >= worker.borrowed_until) worker.borrowed_until = {};
    const bool is_borrowed = worker.borrowed_until != SteadyTime();
    SetWanted(
        worker,
        worker.entry_rank < subsets || m_entries.empty() || worker.is_preferred || is_borrowed,
        now);
  }
}

bool WorkerTable::AcceptsWork(const WorkerRecord& worker) const {
  return worker.report.accepting && !IsEvacuated(worker.report.zone);
}

bool WorkerTable::IsPresent(const WorkerRecord& worker, Now now) const {
  return AcceptsWork(worker) && now.steady - worker.last_contact_at <= kPresenceTimeout;
}

bool WorkerTable::IsUsable(const WorkerRecord& worker, Now now) const {
  return worker.is_wanted && worker.last_contact_at >= worker.wanted_since && AcceptsWork(worker) &&
         now.steady - worker.last_contact_at <= kWorkerReportTimeout;
}

bool WorkerTable::MeetsRequirements(const WorkerRecord& worker,
                                    const TaskRequirements& requirements) const {
  if (worker.report.service != requirements.service) return false;
  if (!requirements.required_label.empty() &&
      !Contains(worker.report.labels, requirements.required_label)) {
    return false;
  }
  return Fits(requirements.demand, worker.report.capacity);
}

std::optional<NodeId> WorkerTable::Choose(const TaskRequirements& requirements,
                                          std::uint32_t max_per_worker,
                                          const std::map<NodeId, std::uint32_t>& tasks_per_worker,
                                          Now now) {
  std::optional<NodeId> best;
  std::optional<NodeId> avoided;
  double best_score = std::numeric_limits<double>::max();
  std::optional<bool> has_sound_worker;
  for (const auto& [id, worker] : m_workers) {
    if (!IsUsable(worker, now) || !MeetsRequirements(worker, requirements) ||
        !HasFreeCapacity(worker, requirements.demand))
      continue;
    if (requirements.needs_proven_worker && !IsProven(worker.report.load)) continue;
    if (IsFailing(worker.report.load)) {
      if (!has_sound_worker) has_sound_worker = HasSoundWorker(requirements, now);
      if (*has_sound_worker) continue;
    }
    if (IsAtLimit(id, max_per_worker, tasks_per_worker)) continue;
    if (IsDisturbed(worker)) continue;
    const double weight = m_ejections.Weight(id, now);
    // A worker that returns from ejection gets one task as a probe, then a growing share of its
    // capacity.
    if (m_ejections.IsEjected(id, now)) continue;
    if (weight < 1.0) {
      const double allowed = std::max(weight * worker.report.capacity.cpu_millicores,
                                      static_cast<double>(requirements.demand.cpu_millicores));
      if (static_cast<double>(Committed(worker)) + requirements.demand.cpu_millicores > allowed)
        continue;
    }
    if (id == requirements.avoid) {
      avoided = id;
      continue;
    }
    const double baseline = BaselineFactor(worker);
    double run = static_cast<double>(requirements.expected_run.count()) * baseline *
                 DisturbanceFactor(worker);
    const bool is_in_time =
        now.steady + std::chrono::milliseconds(static_cast<std::int64_t>(run)) <=
        requirements.deadline;
    if (baseline > kDisturbedFactor && !is_in_time) continue;
    if (!requirements.preferred_rack.empty() &&
        !Contains(worker.report.labels, requirements.preferred_rack)) {
      run *= m_remote_rack_factor;
    }
    const double failure_share = RecentFailureShare(worker.report.load);
    run += failure_share / (1 - failure_share) * (run + kRepeatOverheadMs);
    const double load = static_cast<double>(Committed(worker)) /
                        std::max<double>(1, worker.report.capacity.cpu_millicores);
    const double score = run + (worker.is_preferred ? 0 : kOutsideSharePenaltyMs) +
                         kTieBreakMs * (load + 0.3 * m_random.Unit());
    if (score < best_score) {
      best_score = score;
      best = id;
    }
  }
  return best ? best : avoided;
}

std::optional<NodeId> WorkerTable::ChooseQuarantined(
    const TaskRequirements& requirements, std::uint32_t max_per_worker,
    const std::map<NodeId, std::uint32_t>& tasks_per_worker, Now now) const {
  std::vector<std::pair<std::uint64_t, NodeId>> ranked;
  for (const auto& [id, worker] : m_workers) {
    if (!worker.is_wanted || IsEvacuated(worker.report.zone) ||
        !MeetsRequirements(worker, requirements))
      continue;
    if (now.steady - worker.last_contact_at > kPresenceTimeout) continue;
    if (worker.not_accepting_since &&
        now.steady - *worker.not_accepting_since > kQuarantineReplacement)
      continue;
    ranked.emplace_back(MixHash(id, id), id);
  }
  std::ranges::sort(ranked);
  const std::size_t count = std::max(kMinQuarantined, ranked.size() / kWorkersPerQuarantined);
  for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i) {
    const NodeId id = ranked[i].second;
    const WorkerRecord& worker = m_workers.at(id);
    if (IsAtLimit(id, max_per_worker, tasks_per_worker)) continue;
    if (IsUsable(worker, now) && HasFreeCapacity(worker, requirements.demand)) return id;
  }
  return std::nullopt;
}

void WorkerTable::UpdateNormalSlowness() {
  double cores = 0;
  double work_rate = 0;
  for (const auto& [id, worker] : m_workers) {
    const double baseline = std::max<double>(worker.report.baseline_slowness_permille, 1);
    cores += worker.report.capacity.cpu_millicores;
    work_rate += worker.report.capacity.cpu_millicores /
                 std::clamp(baseline, 1'000 * kMinBaselineFactor, 1'000 * kMaxBaselineFactor);
  }
  m_mean_baseline_permille = work_rate > 0 ? cores / work_rate : 1'000;
  std::vector<double> present;
  present.reserve(m_workers.size());
  for (const auto& [id, worker] : m_workers) {
    present.push_back(worker.report.slowness_permille / BaselineFactor(worker));
  }
  const auto middle = present.begin() + static_cast<std::ptrdiff_t>(present.size() / 2);
  std::ranges::nth_element(present, middle);
  m_median_present_permille = std::max(*middle, 1.0);
}

double WorkerTable::BaselineFactor(const WorkerRecord& worker) const {
  const double factor =
      std::clamp(worker.report.baseline_slowness_permille / m_mean_baseline_permille,
                 kMinBaselineFactor, kMaxBaselineFactor);
  return factor > 1 / kAlikeFactor && factor < kAlikeFactor ? 1.0 : factor;
}

double WorkerTable::DisturbanceFactor(const WorkerRecord& worker) const {
  const double present = worker.report.slowness_permille / BaselineFactor(worker);
  return std::max(present / m_median_present_permille, 1.0);
}

bool WorkerTable::IsDisturbed(const WorkerRecord& worker) const {
  return DisturbanceFactor(worker) > kDisturbedFactor;
}

bool WorkerTable::HasSoundWorker(const TaskRequirements& requirements, Now now) const {
  return std::ranges::any_of(m_workers, [&](const auto& entry) {
    const auto& [id, worker] = entry;
    return IsUsable(worker, now) && MeetsRequirements(worker, requirements) &&
           !m_ejections.IsEjected(id, now) && !IsFailing(worker.report.load);
  });
}

bool WorkerTable::HasProvenWorker(const TaskRequirements& requirements, Now now) const {
  return std::ranges::any_of(m_workers, [&](const auto& entry) {
    const auto& [id, worker] = entry;
    return IsUsable(worker, now) && MeetsRequirements(worker, requirements) &&
           !m_ejections.IsEjected(id, now) && IsProven(worker.report.load);
  });
}

bool WorkerTable::CanEverRun(const TaskRequirements& requirements, Now now) const {
  return std::ranges::any_of(m_workers, [&](const auto& entry) {
    return IsPresent(entry.second, now) && MeetsRequirements(entry.second, requirements);
  });
}

WorkerTable::ServiceCapacity WorkerTable::CapacityOf(std::string_view service, Now now) const {
  ServiceCapacity capacity;
  for (const auto& [id, worker] : m_workers) {
    const bool counts = worker.is_wanted ? IsUsable(worker, now) : IsPresent(worker, now);
    if (worker.report.service != service || !counts) continue;
    if (m_ejections.IsEjected(id, now)) continue;
    if (IsDisturbed(worker)) continue;
    ++capacity.workers;
    const double work_rate = 1 / BaselineFactor(worker);
    std::uint64_t own = 0;
    for (const auto& [order, open] : worker.orders) own += open.demand.cpu_millicores;
    capacity.total += ScaledBy(work_rate, worker.report.capacity.cpu_millicores);
    capacity.committed += ScaledBy(work_rate, Committed(worker));
    capacity.own += ScaledBy(work_rate, own);
  }
  return capacity;
}

std::uint32_t WorkerTable::usable_workers(Now now) const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      m_workers, [&](const auto& entry) { return IsUsable(entry.second, now); }));
}

std::uint32_t WorkerTable::present_workers(Now now) const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      m_workers, [&](const auto& entry) { return IsPresent(entry.second, now); }));
}

}  // namespace foxtailrudder
