#include "dispatch/worker_executor.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "dispatch/internal/endpoint_fit.h"
#include "dispatch/internal/endpoint_identity.h"
#include "dispatch/internal/milliseconds.h"
#include "dispatch/internal/recent_outcomes.h"
#include "dispatch/internal/run_progress.h"
#include "dispatch/internal/status_claims.h"
#include "dispatch/internal/task_report_outbox.h"
#include "dispatch/internal/worker_speed.h"
#include "dispatch/timing.h"

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

/// How long a hold waits at the endpoint for a run to end. Several holds fit into one lease.
constexpr milliseconds kHoldTimeout{200};

/// Number of holds that wait at the endpoint at the same time. If one gets no answer, the second
/// still delivers an end at once.
constexpr std::size_t kConcurrentHolds = 2;

/// The end of a run answers all waiting holds. The answer to a hold that is still open this long
/// after another was answered with an end is taken as lost, and the hold is replaced.
constexpr milliseconds kLostHoldTimeout{30};

/// A start that has not been answered for this long is looked up in the endpoint's list of runs.
/// Answers from the same machine take a few milliseconds.
constexpr milliseconds kStartAnswerTimeout{30};

/// An endpoint whose calls fail and that has answered none for this long gets no new work.
constexpr milliseconds kEndpointTimeout{400};

/// Pause before the next call after one that got no answer, or that did not wait for an end.
constexpr milliseconds kRetryPause{20};

/// A worker whose lasting slowness exceeds this is slow by nature: less may come from the callers'
/// estimates, which on average are somewhat too low.
constexpr double kSlowByNature = 1.25;

/// After the endpoint has refused a start for lack of capacity, nothing is started for this long or
/// until the next end of a run.
constexpr milliseconds kNoCapacityPause{30};

/// Time within which an endpoint carries out a stop that it has answered. The platform guarantees
/// 50 ms.
constexpr milliseconds kStopCompletionTime{70};

/// Upper limit of the backoff between calls to an endpoint that does not answer.
constexpr milliseconds kMaxRetryPause{400};

/// Minimum interval between load updates to an entry, per entry with a permit; it bounds a
/// sidecar's message rate as the number of entries grows. Entries whose load data is older than
/// this place work on the same workers, those that look least loaded.
constexpr milliseconds kMinLoadIntervalPerEntry{5};

/// Maximum number of remembered orders that were withdrawn before they arrived; beyond it the first
/// in the order of entry and order id is dropped.
constexpr std::size_t kMaxEarlyWithdrawals = 4'096;

/// Crashes that are told to an entry that connects later; a task is forgotten there after a minute.
constexpr std::size_t kMaxKeptCrashes = 32;

/// No runs are started for this long after an unhealthy endpoint has refused a start.
constexpr milliseconds kUnhealthyEndpointPause{100};

/// Endpoints repeat their status every 1 to 2 s. A status report whose successor is overdue by this
/// time says nothing about the order of those that follow.
constexpr milliseconds kStatusValidity{3'000};

/// How far a status report may be ahead of the endpoint's clock as known from its answers, which
/// were under way for some time.
constexpr milliseconds kMaxClockLead{250};

enum class RunPhase : std::uint8_t {
  /// The start has been sent.
  kStarting,
  kRunning,
  /// A stop has been sent; the run is reported with `stop_end`.
  kStopping,
};

struct QueuedTask {
  NodeRef entry;
  OrderId order = 0;
  RunId run;
  /// JobName::queue of the job; the endpoint does not know it.
  std::string queue;
  std::string payload;
  EndpointNeeds needs;
  milliseconds expected_run{0};
  bool is_estimated = false;
  milliseconds usual_run{0};
  std::uint32_t earlier_stalls = 0;
  std::uint32_t priority = 0;
  SteadyTime latest_start;
  SteadyTime received_at;
  SteadyTime expires_at;
  /// Nothing else runs on the endpoint while this task does.
  bool alone = false;
};

struct ActiveRun {
  ActiveRun(QueuedTask queued, SteadyTime started)
      : task(std::move(queued)), started_at(started), progress(started) {}

  QueuedTask task;
  RunPhase phase = RunPhase::kStarting;
  SteadyTime started_at;
  RunProgress progress;
  /// The endpoint rejects the start after this time if it has not carried it out before.
  SteadyTime start_expires_at;
  /// End to report for a run that is being stopped.
  TaskEnd stop_end = TaskEnd::kStopped;
  SteadyTime stop_again_at;
  /// When the endpoint acknowledged the stop.
  std::optional<SteadyTime> stop_acknowledged_at;
  /// The endpoint has confirmed that the run was started.
  bool confirmed = false;
  /// The run was started on an endpoint that has been replaced; answers of the present endpoint do
  /// not cover it.
  bool is_on_replaced_endpoint = false;
  /// The endpoint crashed while the run may have been there.
  bool has_crashed = false;
};

/// A hold without an answer yet.
struct OpenHold {
  SteadyTime sent_at;
  /// Id of the endpoint that the call was addressed to; empty for any.
  std::string endpoint;
  /// The call asks whether the incarnation of a status report is the present one.
  bool is_for_claim = false;
  /// When another hold was answered with an end that should have answered this one too.
  std::optional<SteadyTime> suspected_at;
};

struct EntryRecord {
  Incarnation incarnation = 0;
  SteadyTime permit_until;
  OrderId orders_seen = 0;
  TaskReportOutbox ends;
  /// Number of the last crash that the entry has been told.
  std::uint64_t last_crash_sent = 0;
  /// Free and queued millicores as last sent.
  std::pair<std::uint32_t, std::uint64_t> last_sent_load;
  SteadyTime next_load_at;
  milliseconds load_interval{0};
};

void Subtract(std::uint32_t& from, std::uint32_t amount) { from -= std::min(from, amount); }

}  // namespace

class WorkerExecutor::Impl {
 public:
  Impl(WorkerExecutorConfig config, DecisionLog& log)
      : m_lease(std::min(config.max_lease * 9 / 10, kMaxRunLease)), m_log(log) {}

  void OnEndpointStatus(EndpointStatus status, Now now, ExecutorOutputs& out) {
    if (!m_identity.IsPresent(status.id, status.born)) {
      m_claims.Add(std::move(status), now);
    } else if (!m_endpoint || m_endpoint->id != status.id || m_endpoint->born != status.born) {
      BeginEndpoint(std::move(status), now);
    } else if (!IsOvertaken(status, now)) {
      UpdateEndpoint(std::move(status), now);
    }
    Advance(now, out);
  }

