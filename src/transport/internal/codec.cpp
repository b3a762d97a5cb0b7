#include "transport/codec.h"

#include <flatbuffers/flatbuffers.h>

#include <algorithm>
#include <type_traits>
#include <utility>

#include "messages_generated.h"

namespace foxtailrudder {
namespace {

namespace fb = flatbuffers;

// The type value of the wire union is the index in the Message variant plus one, because 0 is NONE.
static_assert(static_cast<std::size_t>(wire::Message::MAX) == std::variant_size_v<Message>);
static_assert(std::is_same_v<std::variant_alternative_t<0, Message>, Heartbeat>);
static_assert(std::is_same_v<std::variant_alternative_t<12, Message>, DispatchTask>);
static_assert(std::is_same_v<std::variant_alternative_t<23, Message>, WrongIncarnation>);

/// Longer durations, positive or negative, are rejected so that later arithmetic in nanoseconds
/// cannot overflow.
constexpr std::int64_t kMaxDurationMs = 1'000'000'000'000;

constexpr std::size_t kInitialBufferBytes = 1024;

// Encoding.

template <typename Clock>
std::int64_t ToNanoseconds(std::chrono::time_point<Clock, std::chrono::nanoseconds> time) {
  return time.time_since_epoch().count();
}

template <typename WireEnum, typename Enum>
WireEnum ToWireEnum(Enum value) {
  return static_cast<WireEnum>(value);
}

wire::NodeRef ToWireStruct(const NodeRef& node) { return {node.id, node.incarnation}; }

wire::SubmissionId ToWireStruct(const SubmissionId& submission) {
  return {ToWireStruct(submission.entry), submission.request};
}

wire::Resources ToWireStruct(const Resources& resources) {
  return {resources.cpu_millicores, resources.memory_mib, resources.gpus};
}

wire::WorkerLoad ToWireStruct(const WorkerLoad& load) {
  return {ToWireStruct(load.free), load.recent_done, load.recent_failed, load.queued_millicores,
          load.orders_seen};
}

/// Builds one buffer. Strings are never shared within it; Reader relies on this.
class Writer {
 public:
  fb::FlatBufferBuilder builder{kInitialBufferBytes};

  fb::Offset<fb::String> Put(const std::string& text) { return builder.CreateString(text); }

  template <typename T>
  auto PutOptional(const std::optional<T>& value) {
    using Offset = decltype(Put(*value));
    return value ? Put(*value) : Offset{};
  }

  template <typename T>
  auto PutAll(const std::vector<T>& values) {
    using Offset = decltype(Put(values.front()));
    std::vector<Offset> offsets;
    offsets.reserve(values.size());
    for (const T& value : values) {
      offsets.push_back(Put(value));
    }
    return builder.CreateVector(offsets);
  }

  auto PutSubmissions(const std::vector<SubmissionId>& values) {
    std::vector<wire::SubmissionId> structs;
    structs.reserve(values.size());
    for (const SubmissionId& value : values) {
      structs.push_back(ToWireStruct(value));
    }
    return builder.CreateVectorOfStructs(structs);
  }

  fb::Offset<wire::Error> Put(const Error& error) {
    const auto kind = builder.CreateString(std::string(ErrorAnswerOf(error.kind).name));
    return wire::CreateError(builder, kind, Put(error.detail));
  }

  fb::Offset<wire::JobKey> Put(const JobKey& key) {
    const auto team = Put(key.team);
    return wire::CreateJobKey(builder, team, Put(key.idempotency_key));
  }

  fb::Offset<wire::TaskRef> Put(const TaskRef& task) {
    return wire::CreateTaskRef(builder, Put(task.job), task.index);
  }

  fb::Offset<wire::TaskSpec> Put(const TaskSpec& task) {
    const auto id = Put(task.id);
    const auto payload = Put(task.payload);
    wire::TaskSpecBuilder table(builder);
    table.add_id(id);
    table.add_payload(payload);
    if (task.size) {
      table.add_size(*task.size);
    }
    if (task.run_time_hint) {
      table.add_run_time_hint(task.run_time_hint->count());
    }
    return table.Finish();
  }

  fb::Offset<wire::JobSpec> Put(const JobSpec& job) {
    const auto key = Put(job.key);
    const auto service = Put(job.service);
    const auto tasks = PutAll(job.tasks);
    return wire::CreateJobSpec(builder, key, service, ToWireEnum<wire::Urgency>(job.urgency),
                               ToNanoseconds(job.deadline), job.idempotent, tasks, job.digest);
  }

  fb::Offset<wire::TaskResult> Put(const TaskResult& result) {
    const auto id = Put(result.task_id);
    return wire::CreateTaskResult(builder, id, result.status, Put(result.body));
  }

  fb::Offset<wire::JobComplete> Put(const JobComplete& complete) {
    return wire::CreateJobComplete(builder, PutAll(complete.results));
  }

  fb::Offset<wire::JobProgress> Put(const JobProgress& progress) {
    return wire::CreateJobProgress(builder, progress.queued, progress.running, progress.finished);
  }

  fb::Offset<wire::JobAnswer> Put(const JobAnswer& answer) {
    if (const auto* complete = std::get_if<JobComplete>(&answer)) {
      return wire::CreateJobAnswer(builder, Put(*complete), {});
    }
    return wire::CreateJobAnswer(builder, {}, Put(std::get<Error>(answer)));
  }

  fb::Offset<wire::TaskOutcome> Put(const TaskOutcome& outcome) {
    if (const auto* result = std::get_if<TaskResult>(&outcome)) {
      return wire::CreateTaskOutcome(builder, Put(*result), {});
    }
    return wire::CreateTaskOutcome(builder, {}, Put(std::get<Error>(outcome)));
  }

  fb::Offset<wire::Member> Put(const Member& member) {
    const auto name = Put(member.name);
    const auto address = Put(member.address);
    const auto http_address = Put(member.http_address);
    const auto zone = Put(member.zone);
    const auto rack = Put(member.rack);
    const auto worker = Put(member.worker);
    const auto service = Put(member.service);
    return wire::CreateMember(builder, member.id, member.incarnation, name,
                              ToWireEnum<wire::NodeRole>(member.role),
                              ToWireEnum<wire::MemberState>(member.state), address, http_address,
                              zone, rack, worker, service, member.slots, member.connections,
                              member.joined_version, ToNanoseconds(member.joined_at));
  }

  fb::Offset<wire::Tombstone> Put(const Tombstone& tombstone) {
    const auto service = Put(tombstone.service);
    const auto zone = Put(tombstone.zone);
    const auto rack = Put(tombstone.rack);
    return wire::CreateTombstone(
        builder, tombstone.id, tombstone.incarnation, ToWireEnum<wire::NodeRole>(tombstone.role),
        service, zone, rack, ToNanoseconds(tombstone.lost_at), ToNanoseconds(tombstone.keep_until));
  }

