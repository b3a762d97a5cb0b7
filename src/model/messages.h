#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "model/dispatch_messages.h"
#include "model/error_kind.h"
#include "model/ids.h"
#include "model/job.h"
#include "model/rows.h"
#include "model/time.h"

namespace foxtailrudder {

/// Version of the internal protocol. A peer with another version is refused in the Hello handshake.
inline constexpr std::uint32_t kProtocolVersion = 4;

// Sidecar to its home entry, which is the entry that it sends heartbeats to, and the reply.

/// Sent every heartbeat period; also requests to join, to leave or to change the member record.
struct Heartbeat {
  std::uint64_t sequence = 0;
  /// Send time on the sender's steady clock. The entry only echoes it.
  SteadyTime sent_at;
  /// Versions that the sidecar uses; sending them acknowledges them.
  Version control_version = 0;
  Version members_version = 0;
  Version bundle_version = 0;
  /// Requested record in the member row; sent until the row contains it.
  std::optional<Member> announcement;
  /// Requests the state kDraining, for a planned stop or because the endpoint leaves.
  bool drain = false;
  /// The drain is complete; requests removal from the member row.
  bool leave = false;
  std::uint32_t running_tasks = 0;
  std::uint32_t queued_tasks = 0;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// Why a heartbeat reply grants no start permit. A permit is the time in which a sidecar may start
/// tasks (start permit) or, as a coordinator, make decisions for its shards (decide permit).
/// kZoneOut and kDraining refuse the start permit only.
enum class PermitRefusal : std::uint8_t {
  kNone,
  kNotMember,
  kVersionsNotCurrent,
  /// The entry's own copies of the rows are not known to be current.
  kEntryNotFresh,
  kZoneOut,
  kDraining,
};

struct HeartbeatReply {
  std::uint64_t sequence = 0;
  SteadyTime sent_at;
  /// Duration of the decide permit, counted from sent_at; zero if refused.
  std::chrono::milliseconds decide_permit{0};
  /// Duration of the start permit, counted from sent_at; zero if refused.
  std::chrono::milliseconds start_permit{0};
  PermitRefusal refusal = PermitRefusal::kNone;
  /// Current rows; each is set only if the sidecar's copy is older.
  std::optional<ControlRow> control;
  std::optional<MembersDelta> members;
  /// Text of the bundle (JSON); set if the sidecar's copy is older.
  std::optional<std::string> bundle;

  friend bool operator==(const HeartbeatReply&, const HeartbeatReply&) = default;
};

// Entry to entry.

/// The last contact of an entry with a sidecar, and the versions that the sidecar acknowledged.
struct HeardSidecar {
  NodeRef sidecar;
  /// Time from the sidecar's last heartbeat to the sending of the status.
  std::chrono::milliseconds age{0};
  Version control_version = 0;
  Version members_version = 0;

  friend bool operator==(const HeardSidecar&, const HeardSidecar&) = default;
};

struct TeamDemand {
  std::string team;
  /// Recent rate at which callers have submitted tasks to this entry.
  std::uint32_t tasks_per_second = 0;

  friend bool operator==(const TeamDemand&, const TeamDemand&) = default;
};

/// Sent every heartbeat period to each entry in the member row.
struct PeerStatus {
  Version control_version = 0;
  Version members_version = 0;
  std::vector<HeardSidecar> heard;
  std::vector<TeamDemand> demands;

  friend bool operator==(const PeerStatus&, const PeerStatus&) = default;
};

/// Asks whether the sender's copies of the rows are current. The receiver does not confirm them if
/// it knows a newer version or has promised one (PromiseRequest).
struct ConfirmRequest {
  std::uint64_t question = 0;
  Version control_version = 0;
  Version members_version = 0;

  friend bool operator==(const ConfirmRequest&, const ConfirmRequest&) = default;
};

struct ConfirmReply {
  std::uint64_t question = 0;
  bool confirmed = false;

  friend bool operator==(const ConfirmReply&, const ConfirmReply&) = default;
};

enum class RowKind : std::uint8_t { kControl, kMembers };

/// Asks the receiver to promise that it confirms no copies (ConfirmRequest) until it has read the
/// row at new_version or later.
struct PromiseRequest {
  std::string change_id;
  RowKind row = RowKind::kControl;
  Version new_version = 0;

  friend bool operator==(const PromiseRequest&, const PromiseRequest&) = default;
};

struct PromiseReply {
  std::string change_id;
  bool promised = false;