  void OnEndpointLeft(const std::string& id, Now now, ExecutorOutputs& out) {
    if (!m_endpoint || m_endpoint->id != id) return;
    m_log.Record(DecisionClass::kStateChange, "endpoint_left", {}, {{"endpoint", id}});
    // Its runs end with it, which shows in the end of the runs or, if its calls go unanswered, in
    // the expiry of their leases.
    m_endpoint->leaving = true;
    ReturnQueue("endpoint_left", now);
    Advance(now, out);
  }

  bool OnMessage(const Envelope& envelope, Now now, ExecutorOutputs& out) {
    if (const auto* place = std::get_if<PlaceTasks>(&envelope.message)) {
      OnPlace(envelope.from, *place, now);
    } else if (const auto* withdraw = std::get_if<WithdrawTasks>(&envelope.message)) {
      OnWithdraw(envelope.from, *withdraw, now, out);
    } else if (const auto* report = std::get_if<EntryReport>(&envelope.message)) {
      OnEntryReport(envelope.from, *report, now);
    } else {
      return false;
    }
    Advance(now, out);
    return true;
  }

  void OnEntryConnected(NodeRef entry, Now now, ExecutorOutputs& out) {
    EntryRecord& record = FindOrAddEntry(entry, now);
    record.ends.OnConnected();
    record.last_crash_sent = 0;
    Advance(now, out);
  }

  void OnStartAnswer(const RunId& name, StartAnswer answer, Now now, ExecutorOutputs& out) {
    const auto found = m_runs.find(name);
    if (found == m_runs.end()) return;
    ActiveRun& run = found->second;
    if (run.phase == RunPhase::kStarting) {
      ApplyStartAnswer(run, answer, now, out);
    } else if (answer != StartAnswer::kStarted && answer != StartAnswer::kUnknown &&
               !run.confirmed) {
      // The run was being stopped and has never started.
      End(name, TaskEnd::kNotRun, now);
    }
    Advance(now, out);
  }

  void OnStopAnswer(const RunId& name, bool answered, Now now, ExecutorOutputs& out) {
    const auto found = m_runs.find(name);
    if (found != m_runs.end() && found->second.phase == RunPhase::kStopping) {
      ActiveRun& run = found->second;
      if (answered) {
        // The endpoint rejects the start from now on. A list requested from now on shows whether it
        // had already started the run.
        run.stop_acknowledged_at = now.steady;
        m_list_needed = true;
      } else {
        run.stop_again_at = now.steady + kRetryPause;
      }
    }
    if (answered) OnEndpointAnswered(now);
    Advance(now, out);
  }

  void OnHoldAnswer(std::uint64_t id, const HoldAnswer& answer, Now now, ExecutorOutputs& out) {
    const auto found = m_holds.find(id);
    // The hold has been replaced; its answer is outdated.
    if (found == m_holds.end()) return;
    const OpenHold hold = std::move(found->second);
    m_holds.erase(found);
    if (!answer.lists) {
      OnHoldWithoutLists(hold, answer, now);
      Advance(now, out);
      return;
    }
    OnEndpointAnswered(now);
    const auto& lists = *answer.lists;
    switch (m_identity.OnAnswer(hold.endpoint, lists.born, hold.sent_at, now)) {
      case EndpointIdentity::Answerer::kPresent:
        break;
      case EndpointIdentity::Answerer::kNewer:
        BeginIncarnation(hold.endpoint, now, out);
        break;
      case EndpointIdentity::Answerer::kUnknown:
        m_list_needed = true;
        if (hold.is_for_claim) m_claims.OnNoAnswer(hold.endpoint, now.steady);
        Advance(now, out);
        return;
    }
    ResolveClaims(hold, lists.born, now);
    // Answers on different connections may arrive out of order; an older list does not describe the
    // present state.
    const bool is_newest = !m_clock || lists.clock >= m_clock->first;
    if (is_newest) SetClock(lists.clock, now);
    if (ApplyEndedRuns(lists.ended, now)) MarkHoldsSuspected(now);
    if (is_newest) ApplyRunningRuns(lists.running, hold.sent_at, now, out);
    Advance(now, out);
  }

  void Tick(Now now, ExecutorOutputs& out) {
    for (auto& [node, entry] : m_entries) {
      if (entry.permit_until != SteadyTime() && now.steady > entry.permit_until) {
        RevokePermit({node, entry.incarnation}, entry, now, out);
      }
    }
    for (auto& [name, run] : m_runs) {
      if (run.phase == RunPhase::kStarting && now.steady - run.started_at >= kStartAnswerTimeout) {
        // A list requested from now on shows whether it is running.
        m_list_needed = true;
      } else if (run.phase == RunPhase::kStopping && now.steady >= run.stop_again_at) {
        BeginStop(run, run.stop_end, now, out);
      }
    }
    EndUnstartableRuns(now);
    std::erase_if(m_holds, [now](const auto& hold) {
      return hold.second.suspected_at && now.steady >= *hold.second.suspected_at + kLostHoldTimeout;
    });
    if (now.steady >= m_leased_until + kLeaseMargin && IsUnresponsive(now)) {
      EndAllRuns("lease_over", now);
    }
    for (auto item = m_queue.begin(); item != m_queue.end();) {
      if (item->second.expires_at > now.steady) {
        ++item;
        continue;
      }
      Report(item->second, TaskEnd::kNotRun, now, milliseconds(0));
      item = m_queue.erase(item);
    }
    Advance(now, out);
  }

  void BeginDrain(Now now, ExecutorOutputs& out) {
    m_draining = true;
    ReturnQueue("sidecar_stops", now);
    Advance(now, out);
  }

  WorkerReport ReportFor(NodeRef entry, Version state_version, Now now) const {
    WorkerReport report;
    report.sent_at = now.steady;
    report.state_version = state_version;
    report.earlier_runs_ended = m_earlier_runs_ended;
    report.accepting = IsAccepting(now);
    if (m_endpoint) {
      report.service = m_endpoint->service;
      report.zone = m_endpoint->zone;
      report.worker = m_endpoint->id;
      report.labels = m_endpoint->labels;
      report.capacity = m_endpoint->capacity;
    }
    report.slowness_permille = static_cast<std::uint32_t>(m_speed.present(now) * 1000.0);
    report.baseline_slowness_permille = static_cast<std::uint32_t>(m_speed.baseline() * 1000.0);
    const auto found = m_entries.find(entry.id);
    const bool known = found != m_entries.end() && found->second.incarnation == entry.incarnation;
    report.load = LoadFor(known ? found->second.orders_seen : 0, now);
    for (const auto& [key, task] : m_queue) {
      if (task.entry == entry) report.held.push_back(task.order);
    }
    for (const auto& [name, run] : m_runs) {
      if (run.task.entry == entry) report.held.push_back(run.task.order);
    }
    return report;
  }

