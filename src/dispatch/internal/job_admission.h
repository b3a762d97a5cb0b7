#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/internal/admission_forecast.h"
#include "dispatch/internal/job_state.h"
#include "dispatch/internal/receive_delay.h"
#include "dispatch/internal/return_schedule.h"
#include "dispatch/internal/worker_table.h"
#include "dispatch/pause_detector.h"
#include "dispatch/timing.h"
#include "model/decision_log.h"

namespace foxtailrudder {

/// Why a job is refused, and when its caller may retry; not set if it is not known that the job can
/// ever run.
struct AdmissionRefusal {
  ErrorKind reason = ErrorKind::kInternal;
  std::optional<std::chrono::milliseconds> retry_after;
};

struct RefusedJob {
  JobState* job = nullptr;
  AdmissionRefusal refusal;
};

/// What is known of a job before it is admitted.
struct JobTimes {
  std::chrono::milliseconds critical_path{0};
  /// The part of it that is known well enough to call the job hopeless.
  std::chrono::milliseconds trusted_critical_path{0};
  /// Until when the caller waits for the answer.
  SteadyTime deadline;
};

/// Decides which jobs an entry takes and which of the waiting ones it gives up. A job is refused
/// when it is forecast to complete after its deadline, and not before: its caller learns at once
/// that it cannot be served, and waits while it can be.
class JobAdmission {
 public:
  JobAdmission(WorkerTable& workers, const ReceiveDelay& receive_delay, DecisionLog& log)
      : m_workers(workers), m_receive_delay(receive_delay), m_log(log) {}

  /// Starts the grace period in which the entry waits for the first worker reports.
  void OnStarted(Now now);
  void SetPlanVersion(Version version) { m_plan_version = version; }

  /// Returns the refusal of a job that cannot run or cannot complete before its deadline.
  std::optional<AdmissionRefusal> CheckArrival(const QueuePlan& queue, const DispatchJob& job,
                                               const JobTimes& times, const WaitingSteps& waiting,
                                               Now now);

  /// Counts the work of an admitted job, behind which less urgent ones wait.
  void OnTaken(const QueuePlan& queue, const DispatchJob& job, Now now);

  /// Reviews the waiting jobs of which no task has started, given what has arrived since, and
  /// returns those that can no longer complete before their deadline.
  std::vector<RefusedJob> Review(const WaitingSteps& waiting, Now now);

 private:
  /// Work that waits for the workers of one service, and their capacity.
  struct Backlog {
    WorkerTable::ServiceCapacity capacity;
    double own_share = 1;
    double millicore_ms = 0;
    /// Of work that arrives meanwhile and comes first.
    double arriving_millicores = 0;
  };

  /// After a pause of this process the reports of the workers have not been handled yet.
  void NotePause(Now now);
  /// The one rule for new and for waiting jobs. `last_useful_start` is that of a step which waits
  /// behind the backlog.
  std::optional<ErrorKind> ReasonToRefuse(const QueuePlan& queue, const DispatchJob& job,
                                          const Backlog& backlog, SteadyTime last_useful_start,
                                          Now now) const;
  AdmissionRefusal Refuse(ErrorKind reason, const QueuePlan& queue, const DispatchJob& job,
                          const Backlog& backlog, SteadyTime last_useful_start, Now now);
  Backlog BacklogOf(const std::string& service, Now now) const;
  /// Millicores that the arriving work of more urgent queues keeps busy.
  double MoreUrgentArrivals(const QueuePlan& queue, Now now) const;
  static std::chrono::milliseconds ForecastWaitBehind(const Backlog& backlog);
  void RecordRefusalOfWaiting(const JobState& job, const AdmissionRefusal& refusal,
                              SteadyTime last_useful_start, const Backlog& backlog, Now now);
  std::chrono::milliseconds ReceiveDelayOfRequests() const;

  WorkerTable& m_workers;
  const ReceiveDelay& m_receive_delay;
  DecisionLog& m_log;
  /// For the log: which configuration decided on a request.
  Version m_plan_version = 0;
  /// Until then the workers known say little about the capacity.
  SteadyTime m_capacity_known_from;
  PauseDetector m_pauses;
  ReturnSchedule m_returns;
  std::map<std::string, OwnShare, std::less<>> m_own_shares;
  /// By service and priority.
  std::map<std::string, std::map<std::uint32_t, ArrivalRate>, std::less<>> m_arrivals;
};

/// Requirements of a task of the step; `avoid` is the worker of its last attempt or 0.
TaskRequirements RequirementsOf(const QueuePlan& queue, const JobStep& step, NodeId avoid);

}  // namespace foxtailrudder