  fb::Offset<wire::MembersDelta> Put(const MembersDelta& delta) {
    const auto upserts = PutAll(delta.upserts);
    const auto removals = builder.CreateVector(delta.removals);
    return wire::CreateMembersDelta(builder, delta.from_version, delta.to_version, upserts,
                                    removals, PutAll(delta.tombstones));
  }

  fb::Offset<wire::ChangeRecord> Put(const ChangeRecord& change) {
    const auto id = Put(change.change_id);
    const auto operator_name = Put(change.operator_name);
    return wire::CreateChangeRecord(builder, id, operator_name, Put(change.summary),
                                    change.version);
  }

  fb::Offset<wire::ZoneRecord> Put(const ZoneRecord& zone) {
    return wire::CreateZoneRecord(builder, Put(zone.zone), ToWireEnum<wire::ZoneState>(zone.state),
                                  zone.changed_version, ToNanoseconds(zone.returned_at));
  }

  fb::Offset<wire::DrainRecord> Put(const DrainRecord& drain) {
    return wire::CreateDrainRecord(builder, drain.id, Put(drain.name), drain.changed_version);
  }

  fb::Offset<wire::BundleProposal> Put(const BundleProposal& proposal) {
    const auto digest = Put(proposal.digest);
    return wire::CreateBundleProposal(builder, digest, Put(proposal.proposed_by),
                                      ToNanoseconds(proposal.proposed_at));
  }

  fb::Offset<wire::AcceptedBundle> Put(const AcceptedBundle& bundle) {
    const auto digest = Put(bundle.digest);
    const auto proposed_by = Put(bundle.proposed_by);
    const auto approved_by = Put(bundle.approved_by);
    return wire::CreateAcceptedBundle(builder, bundle.bundle_version, digest, proposed_by,
                                      approved_by, ToNanoseconds(bundle.accepted_at));
  }

  fb::Offset<wire::ControlRow> Put(const ControlRow& row) {
    const auto bundle = Put(row.bundle);
    const auto history = PutAll(row.bundle_history);
    const auto proposals = PutAll(row.proposals);
    const auto zones = PutAll(row.zones);
    const auto drains = PutAll(row.drains);
    return wire::CreateControlRow(builder, row.version, bundle, history, proposals, zones, drains,
                                  PutAll(row.changes));
  }

  fb::Offset<wire::Heartbeat> Put(const Heartbeat& m) {
    return wire::CreateHeartbeat(builder, m.sequence, ToNanoseconds(m.sent_at), m.control_version,
                                 m.members_version, m.bundle_version, PutOptional(m.announcement),
                                 m.drain, m.leave, m.running_tasks, m.queued_tasks);
  }

  fb::Offset<wire::HeartbeatReply> Put(const HeartbeatReply& m) {
    const auto control = PutOptional(m.control);
    const auto members = PutOptional(m.members);
    return wire::CreateHeartbeatReply(builder, m.sequence, ToNanoseconds(m.sent_at),
                                      m.decide_permit.count(), m.start_permit.count(),
                                      ToWireEnum<wire::PermitRefusal>(m.refusal), control, members,
                                      PutOptional(m.bundle));
  }

  fb::Offset<wire::HeardSidecar> Put(const HeardSidecar& heard) {
    const wire::NodeRef sidecar = ToWireStruct(heard.sidecar);
    return wire::CreateHeardSidecar(builder, &sidecar, heard.age.count(), heard.control_version,
                                    heard.members_version);
  }

  fb::Offset<wire::TeamDemand> Put(const TeamDemand& demand) {
    return wire::CreateTeamDemand(builder, Put(demand.team), demand.tasks_per_second);
  }

  fb::Offset<wire::PeerStatus> Put(const PeerStatus& m) {
    const auto heard = PutAll(m.heard);
    return wire::CreatePeerStatus(builder, m.control_version, m.members_version, heard,
                                  PutAll(m.demands));
  }

  fb::Offset<wire::ConfirmRequest> Put(const ConfirmRequest& m) {
    return wire::CreateConfirmRequest(builder, m.question, m.control_version, m.members_version);
  }

  fb::Offset<wire::ConfirmReply> Put(const ConfirmReply& m) {
    return wire::CreateConfirmReply(builder, m.question, m.confirmed);
  }

  fb::Offset<wire::PromiseRequest> Put(const PromiseRequest& m) {
    return wire::CreatePromiseRequest(builder, Put(m.change_id), ToWireEnum<wire::RowKind>(m.row),
                                      m.new_version);
  }

  fb::Offset<wire::PromiseReply> Put(const PromiseReply& m) {
    return wire::CreatePromiseReply(builder, Put(m.change_id), m.promised);
  }

  fb::Offset<wire::ForwardJob> Put(const ForwardJob& m) {
    const wire::SubmissionId submission = ToWireStruct(m.submission);
    return wire::CreateForwardJob(builder, Put(m.job), &submission, m.members_version,
                                  m.attach_only);
  }

  fb::Offset<wire::JobReply> Put(const JobReply& m) {
    const wire::SubmissionId submission = ToWireStruct(m.submission);
    const auto key = Put(m.key);
    return wire::CreateJobReply(builder, key, &submission, m.members_version, Put(m.answer));
  }

  fb::Offset<wire::CancelJob> Put(const CancelJob& m) {
    const wire::SubmissionId submission = ToWireStruct(m.submission);
    return wire::CreateCancelJob(builder, Put(m.key), &submission);
  }

  fb::Offset<wire::QueryJob> Put(const QueryJob& m) {
    const wire::SubmissionId submission = ToWireStruct(m.submission);
    return wire::CreateQueryJob(builder, Put(m.key), &submission);
  }

  fb::Offset<wire::JobStatus> Put(const JobStatus& m) {
    const wire::SubmissionId submission = ToWireStruct(m.submission);
    const auto key = Put(m.key);
    if (const auto* progress = std::get_if<JobProgress>(&m.state)) {
      return wire::CreateJobStatus(builder, key, &submission, Put(*progress), {}, {});
    }
    if (const auto* complete = std::get_if<JobComplete>(&m.state)) {
      return wire::CreateJobStatus(builder, key, &submission, {}, Put(*complete), {});
    }
    return wire::CreateJobStatus(builder, key, &submission, {}, {}, Put(std::get<Error>(m.state)));
  }

  fb::Offset<wire::DispatchTask> Put(const DispatchTask& m) {
    const auto task = Put(m.task);
    const auto service = Put(m.service);
    const auto id = Put(m.task_id);
    const auto payload = Put(m.payload);
    return wire::CreateDispatchTask(builder, task, m.digest, service, id, payload, m.idempotent,
                                    m.sequence, m.members_version, ToNanoseconds(m.start_deadline),
                                    ToNanoseconds(m.job_deadline));
  }