  bool IsAccepting(Now now) const {
    return m_endpoint && m_identity.IsPresent(m_endpoint->id, m_endpoint->born) &&
           !m_endpoint->leaving && !m_draining && m_earlier_runs_ended && !m_has_no_listener &&
           !IsUnresponsive(now) && m_clock.has_value();
  }

  bool HasWorkOf(NodeRef entry) const {
    const auto found = m_entries.find(entry.id);
    if (found == m_entries.end() || found->second.incarnation != entry.incarnation) return false;
    const auto is_of_entry = [&](const QueuedTask& task) { return task.entry == entry; };
    return !found->second.ends.empty() || std::ranges::any_of(m_queue, [&](const auto& item) {
      return is_of_entry(item.second);
    }) || std::ranges::any_of(m_runs, [&](const auto& item) {
      return is_of_entry(item.second.task);
    });
  }

  const EndpointStatus* endpoint() const { return m_endpoint ? &*m_endpoint : nullptr; }
  std::uint64_t worker_revision() const { return m_worker_revision; }
  std::uint32_t running() const { return static_cast<std::uint32_t>(m_runs.size()); }
  std::uint32_t queued() const { return static_cast<std::uint32_t>(m_queue.size()); }
  const WorkerSpeed& speed() const { return m_speed; }
  const WorkerExecutorCounters& counters() const { return m_counters; }

 private:
  /// Returns whether calls fail and none has been answered within kEndpointTimeout.
  bool IsUnresponsive(Now now) const {
    return m_hold_failures > 0 && now.steady - m_last_answer_at > kEndpointTimeout;
  }

  /// No run can start until the endpoint answers again. Its runs may go on: a cut refuses
  /// connections too.
  void OnNoListener(Now now) {
    if (std::exchange(m_has_no_listener, true)) return;
    m_log.Record(DecisionClass::kStateChange, "endpoint_refuses_connections", {},
                 {{"runs", static_cast<std::int64_t>(m_runs.size())}});
    ReturnQueue("endpoint_refuses_connections", now);
    m_next_hold = std::min(m_next_hold, now.steady + kRetryPause);
  }

  void OnEndpointAnswered(Now now) {
    m_has_no_listener = false;
    m_last_answer_at = now.steady;
    m_next_hold = now.steady;
    if (std::exchange(m_unreachable_logged, false)) {
      m_log.Record(DecisionClass::kStateChange, "endpoint_reachable", {},
                   {{"failures", static_cast<std::int64_t>(m_hold_failures)}});
    }
    m_hold_failures = 0;
  }

  void OnHoldFailed(bool other_incarnation, Now now) {
    ++m_counters.holds_unanswered;
    ++m_hold_failures;
    // A single call may get lost; an endpoint that answers none is called with exponential backoff.
    if (!IsUnresponsive(now)) {
      m_next_hold = now.steady + kRetryPause;
      return;
    }
    m_next_hold =
        now.steady + std::min(kRetryPause * (1U << std::min(m_hold_failures, 8U)), kMaxRetryPause);
    if (!std::exchange(m_unreachable_logged, true)) {
      m_log.Record(DecisionClass::kStateChange, "endpoint_unreachable", {},
                   {{"other_incarnation", static_cast<std::int64_t>(other_incarnation)},
                    {"failures", static_cast<std::int64_t>(m_hold_failures)}});
    }
  }

  /// Called when a hold delivers a new end: the endpoint has answered the other holds with it too.
  void MarkHoldsSuspected(Now now) {
    for (auto& [id, hold] : m_holds) {
      // A call for a claim waits for no end.
      if (!hold.suspected_at && !hold.is_for_claim) hold.suspected_at = now.steady;
    }
  }

  void OnHoldWithoutLists(const OpenHold& hold, const HoldAnswer& answer, Now now) {
    if (hold.is_for_claim) {
      if (answer.other_incarnation) {
        DropClaims(hold);
      } else {
        m_claims.OnNoAnswer(hold.endpoint, now.steady + kRetryPause);
      }
      return;
    }
    if (answer.no_listener) OnNoListener(now);
    if (answer.is_fenced) {
      // Sent again with the raised token.
      m_next_hold = now.steady + kRetryPause;
    } else {
      OnHoldFailed(answer.other_incarnation, now);
    }
  }

  /// Handles the claims to the id under which the present incarnation has answered.
  void ResolveClaims(const OpenHold& hold, milliseconds born, Now now) {
    if (hold.endpoint.empty()) return;
    auto confirmed = m_claims.TakeConfirmed(hold.endpoint, born);
    if (hold.is_for_claim) DropClaims(hold);
    if (!confirmed) return;
    BeginEndpoint(std::move(*confirmed), now);
  }

  /// Drops the status reports that another incarnation has answered for.
  void DropClaims(const OpenHold& hold) {
    const std::size_t dropped = m_claims.Refute(hold.endpoint, hold.sent_at);
    if (dropped == 0) return;
    m_counters.statuses_refuted += dropped;
    m_log.Record(
        DecisionClass::kStateChange, "endpoint_status_refuted", {},
        {{"endpoint", hold.endpoint}, {"present", m_endpoint ? m_endpoint->id : std::string()}});
  }

  /// Whether a later status report of the same incarnation is known. An incarnation that goes on
  /// with lower numbers did not send the one with the higher number.
  bool IsOvertaken(const EndpointStatus& status, Now now) const {
    return status.sequence <= m_endpoint->sequence &&
           now.steady < m_status_received_at + kStatusValidity;
  }

  /// Takes the first status report of the present incarnation.
  void BeginEndpoint(EndpointStatus status, Now now) {
    m_log.Record(DecisionClass::kStateChange, "endpoint_found", {},
                 {{"endpoint", status.id},
                  {"address", status.address},
                  {"cpu", static_cast<std::int64_t>(status.capacity.cpu_millicores)},
                  {"born_ms", status.born.count()}});
    m_has_no_listener = false;
    ++m_worker_revision;
    SetEndpoint(std::move(status), now);
  }

  void UpdateEndpoint(EndpointStatus status, Now now) {
    if (status.leaving != m_endpoint->leaving) {
      m_log.Record(DecisionClass::kStateChange,
                   status.leaving ? "endpoint_leaves" : "endpoint_stays", {},
                   {{"endpoint", status.id}});
    }
    const bool is_same_worker =
        m_endpoint->service == status.service && m_endpoint->zone == status.zone &&
        m_endpoint->labels == status.labels && m_endpoint->capacity == status.capacity;
    if (!is_same_worker) ++m_worker_revision;
    SetEndpoint(std::move(status), now);
  }

