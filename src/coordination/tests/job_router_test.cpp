#include "coordination/job_router.h"

#include <boost/test/unit_test.hpp>

#include "coordination/tests/router_executor_fixture.h"

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct RouterFixture : Region {
  JobSpec MakeJob(const std::string& key = "entry-1") const {
    JobSpec job;
    job.key = {"registry", key};
    job.service = "listing";
    job.deadline = now.wall + seconds(5);
    job.tasks = {{"t1", "payload", {}, {}}};
    return job;
  }

  std::vector<Output> Submit(RequestId request, JobSpec job) {
    router.Submit(request, std::move(job), View(self), now, out);
    return out.Take();
  }

  std::vector<Output> Deliver(NodeRef from, Message message) {
    router.OnMessage({from, self, std::move(message)}, View(self), now, out);
    return out.Take();
  }

  std::vector<Output> Reply(NodeRef from, RequestId request, JobAnswer answer) {
    const JobKey key{"registry", "entry-1"};
    return Deliver(from, JobReply{key, {self, request}, 1, std::move(answer)});
  }

  std::vector<Output> Tick(milliseconds after = milliseconds(0)) {
    Advance(after);
    router.Tick(View(self), now, out);
    return out.Take();
  }

  std::vector<Output> StoreResultOf(ClaimsResult result) {
    router.OnStoreResult(std::move(result), View(self), now, out);
    return out.Take();
  }

  /// Kind of the error if the outputs contain exactly one answer and it is an error.
  static std::optional<ErrorKind> Failure(const std::vector<Output>& outputs) {
    const auto answers = OutputsOf<AnswerCaller>(outputs);
    if (answers.size() != 1) return std::nullopt;
    const auto* error = std::get_if<Error>(&answers[0].answer);
    return error == nullptr ? std::nullopt : std::optional(error->kind);
  }

  std::vector<ForwardRecord> Evidence() {
    const auto parts =
        MessagesOf<EvidenceReply>(Deliver(owner, EvidenceRequest{1, 1, {ShardOf(MakeJob().key)}}));
    return parts.size() == 1 ? parts[0].forwards : std::vector<ForwardRecord>{};
  }

  const JobComplete complete{{{"t1", 200, "ok"}}};
  NodeRef self{1, 101};
  JobRouter router{{self, "home", true, milliseconds(20), 1}, &counters};
  NodeRef owner = OwnerOf(MakeJob().key);
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(job_router, RouterFixture)

// Guards against forwarding a request that the entry must refuse, and against refusing it for the
// wrong reason.
BOOST_AUTO_TEST_CASE(admission_refuses_in_order) {
  const auto refusal = [&](auto change) {
    JobSpec job = MakeJob();
    change(job);
    const auto outputs = Submit(1, job);
    BOOST_TEST(MessagesOf<ForwardJob>(outputs).empty());
    return Failure(outputs);
  };
  bundle.teams.push_back({"abroad", "elsewhere", 0, 0});
  bundle.services.push_back({"pricing", 0, milliseconds(300)});
  BOOST_TEST((refusal([](JobSpec& j) { j.key.team = "x"; }) == ErrorKind::kUnknownTeam));
  BOOST_TEST((refusal([](JobSpec& j) { j.key.team = "abroad"; }) == ErrorKind::kRegionUnreachable));
  BOOST_TEST((refusal([](JobSpec& j) { j.service = "x"; }) == ErrorKind::kUnknownService));
  BOOST_TEST((refusal([](JobSpec& j) { j.tasks.clear(); }) == ErrorKind::kMalformedRequest));
  BOOST_TEST((refusal([](JobSpec& j) { j.tasks.resize(kMaxTasksPerJob + 1); }) ==
              ErrorKind::kMalformedRequest));
  BOOST_TEST(
      (refusal([](JobSpec& j) { j.tasks.push_back(j.tasks[0]); }) == ErrorKind::kMalformedRequest));
  BOOST_TEST((refusal([&](JobSpec& j) { j.deadline = now.wall; }) == ErrorKind::kDeadlinePassed));
  BOOST_TEST((refusal([&](JobSpec& j) { j.deadline += std::chrono::hours(1); }) ==
              ErrorKind::kMalformedRequest));
  BOOST_TEST((refusal([](JobSpec& j) { j.tasks[0].size = 101; }) == ErrorKind::kCanNeverRun));
  BOOST_TEST((refusal([](JobSpec& j) { j.service = "pricing"; }) == ErrorKind::kNoCapacity));
  bundle.limits.max_forward_records_per_entry = 0;
  BOOST_TEST((refusal([](JobSpec&) {}) == ErrorKind::kClaimTableFull));
  router.BeginDrain();
  BOOST_TEST((refusal([](JobSpec&) {}) == ErrorKind::kEntryDraining));
  BOOST_TEST(router.waiting() == 0);
}

// Guards against an entry that admits more than its share of a quota or leaves refused tasks out of
// the demand.
BOOST_AUTO_TEST_CASE(quota_is_scaled_by_the_share) {
  bundle.teams[0].tasks_per_second = 10;
  bundle.teams[0].burst = 10;
  router.SetQuotaShares({{"registry", 0.2}});
  int accepted = 0;
  for (RequestId i = 0; i < 10; ++i) {
    if (!Failure(Submit(i, MakeJob("k" + std::to_string(i))))) ++accepted;
  }
  BOOST_TEST(accepted == 2);
  const auto demands = router.Demands(now);
  BOOST_REQUIRE(demands.size() == 1);
  BOOST_TEST(demands[0].tasks_per_second == 5);
  Advance(seconds(3));
  BOOST_TEST(router.Demands(now)[0].tasks_per_second == 0);
}

// Guards against passing an answer to the caller that is late, incomplete or from a former owner.
BOOST_AUTO_TEST_CASE(answer_is_taken_once_and_only_from_the_owner) {
  BOOST_TEST(MessagesOf<ForwardJob>(Submit(1, MakeJob())).size() == 1);
  BOOST_TEST(Reply(OtherThan(owner), 1, complete).empty());
  BOOST_TEST(Reply(owner, 1, JobComplete{}).empty());
  BOOST_TEST(Reply(owner, 2, complete).empty());
  BOOST_TEST(OutputsOf<AnswerCaller>(Reply(owner, 1, complete)).size() == 1);
  BOOST_TEST(Reply(owner, 1, complete).empty());
  BOOST_TEST((Evidence().at(0).state == ForwardState::kComplete));
}

// Guards against answering the caller with a refusal that a retry can avoid, and against retries
// that are missing from the counters.
BOOST_AUTO_TEST_CASE(refusals_of_a_coordinator_are_retried) {
  Submit(1, MakeJob());
  for (const ErrorKind kind : {ErrorKind::kNotOwner, ErrorKind::kNoPermit,
                               ErrorKind::kShardUnavailable, ErrorKind::kInputQueueFull}) {
    BOOST_TEST(Reply(owner, 1, Error{kind, ""}).empty());
    BOOST_TEST(MessagesOf<ForwardJob>(Tick(seconds(1))).size() == 1);
    BOOST_TEST(counters.Retries(kind) == 1);
  }
  BOOST_TEST((Failure(Reply(owner, 1, Error{ErrorKind::kQueueFull, ""})) == ErrorKind::kQueueFull));
  BOOST_TEST((Evidence().at(0).state == ForwardState::kRefusedNotRun));
}

// Guards against a submission that is not forwarded again after its owner, the connection or the
// reply was lost.
BOOST_AUTO_TEST_CASE(submission_follows_its_owner) {
  Submit(1, MakeJob());
  // A forward is repeated after half of the 5 s to the deadline, as the job may still be running.
  BOOST_TEST(MessagesOf<ForwardJob>(Tick(seconds(2))).empty());
  BOOST_TEST(MessagesOf<ForwardJob>(Tick(milliseconds(500))).size() == 1);
  router.OnPeerDisconnected(owner.id, View(self), now, out);
  BOOST_TEST(MessagesOf<ForwardJob>(Tick(seconds(1))).size() == 1);
  std::vector<NodeId> others;
  for (const NodeId id : {2, 3, 4}) {
    if (id != owner.id) others.push_back(id);
  }
  Publish(2, others);
  router.OnViewChanged(View(self), now, out);
  const auto outputs = out.Take();
  BOOST_REQUIRE(outputs.size() == 1);
  BOOST_TEST((std::get<SendMessage>(outputs[0]).to == OwnerOf(MakeJob().key)));
  BOOST_TEST(Reply(owner, 1, complete).empty());
}

// Guards against a caller that never gets an answer, or gets "not run" for a job that may have run.
BOOST_AUTO_TEST_CASE(unanswered_submission_ends) {
  Submit(1, MakeJob());
  Tick(seconds(5));
  BOOST_TEST((Failure(Tick(seconds(3) + kStalenessBound)) == ErrorKind::kOutcomeUnknown));
  BOOST_TEST((Evidence().at(0).state == ForwardState::kFailed));
  BOOST_TEST(router.waiting() == 0);
}

// Guards against answering "outcome unknown" for a job that was never forwarded.
BOOST_AUTO_TEST_CASE(submission_without_an_owner_ends_at_its_deadline) {
  placement = Placement();
  BOOST_TEST(Submit(1, MakeJob()).empty());
  BOOST_TEST(Tick(seconds(4)).empty());
  BOOST_TEST((Failure(Tick(seconds(1))) == ErrorKind::kNotStartedInTime));
}

// Guards against answering a caller that has disconnected, and against dropping its job.
BOOST_AUTO_TEST_CASE(abandoned_submission_goes_on_without_an_answer) {
  Submit(1, MakeJob());
  router.Abandon(1);
  BOOST_TEST(router.waiting() == 0);
  // A forward is repeated after half of the 5 s to the deadline, as the job may still be running.
  BOOST_TEST(MessagesOf<ForwardJob>(Tick(seconds(2))).empty());
  BOOST_TEST(MessagesOf<ForwardJob>(Tick(milliseconds(500))).size() == 1);
  BOOST_TEST(Reply(owner, 1, complete).empty());
}

// Guards against recording a job as refused while another request of the job is still waiting.
BOOST_AUTO_TEST_CASE(record_is_pending_while_a_submission_waits) {
  Submit(1, MakeJob());
  Submit(2, MakeJob());
  BOOST_TEST(router.forward_records() == 1);
  Reply(owner, 1, Error{ErrorKind::kQueueFull, ""});
  BOOST_TEST((Evidence().at(0).state == ForwardState::kPending));
  Reply(owner, 2, Error{ErrorKind::kQueueFull, ""});
  BOOST_TEST((Evidence().at(0).state == ForwardState::kRefusedNotRun));
  Submit(3, MakeJob());
  BOOST_TEST((Evidence().at(0).state == ForwardState::kPending));
}

// Guards against treating a request with another body as evidence of the key's job.
BOOST_AUTO_TEST_CASE(conflicting_request_leaves_no_evidence) {
  Submit(1, MakeJob());
  JobSpec other = MakeJob();
  other.tasks[0].payload = "other";
  Submit(2, other);
  BOOST_TEST(
      (Failure(Reply(owner, 2, Error{ErrorKind::kKeyConflict, ""})) == ErrorKind::kKeyConflict));
  const auto records = Evidence();
  BOOST_REQUIRE(records.size() == 1);
  BOOST_TEST(records[0].digest == DigestOf(MakeJob()));
}

// Guards against sending evidence while an answer of the former owner would still be accepted.
BOOST_AUTO_TEST_CASE(evidence_waits_for_the_member_version) {
  Submit(1, MakeJob());
  BOOST_TEST(Deliver(owner, EvidenceRequest{1, 2, {ShardOf(MakeJob().key)}}).empty());
  Publish(2, {2, 3, 4});
  router.OnViewChanged(View(self), now, out);
  const auto parts = MessagesOf<EvidenceReply>(out.Take());
  BOOST_REQUIRE(parts.size() == 1);
  BOOST_TEST(parts[0].complete);
  BOOST_TEST(parts[0].forwards.size() == 1);
}

// Guards against forward records that are removed too early or never.
BOOST_AUTO_TEST_CASE(forward_records_are_kept_until_retention) {
  Submit(1, MakeJob());
  Reply(owner, 1, complete);
  Tick(seconds(5) + bundle.limits.retention - milliseconds(1));
  BOOST_TEST(router.forward_records() == 1);
  Tick(seconds(2));
  BOOST_TEST(router.forward_records() == 0);
}

// Guards against a non-idempotent job that is forwarded before its key is claimed in the store.
BOOST_AUTO_TEST_CASE(durable_claim_comes_before_the_forward) {
  JobSpec job = MakeJob();
  job.idempotent = false;
  const auto outputs = Submit(1, job);
  const auto writes = OutputsOf<InsertClaims>(outputs);
  BOOST_REQUIRE(writes.size() == 1);
  BOOST_TEST(MessagesOf<ForwardJob>(outputs).empty());
  const auto own = writes[0].claims[0];
  const auto forwards =
      MessagesOf<ForwardJob>(StoreResultOf({writes[0].operation, StoreStatus::kOk, {own}}));
  BOOST_REQUIRE(forwards.size() == 1);
  BOOST_TEST(!forwards[0].attach_only);

  // A later request with the same key at this entry is not the claimant. The write is batched.
  BOOST_TEST(Submit(2, job).empty());
  JobSpec other = job;
  other.tasks[0].payload = "other";
  BOOST_TEST(Submit(3, other).empty());
  const auto batch = OutputsOf<InsertClaims>(Tick(milliseconds(20)));
  BOOST_REQUIRE(batch.size() == 1);
  BOOST_TEST(batch[0].claims.size() == 2);
  const auto result = StoreResultOf({batch[0].operation, StoreStatus::kOk, {own, own}});
  const auto attached = MessagesOf<ForwardJob>(result);
  BOOST_REQUIRE(attached.size() == 1);
  BOOST_TEST(attached[0].attach_only);
  BOOST_TEST((Failure(result) == ErrorKind::kKeyConflict));
}

// Guards against a caller that gets no answer while the store is down.
BOOST_AUTO_TEST_CASE(store_outage_refuses_non_idempotent_work) {
  JobSpec job = MakeJob();
  job.idempotent = false;
  const auto writes = OutputsOf<InsertClaims>(Submit(1, job));
  const auto result = StoreResultOf({writes.at(0).operation, StoreStatus::kUnavailable, {}});
  BOOST_TEST((Failure(result) == ErrorKind::kStoreUnavailable));
  BOOST_TEST(router.forward_records() == 0);
}

// Guards against treating a lost insert reply as a failed or a successful claim.
BOOST_AUTO_TEST_CASE(lost_insert_reply_is_read_back) {
  JobSpec job = MakeJob();
  job.idempotent = false;
  const auto writes = OutputsOf<InsertClaims>(Submit(1, job));
  StoreResultOf({writes.at(0).operation, StoreStatus::kUnknown, {}});
  const auto reads = OutputsOf<ReadClaims>(Tick(seconds(1)));
  BOOST_REQUIRE(reads.size() == 1);
  BOOST_TEST(StoreResultOf({reads[0].operation, StoreStatus::kUnavailable, {}}).empty());
  const auto again = OutputsOf<ReadClaims>(Tick(seconds(1)));
  BOOST_REQUIRE(again.size() == 1);
  const auto result = StoreResultOf({again[0].operation, StoreStatus::kOk, {writes[0].claims[0]}});
  BOOST_REQUIRE(MessagesOf<ForwardJob>(result).size() == 1);
  BOOST_TEST(!MessagesOf<ForwardJob>(result)[0].attach_only);

  // The row does not exist, so the insert is repeated. Without any reply, the caller is answered
  // that the outcome is unknown.
  const auto second = OutputsOf<InsertClaims>(Submit(2, job));
  BOOST_REQUIRE(second.empty());
  const auto flushed = OutputsOf<InsertClaims>(Tick(milliseconds(20)));
  StoreResultOf({flushed.at(0).operation, StoreStatus::kUnknown, {}});
  const auto third = OutputsOf<ReadClaims>(Tick(seconds(1)));
  StoreResultOf({third.at(0).operation, StoreStatus::kOk, {std::nullopt}});
  BOOST_TEST(OutputsOf<InsertClaims>(Tick(milliseconds(20))).size() == 1);
  BOOST_TEST((Failure(Tick(seconds(5))) == ErrorKind::kOutcomeUnknown));
}

// Guards against a status request that gets no answer, and against answering "not run" for a
// cancellation that may have taken effect.
BOOST_AUTO_TEST_CASE(status_requests_are_answered_once) {
  const JobKey key = MakeJob().key;
  router.Query(1, key, View(self), now, out);
  BOOST_TEST(MessagesOf<QueryJob>(out.Take()).size() == 1);
  Deliver(owner, JobStatus{key, {self, 1}, Error{ErrorKind::kNoPermit, ""}});
  BOOST_TEST(MessagesOf<QueryJob>(Tick(milliseconds(100))).size() == 1);
  const JobStatus progress{key, {self, 1}, JobProgress{1, 0, 0}};
  BOOST_TEST(Deliver(OtherThan(owner), progress).empty());
  BOOST_TEST(OutputsOf<AnswerStatus>(Deliver(owner, progress)).size() == 1);
  BOOST_TEST(Deliver(owner, progress).empty());

  router.Cancel(2, key, View(self), now, out);
  BOOST_TEST(MessagesOf<CancelJob>(out.Take()).size() == 1);
  const auto answers = OutputsOf<AnswerStatus>(Tick(seconds(3)));
  BOOST_REQUIRE(answers.size() == 1);
  BOOST_TEST((std::get<Error>(answers[0].state).kind == ErrorKind::kOutcomeUnknown));
  BOOST_TEST(router.waiting() == 0);
}

// Guards against forwarding by an unlisted entry: a takeover asks only listed entries for their
// records and would miss the job.
BOOST_AUTO_TEST_CASE(unlisted_entry_forwards_nothing) {
  const MemberTable listed = table;
  MembersRow row = table.row();
  std::erase_if(row.members, [&](const Member& member) { return member.id == self.id; });
  row.version += 1;
  table = MemberTable::Create(row);
  BOOST_TEST(MessagesOf<ForwardJob>(Submit(1, MakeJob())).empty());
  BOOST_TEST(MessagesOf<ForwardJob>(Tick(seconds(1))).empty());
  table = listed;
  BOOST_TEST(MessagesOf<ForwardJob>(Tick(seconds(1))).size() == 1);
}

// Guards against a key that stays claimed in the store after its job was refused as not run, and
// against answering the caller before the claim is released. The reply to the first release is
// lost.
BOOST_AUTO_TEST_CASE(refused_job_releases_its_durable_claim) {
  JobSpec job = MakeJob();
  job.idempotent = false;
  const auto writes = OutputsOf<InsertClaims>(Submit(1, job));
  const DurableClaim claim = writes.at(0).claims.at(0);
  StoreResultOf({writes[0].operation, StoreStatus::kOk, {claim}});
  Advance(milliseconds(30));
  const auto refused = Reply(owner, 1, Error{ErrorKind::kQueueFull, ""});
  BOOST_TEST(OutputsOf<AnswerCaller>(refused).empty());
  const auto releases = OutputsOf<ReleaseClaims>(refused);
  BOOST_REQUIRE(releases.size() == 1);
  BOOST_TEST((releases[0].claims.at(0) == claim));
  BOOST_TEST(Reply(owner, 1, Error{ErrorKind::kQueueFull, ""}).empty());
  BOOST_TEST(StoreResultOf({releases[0].operation, StoreStatus::kUnknown, {}}).empty());
  const auto again = OutputsOf<ReleaseClaims>(Tick(seconds(1)));
  BOOST_REQUIRE(again.size() == 1);
  const auto result = StoreResultOf({again[0].operation, StoreStatus::kOk, {std::nullopt}});
  BOOST_TEST((Failure(result) == ErrorKind::kQueueFull));
  BOOST_TEST(router.waiting() == 0);
}

// Guards against a refused caller that gets no answer while the store is down, against releasing a
// claim whose job may have run, and against releasing the claim of another submission.
BOOST_AUTO_TEST_CASE(release_is_for_the_claimant_of_a_job_that_was_not_run) {
  JobSpec job = MakeJob();
  job.idempotent = false;
  const auto submit = [&](RequestId request, bool own) {
    Advance(milliseconds(30));
    const auto writes = OutputsOf<InsertClaims>(Submit(request, job));
    DurableClaim claim = writes.at(0).claims.at(0);
    if (!own) claim.claimant = {{9, 9}, 9};
    StoreResultOf({writes[0].operation, StoreStatus::kOk, {claim}});
    Advance(milliseconds(30));
  };
  submit(1, true);
  auto result = Reply(owner, 1, Error{ErrorKind::kOutcomeUnknown, ""});
  BOOST_TEST(OutputsOf<ReleaseClaims>(result).empty());
  BOOST_TEST((Failure(result) == ErrorKind::kOutcomeUnknown));
  submit(2, false);
  result = Reply(owner, 2, Error{ErrorKind::kQueueFull, ""});
  BOOST_TEST(OutputsOf<ReleaseClaims>(result).empty());
  BOOST_TEST((Failure(result) == ErrorKind::kQueueFull));
  submit(3, true);
  result = Reply(owner, 3, Error{ErrorKind::kQueueFull, ""});
  BOOST_TEST(OutputsOf<ReleaseClaims>(result).size() == 1);
  BOOST_TEST((Failure(Tick(seconds(6))) == ErrorKind::kQueueFull));
}

BOOST_AUTO_TEST_SUITE_END()