  fb::Offset<wire::TaskRefused> Put(const TaskRefused& m) {
    const auto task = Put(m.task);
    const auto reason = builder.CreateString(std::string(ErrorAnswerOf(m.reason).name));
    return wire::CreateTaskRefused(builder, task, m.sequence, reason, m.free_slots);
  }

  fb::Offset<wire::TaskFinished> Put(const TaskFinished& m) {
    const auto task = Put(m.task);
    return wire::CreateTaskFinished(builder, task, m.sequence, Put(m.outcome), m.run_time.count(),
                                    m.free_slots);
  }

  fb::Offset<wire::CancelTask> Put(const CancelTask& m) {
    return wire::CreateCancelTask(builder, Put(m.task), m.sequence);
  }

  fb::Offset<wire::TaskQuery> Put(const TaskQuery& m) {
    return wire::CreateTaskQuery(builder, Put(m.task), m.sequence);
  }

  fb::Offset<wire::TaskState> Put(const TaskState& m) {
    const auto task = Put(m.task);
    return wire::CreateTaskState(builder, task, m.sequence, ToWireEnum<wire::StartState>(m.state),
                                 PutOptional(m.outcome));
  }

  fb::Offset<wire::EvidenceRequest> Put(const EvidenceRequest& m) {
    return wire::CreateEvidenceRequest(builder, m.question, m.members_version,
                                       builder.CreateVector(m.shards));
  }

  fb::Offset<wire::ForwardRecord> Put(const ForwardRecord& record) {
    const auto key = Put(record.key);
    return wire::CreateForwardRecord(
        builder, key, record.digest, record.task_count, ToNanoseconds(record.deadline),
        ToWireEnum<wire::ForwardState>(record.state), PutOptional(record.failure));
  }

  fb::Offset<wire::StartRecord> Put(const StartRecord& record) {
    const auto task = Put(record.task);
    return wire::CreateStartRecord(builder, task, record.digest, ToNanoseconds(record.job_deadline),
                                   ToWireEnum<wire::StartState>(record.state),
                                   PutOptional(record.outcome));
  }

  fb::Offset<wire::EvidenceReply> Put(const EvidenceReply& m) {
    const auto forwards = PutAll(m.forwards);
    return wire::CreateEvidenceReply(builder, m.question, m.complete, forwards, PutAll(m.starts));
  }

  fb::Offset<wire::HandoverRequest> Put(const HandoverRequest& m) {
    return wire::CreateHandoverRequest(builder, m.members_version, builder.CreateVector(m.shards));
  }

  fb::Offset<wire::ClaimTask> Put(const ClaimTask& task) {
    const wire::NodeRef executor = ToWireStruct(task.executor);
    return wire::CreateClaimTask(builder, &executor, task.sequence, PutOptional(task.outcome));
  }

  fb::Offset<wire::ClaimRecord> Put(const ClaimRecord& claim) {
    const auto job = Put(claim.job);
    const auto waiting = PutSubmissions(claim.waiting);
    const auto refused = PutSubmissions(claim.refused);
    const auto tasks = PutAll(claim.tasks);
    return wire::CreateClaimRecord(builder, job, waiting, refused, tasks, PutOptional(claim.answer),
                                   claim.cancelled);
  }

  fb::Offset<wire::Handover> Put(const Handover& m) {
    const auto claims = PutAll(m.claims);
    wire::HandoverBuilder table(builder);
    table.add_shard(m.shard);
    table.add_members_version(m.members_version);
    table.add_authoritative(m.authoritative);
    if (m.doubt_until) {
      table.add_doubt_until(ToNanoseconds(*m.doubt_until));
    }
    table.add_complete(m.complete);
    table.add_claims(claims);
    return table.Finish();
  }

  fb::Offset<wire::HandoverAck> Put(const HandoverAck& m) {
    return wire::CreateHandoverAck(builder, m.shard, m.members_version, m.declined);
  }

  fb::Offset<wire::WrongIncarnation> Put(const WrongIncarnation& m) {
    return wire::CreateWrongIncarnation(builder, m.meant);
  }

  fb::Offset<wire::PlaceTasks> Put(const PlaceTasks& m) {
    const auto job = Put(m.job);
    const auto payload = Put(m.payload);
    const auto service = Put(m.service);
    const auto required_label = Put(m.required_label);
    std::vector<wire::PlacedTask> tasks;
    tasks.reserve(m.tasks.size());
    for (const PlacedTask& task : m.tasks) {
      tasks.emplace_back(task.order, task.index, task.attempt);
    }
    const wire::Resources demand = ToWireStruct(m.demand);
    return wire::CreatePlaceTasks(
        builder, job, m.step, payload, &demand, m.expected_run.count(), m.latest_start.count(),
        m.expires.count(), builder.CreateVectorOfStructs(tasks), m.alone, m.priority, service,
        required_label, m.is_estimated, m.usual_run.count(), m.earlier_stalls);
  }

  fb::Offset<wire::WithdrawTasks> Put(const WithdrawTasks& m) {
    return wire::CreateWithdrawTasks(builder, builder.CreateVector(m.orders));
  }

  fb::Offset<wire::TaskReport> Put(const TaskReport& m) {
    return wire::CreateTaskReport(builder, m.sequence, m.order, ToWireEnum<wire::TaskEnd>(m.end),
                                  m.run_time.count(), m.queue_time.count());
  }

  fb::Offset<wire::TaskReports> Put(const TaskReports& m) {
    const auto reports = PutAll(m.reports);
    const wire::WorkerLoad load = ToWireStruct(m.load);
    return wire::CreateTaskReports(builder, &load, reports, m.acknowledged);
  }

  fb::Offset<wire::WorkerReport> Put(const WorkerReport& m) {
    const auto service = Put(m.service);
    const auto zone = Put(m.zone);
    const auto worker = Put(m.worker);
    const auto labels = PutAll(m.labels);
    const auto held = builder.CreateVector(m.held);
    const wire::Resources capacity = ToWireStruct(m.capacity);
    const wire::WorkerLoad load = ToWireStruct(m.load);
    return wire::CreateWorkerReport(
        builder, ToNanoseconds(m.sent_at), m.state_version, service, zone, worker, labels,
        &capacity, &load, m.accepting, m.earlier_runs_ended, m.slowness_permille, held,
        m.entries_digest, Put(m.sidecar_zone), m.baseline_slowness_permille, m.started_recently);
  }