  void SetEndpoint(EndpointStatus status, Now now) {
    m_status_received_at = now.steady;
    if (status.clock && IsPlausible(*status.clock, now)) SetClock(*status.clock, now);
    m_endpoint = std::move(status);
    if (m_endpoint->leaving) ReturnQueue("endpoint_leaves", now);
    ReturnUnfitTasks(now);
  }

  /// Called when an incarnation has answered that is newer than the former present one.
  void BeginIncarnation(const std::string& id, Now now, ExecutorOutputs& out) {
    if (m_endpoint) {
      InvalidateAllRuns(!id.empty() && m_endpoint->id != id, now, out);
      // It may be of another kind. Nothing is started before it has told.
      ReturnQueue("endpoint_restarted", now);
    }
    m_outcomes = {};
    m_speed = {};
    m_ends_seen = 0;
    m_unknown_runs.clear();
    m_clock.reset();
  }

  /// Whether a status report may tell the time on the endpoint's clock. It may have been under way
  /// for long, but a clock that runs far ahead of the answers to calls is not the endpoint's.
  bool IsPlausible(EndpointTime clock, Now now) const {
    if (!m_clock) return false;
    return clock <= EndpointNow(now) + kMaxClockLead + Ms(now.steady - m_clock->second) / 20;
  }

  void SetClock(EndpointTime clock, Now now) { m_clock = {clock, now.steady}; }

  /// Estimates the present time on the endpoint's clock. The estimate lags behind by the time that
  /// the answer took to arrive.
  EndpointTime EndpointNow(Now now) const {
    return m_clock->first + Ms(now.steady - m_clock->second);
  }

  EntryRecord& FindOrAddEntry(NodeRef entry, Now now) {
    EntryRecord& record = m_entries[entry.id];
    if (record.incarnation != entry.incarnation) {
      if (record.incarnation != 0) {
        ExecutorOutputs stops;
        RevokePermit({entry.id, record.incarnation}, record, now, stops);
        for (StopRun& stop : stops.stops) m_pending_stops.push_back(std::move(stop));
      }
      record = {};
      record.incarnation = entry.incarnation;
    }
    return record;
  }

  void OnPlace(NodeRef from, const PlaceTasks& place, Now now) {
    EntryRecord& entry = FindOrAddEntry(from, now);
    for (const PlacedTask& placed : place.tasks) {
      // A duplicate, or an order that arrived after a later one on another connection and has been
      // withdrawn since.
      if (placed.order <= entry.orders_seen) continue;
      entry.orders_seen = placed.order;
      ++m_counters.placed;
      QueuedTask item;
      item.entry = from;
      item.order = placed.order;
      item.run = {place.job.id, place.step, placed.index, placed.attempt};
      item.queue = place.job.queue;
      item.payload = place.payload;
      item.needs = {place.service, place.required_label, place.demand};
      item.expected_run = place.expected_run;
      item.is_estimated = place.is_estimated;
      item.usual_run = place.usual_run;
      item.earlier_stalls = place.earlier_stalls;
      item.alone = place.alone;
      item.priority = place.priority;
      item.latest_start = now.steady + place.latest_start;
      item.received_at = now.steady;
      item.expires_at = now.steady + place.expires;
      // Entries place tasks only where they keep a permit alive. Without one, the placement has
      // waited for so long, on a connection or while this machine stood still, that the entry may
      // have placed the task elsewhere.
      if (m_early_withdrawals.erase({from.id, placed.order}) > 0 || !HasPermit(from, now) ||
          !IsAccepting(now) || RunsTaskOfName(item.run) || !MeetsNeeds(*m_endpoint, item.needs)) {
        Report(item, TaskEnd::kNotRun, now, milliseconds(0));
        continue;
      }
      Enqueue(std::move(item));
    }
  }

  void Enqueue(QueuedTask task) {
    const std::pair key(task.priority, task.latest_start);
    m_queue.emplace(key, std::move(task));
  }

  void OnWithdraw(NodeRef from, const WithdrawTasks& withdraw, Now now, ExecutorOutputs& out) {
    EntryRecord& entry = FindOrAddEntry(from, now);
    for (const OrderId order : withdraw.orders) {
      const auto queued = std::ranges::find_if(m_queue, [&](const auto& item) {
        return item.second.entry == from && item.second.order == order;
      });
      if (queued != m_queue.end()) {
        Report(queued->second, TaskEnd::kNotRun, now, milliseconds(0));
        m_queue.erase(queued);
        continue;
      }
      const auto active = std::ranges::find_if(m_runs, [&](const auto& item) {
        return item.second.task.entry == from && item.second.task.order == order;
      });
      if (active != m_runs.end()) {
        if (active->second.phase != RunPhase::kStopping) {
          BeginStop(active->second, TaskEnd::kStopped, now, out);
        }
        continue;
      }
      if (entry.ends.Contains(order)) continue;
      QueuedTask item;
      item.entry = from;
      item.order = order;
      item.received_at = now.steady;
      if (order <= entry.orders_seen) {
        // The order ended here, and its report was acknowledged or lost with an earlier incarnation
        // of the entry.
        Report(item, TaskEnd::kLost, now, milliseconds(0));
      } else {
        m_early_withdrawals.insert({from.id, order});
        if (m_early_withdrawals.size() > kMaxEarlyWithdrawals)
          m_early_withdrawals.erase(m_early_withdrawals.begin());
        Report(item, TaskEnd::kNotRun, now, milliseconds(0));
      }
    }
  }

  void OnEntryReport(NodeRef from, const EntryReport& report, Now now) {
    EntryRecord& entry = FindOrAddEntry(from, now);
    if (!report.wants_reports && !HasWorkOf(from)) {
      // The entry places nothing here, so there is nothing to permit.
      entry.permit_until = {};
    } else if (report.echoed != SteadyTime()) {
      if (entry.permit_until == SteadyTime()) {
        m_log.Record(DecisionClass::kStateChange, "permit_gained", {},
                     {{"entry", static_cast<std::int64_t>(from.id)}});
      }
      entry.permit_until = std::max(entry.permit_until, report.echoed + kEntryPermitDuration);
    }
    entry.load_interval = std::min(report.load_interval, kReportPeriod);
    entry.ends.OnAcknowledged(report.reports_seen, report.echoed);
  }

  void RevokePermit(NodeRef entry, EntryRecord& record, Now now, ExecutorOutputs& out) {
    record.permit_until = {};
    std::int64_t stopped = 0;
    for (auto& [name, run] : m_runs) {
      if (run.task.entry != entry || run.phase == RunPhase::kStopping) continue;
      BeginStop(run, TaskEnd::kStopped, now, out);
      ++stopped;
    }
    const std::size_t dropped = std::erase_if(m_queue, [&](const auto& item) {
      if (item.second.entry != entry) return false;
      Report(item.second, TaskEnd::kNotRun, now, milliseconds(0));
      return true;
    });
    m_log.Record(DecisionClass::kStateChange, "permit_lost", {},
                 {{"entry", static_cast<std::int64_t>(entry.id)},
                  {"stopped", stopped},
                  {"returned", static_cast<std::int64_t>(dropped)}});
  }