  friend bool operator==(const PromiseReply&, const PromiseReply&) = default;
};

// Entry to coordinator, and the replies. The coordinator of a job is the sidecar that owns the
// shard of its key; a claim is the coordinator's record of the job.

struct ForwardJob {
  JobSpec job;
  SubmissionId submission;
  /// Version of the member row by which the sender determined the owner.
  Version members_version = 0;
  /// The durable claim of the key belongs to another submission, so the coordinator must attach
  /// this submission to that claim and never create one.
  bool attach_only = false;

  friend bool operator==(const ForwardJob&, const ForwardJob&) = default;
};

struct JobReply {
  JobKey key;
  SubmissionId submission;
  Version members_version = 0;
  JobAnswer answer;

  friend bool operator==(const JobReply&, const JobReply&) = default;
};

struct CancelJob {
  JobKey key;
  SubmissionId submission;

  friend bool operator==(const CancelJob&, const CancelJob&) = default;
};

/// Requests the state of a job without submitting it.
struct QueryJob {
  JobKey key;
  SubmissionId submission;

  friend bool operator==(const QueryJob&, const QueryJob&) = default;
};

/// Reply to QueryJob: the job is unknown (kNotFound), in progress or ended.
struct JobStatus {
  JobKey key;
  SubmissionId submission;
  std::variant<JobProgress, JobComplete, Error> state;

  friend bool operator==(const JobStatus&, const JobStatus&) = default;
};

// Coordinator to executor, and the replies. The executor is the sidecar that starts the task on its
// endpoint.

struct DispatchTask {
  TaskRef task;
  std::uint64_t digest = 0;
  std::string service;
  std::string task_id;
  std::string payload;
  bool idempotent = true;
  /// Increases with every dispatch from this coordinator incarnation to this executor.
  std::uint64_t sequence = 0;
  Version members_version = 0;
  /// The executor refuses to start the task after this time.
  WallTime start_deadline;
  WallTime job_deadline;

  friend bool operator==(const DispatchTask&, const DispatchTask&) = default;
};

/// The executor has not started the task and will not start it for this dispatch.
struct TaskRefused {
  TaskRef task;
  std::uint64_t sequence = 0;
  ErrorKind reason = ErrorKind::kNoFreeSlot;
  std::uint32_t free_slots = 0;

  friend bool operator==(const TaskRefused&, const TaskRefused&) = default;
};

struct TaskFinished {
  TaskRef task;
  std::uint64_t sequence = 0;
  TaskOutcome outcome;
  std::chrono::milliseconds run_time{0};
  /// Flow-control credit: number of free slots at the executor.
  std::uint32_t free_slots = 0;

  friend bool operator==(const TaskFinished&, const TaskFinished&) = default;
};

struct CancelTask {
  TaskRef task;
  std::uint64_t sequence = 0;

  friend bool operator==(const CancelTask&, const CancelTask&) = default;
};

/// Requests the state of a dispatched task. From then on, the executor refuses every dispatch of
/// the sender up to `sequence` that has not arrived yet, and sends the task's outcome to the
/// sender.
struct TaskQuery {
  TaskRef task;
  std::uint64_t sequence = 0;

  friend bool operator==(const TaskQuery&, const TaskQuery&) = default;
};

enum class StartState : std::uint8_t { kNeverStarted, kRunning, kFinished };

struct TaskState {
  TaskRef task;
  std::uint64_t sequence = 0;
  StartState state = StartState::kNeverStarted;
  /// Set if state is kFinished.
  std::optional<TaskOutcome> outcome;

  friend bool operator==(const TaskState&, const TaskState&) = default;
};

// Transfer of shards to a new owner. In a handover, the former owner sends its claims. In a
// takeover, the new owner rebuilds them from evidence: the forward records of entries and the start
// records of executors.

/// Requests the records of the given shards: forward records from an entry, start records from an
/// executor.
struct EvidenceRequest {
  std::uint64_t question = 0;
  Version members_version = 0;
  std::vector<ShardId> shards;