  fb::Offset<wire::EntryReport> Put(const EntryReport& m) {
    const auto entries = PutAll(m.entries);
    return wire::CreateEntryReport(builder, ToNanoseconds(m.echoed), m.state_version,
                                   m.reports_seen, entries, m.entries_digest, m.wants_reports,
                                   m.next_within.count(), m.load_interval.count(),
                                   PutAll(m.sidecars), m.sidecars_digest, m.is_settled,
                                   m.known_sidecars_digest, m.started_recently, m.claimants_digest,
                                   ToWireEnum<wire::ClaimantKnowledge>(m.claimant_knowledge));
  }

  fb::Offset<wire::WitnessInfo> Put(const WitnessInfo& witness) {
    return wire::CreateWitnessInfo(builder, witness.sidecar, Put(witness.zone));
  }

  fb::Offset<wire::JobName> Put(const JobName& job) {
    const auto queue = Put(job.queue);
    return wire::CreateJobName(builder, queue, Put(job.id));
  }

  fb::Offset<wire::JobClaim> Put(const JobClaim& claim) {
    const auto job = Put(claim.job);
    return wire::CreateJobClaim(builder, job, Put(claim.service), claim.is_held);
  }

  fb::Offset<wire::ClaimJobs> Put(const ClaimJobs& m) {
    return wire::CreateClaimJobs(builder, ToNanoseconds(m.sent_at), PutAll(m.claims));
  }

  fb::Offset<wire::ClaimAnswer> Put(const ClaimAnswer& answer) {
    const wire::NodeRef holder = ToWireStruct(answer.holder);
    return wire::CreateClaimAnswer(
        builder, Put(answer.job), ToWireEnum<wire::ClaimStatus>(answer.status), &holder,
        answer.is_other_job, answer.held_for.count(), ToWireEnum<wire::JobOutcome>(answer.outcome),
        answer.may_have_run);
  }

  fb::Offset<wire::ClaimAnswers> Put(const ClaimAnswers& m) {
    return wire::CreateClaimAnswers(builder, ToNanoseconds(m.echoed), PutAll(m.answers));
  }

  fb::Offset<wire::ReleaseClaim> Put(const ReleaseClaim& m) {
    return wire::CreateReleaseClaim(builder, Put(m.job), ToWireEnum<wire::JobOutcome>(m.outcome),
                                    m.may_have_run);
  }

  fb::Offset<wire::AttachToJob> Put(const AttachToJob& m) {
    return wire::CreateAttachToJob(builder, Put(m.claim), m.time_to_deadline.count(), m.is_detached,
                                   m.may_have_run);
  }

  fb::Offset<wire::AttachedJobResult> Put(const AttachedJobResult& m) {
    const auto job = Put(m.job);
    const auto reason = builder.CreateString(std::string(ErrorAnswerOf(m.reason).name));
    return wire::CreateAttachedJobResult(builder, job, ToWireEnum<wire::AttachedJobState>(m.state),
                                         reason, m.retry_after.count());
  }

  fb::Offset<wire::StateDocument> Put(const StateDocument& m) {
    const auto name = Put(m.name);
    return wire::CreateStateDocument(builder, name, m.version, m.removed, Put(m.text),
                                     m.is_compressed);
  }

  fb::Offset<wire::StateRequest> Put(const StateRequest& m) {
    return wire::CreateStateRequest(builder, m.after);
  }

  fb::Offset<wire::SuspectedTask> Put(const TaskName& m) {
    return wire::CreateSuspectedTask(builder, Put(m.job), m.step, m.index);
  }

  fb::Offset<wire::EndpointCrash> Put(const EndpointCrash& m) {
    return wire::CreateEndpointCrash(builder, m.crash, PutAll(m.suspects));
  }

  fb::Offset<wire::AgreedState> Put(const AgreedState& m) {
    return wire::CreateAgreedState(builder, PutAll(m.documents));
  }

  std::vector<std::uint8_t> CopyBytes() const {
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
  }
};

// Decoding.

/// Reads a verified buffer and checks what the FlatBuffers verifier does not: enum values, error
/// names, number ranges, and that exactly one of several alternative members is set.
class Reader {
 public:
  explicit Reader(std::size_t buffer_bytes) : m_string_budget(buffer_bytes) {}

  bool failed() const { return m_invalid_member != nullptr; }
  Error error() const {
    return {ErrorKind::kMalformedFrame, std::string("invalid message member ") + m_invalid_member};
  }

  void Fail(const char* member) {
    if (m_invalid_member == nullptr) {
      m_invalid_member = member;
    }
  }

  void Get(const fb::String& in, std::string& out) {
    // A crafted buffer can refer to one long string many times, and the copies would take far more
    // memory than the buffer. Writer never shares strings.
    if (in.size() > m_string_budget) {
      Fail("string (shared)");
      return;
    }
    m_string_budget -= in.size();
    out.assign(in.c_str(), in.size());
  }

  template <typename Clock>
  static void GetTime(std::int64_t in,
                      std::chrono::time_point<Clock, std::chrono::nanoseconds>& out) {
    out = std::chrono::time_point<Clock, std::chrono::nanoseconds>(std::chrono::nanoseconds(in));
  }

  void GetDuration(std::int64_t in, std::chrono::milliseconds& out, const char* member) {
    if (in < -kMaxDurationMs || in > kMaxDurationMs) {
      Fail(member);
      return;
    }
    out = std::chrono::milliseconds(in);
  }

  template <typename WireEnum, typename Enum>
  void GetEnum(WireEnum in, Enum& out, const char* member) {
    if (in > WireEnum::MAX) {
      Fail(member);
      return;
    }
    out = static_cast<Enum>(in);
  }

  void GetKind(const fb::String& in, ErrorKind& out) {
    const auto kind = ErrorKindFromName(std::string_view(in.c_str(), in.size()));
    if (!kind) {
      Fail("error kind");
      return;
    }
    out = *kind;
  }

  static void Get(const wire::NodeRef& in, NodeRef& out) { out = {in.id(), in.incarnation()}; }

  static void Get(const wire::SubmissionId& in, SubmissionId& out) {
    Get(in.entry(), out.entry);
    out.request = in.request();
  }

  template <typename In, typename Out>
  void GetOptional(const In* in, std::optional<Out>& out) {
    if (in != nullptr) {
      Get(*in, out.emplace());
    }
  }

  template <typename In, typename Out>
  void GetAll(const In& in, std::vector<Out>& out) {
    out.reserve(in.size());
    for (const auto* element : in) {
      if (failed()) {
        return;
      }
      Get(*element, out.emplace_back());
    }
  }

  void GetShards(const fb::Vector<std::uint16_t>& in, std::vector<ShardId>& out) {
    for (const std::uint16_t shard : in) {
      GetShard(shard, out.emplace_back());
    }
  }

  void GetShard(std::uint16_t in, ShardId& out) {
    if (in >= kShardCount) {
      Fail("shard");
    }
    out = in;
  }

  void Get(const wire::Error& in, Error& out) {
    GetKind(*in.kind(), out.kind);
    Get(*in.detail(), out.detail);
  }