  void ApplyStartAnswer(ActiveRun& run, StartAnswer answer, Now now, ExecutorOutputs& out) {
    const RunId name = run.task.run;
    switch (answer) {
      case StartAnswer::kStarted:
        run.phase = RunPhase::kRunning;
        run.confirmed = true;
        return;
      case StartAnswer::kUnknown:
        ++m_counters.starts_unanswered;
        // Stopping it is quicker than waiting until the start expires.
        BeginStop(run, TaskEnd::kLost, now, out);
        return;
      case StartAnswer::kNoRoom: {
        ++m_counters.starts_no_room;
        m_starts_paused_until = now.steady + kNoCapacityPause;
        QueuedTask task = std::move(run.task);
        m_runs.erase(name);
        if (task.expires_at > now.steady && MeetsNeeds(*m_endpoint, task.needs)) {
          Enqueue(std::move(task));
        } else {
          Report(task, TaskEnd::kNotRun, now, milliseconds(0));
        }
        return;
      }
      case StartAnswer::kFenced:
        ++m_counters.starts_fenced;
        break;
      case StartAnswer::kRefused:
        ++m_counters.starts_refused;
        m_starts_paused_until = now.steady + kUnhealthyEndpointPause;
        break;
      case StartAnswer::kNoListener:
        ++m_counters.starts_refused;
        OnNoListener(now);
        break;
      case StartAnswer::kVoid:
        break;
    }
    End(name, TaskEnd::kNotRun, now);
  }

  /// Ends the unconfirmed runs that the endpoint can no longer start.
  void EndUnstartableRuns(Now now) {
    std::vector<RunId> ended;
    for (const auto& [name, run] : m_runs) {
      if (run.confirmed) continue;
      const bool is_stopped = !run.is_on_replaced_endpoint && run.stop_acknowledged_at &&
                              now.steady > *run.stop_acknowledged_at + kStopCompletionTime;
      const bool is_expired = now.steady > run.start_expires_at + kLeaseMargin;
      if (is_stopped || is_expired) ended.push_back(name);
    }
    for (const RunId& name : ended) End(name, TaskEnd::kLost, now);
  }

  void BeginStop(ActiveRun& run, TaskEnd end, Now now, ExecutorOutputs& out) {
    run.phase = RunPhase::kStopping;
    run.stop_end = end;
    // Repeated after this time unless the call is answered or fails before.
    run.stop_again_at = now.steady + std::chrono::seconds(1);
    out.stops.push_back({run.task.run});
  }

  /// Returns whether there was a new end.
  bool ApplyEndedRuns(const std::vector<EndedRun>& ended, Now now) {
    bool is_new = false;
    for (const EndedRun& end : ended) {
      if (end.number <= m_ends_seen) continue;
      m_ends_seen = end.number;
      m_ends_unacknowledged = true;
      is_new = true;
      m_starts_paused_until = {};
      m_unknown_runs.erase(end.run);
      const auto found = m_runs.find(end.run);
      if (found == m_runs.end()) continue;
      ActiveRun& run = found->second;
      if (end.how == RunEnd::kDone) RecordRunTime(run, now);
      TaskEnd reported = TaskEnd::kLost;
      switch (end.how) {
        case RunEnd::kDone:
          reported = TaskEnd::kDone;
          break;
        case RunEnd::kFailed:
          reported = TaskEnd::kFailed;
          break;
        case RunEnd::kStopped:
          reported = run.phase == RunPhase::kStopping ? run.stop_end : TaskEnd::kStopped;
          break;
        case RunEnd::kLeaseExpired:
          break;
      }
      End(end.run, reported, now);
    }
    return is_new;
  }

  /// The list covers the starts and stops that were made before `asked_at`.
  void ApplyRunningRuns(const std::vector<RunningRun>& running, SteadyTime asked_at, Now now,
                        ExecutorOutputs& out) {
    std::set<RunId> listed;
    for (const RunningRun& entry : running) {
      listed.insert(entry.run);
      const auto found = m_runs.find(entry.run);
      if (found == m_runs.end()) {
        // Started by an earlier incarnation of this process, or carried out late.
        if (m_unknown_runs.insert(entry.run).second) {
          m_log.Record(DecisionClass::kAnomaly, "unknown_run_stopped", entry.run.job,
                       {{"index", static_cast<std::int64_t>(entry.run.index)},
                        {"attempt", static_cast<std::int64_t>(entry.run.attempt)}});
        }
        out.stops.push_back({entry.run});
        continue;
      }
      ActiveRun& run = found->second;
      run.confirmed = true;
      if (run.phase == RunPhase::kStarting) run.phase = RunPhase::kRunning;
      if (run.phase == RunPhase::kRunning) CheckProgress(run, entry.percent, now, out);
    }
    std::erase_if(m_unknown_runs, [&](const RunId& run) { return !listed.contains(run); });
    ResolveUnlistedRuns(listed, asked_at, now, out);
    if (!m_earlier_runs_ended && m_unknown_runs.empty() && running.empty()) {
      m_earlier_runs_ended = true;
      m_log.Record(DecisionClass::kStateChange, "earlier_runs_ended", {}, {});
    }
  }

  /// Resolves the runs that the endpoint has neither confirmed nor listed.
  void ResolveUnlistedRuns(const std::set<RunId>& listed, SteadyTime asked_at, Now now,
                           ExecutorOutputs& out) {
    std::vector<RunId> ended;
    for (auto& [name, run] : m_runs) {
      if (run.confirmed || listed.contains(name)) continue;
      if (run.phase == RunPhase::kStarting && asked_at >= run.started_at + kStartAnswerTimeout) {
        // The start may still be carried out, so it is stopped before the task is started
        // elsewhere.
        BeginStop(run, TaskEnd::kLost, now, out);
      } else if (!run.is_on_replaced_endpoint && run.stop_acknowledged_at &&
                 asked_at >= *run.stop_acknowledged_at) {
        ended.push_back(name);
      }
    }
    for (const RunId& name : ended) End(name, TaskEnd::kLost, now);
  }

