#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "model/error_kind.h"
#include "model/ids.h"
#include "model/time.h"

namespace foxtailrudder {

// Direct dispatch: the entry that accepts a job makes all decisions for it and places its tasks on
// the sidecars. No coordinator takes part.

/// Capacity of a worker, or the part of it that a task uses while it runs.
struct Resources {
  std::uint32_t cpu_millicores = 0;
  std::uint32_t memory_mib = 0;
  std::uint32_t gpus = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
};

/// Identifies an order, which is one placement of a task on a sidecar. Increases within an entry
/// incarnation; 0 means none.
using OrderId = std::uint64_t;

/// Identifies a job. The callers of different queues may choose the same ID.
struct JobName {
  /// QueuePlan::address() of the queue.
  std::string queue;
  std::string id;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const JobName&, const JobName&) = default;
};

struct PlacedTask {
  OrderId order = 0;
  std::uint32_t index = 0;
  /// Number of this attempt to run the task, from 1. An endpoint refuses an attempt that has ended
  /// there.
  std::uint32_t attempt = 1;

  friend bool operator==(const PlacedTask&, const PlacedTask&) = default;
};

/// Entry to sidecar: run these tasks of one step of a job. Durations count from receipt.
struct PlaceTasks {
  JobName job;
  std::uint32_t step = 0;
  std::string payload;
  Resources demand;
  /// The caller's estimate, corrected by what is known of such tasks; 0 if there is none.
  std::chrono::milliseconds expected_run{0};
  /// The tasks are started in order of priority, 0 first, and then by latest start, after which the
  /// job is not expected to complete before its deadline.
  std::uint32_t priority = 0;
  std::chrono::milliseconds latest_start{0};
  /// A task that has not started by then is reported as kNotRun.
  std::chrono::milliseconds expires{0};
  std::vector<PlacedTask> tasks;
  /// Each of the tasks runs with nothing beside it on the endpoint, because it may crash it.
  bool alone = false;
  /// What the endpoint must be when a task starts; empty for any. The sender may not know yet that
  /// the endpoint has been replaced by one of another kind.
  std::string service;
  std::string required_label;
  /// `expected_run` rests on a caller's estimate, which tells long tasks from short ones. Otherwise
  /// a run that takes longer says nothing about its worker.
  bool is_estimated = false;
  /// What such tasks seldom exceed; 0 if too few have ended lately.
  std::chrono::milliseconds usual_run{0};
  /// How often the task that has stalled most often among `tasks` has done so.
  std::uint32_t earlier_stalls = 0;

  friend bool operator==(const PlaceTasks&, const PlaceTasks&) = default;
};

/// Entry to sidecar: remove these orders from the queue or stop their tasks. The end of each is
/// reported.
struct WithdrawTasks {
  std::vector<OrderId> orders;

  friend bool operator==(const WithdrawTasks&, const WithdrawTasks&) = default;
};

/// How a placement of a task ended.
enum class TaskEnd : std::uint8_t {
  kDone,
  /// The task or its endpoint failed after the start.
  kFailed,
  /// Stopped by WithdrawTasks.
  kStopped,
  /// Its lease expired, its endpoint was lost, or the start request was not answered and the
  /// attempt was barred from starting later.
  kLost,
  /// Stopped by the sidecar because of too little progress relative to its expected run time.
  kStalled,
  /// Never started: it expired, the sidecar or its endpoint accepts no work, or the endpoint lacked
  /// capacity.
  kNotRun,
  /// Its endpoint crashed while it ran there or may have.
  kCrashed,
};

struct TaskReport {
  /// Increases separately for each entry, which acknowledges it with EntryReport::reports_seen.
  std::uint64_t sequence = 0;
  OrderId order = 0;
  TaskEnd end = TaskEnd::kNotRun;
  /// Time from the start request to the end; 0 if not run.
  std::chrono::milliseconds run_time{0};
  std::chrono::milliseconds queue_time{0};

  friend bool operator==(const TaskReport&, const TaskReport&) = default;
};

/// Load of a worker; part of each report.
struct WorkerLoad {
  Resources free;
  /// Total CPU demand of the queued tasks.
  std::uint64_t queued_millicores = 0;
  /// Highest order received from the receiving entry. Later orders are not included in this load.
  OrderId orders_seen = 0;
  /// Runs of all entries that ended well, and that failed, in tenths; older ones weigh less.
  std::uint16_t recent_done = 0;
  std::uint16_t recent_failed = 0;

  friend bool operator==(const WorkerLoad&, const WorkerLoad&) = default;
};