  void Get(const wire::JobKey& in, JobKey& out) {
    Get(*in.team(), out.team);
    Get(*in.idempotency_key(), out.idempotency_key);
  }

  void Get(const wire::TaskRef& in, TaskRef& out) {
    Get(*in.job(), out.job);
    out.index = in.index();
  }

  void Get(const wire::TaskSpec& in, TaskSpec& out) {
    Get(*in.id(), out.id);
    Get(*in.payload(), out.payload);
    if (in.size().has_value()) {
      out.size = *in.size();
    }
    if (in.run_time_hint().has_value()) {
      GetDuration(*in.run_time_hint(), out.run_time_hint.emplace(), "run_time_hint");
    }
  }

  void Get(const wire::JobSpec& in, JobSpec& out) {
    Get(*in.key(), out.key);
    Get(*in.service(), out.service);
    GetEnum(in.urgency(), out.urgency, "urgency");
    GetTime(in.deadline(), out.deadline);
    out.idempotent = in.idempotent();
    GetAll(*in.tasks(), out.tasks);
    if (out.tasks.size() > kMaxTasksPerJob) {
      Fail("tasks");
    }
    out.digest = in.digest();
  }

  void Get(const wire::TaskResult& in, TaskResult& out) {
    Get(*in.task_id(), out.task_id);
    out.status = in.status();
    Get(*in.body(), out.body);
  }

  void Get(const wire::JobComplete& in, JobComplete& out) { GetAll(*in.results(), out.results); }

  static void Get(const wire::JobProgress& in, JobProgress& out) {
    out = {in.queued(), in.running(), in.finished()};
  }

  void Get(const wire::JobAnswer& in, JobAnswer& out) {
    if ((in.complete() != nullptr) == (in.error() != nullptr)) {
      Fail("answer");
    } else if (in.complete() != nullptr) {
      Get(*in.complete(), out.emplace<JobComplete>());
    } else {
      Get(*in.error(), out.emplace<Error>());
    }
  }

  void Get(const wire::TaskOutcome& in, TaskOutcome& out) {
    if ((in.result() != nullptr) == (in.error() != nullptr)) {
      Fail("outcome");
    } else if (in.result() != nullptr) {
      Get(*in.result(), out.emplace<TaskResult>());
    } else {
      Get(*in.error(), out.emplace<Error>());
    }
  }

  void Get(const wire::Member& in, Member& out) {
    out.id = in.id();
    out.incarnation = in.incarnation();
    Get(*in.name(), out.name);
    GetEnum(in.role(), out.role, "role");
    GetEnum(in.state(), out.state, "state");
    Get(*in.address(), out.address);
    Get(*in.http_address(), out.http_address);
    Get(*in.zone(), out.zone);
    Get(*in.rack(), out.rack);
    Get(*in.worker(), out.worker);
    Get(*in.service(), out.service);
    out.slots = in.slots();
    out.connections = in.connections();
    out.joined_version = in.joined_version();
    GetTime(in.joined_at(), out.joined_at);
  }

  void Get(const wire::Tombstone& in, Tombstone& out) {
    out.id = in.id();
    out.incarnation = in.incarnation();
    GetEnum(in.role(), out.role, "role");
    Get(*in.service(), out.service);
    Get(*in.zone(), out.zone);
    Get(*in.rack(), out.rack);
    GetTime(in.lost_at(), out.lost_at);
    GetTime(in.keep_until(), out.keep_until);
  }

  void Get(const wire::MembersDelta& in, MembersDelta& out) {
    out.from_version = in.from_version();
    out.to_version = in.to_version();
    GetAll(*in.upserts(), out.upserts);
    out.removals.assign(in.removals()->begin(), in.removals()->end());
    GetAll(*in.tombstones(), out.tombstones);
  }

  void Get(const wire::ChangeRecord& in, ChangeRecord& out) {
    Get(*in.change_id(), out.change_id);
    Get(*in.operator_name(), out.operator_name);
    Get(*in.summary(), out.summary);
    out.version = in.version();
  }

  void Get(const wire::ZoneRecord& in, ZoneRecord& out) {
    Get(*in.zone(), out.zone);
    GetEnum(in.state(), out.state, "state");
    out.changed_version = in.changed_version();
    GetTime(in.returned_at(), out.returned_at);
  }

  void Get(const wire::DrainRecord& in, DrainRecord& out) {
    out.id = in.id();
    Get(*in.name(), out.name);
    out.changed_version = in.changed_version();
  }

  void Get(const wire::BundleProposal& in, BundleProposal& out) {
    Get(*in.digest(), out.digest);
    Get(*in.proposed_by(), out.proposed_by);
    GetTime(in.proposed_at(), out.proposed_at);
  }

  void Get(const wire::AcceptedBundle& in, AcceptedBundle& out) {
    out.bundle_version = in.bundle_version();
    Get(*in.digest(), out.digest);
    Get(*in.proposed_by(), out.proposed_by);
    Get(*in.approved_by(), out.approved_by);
    GetTime(in.accepted_at(), out.accepted_at);
  }

  void Get(const wire::ControlRow& in, ControlRow& out) {
    out.version = in.version();
    Get(*in.bundle(), out.bundle);
    GetAll(*in.bundle_history(), out.bundle_history);
    GetAll(*in.proposals(), out.proposals);
    GetAll(*in.zones(), out.zones);
    GetAll(*in.drains(), out.drains);
    GetAll(*in.changes(), out.changes);
  }

  void Get(const wire::Heartbeat& in, Heartbeat& out) {
    out.sequence = in.sequence();
    GetTime(in.sent_at(), out.sent_at);
    out.control_version = in.control_version();
    out.members_version = in.members_version();
    out.bundle_version = in.bundle_version();
    GetOptional(in.announcement(), out.announcement);
    out.drain = in.drain();
    out.leave = in.leave();
    out.running_tasks = in.running_tasks();
    out.queued_tasks = in.queued_tasks();
  }

  void Get(const wire::HeartbeatReply& in, HeartbeatReply& out) {
    out.sequence = in.sequence();
    GetTime(in.sent_at(), out.sent_at);
    GetDuration(in.decide_permit(), out.decide_permit, "decide_permit");
    GetDuration(in.start_permit(), out.start_permit, "start_permit");
    GetEnum(in.refusal(), out.refusal, "refusal");
    GetOptional(in.control(), out.control);
    GetOptional(in.members(), out.members);
    GetOptional(in.bundle(), out.bundle);
  }

  void Get(const wire::HeardSidecar& in, HeardSidecar& out) {
    Get(*in.sidecar(), out.sidecar);
    GetDuration(in.age(), out.age, "age");
    out.control_version = in.control_version();
    out.members_version = in.members_version();
  }