  void CheckProgress(ActiveRun& run, std::uint32_t percent, Now now, ExecutorOutputs& out) {
    const QueuedTask& task = run.task;
    // A run on a slow worker has not stalled.
    const double slowness = m_speed.baseline() > kSlowByNature ? m_speed.baseline() : 1.0;
    const ProgressReference reference{Scaled(task.usual_run, slowness), task.expected_run,
                                      task.earlier_stalls};
    const bool has_stalled = run.progress.HasStalled(percent, reference, now);
    if (TellsSpeed(task) && run.progress.is_projection_sound(reference, now)) {
      m_speed.OnProgress(SlownessOf(task, run.progress.projected_run()), now);
    }
    if (!has_stalled) return;
    ++m_counters.stalled;
    m_log.Record(DecisionClass::kAnomaly, "run_stalled", task.run.job,
                 {{"index", static_cast<std::int64_t>(task.run.index)},
                  {"percent", static_cast<std::int64_t>(percent)},
                  {"elapsed_ms", Ms(now.steady - run.started_at).count()},
                  {"expected_ms", task.expected_run.count()},
                  {"usual_ms", task.usual_run.count()},
                  {"earlier_stalls", static_cast<std::int64_t>(task.earlier_stalls)}});
    BeginStop(run, TaskEnd::kStalled, now, out);
  }

  /// Whether the run time says something about the worker. Without the caller's estimate, a long
  /// task cannot be told from a slow worker, and one that has stalled before may be long.
  static bool TellsSpeed(const QueuedTask& task) {
    return task.is_estimated && task.earlier_stalls == 0;
  }

  static double SlownessOf(const QueuedTask& task, milliseconds run_time) {
    return static_cast<double>(run_time.count()) /
           static_cast<double>(std::max<std::int64_t>(1, task.expected_run.count()));
  }

  void RecordRunTime(const ActiveRun& run, Now now) {
    if (!TellsSpeed(run.task)) return;
    m_speed.OnRun(SlownessOf(run.task, Ms(now.steady - run.started_at)), now);
  }

  /// Handles a new incarnation of the endpoint. The runs of the previous one have ended, but a
  /// start sent around the restart may have been carried out by the new one; the list of the new
  /// one, or a stop, shows which.
  void InvalidateAllRuns(bool is_replaced, Now now, ExecutorOutputs& out) {
    if (m_runs.empty()) return;
    m_log.Record(DecisionClass::kStateChange,
                 is_replaced ? "endpoint_replaced" : "endpoint_restarted", {},
                 {{"runs", static_cast<std::int64_t>(m_runs.size())}});
    OnEndpointCrashed();
    for (auto& [name, run] : m_runs) {
      run.confirmed = false;
      run.is_on_replaced_endpoint |= is_replaced;
      run.start_expires_at = std::max(run.start_expires_at, m_leased_until);
      BeginStop(run, TaskEnd::kLost, now, out);
    }
    m_list_needed = true;
  }

  /// Records a crash under the present runs, unless the endpoint has said that it leaves.
  void OnEndpointCrashed() {
    const bool is_known =
        std::ranges::all_of(m_runs, [](const auto& item) { return item.second.has_crashed; });
    if (m_endpoint->leaving || is_known) return;
    EndpointCrash crash;
    crash.crash = MixHash(m_endpoint->born.count(), NodeIdOf(m_endpoint->id));
    std::string suspects;
    for (auto& [name, run] : m_runs) {
      if (std::exchange(run.has_crashed, true)) continue;
      crash.suspects.push_back({{run.task.queue, name.job}, name.step, name.index});
      if (!suspects.empty()) suspects += ' ';
      suspects += run.task.queue + name.job + "." + std::to_string(name.step) + "." +
                  std::to_string(name.index);
    }
    ++m_counters.endpoint_crashes;
    m_log.Record(DecisionClass::kStateChange, "endpoint_crashed", {},
                 {{"endpoint", m_endpoint->id},
                  {"born_ms", m_endpoint->born.count()},
                  {"suspects", suspects}});
    m_crashes.push_back(std::move(crash));
    ++m_last_crash;
    if (m_crashes.size() > kMaxKeptCrashes) m_crashes.pop_front();
  }

  /// Ends all runs as lost; called when no answer about them can come any more.
  void EndAllRuns(std::string_view cause, Now now) {
    if (m_runs.empty()) return;
    m_log.Record(DecisionClass::kStateChange, cause, {},
                 {{"lost_runs", static_cast<std::int64_t>(m_runs.size())}});
    if (m_has_no_listener) OnEndpointCrashed();
    std::vector<RunId> names;
    for (const auto& [name, run] : m_runs) names.push_back(name);
    for (const RunId& name : names) End(name, TaskEnd::kLost, now);
  }

  void End(const RunId& name, TaskEnd end, Now now) {
    const auto found = m_runs.find(name);
    if (found == m_runs.end()) return;
    const ActiveRun& run = found->second;
    if (end == TaskEnd::kLost && run.has_crashed) end = TaskEnd::kCrashed;
    // A stalled run shows in the slowness. Its caller's estimate may be at fault.
    if (end == TaskEnd::kDone || end == TaskEnd::kFailed) {
      m_outcomes.OnEnd(end == TaskEnd::kFailed, now);
    }
    Report(run.task, end, now, Ms(now.steady - run.started_at),
           Ms(run.started_at - run.task.received_at));
    m_runs.erase(found);
  }

  void Report(const QueuedTask& task, TaskEnd end, Now now, milliseconds run_time,
              milliseconds queue_time = milliseconds(0)) {
    switch (end) {
      case TaskEnd::kDone:
        ++m_counters.done;
        break;
      case TaskEnd::kFailed:
        ++m_counters.failed;
        break;
      case TaskEnd::kStopped:
        ++m_counters.stopped;
        break;
      case TaskEnd::kLost:
        ++m_counters.lost;
        break;
      case TaskEnd::kNotRun:
        ++m_counters.not_run;
        break;
      case TaskEnd::kCrashed:
        ++m_counters.crashed;
        break;
      case TaskEnd::kStalled:
        break;
    }
    const auto found = m_entries.find(task.entry.id);
    if (found == m_entries.end() || found->second.incarnation != task.entry.incarnation) return;
    if (queue_time == milliseconds(0) && run_time == milliseconds(0)) {
      queue_time = Ms(now.steady - task.received_at);
    }
    found->second.ends.Add({0, task.order, end, run_time, queue_time});
  }

  /// Returns the queued tasks to the entries that placed them.
  void ReturnQueue(std::string_view cause, Now now) {
    if (m_queue.empty()) return;
    m_log.Record(DecisionClass::kStateChange, cause, {},
                 {{"returned", static_cast<std::int64_t>(m_queue.size())}});
    for (const auto& [key, task] : m_queue) Report(task, TaskEnd::kNotRun, now, milliseconds(0));
    m_queue.clear();
  }

