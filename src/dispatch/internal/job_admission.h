#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "dispatch/internal/job_state.h"
#include "dispatch/internal/receive_delay.h"
#include "dispatch/internal/worker_table.h"
#include "model/decision_log.h"

namespace foxtailrudder {

/// Why a job is refused on arrival, and when its caller may retry.
struct AdmissionRefusal {
  ErrorKind reason = ErrorKind::kInternal;
  std::chrono::milliseconds retry_after{0};
};

/// What is known of a job before it is admitted.
struct JobTimes {
  SteadyTime received_at;
  std::chrono::milliseconds critical_path{0};
  std::chrono::milliseconds objective{0};
};

/// Decides which jobs an entry takes and which of the waiting ones it gives up: a job is refused as
/// soon as it is forecast to miss its objective, while a refusal is still of use to its caller.
class JobAdmission {
 public:
  JobAdmission(WorkerTable& workers, const ReceiveDelay& receive_delay, DecisionLog& log)
      : m_workers(workers), m_receive_delay(receive_delay), m_log(log) {}

  /// Starts the grace period in which the entry waits for the first worker reports.
  void OnStarted(Now now);
  void SetPlanVersion(Version version) { m_plan_version = version; }

  /// Sets until when a job can be refused in time and how long it waits for capacity.
  static void SetWaitLimits(JobState& job, const JobTimes& times);

  /// Returns the refusal of a job that cannot run or cannot complete in time.
  std::optional<AdmissionRefusal> CheckArrival(const QueuePlan& queue, const DispatchJob& job,
                                               const JobTimes& times, const WaitingSteps& waiting,
                                               Now now);

  /// Reviews the waiting jobs of which no task has started, given what has arrived since, and
  /// returns those that can no longer meet their objective, so that the capacity is left to others.
  /// Once a refusal would be too late, a job keeps waiting as long as a late answer is worth
  /// something.
  std::vector<JobState*> Review(WaitingSteps& waiting, Now now);

 private:
  /// Work that waits for the workers of one service, and their capacity.
  struct Backlog {
    WorkerTable::ServiceCapacity capacity;
    double millicore_ms = 0;
  };

  bool ShouldRefuse(const JobState& job, SteadyTime latest_start, const Backlog& backlog,
                    Now now) const;
  std::chrono::milliseconds ForecastWaitBehind(const Backlog& backlog, Now now) const;
  void RecordRefusalOfWaiting(const JobState& job, SteadyTime latest_start, const Backlog& backlog,
                              Now now);
  std::chrono::milliseconds ReceiveDelayOfRequests() const;

  WorkerTable& m_workers;
  const ReceiveDelay& m_receive_delay;
  DecisionLog& m_log;
  /// For the log: which configuration decided on a request.
  Version m_plan_version = 0;
  SteadyTime m_started_at;
  /// Start of the present backlog; the time of the last review if no task was waiting then.
  SteadyTime m_backlog_since;
};

/// Requirements of a task of the step; `avoid` is the worker of its last attempt or 0.
TaskRequirements RequirementsOf(const QueuePlan& queue, const JobStep& step, NodeId avoid);

}  // namespace foxtailrudder