  void Get(const wire::TeamDemand& in, TeamDemand& out) {
    Get(*in.team(), out.team);
    out.tasks_per_second = in.tasks_per_second();
  }

  void Get(const wire::PeerStatus& in, PeerStatus& out) {
    out.control_version = in.control_version();
    out.members_version = in.members_version();
    GetAll(*in.heard(), out.heard);
    GetAll(*in.demands(), out.demands);
  }

  static void Get(const wire::ConfirmRequest& in, ConfirmRequest& out) {
    out = {in.question(), in.control_version(), in.members_version()};
  }

  static void Get(const wire::ConfirmReply& in, ConfirmReply& out) {
    out = {in.question(), in.confirmed()};
  }

  void Get(const wire::PromiseRequest& in, PromiseRequest& out) {
    Get(*in.change_id(), out.change_id);
    GetEnum(in.row(), out.row, "row");
    out.new_version = in.new_version();
  }

  void Get(const wire::PromiseReply& in, PromiseReply& out) {
    Get(*in.change_id(), out.change_id);
    out.promised = in.promised();
  }

  void Get(const wire::ForwardJob& in, ForwardJob& out) {
    Get(*in.job(), out.job);
    Get(*in.submission(), out.submission);
    out.members_version = in.members_version();
    out.attach_only = in.attach_only();
  }

  void Get(const wire::JobReply& in, JobReply& out) {
    Get(*in.key(), out.key);
    Get(*in.submission(), out.submission);
    out.members_version = in.members_version();
    Get(*in.answer(), out.answer);
  }

  void Get(const wire::CancelJob& in, CancelJob& out) {
    Get(*in.key(), out.key);
    Get(*in.submission(), out.submission);
  }

  void Get(const wire::QueryJob& in, QueryJob& out) {
    Get(*in.key(), out.key);
    Get(*in.submission(), out.submission);
  }

  void Get(const wire::JobStatus& in, JobStatus& out) {
    Get(*in.key(), out.key);
    Get(*in.submission(), out.submission);
    const int set = static_cast<int>(in.progress() != nullptr) +
                    static_cast<int>(in.complete() != nullptr) +
                    static_cast<int>(in.error() != nullptr);
    if (set != 1) {
      Fail("state");
    } else if (in.progress() != nullptr) {
      Get(*in.progress(), out.state.emplace<JobProgress>());
    } else if (in.complete() != nullptr) {
      Get(*in.complete(), out.state.emplace<JobComplete>());
    } else {
      Get(*in.error(), out.state.emplace<Error>());
    }
  }

  void Get(const wire::DispatchTask& in, DispatchTask& out) {
    Get(*in.task(), out.task);
    out.digest = in.digest();
    Get(*in.service(), out.service);
    Get(*in.task_id(), out.task_id);
    Get(*in.payload(), out.payload);
    out.idempotent = in.idempotent();
    out.sequence = in.sequence();
    out.members_version = in.members_version();
    GetTime(in.start_deadline(), out.start_deadline);
    GetTime(in.job_deadline(), out.job_deadline);
  }

  void Get(const wire::TaskRefused& in, TaskRefused& out) {
    Get(*in.task(), out.task);
    out.sequence = in.sequence();
    GetKind(*in.reason(), out.reason);
    out.free_slots = in.free_slots();
  }

  void Get(const wire::TaskFinished& in, TaskFinished& out) {
    Get(*in.task(), out.task);
    out.sequence = in.sequence();
    Get(*in.outcome(), out.outcome);
    GetDuration(in.run_time(), out.run_time, "run_time");
    out.free_slots = in.free_slots();
  }

  void Get(const wire::CancelTask& in, CancelTask& out) {
    Get(*in.task(), out.task);
    out.sequence = in.sequence();
  }

  void Get(const wire::TaskQuery& in, TaskQuery& out) {
    Get(*in.task(), out.task);
    out.sequence = in.sequence();
  }

  void Get(const wire::TaskState& in, TaskState& out) {
    Get(*in.task(), out.task);
    out.sequence = in.sequence();
    GetEnum(in.state(), out.state, "state");
    GetOptional(in.outcome(), out.outcome);
  }

  void Get(const wire::EvidenceRequest& in, EvidenceRequest& out) {
    out.question = in.question();
    out.members_version = in.members_version();
    GetShards(*in.shards(), out.shards);
  }

  void Get(const wire::ForwardRecord& in, ForwardRecord& out) {
    Get(*in.key(), out.key);
    out.digest = in.digest();
    out.task_count = in.task_count();
    GetTime(in.deadline(), out.deadline);
    GetEnum(in.state(), out.state, "state");
    GetOptional(in.failure(), out.failure);
  }

  void Get(const wire::StartRecord& in, StartRecord& out) {
    Get(*in.task(), out.task);
    out.digest = in.digest();
    GetTime(in.job_deadline(), out.job_deadline);
    GetEnum(in.state(), out.state, "state");
    GetOptional(in.outcome(), out.outcome);
  }

  void Get(const wire::EvidenceReply& in, EvidenceReply& out) {
    out.question = in.question();
    out.complete = in.complete();
    GetAll(*in.forwards(), out.forwards);
    GetAll(*in.starts(), out.starts);
  }

  void Get(const wire::HandoverRequest& in, HandoverRequest& out) {
    out.members_version = in.members_version();
    GetShards(*in.shards(), out.shards);
  }

  void Get(const wire::ClaimTask& in, ClaimTask& out) {
    Get(*in.executor(), out.executor);
    out.sequence = in.sequence();
    GetOptional(in.outcome(), out.outcome);
  }

  void Get(const wire::ClaimRecord& in, ClaimRecord& out) {
    Get(*in.job(), out.job);
    GetAll(*in.waiting(), out.waiting);
    GetAll(*in.refused(), out.refused);
    GetAll(*in.tasks(), out.tasks);
    GetOptional(in.answer(), out.answer);
    out.cancelled = in.cancelled();
  }

  void Get(const wire::Handover& in, Handover& out) {
    GetShard(in.shard(), out.shard);
    out.members_version = in.members_version();
    out.authoritative = in.authoritative();
    if (in.doubt_until().has_value()) {
      GetTime(*in.doubt_until(), out.doubt_until.emplace());
    }
    out.complete = in.complete();
    GetAll(*in.claims(), out.claims);
  }

  void Get(const wire::HandoverAck& in, HandoverAck& out) {
    GetShard(in.shard(), out.shard);
    out.members_version = in.members_version();
    out.declined = in.declined();
  }

  static void Get(const wire::Resources& in, Resources& out) {
    out = {in.cpu_millicores(), in.memory_mib(), in.gpus()};
  }