  /// Returns the queued tasks that the endpoint, of which a new status is known, cannot run.
  void ReturnUnfitTasks(Now now) {
    std::int64_t returned = 0;
    std::erase_if(m_queue, [&](const auto& item) {
      if (MeetsNeeds(*m_endpoint, item.second.needs)) return false;
      Report(item.second, TaskEnd::kNotRun, now, milliseconds(0));
      ++returned;
      return true;
    });
    if (returned == 0) return;
    m_log.Record(DecisionClass::kStateChange, "endpoint_has_changed_kind", {},
                 {{"endpoint", m_endpoint->id}, {"returned", returned}});
  }

  Resources FreeCapacity() const {
    if (!m_endpoint) return {};
    Resources free = m_endpoint->capacity;
    for (const auto& [name, run] : m_runs) {
      Subtract(free.cpu_millicores, run.task.needs.demand.cpu_millicores);
      Subtract(free.memory_mib, run.task.needs.demand.memory_mib);
      Subtract(free.gpus, run.task.needs.demand.gpus);
    }
    return free;
  }

  WorkerLoad LoadFor(OrderId orders_seen, Now now) const {
    WorkerLoad load;
    // A task that runs alone, or waits to, leaves no capacity to others.
    if (!HasTaskAlone()) load.free = FreeCapacity();
    for (const auto& [key, task] : m_queue)
      load.queued_millicores += task.needs.demand.cpu_millicores;
    load.orders_seen = orders_seen;
    load.recent_done = m_outcomes.done_tenths(now);
    load.recent_failed = m_outcomes.failed_tenths(now);
    return load;
  }

  bool HasPermit(NodeRef entry, Now now) const {
    const auto found = m_entries.find(entry.id);
    return found != m_entries.end() && found->second.incarnation == entry.incarnation &&
           now.steady <= found->second.permit_until;
  }

  /// Whether any attempt of a task of this name is on the endpoint, which knows no two of one name.
  /// Tasks of jobs with the same ID in different queues have the same names.
  bool RunsTaskOfName(const RunId& run) const {
    const auto next = m_runs.lower_bound({run.job, run.step, run.index, 0});
    return next != m_runs.end() && next->first.job == run.job && next->first.step == run.step &&
           next->first.index == run.index;
  }

  bool HasTaskAlone() const {
    return std::ranges::any_of(m_runs, [](const auto& item) { return item.second.task.alone; }) ||
           std::ranges::any_of(m_queue, [](const auto& item) { return item.second.alone; });
  }

  /// Starts the queued tasks that fit, in order of urgency; a task that fits is started before a
  /// more urgent one that does not. A task that runs alone waits until the endpoint is empty, and
  /// meanwhile no other one is started.
  void StartQueued(Now now, ExecutorOutputs& out) {
    if (m_queue.empty() || !IsAccepting(now) || now.steady < m_starts_paused_until) return;
    // They use an unknown part of the capacity until they are no longer listed.
    if (!m_unknown_runs.empty()) return;
    const bool is_exclusive = HasTaskAlone();
    if (is_exclusive && !m_runs.empty()) return;
    Resources free = FreeCapacity();
    for (auto item = m_queue.begin(); item != m_queue.end();) {
      QueuedTask& task = item->second;
      if (is_exclusive && (!task.alone || !m_runs.empty())) {
        ++item;
        continue;
      }
      const Resources& demand = task.needs.demand;
      if (!Fits(demand, free) || !HasPermit(task.entry, now) || RunsTaskOfName(task.run)) {
        ++item;
        continue;
      }
      Subtract(free.cpu_millicores, demand.cpu_millicores);
      Subtract(free.memory_mib, demand.memory_mib);
      Subtract(free.gpus, demand.gpus);
      ++m_counters.starts;
      const EndpointTime lease_until = EndpointNow(now) + m_lease;
      out.starts.push_back({task.run, task.payload, lease_until});
      ActiveRun run(std::move(task), now.steady);
      run.start_expires_at = now.steady + m_lease + m_lease / 50;
      m_leased_until = std::max(m_leased_until, run.start_expires_at);
      m_runs.emplace(run.task.run, std::move(run));
      item = m_queue.erase(item);
    }
  }

  void RenewLeases(Now now, ExecutorOutputs& out) {
    const bool wanted = !m_runs.empty() || m_ends_unacknowledged || !m_earlier_runs_ended ||
                        !m_unknown_runs.empty() || m_hold_failures > 0 || m_has_no_listener;
    if (m_list_needed && wanted) {
      // Sent at once, and answered without waiting for an end.
      m_list_needed = false;
      SendHold(milliseconds(0), now, out);
    }
    if (!wanted || now.steady < m_next_hold) return;
    const bool can_wait = !m_runs.empty() && m_unknown_runs.empty();
    const auto open = static_cast<std::size_t>(std::ranges::count_if(m_holds, [](const auto& hold) {
      return !hold.second.suspected_at && !hold.second.is_for_claim;
    }));
    for (std::size_t count = open; count < (can_wait ? kConcurrentHolds : 1); ++count) {
      SendHold(can_wait ? kHoldTimeout : milliseconds(0), now, out);
    }
    if (!can_wait) m_next_hold = now.steady + kRetryPause;
  }

  void SendHold(milliseconds wait, Now now, ExecutorOutputs& out) {
    HoldRuns hold;
    hold.id = ++m_last_hold;
    hold.ends_seen = m_ends_seen;
    hold.wait = wait;
    // An endpoint that does not answer may still carry out calls. The leases of its runs must
    // expire, so that the tasks can be started elsewhere.
    if (!m_runs.empty() && m_clock && !IsUnresponsive(now)) {
      hold.lease_until = EndpointNow(now) + m_lease;
      m_leased_until = std::max(m_leased_until, now.steady + m_lease + m_lease / 50);
    }
    m_ends_unacknowledged = false;
    hold.endpoint = m_endpoint ? m_endpoint->id : std::string();
    m_holds[hold.id] = {now.steady, hold.endpoint, false, std::nullopt};
    out.holds.push_back(hold);
  }

  /// Asks the incarnations of unconfirmed status reports for their lists.
  void CallClaimants(Now now, ExecutorOutputs& out) {
    for (std::string& id : m_claims.TakeDue(now)) {
      HoldRuns hold;
      hold.id = ++m_last_hold;
      hold.endpoint = std::move(id);
      m_holds[hold.id] = {now.steady, hold.endpoint, true, std::nullopt};
      out.holds.push_back(hold);
    }
  }