  friend bool operator==(const EvidenceRequest&, const EvidenceRequest&) = default;
};

/// State of a forwarded job, as known to the entry that forwarded it.
enum class ForwardState : std::uint8_t { kPending, kComplete, kFailed, kRefusedNotRun };

/// An entry's record of a job that it forwarded to a coordinator.
struct ForwardRecord {
  JobKey key;
  std::uint64_t digest = 0;
  std::uint32_t task_count = 0;
  WallTime deadline;
  ForwardState state = ForwardState::kPending;
  /// The error that the caller received, for kFailed and kRefusedNotRun.
  std::optional<Error> failure;

  friend bool operator==(const ForwardRecord&, const ForwardRecord&) = default;
};

/// An executor's record of a task that it started.
struct StartRecord {
  TaskRef task;
  std::uint64_t digest = 0;
  WallTime job_deadline;
  StartState state = StartState::kRunning;
  std::optional<TaskOutcome> outcome;

  friend bool operator==(const StartRecord&, const StartRecord&) = default;
};

/// A long reply is sent in several parts, of which the last has `complete` set.
struct EvidenceReply {
  std::uint64_t question = 0;
  bool complete = true;
  std::vector<ForwardRecord> forwards;
  std::vector<StartRecord> starts;

  friend bool operator==(const EvidenceReply&, const EvidenceReply&) = default;
};

/// Asks the presumed former owner to hand over shards.
struct HandoverRequest {
  Version members_version = 0;
  std::vector<ShardId> shards;

  friend bool operator==(const HandoverRequest&, const HandoverRequest&) = default;
};

/// One task of a claim in a handover.
struct ClaimTask {
  /// Executor to which the task was dispatched, if its outcome is not known yet.
  NodeRef executor;
  std::uint64_t sequence = 0;
  std::optional<TaskOutcome> outcome;

  friend bool operator==(const ClaimTask&, const ClaimTask&) = default;
};

/// A claim with its complete state at the coordinator.
struct ClaimRecord {
  /// Contains no payloads once the job has ended.
  JobSpec job;
  std::vector<SubmissionId> waiting;
  std::vector<SubmissionId> refused;
  std::vector<ClaimTask> tasks;
  std::optional<JobAnswer> answer;
  bool cancelled = false;

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// Reply to HandoverRequest for one shard. Several parts may be sent; the last has `complete` set.
struct Handover {
  ShardId shard = 0;
  Version members_version = 0;
  /// If false, the sender made no decisions for the shard and the claims must be rebuilt from
  /// evidence.
  bool authoritative = false;
  /// Set while the shard is in doubt: all processes that knew some of its keys may have been lost.
  /// Until then, a job whose key is not known is answered with outcome_unknown.
  std::optional<WallTime> doubt_until;
  bool complete = true;
  std::vector<ClaimRecord> claims;

  friend bool operator==(const Handover&, const Handover&) = default;
};

struct HandoverAck {
  ShardId shard = 0;
  Version members_version = 0;
  /// The sender has lost the shard again without having decided for it, and will not take over
  /// these claims: the former owner's claims are still complete.
  bool declined = false;

  friend bool operator==(const HandoverAck&, const HandoverAck&) = default;
};

/// The message was addressed to another incarnation of the receiver. This does not tell whether the
/// message took effect there.
struct WrongIncarnation {
  Incarnation meant = 0;

  friend bool operator==(const WrongIncarnation&, const WrongIncarnation&) = default;
};

using Message =
    std::variant<Heartbeat, HeartbeatReply, PeerStatus, ConfirmRequest, ConfirmReply,
                 PromiseRequest, PromiseReply, ForwardJob, JobReply, CancelJob, QueryJob, JobStatus,
                 DispatchTask, TaskRefused, TaskFinished, CancelTask, TaskQuery, TaskState,
                 EvidenceRequest, EvidenceReply, HandoverRequest, Handover, HandoverAck,
                 WrongIncarnation, PlaceTasks, WithdrawTasks, TaskReports, WorkerReport,
                 EntryReport, AgreedState, StateRequest, EndpointCrash, ClaimJobs, ClaimAnswers,
                 ReleaseClaim, AttachToJob, AttachedJobResult>;

/// A message with its sender and its addressee.
struct Envelope {
  NodeRef from;
  /// Incarnation 0 addresses the current incarnation (heartbeats, peer status).
  NodeRef to;
  Message message;

  friend bool operator==(const Envelope&, const Envelope&) = default;
};

/// The snake_case name of a message type, for logs and counters.
std::string_view MessageName(const Message& message);
/// The same for an index of Message's alternatives.
std::string_view MessageNameAt(std::size_t index);

}  // namespace foxtailrudder