  static void Get(const wire::WorkerLoad& in, WorkerLoad& out) {
    Get(in.free(), out.free);
    out.recent_done = in.recent_done();
    out.recent_failed = in.recent_failed();
    out.queued_millicores = in.queued_millicores();
    out.orders_seen = in.orders_seen();
  }

  void Get(const wire::PlaceTasks& in, PlaceTasks& out) {
    Get(*in.job(), out.job);
    out.step = in.step();
    Get(*in.payload(), out.payload);
    Get(*in.demand(), out.demand);
    GetDuration(in.expected_run(), out.expected_run, "expected_run");
    GetDuration(in.latest_start(), out.latest_start, "latest_start");
    GetDuration(in.expires(), out.expires, "expires");
    out.tasks.reserve(in.tasks()->size());
    for (const auto* task : *in.tasks()) {
      out.tasks.push_back({task->order(), task->index(), task->attempt()});
    }
    out.alone = in.alone();
    out.priority = in.priority();
    // Left out by processes of an earlier version.
    if (in.service() != nullptr) Get(*in.service(), out.service);
    if (in.required_label() != nullptr) Get(*in.required_label(), out.required_label);
    out.is_estimated = in.is_estimated();
    GetDuration(in.usual_run(), out.usual_run, "usual_run");
    out.earlier_stalls = in.earlier_stalls();
  }

  static void Get(const wire::WithdrawTasks& in, WithdrawTasks& out) {
    out.orders.assign(in.orders()->begin(), in.orders()->end());
  }

  void Get(const wire::TaskReport& in, TaskReport& out) {
    out.sequence = in.sequence();
    out.order = in.order();
    GetEnum(in.end(), out.end, "end");
    GetDuration(in.run_time(), out.run_time, "run_time");
    GetDuration(in.queue_time(), out.queue_time, "queue_time");
  }

  void Get(const wire::TaskReports& in, TaskReports& out) {
    Get(*in.load(), out.load);
    GetAll(*in.reports(), out.reports);
    out.acknowledged = in.acknowledged();
  }

  void Get(const wire::WorkerReport& in, WorkerReport& out) {
    GetTime(in.sent_at(), out.sent_at);
    out.state_version = in.state_version();
    Get(*in.service(), out.service);
    Get(*in.zone(), out.zone);
    Get(*in.worker(), out.worker);
    GetAll(*in.labels(), out.labels);
    Get(*in.capacity(), out.capacity);
    Get(*in.load(), out.load);
    out.accepting = in.accepting();
    out.earlier_runs_ended = in.earlier_runs_ended();
    out.slowness_permille = in.slowness_permille();
    out.held.assign(in.held()->begin(), in.held()->end());
    out.entries_digest = in.entries_digest();
    Get(*in.sidecar_zone(), out.sidecar_zone);
    out.baseline_slowness_permille = in.baseline_slowness_permille();
    out.started_recently = in.started_recently();
  }

  void Get(const wire::EntryReport& in, EntryReport& out) {
    GetTime(in.echoed(), out.echoed);
    out.state_version = in.state_version();
    out.reports_seen = in.reports_seen();
    GetAll(*in.entries(), out.entries);
    out.entries_digest = in.entries_digest();
    out.wants_reports = in.wants_reports();
    GetDuration(in.next_within(), out.next_within, "next_within");
    GetDuration(in.load_interval(), out.load_interval, "load_interval");
    GetAll(*in.sidecars(), out.sidecars);
    out.sidecars_digest = in.sidecars_digest();
    out.is_settled = in.settled();
    out.known_sidecars_digest = in.known_sidecars_digest();
    out.started_recently = in.started_recently();
    out.claimants_digest = in.claimants_digest();
    GetEnum(in.claimant_knowledge(), out.claimant_knowledge, "claimant_knowledge");
  }

  void Get(const wire::WitnessInfo& in, WitnessInfo& out) {
    out.sidecar = in.sidecar();
    Get(*in.zone(), out.zone);
  }

  void Get(const wire::JobName& in, JobName& out) {
    Get(*in.queue(), out.queue);
    Get(*in.id(), out.id);
  }

  void Get(const wire::JobClaim& in, JobClaim& out) {
    Get(*in.job(), out.job);
    Get(*in.service(), out.service);
    out.is_held = in.held();
  }

  void Get(const wire::ClaimJobs& in, ClaimJobs& out) {
    GetTime(in.sent_at(), out.sent_at);
    GetAll(*in.claims(), out.claims);
  }

  void Get(const wire::ClaimAnswer& in, ClaimAnswer& out) {
    Get(*in.job(), out.job);
    GetEnum(in.status(), out.status, "status");
    Get(*in.holder(), out.holder);
    out.is_other_job = in.other_job();
    GetDuration(in.held_for(), out.held_for, "held_for");
    GetEnum(in.outcome(), out.outcome, "outcome");
    out.may_have_run = in.may_have_run();
  }

  void Get(const wire::ClaimAnswers& in, ClaimAnswers& out) {
    GetTime(in.echoed(), out.echoed);
    GetAll(*in.answers(), out.answers);
  }

  void Get(const wire::ReleaseClaim& in, ReleaseClaim& out) {
    Get(*in.job(), out.job);
    GetEnum(in.outcome(), out.outcome, "outcome");
    out.may_have_run = in.may_have_run();
  }

  void Get(const wire::AttachToJob& in, AttachToJob& out) {
    Get(*in.claim(), out.claim);
    GetDuration(in.time_to_deadline(), out.time_to_deadline, "time_to_deadline");
    out.is_detached = in.detached();
    out.may_have_run = in.may_have_run();
  }

  void Get(const wire::AttachedJobResult& in, AttachedJobResult& out) {
    Get(*in.job(), out.job);
    GetEnum(in.state(), out.state, "state");
    GetKind(*in.reason(), out.reason);
    GetDuration(in.retry_after(), out.retry_after, "retry_after");
  }

  void Get(const wire::StateDocument& in, StateDocument& out) {
    Get(*in.name(), out.name);
    out.version = in.version();
    out.removed = in.removed();
    Get(*in.text(), out.text);
    out.is_compressed = in.compressed();
  }

  static void Get(const wire::StateRequest& in, StateRequest& out) { out.after = in.after(); }

  void Get(const wire::SuspectedTask& in, TaskName& out) {
    Get(*in.job(), out.job);
    out.step = in.step();
    out.index = in.index();
  }

  void Get(const wire::EndpointCrash& in, EndpointCrash& out) {
    out.crash = in.crash();
    GetAll(*in.suspects(), out.suspects);
  }

  void Get(const wire::AgreedState& in, AgreedState& out) {
    GetAll(*in.documents(), out.documents);
  }

  static void Get(const wire::WrongIncarnation& in, WrongIncarnation& out) { out = {in.meant()}; }

