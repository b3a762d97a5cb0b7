#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "dispatch/entry_dispatcher.h"
#include "model/decision_log.h"
#include "model/messages.h"

namespace foxtailrudder {

struct SharedJobsCounters {
  /// Claims that another entry held when a request for the job arrived here.
  std::uint64_t held_elsewhere = 0;
  /// Requests of other entries attached to jobs of this one.
  std::uint64_t attached = 0;
  /// Requests answered with the outcome of a job that had ended before.
  std::uint64_t answered_ended = 0;
  std::uint64_t claims_lapsed = 0;
  /// Jobs refused because no majority of the witnesses answered in time.
  std::uint64_t undecided = 0;
  /// Requests not answered as refused because the job may have run.
  std::uint64_t refusals_of_run_jobs = 0;
  /// Jobs refused because the jobs in progress take the memory for them.
  std::uint64_t refused_for_memory = 0;
};

/// Makes one job of the requests for it at all entries: before this entry submits a job to its
/// dispatcher, it obtains the claim to it, and if another entry holds the claim, its callers wait
/// for the job there. All requests of callers go through this class.
class SharedJobs {
 public:
  /// `dispatcher` must outlive this object. `max_job_bytes` limits the memory of all jobs.
  SharedJobs(NodeRef self, EntryDispatcher& dispatcher, DecisionLog& log,
             std::size_t max_job_bytes);
  SharedJobs(const SharedJobs&) = delete;
  SharedJobs& operator=(const SharedJobs&) = delete;
  ~SharedJobs();

  void Submit(RequestId request, const QueuePlan& queue, DispatchJob job, SteadyTime deadline,
              Now now, DispatchOutputs& out);
  void OnCallerDisconnected(RequestId request, Now now, DispatchOutputs& out);

  /// Handles ClaimAnswers, AttachToJob and AttachedJobResult; false for other messages.
  bool OnMessage(const Envelope& envelope, Now now, DispatchOutputs& out);

  /// Handles a report of a sidecar; the claims that it has to know are sent before the reply to it.
  void OnSidecarReport(NodeRef sidecar, const WorkerReport& report, Now now, DispatchOutputs& out);
  void OnEntryReport(NodeRef entry, const EntryReport& report, Now now);
  void SetLiveEntries(const std::vector<NodeId>& entries);
  /// Sets the members of a report to an entry that concern the choice of witnesses.
  void AddTo(EntryReport& report, NodeId entry, std::uint64_t digest_held_by_receiver,
             Now now) const;
  /// Sets the members of the reply to a sidecar's report by which it decides whether to vote.
  void AddTo(EntryReport& reply, const WorkerReport& report, Now now) const;

  /// Suspends the jobs whose claim has expired. Called before any other input is handled: if the
  /// process was suspended, its claims may have passed on to other entries.
  void BeforeInput(Now now, DispatchOutputs& out);
  void Tick(Now now, DispatchOutputs& out);

  /// Replaces the dispatcher's answers by those to the callers' requests. Called with all outputs
  /// of the dispatcher and of this class before they are carried out.
  void TranslateAnswers(Now now, DispatchOutputs& out);

  /// Whether this entry knows the deployment well enough to claim jobs.
  bool is_settled() const;
  /// Number of requests of other entries that wait for jobs of this one.
  std::size_t attached_requests() const;
  std::size_t open_claims() const;
  /// Estimated memory of the jobs in progress.
  std::size_t job_bytes() const;
  const SharedJobsCounters& counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