/// Sidecar to entry: the ends of tasks that it has not sent yet or that were lost.
struct TaskReports {
  WorkerLoad load;
  std::vector<TaskReport> reports;
  /// The receiver has acknowledged all ends up to this sequence.
  std::uint64_t acknowledged = 0;

  friend bool operator==(const TaskReports&, const TaskReports&) = default;
};

/// Sidecar to every entry: sent every report period to the entries that want reports or have tasks
/// here, every presence period to the others.
struct WorkerReport {
  /// Send time on the sidecar's boot-time clock. The entry's echo renews its permit.
  SteadyTime sent_at;
  /// Newest version among the StateDocuments that the sidecar holds.
  Version state_version = 0;
  std::string service;
  std::string zone;
  /// Identifies one incarnation of the endpoint; empty if none has announced itself.
  std::string worker;
  std::vector<std::string> labels;
  Resources capacity;
  WorkerLoad load;
  /// False while the endpoint or the sidecar is leaving, or while no endpoint is known.
  bool accepting = false;
  /// No task started by an earlier incarnation of this sidecar still runs on the endpoint.
  bool earlier_runs_ended = false;
  /// Present ratio of measured to expected run time, in thousandths.
  std::uint32_t slowness_permille = 1000;
  /// All orders of the receiving entry that are queued or running on this sidecar.
  std::vector<OrderId> held;
  /// Digest of the entries that the sender is in contact with.
  std::uint64_t entries_digest = 0;
  /// Zone of the sidecar, also while no endpoint has announced itself.
  std::string sidecar_zone;
  /// The same ratio over the life of the endpoint, in thousandths.
  std::uint32_t baseline_slowness_permille = 1000;
  /// The sidecar may not know all claims that its earlier incarnation has granted.
  bool started_recently = false;

  friend bool operator==(const WorkerReport&, const WorkerReport&) = default;
};

/// A sidecar that can be a witness of claims (see ClaimJobs).
struct WitnessInfo {
  NodeId sidecar = 0;
  std::string zone;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const WitnessInfo&, const WitnessInfo&) = default;
};

/// How well an entry knows which other entries may hold claims.
enum class ClaimantKnowledge : std::uint8_t {
  /// It has started or been suspended recently, and others may have held claims before that.
  kNone,
  /// It has listened for so long that it has heard all of them.
  kComplete,
  /// It hears no process that is older than it, and the runs of all earlier ones have ended.
  kAllStarted,
};

/// Entry to a sidecar in reply to a WorkerReport, and when it wants reports; and to every entry
/// periodically.
struct EntryReport {
  /// sent_at of the receiver's newest WorkerReport; the epoch if there is none.
  SteadyTime echoed;
  Version state_version = 0;
  /// All task ends of the receiver up to this sequence have arrived.
  std::uint64_t reports_seen = 0;
  /// Internal addresses of the entries that the sender is in contact with, itself included; empty
  /// if the receiver has reported the same digest.
  std::vector<std::string> entries;
  /// Digest of these entries.
  std::uint64_t entries_digest = 0;
  /// The sender may place tasks at the receiver, which reports to it every report period.
  bool wants_reports = false;
  /// To an entry: the time within which the sender sends its next report.
  std::chrono::milliseconds next_within{0};
  /// To a sidecar: the shortest time between its load updates to the sender. Task ends are sent at
  /// once.
  std::chrono::milliseconds load_interval{0};
  /// To an entry: the sidecars that the sender is in contact with, unless the receiver has reported
  /// that it holds this list; and its digest.
  std::vector<WitnessInfo> sidecars;
  std::uint64_t sidecars_digest = 0;
  /// The sender chooses witnesses by its view of the sidecars.
  bool is_settled = false;
  /// To an entry: the digest of the receiver's list that the sender holds.
  std::uint64_t known_sidecars_digest = 0;
  /// The sender has started recently. Not set by one that was suspended.
  bool started_recently = false;
  /// To a sidecar that has started recently: digest of the incarnations of entries, the sender's
  /// included, that may hold claims as far as the sender knows. 0 if not set.
  std::uint64_t claimants_digest = 0;
  ClaimantKnowledge claimant_knowledge = ClaimantKnowledge::kNone;

  friend bool operator==(const EntryReport&, const EntryReport&) = default;
};

// Claims: before an entry places tasks of a job, a majority of the job's witnesses, which are
// sidecars, must have granted it the claim to the job. See docs/decisions/0009.

