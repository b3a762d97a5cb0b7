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
#include "dispatch/internal/worker_table.h"
#include "dispatch/timing.h"
#include "model/decision_log.h"

namespace foxtailrudder {

/// Why a job is refused on arrival, and when its caller may retry.
struct AdmissionRefusal {
  ErrorKind reason = ErrorKind::kInternal;
  std::chrono::milliseconds retry_after{0};
};

/// What is known of a job before it is admitted.
struct JobTimes {
  std::chrono::milliseconds critical_path{0};
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

  /// Reviews the waiting jobs of which no task has started, given what has arrived since, and
  /// returns those that can no longer complete before their deadline.
  std::vector<JobState*> Review(const WaitingSteps& waiting, Now now);

 private:
  /// Work that waits for the workers of one service, and their capacity.
  struct Backlog {
    WorkerTable::ServiceCapacity capacity;
    double own_share = 1;
    double millicore_ms = 0;
  };

  bool IsStarting(Now now) const { return now.steady - m_started_at <= kStartupGracePeriod; }
  /// Whether a step that waits behind the backlog starts too late to be of use.
  bool IsHopeless(const Backlog& backlog, SteadyTime last_useful_start, Now now) const;
  Backlog BacklogOf(const std::string& service, Now now) const;
  static std::chrono::milliseconds ForecastWaitBehind(const Backlog& backlog);
  void RecordRefusalOfWaiting(const JobState& job, SteadyTime last_useful_start,
                              const Backlog& backlog, Now now);
  std::chrono::milliseconds ReceiveDelayOfRequests() const;

  WorkerTable& m_workers;
  const ReceiveDelay& m_receive_delay;
  DecisionLog& m_log;
  /// For the log: which configuration decided on a request.
  Version m_plan_version = 0;
  SteadyTime m_started_at;
  std::map<std::string, OwnShare, std::less<>> m_own_shares;
};

/// Requirements of a task of the step; `avoid` is the worker of its last attempt or 0.
TaskRequirements RequirementsOf(const QueuePlan& queue, const JobStep& step, NodeId avoid);

}  // namespace foxtailrudder