 private:
  const char* m_invalid_member = nullptr;
  std::size_t m_string_budget;
};

/// Maps a message type to its generated FlatBuffers table and union value.
template <typename T>
struct WireTypeOf;
#define FOXTAILRUDDER_WIRE(name)                        \
  template <>                                           \
  struct WireTypeOf<name> {                             \
    using Type = wire::name;                            \
    static constexpr auto kUnion = wire::Message::name; \
  }
FOXTAILRUDDER_WIRE(Heartbeat);
FOXTAILRUDDER_WIRE(HeartbeatReply);
FOXTAILRUDDER_WIRE(PeerStatus);
FOXTAILRUDDER_WIRE(ConfirmRequest);
FOXTAILRUDDER_WIRE(ConfirmReply);
FOXTAILRUDDER_WIRE(PromiseRequest);
FOXTAILRUDDER_WIRE(PromiseReply);
FOXTAILRUDDER_WIRE(ForwardJob);
FOXTAILRUDDER_WIRE(JobReply);
FOXTAILRUDDER_WIRE(CancelJob);
FOXTAILRUDDER_WIRE(QueryJob);
FOXTAILRUDDER_WIRE(JobStatus);
FOXTAILRUDDER_WIRE(DispatchTask);
FOXTAILRUDDER_WIRE(TaskRefused);
FOXTAILRUDDER_WIRE(TaskFinished);
FOXTAILRUDDER_WIRE(CancelTask);
FOXTAILRUDDER_WIRE(TaskQuery);
FOXTAILRUDDER_WIRE(TaskState);
FOXTAILRUDDER_WIRE(EvidenceRequest);
FOXTAILRUDDER_WIRE(EvidenceReply);
FOXTAILRUDDER_WIRE(HandoverRequest);
FOXTAILRUDDER_WIRE(Handover);
FOXTAILRUDDER_WIRE(HandoverAck);
FOXTAILRUDDER_WIRE(WrongIncarnation);
FOXTAILRUDDER_WIRE(PlaceTasks);
FOXTAILRUDDER_WIRE(WithdrawTasks);
FOXTAILRUDDER_WIRE(TaskReports);
FOXTAILRUDDER_WIRE(WorkerReport);
FOXTAILRUDDER_WIRE(EntryReport);
FOXTAILRUDDER_WIRE(AgreedState);
FOXTAILRUDDER_WIRE(StateRequest);
FOXTAILRUDDER_WIRE(EndpointCrash);
FOXTAILRUDDER_WIRE(ClaimJobs);
FOXTAILRUDDER_WIRE(ClaimAnswers);
FOXTAILRUDDER_WIRE(ReleaseClaim);
FOXTAILRUDDER_WIRE(AttachToJob);
FOXTAILRUDDER_WIRE(AttachedJobResult);
#undef FOXTAILRUDDER_WIRE

template <std::size_t... kIndex>
void GetMessage(Reader& reader, const wire::Envelope& in, Message& out,
                std::index_sequence<kIndex...> /*indices*/) {
  const bool known =
      ((in.message_type() == WireTypeOf<std::variant_alternative_t<kIndex, Message>>::kUnion
            ? (reader.Get(*static_cast<const typename WireTypeOf<
                              std::variant_alternative_t<kIndex, Message>>::Type*>(in.message()),
                          out.emplace<kIndex>()),
               true)
            : false) ||
       ...);
  if (!known) {
    reader.Fail("message type");
  }
}

/// A table and the reference to it take at least 8 bytes, unless tables are shared.
constexpr std::size_t kMinTableBytes = 8;
constexpr fb::uoffset_t kMaxDepth = 32;

template <typename Root>
const Root* VerifiedRoot(std::span<const std::uint8_t> bytes) {
  fb::Verifier verifier(bytes.data(), bytes.size(), kMaxDepth,
                        static_cast<fb::uoffset_t>(bytes.size() / kMinTableBytes + 1));
  if (bytes.size() < sizeof(fb::uoffset_t) || !verifier.VerifyBuffer<Root>(nullptr)) {
    return nullptr;
  }
  return fb::GetRoot<Root>(bytes.data());
}

Error VerificationError(std::size_t size) {
  return {ErrorKind::kMalformedFrame,
          "FlatBuffers verification failed for " + std::to_string(size) + " bytes"};
}

/// The FlatBuffers verifier requires the buffer itself to be aligned.
bool IsAligned(std::span<const std::uint8_t> bytes) {
  return reinterpret_cast<std::uintptr_t>(bytes.data()) % alignof(std::uint64_t) == 0;
}

}  // namespace

std::vector<std::uint8_t> Encode(const Envelope& envelope) {
  Writer writer;
  const auto message = std::visit([&writer](const auto& body) { return writer.Put(body).Union(); },
                                  envelope.message);
  const wire::NodeRef from = ToWireStruct(envelope.from);
  const wire::NodeRef to = ToWireStruct(envelope.to);
  writer.builder.Finish(
      wire::CreateEnvelope(writer.builder, &from, &to,
                           static_cast<wire::Message>(envelope.message.index() + 1), message));
  return writer.CopyBytes();
}

std::variant<Envelope, Error> Decode(std::span<const std::uint8_t> bytes) {
  if (!IsAligned(bytes)) {
    const std::vector<std::uint8_t> copy(bytes.begin(), bytes.end());
    return Decode(copy);
  }
  const auto* in = VerifiedRoot<wire::Envelope>(bytes);
  if (in == nullptr) {
    return VerificationError(bytes.size());
  }
  Reader reader(bytes.size());
  Envelope out;
  Reader::Get(*in->from(), out.from);
  Reader::Get(*in->to(), out.to);
  GetMessage(reader, *in, out.message, std::make_index_sequence<std::variant_size_v<Message>>{});
  if (reader.failed()) {
    return reader.error();
  }
  return out;
}

std::vector<std::uint8_t> EncodeHello(const Hello& hello) {
  Writer writer;
  const wire::NodeRef node = ToWireStruct(hello.node);
  const auto region = writer.Put(hello.region);
  writer.builder.Finish(wire::CreateHello(writer.builder, hello.protocol_version, &node, region));
  return writer.CopyBytes();
}

std::variant<Hello, Error> DecodeHello(std::span<const std::uint8_t> bytes) {
  if (!IsAligned(bytes)) {
    const std::vector<std::uint8_t> copy(bytes.begin(), bytes.end());
    return DecodeHello(copy);
  }
  const auto* in = VerifiedRoot<wire::Hello>(bytes);
  if (in == nullptr) {
    return VerificationError(bytes.size());
  }
  Reader reader(bytes.size());
  Hello out;
  out.protocol_version = in->protocol_version();
  Reader::Get(*in->node(), out.node);
  reader.Get(*in->region(), out.region);
  if (reader.failed()) {
    return reader.error();
  }
  return out;
}

}  // namespace foxtailrudder