  void SendReports(Now now, ExecutorOutputs& out) {
    const auto permits = std::ranges::count_if(
        m_entries, [now](const auto& entry) { return now.steady <= entry.second.permit_until; });
    for (auto& [node, entry] : m_entries) {
      SendCrashes({node, entry.incarnation}, entry, out);
      if (now.steady > entry.permit_until) continue;
      const bool has_ends = entry.ends.HasUnsent();
      TaskReports reports;
      reports.load = LoadFor(entry.orders_seen, now);
      const std::pair load(reports.load.free.cpu_millicores, reports.load.queued_millicores);
      if (!has_ends && (load == entry.last_sent_load || now.steady < entry.next_load_at)) continue;
      entry.last_sent_load = load;
      entry.next_load_at =
          now.steady +
          std::max(kMinLoadIntervalPerEntry * static_cast<int>(permits), entry.load_interval);
      reports.reports = entry.ends.TakeUnsent(now);
      reports.acknowledged = entry.ends.acknowledged();
      out.messages.push_back({{node, entry.incarnation}, std::move(reports)});
    }
  }

  /// Crashes are sent to all entries, because a job may be submitted again at any of them, and
  /// before the ends of the tasks.
  void SendCrashes(NodeRef to, EntryRecord& entry, ExecutorOutputs& out) const {
    const std::uint64_t unsent = m_last_crash - entry.last_crash_sent;
    const auto count = std::min<std::uint64_t>(unsent, m_crashes.size());
    for (auto crash = m_crashes.end() - static_cast<std::ptrdiff_t>(count);
         crash != m_crashes.end(); ++crash) {
      out.messages.push_back({to, *crash});
    }
    entry.last_crash_sent = m_last_crash;
  }

  void Advance(Now now, ExecutorOutputs& out) {
    for (StopRun& stop : std::exchange(m_pending_stops, {})) out.stops.push_back(std::move(stop));
    CallClaimants(now, out);
    StartQueued(now, out);
    RenewLeases(now, out);
    SendReports(now, out);
  }

  const milliseconds m_lease;
  DecisionLog& m_log;
  WorkerExecutorCounters m_counters;
  std::optional<EndpointStatus> m_endpoint;
  std::uint64_t m_worker_revision = 0;
  /// Last known time on the endpoint's clock, and when it was received.
  std::optional<std::pair<EndpointTime, SteadyTime>> m_clock;
  EndpointIdentity m_identity;
  StatusClaims m_claims;
  /// When the last status report of the present endpoint was received.
  SteadyTime m_status_received_at;
  std::map<NodeId, EntryRecord> m_entries;
  /// Sorted by priority, then by latest start.
  std::multimap<std::pair<std::uint32_t, SteadyTime>, QueuedTask> m_queue;
  std::map<RunId, ActiveRun> m_runs;
  /// Runs listed by the endpoint that this executor did not start or no longer tracks; they are
  /// being stopped.
  std::set<RunId> m_unknown_runs;
  std::set<std::pair<NodeId, OrderId>> m_early_withdrawals;
  std::vector<StopRun> m_pending_stops;
  std::uint64_t m_ends_seen = 0;
  bool m_ends_unacknowledged = false;
  std::map<std::uint64_t, OpenHold> m_holds;
  std::uint64_t m_last_hold = 0;
  /// A list is needed to find out what became of a start or a stop.
  bool m_list_needed = false;
  SteadyTime m_last_answer_at;
  bool m_unreachable_logged = false;
  /// Connections to the endpoint have been refused since its last answer.
  bool m_has_no_listener = false;
  /// The last crashes of the endpoint, for entries that connect later.
  std::deque<EndpointCrash> m_crashes;
  std::uint64_t m_last_crash = 0;
  std::uint32_t m_hold_failures = 0;
  SteadyTime m_next_hold;
  SteadyTime m_leased_until;
  SteadyTime m_starts_paused_until;
  RecentOutcomes m_outcomes;
  WorkerSpeed m_speed;
  bool m_earlier_runs_ended = false;
  bool m_draining = false;
};

WorkerExecutor::WorkerExecutor(WorkerExecutorConfig config, DecisionLog& log)
    : m_impl(std::make_unique<Impl>(config, log)) {}
WorkerExecutor::~WorkerExecutor() = default;

void WorkerExecutor::OnEndpointStatus(EndpointStatus status, Now now, ExecutorOutputs& out) {
  m_impl->OnEndpointStatus(std::move(status), now, out);
}
void WorkerExecutor::OnEndpointLeft(const std::string& id, Now now, ExecutorOutputs& out) {
  m_impl->OnEndpointLeft(id, now, out);
}
bool WorkerExecutor::OnMessage(const Envelope& envelope, Now now, ExecutorOutputs& out) {
  return m_impl->OnMessage(envelope, now, out);
}
void WorkerExecutor::OnEntryConnected(NodeRef entry, Now now, ExecutorOutputs& out) {
  m_impl->OnEntryConnected(entry, now, out);
}
void WorkerExecutor::OnStartAnswer(const RunId& run, StartAnswer answer, Now now,
                                   ExecutorOutputs& out) {
  m_impl->OnStartAnswer(run, answer, now, out);
}
void WorkerExecutor::OnStopAnswer(const RunId& run, bool answered, Now now, ExecutorOutputs& out) {
  m_impl->OnStopAnswer(run, answered, now, out);
}
void WorkerExecutor::OnHoldAnswer(std::uint64_t hold, const HoldAnswer& answer, Now now,
                                  ExecutorOutputs& out) {
  m_impl->OnHoldAnswer(hold, answer, now, out);
}
void WorkerExecutor::Tick(Now now, ExecutorOutputs& out) { m_impl->Tick(now, out); }
void WorkerExecutor::BeginDrain(Now now, ExecutorOutputs& out) { m_impl->BeginDrain(now, out); }
bool WorkerExecutor::HasWorkOf(NodeRef entry) const { return m_impl->HasWorkOf(entry); }
WorkerReport WorkerExecutor::ReportFor(NodeRef entry, Version state_version, Now now) const {
  return m_impl->ReportFor(entry, state_version, now);
}
bool WorkerExecutor::is_accepting(Now now) const { return m_impl->IsAccepting(now); }
bool WorkerExecutor::has_endpoint() const { return m_impl->endpoint() != nullptr; }
std::uint64_t WorkerExecutor::worker_revision() const { return m_impl->worker_revision(); }
const EndpointStatus* WorkerExecutor::endpoint() const { return m_impl->endpoint(); }
std::uint32_t WorkerExecutor::running() const { return m_impl->running(); }
std::uint32_t WorkerExecutor::queued() const { return m_impl->queued(); }
double WorkerExecutor::present_slowness(Now now) const { return m_impl->speed().present(now); }
double WorkerExecutor::baseline_slowness() const { return m_impl->speed().baseline(); }
const WorkerExecutorCounters& WorkerExecutor::counters() const { return m_impl->counters(); }

}  // namespace foxtailrudder