struct JobClaim {
  JobName job;
  /// Tasks are known to endpoints by the job's ID alone, so jobs with the same ID that use the same
  /// service exclude each other.
  std::string service;
  /// The sender holds the claim: a majority of the witnesses has granted it.
  bool is_held = false;

  friend bool operator==(const JobClaim&, const JobClaim&) = default;
};

/// Entry to witness: grants requested or renewed.
struct ClaimJobs {
  /// Echoed in the answers; strictly increasing for each sender.
  SteadyTime sent_at;
  std::vector<JobClaim> claims;

  friend bool operator==(const ClaimJobs&, const ClaimJobs&) = default;
};

/// Final result of a job that was executed.
enum class JobOutcome : std::uint8_t { kNone, kCompleted, kFailed };

enum class ClaimStatus : std::uint8_t {
  kGranted,
  /// Another entry has the grant.
  kHeld,
  /// The job has ended a short time ago; see `outcome`.
  kEnded,
  /// The witness does not know all grants of its previous incarnation, or remembers too many.
  kUndecided,
};

struct ClaimAnswer {
  JobName job;
  ClaimStatus status = ClaimStatus::kUndecided;
  NodeRef holder;
  /// The holder claimed another job with the same ID.
  bool is_other_job = false;
  /// How long the holder has had the grant.
  std::chrono::milliseconds held_for{0};
  JobOutcome outcome = JobOutcome::kNone;
  /// A task of the job may have run under an earlier claim that ended without an outcome.
  bool may_have_run = false;

  friend bool operator==(const ClaimAnswer&, const ClaimAnswer&) = default;
};

/// Witness to entry, in reply to ClaimJobs.
struct ClaimAnswers {
  SteadyTime echoed;
  std::vector<ClaimAnswer> answers;

  friend bool operator==(const ClaimAnswers&, const ClaimAnswers&) = default;
};

/// Entry to witness: the sender gives up its grant for a job. No run of the job that it has placed
/// remains.
struct ReleaseClaim {
  JobName job;
  /// Remembered for requests for the job that arrive later, unless kNone.
  JobOutcome outcome = JobOutcome::kNone;
  /// A task of the job may have run under this claim or an earlier one.
  bool may_have_run = false;

  friend bool operator==(const ReleaseClaim&, const ReleaseClaim&) = default;
};

/// Entry to the entry that holds the claim of a job: callers of the sender wait for the job too.
/// Repeated while they do.
struct AttachToJob {
  JobClaim claim;
  std::chrono::milliseconds time_to_deadline{0};
  /// The callers of the sender no longer wait.
  bool is_detached = false;
  /// A task of the job may have run under a claim other than the receiver's.
  bool may_have_run = false;

  friend bool operator==(const AttachToJob&, const AttachToJob&) = default;
};

enum class AttachedJobState : std::uint8_t {
  /// The sender holds the claim and will tell the end.
  kInProgress,
  kCompleted,
  kFailed,
  kRefused,
  kGivenUp,
  /// The sender does not hold the job.
  kUnknown,
};

/// Reply to AttachToJob, and again when the job has ended.
struct AttachedJobResult {
  JobName job;
  AttachedJobState state = AttachedJobState::kUnknown;
  ErrorKind reason = ErrorKind::kInternal;
  /// 0 if not set.
  std::chrono::milliseconds retry_after{0};

  friend bool operator==(const AttachedJobResult&, const AttachedJobResult&) = default;
};

/// Identifies a task of a job, whichever entry places it.
struct TaskName {
  JobName job;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const TaskName&, const TaskName&) = default;
};

/// Sidecar to every entry: its endpoint has crashed under these tasks.
struct EndpointCrash {
  /// Identifies the crash; the same for the same incarnation of an endpoint.
  std::uint64_t crash = 0;
  std::vector<TaskName> suspects;

  friend bool operator==(const EndpointCrash&, const EndpointCrash&) = default;
};

/// One versioned document of the operators' state, as stored.
struct StateDocument {
  std::string name;
  Version version = 0;
  bool removed = false;
  /// The text as stored, or compressed with zlib.
  std::string text;
  bool is_compressed = false;

  friend bool operator==(const StateDocument&, const StateDocument&) = default;
};

/// Between any two processes: send me all StateDocuments above this version.
struct StateRequest {
  Version after = 0;

  friend bool operator==(const StateRequest&, const StateRequest&) = default;
};

/// Answer to a StateRequest: all StateDocuments above the requested version that the sender holds.
struct AgreedState {
  std::vector<StateDocument> documents;

  friend bool operator==(const AgreedState&, const AgreedState&) = default;
};

}  // namespace foxtailrudder
