#include "coordination/executor.h"

#include <boost/test/unit_test.hpp>

#include "coordination/tests/router_executor_fixture.h"

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const JobKey kKey{"registry", "entry-1"};

struct ExecutorFixture : Region {
  ExecutorFixture() {
    executor.SetEndpoint(EndpointInfo{"listing", 2, 64, "127.0.0.1:1", "w", "r"});
    GrantPermit(1);
  }

  void GrantPermit(std::uint64_t sequence) {
    HeartbeatReply reply;
    reply.sequence = sequence;
    reply.sent_at = now.steady;
    reply.start_permit = reply.decide_permit = kPermitDuration;
    permit.OnReply(reply);
  }

  DispatchTask MakeDispatch(std::uint64_t sequence, std::uint32_t index = 0) const {
    DispatchTask dispatch;
    dispatch.task = {kKey, index};
    dispatch.service = "listing";
    dispatch.sequence = sequence;
    dispatch.members_version = 1;
    dispatch.start_deadline = now.wall + seconds(5);
    dispatch.job_deadline = now.wall + seconds(10);
    return dispatch;
  }

  std::vector<Output> Deliver(NodeRef from, Message message) {
    executor.OnMessage({from, self, std::move(message)}, View(self), permit, now, out);
    return out.Take();
  }

  std::vector<Output> Tick() {
    executor.Tick(View(self), now, out);
    return out.Take();
  }

  std::vector<Output> Done(std::uint32_t index) {
    executor.OnTaskDone({kKey, index}, TaskResult{"t", 200, "ok"}, View(self), now, out);
    return out.Take();
  }

  /// Reason of the refusal if the outputs contain exactly one and start no task.
  static std::optional<ErrorKind> Refusal(const std::vector<Output>& outputs) {
    const auto refused = MessagesOf<TaskRefused>(outputs);
    if (refused.size() != 1 || !OutputsOf<StartTask>(outputs).empty()) return std::nullopt;
    return refused[0].reason;
  }

  NodeRef self{4, 104};
  Executor executor{&counters};
  PermitHolder permit;
  NodeRef owner = OwnerOf(kKey);
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(executor, ExecutorFixture)

// Guards against a repeated dispatch message starting the task a second time.
BOOST_AUTO_TEST_CASE(repeated_dispatch_reports_the_state) {
  const auto started = OutputsOf<StartTask>(Deliver(owner, MakeDispatch(1)));
  BOOST_REQUIRE(started.size() == 1);
  BOOST_TEST((started[0].not_after == permit.start_deadline()));
  const auto again = Deliver(owner, MakeDispatch(1));
  BOOST_TEST(OutputsOf<StartTask>(again).empty());
  const auto states = MessagesOf<TaskState>(again);
  BOOST_REQUIRE(states.size() == 1);
  BOOST_TEST((states[0].state == StartState::kRunning));
}

// Guards against a dispatch starting its task although a later one has arrived first, or although
// it was already refused.
BOOST_AUTO_TEST_CASE(sequence_is_used_once) {
  Deliver(owner, MakeDispatch(5));
  BOOST_TEST((Refusal(Deliver(owner, MakeDispatch(4, 1))) == ErrorKind::kStaleDispatch));
  executor.SetLeaving(true);
  BOOST_TEST((Refusal(Deliver(owner, MakeDispatch(6, 1))) == ErrorKind::kEndpointLeaving));
  executor.SetLeaving(false);
  BOOST_TEST((Refusal(Deliver(owner, MakeDispatch(6, 1))) == ErrorKind::kStaleDispatch));
  BOOST_TEST(OutputsOf<StartTask>(Deliver(owner, MakeDispatch(7, 1))).size() == 1);
}

// Guards against a second start of a task by a later dispatch, also after it has finished.
BOOST_AUTO_TEST_CASE(started_task_is_not_started_again) {
  Deliver(owner, MakeDispatch(1));
  BOOST_TEST((Refusal(Deliver(owner, MakeDispatch(2))) == ErrorKind::kAlreadyStarted));
  Done(0);
  BOOST_TEST((Refusal(Deliver(owner, MakeDispatch(3))) == ErrorKind::kAlreadyStarted));
}

// Guards against a start for a former owner or another incarnation of the owner, or for a dispatch
// under a member table version that this executor has not received.
BOOST_AUTO_TEST_CASE(only_the_owner_is_obeyed) {
  BOOST_TEST((Refusal(Deliver(OtherThan(owner), MakeDispatch(1))) == ErrorKind::kNotOwner));
  NodeRef restarted = owner;
  ++restarted.incarnation;
  BOOST_TEST((Refusal(Deliver(restarted, MakeDispatch(1))) == ErrorKind::kNotOwner));
  DispatchTask newer = MakeDispatch(1);
  newer.members_version = 2;
  BOOST_TEST((Refusal(Deliver(owner, newer)) == ErrorKind::kNotOwner));
}

// Guards against a start despite an unusable endpoint, a passed deadline, a full record table, no
// free slot or an expired permit.
BOOST_AUTO_TEST_CASE(start_conditions_are_checked) {
  DispatchTask other_service = MakeDispatch(1);
  other_service.service = "pricing";
  BOOST_TEST((Refusal(Deliver(owner, other_service)) == ErrorKind::kEndpointUnavailable));
  DispatchTask late = MakeDispatch(2);
  late.start_deadline = now.wall;
  BOOST_TEST((Refusal(Deliver(owner, late)) == ErrorKind::kStartDeadlinePassed));
  Deliver(owner, MakeDispatch(3, 0));
  bundle.limits.max_start_records_per_executor = 1;
  BOOST_TEST((Refusal(Deliver(owner, MakeDispatch(4, 1))) == ErrorKind::kStartRecordsFull));
  bundle.limits.max_start_records_per_executor = 100;
  Advance(kPermitDuration);
  BOOST_TEST((Refusal(Deliver(owner, MakeDispatch(5, 1))) == ErrorKind::kNoPermit));
  GrantPermit(2);
  BOOST_TEST(OutputsOf<StartTask>(Deliver(owner, MakeDispatch(6, 1))).size() == 1);
  BOOST_TEST((Refusal(Deliver(owner, MakeDispatch(7, 2))) == ErrorKind::kNoFreeSlot));
  executor.SetEndpoint(std::nullopt);
  BOOST_TEST((Refusal(Deliver(owner, MakeDispatch(8, 2))) == ErrorKind::kEndpointUnavailable));
}

// Guards against a slot that stays occupied after its task finished, and against a result that is
// reported twice.
BOOST_AUTO_TEST_CASE(finished_task_frees_its_slot_once) {
  Deliver(owner, MakeDispatch(1));
  BOOST_TEST(executor.free_slots() == 1);
  Advance(milliseconds(250));
  const auto finished = MessagesOf<TaskFinished>(Done(0));
  BOOST_REQUIRE(finished.size() == 1);
  BOOST_TEST((finished[0].run_time == milliseconds(250)));
  BOOST_TEST(finished[0].free_slots == 2);
  BOOST_TEST(Done(0).empty());
  BOOST_TEST(executor.running() == 0);
}

// Guards against the start record of a task that never reached the endpoint blocking its retry.
BOOST_AUTO_TEST_CASE(task_not_started_may_be_dispatched_again) {
  Deliver(owner, MakeDispatch(1));
  executor.OnTaskNotStarted({kKey, 0}, ErrorKind::kNoPermit, View(self), now, out);
  BOOST_TEST((Refusal(out.Take()) == ErrorKind::kNoPermit));
  const auto repeated = MessagesOf<TaskState>(Deliver(owner, MakeDispatch(1)));
  BOOST_REQUIRE(repeated.size() == 1);
  BOOST_TEST((repeated[0].state == StartState::kNeverStarted));
  BOOST_TEST(OutputsOf<StartTask>(Deliver(owner, MakeDispatch(2))).size() == 1);
}

// Guards against a dispatch in flight that starts the task after a query was answered with "never
// started".
BOOST_AUTO_TEST_CASE(query_bars_dispatches_under_way) {
  const auto states = MessagesOf<TaskState>(Deliver(owner, TaskQuery{{kKey, 0}, 3}));
  BOOST_REQUIRE(states.size() == 1);
  BOOST_TEST((states[0].state == StartState::kNeverStarted));
  BOOST_TEST((Refusal(Deliver(owner, MakeDispatch(3))) == ErrorKind::kStaleDispatch));
}

// Guards against answering "never started" to a new owner while dispatches of the former owner are
// still accepted.
BOOST_AUTO_TEST_CASE(query_of_an_unknown_owner_waits_for_the_table) {
  std::vector<NodeId> others;
  for (const NodeId id : {2, 3, 4}) {
    if (id != owner.id) others.push_back(id);
  }
  Region newer;
  newer.Publish(2, others);
  const NodeRef new_owner = newer.OwnerOf(kKey);
  BOOST_TEST(Deliver(new_owner, TaskQuery{{kKey, 0}, 1}).empty());
  BOOST_TEST(Tick().empty());
  BOOST_TEST(OutputsOf<StartTask>(Deliver(owner, MakeDispatch(1))).size() == 1);
  Publish(2, others);
  const auto states = MessagesOf<TaskState>(Tick());
  BOOST_REQUIRE(states.size() == 1);
  BOOST_TEST((states[0].state == StartState::kRunning));
  const auto done = Done(0);
  BOOST_REQUIRE(done.size() == 1);
  BOOST_TEST((std::get<SendMessage>(done[0]).to == new_owner));
}

// Guards against a cancellation by a node that does not own the task.
BOOST_AUTO_TEST_CASE(cancel_stops_a_running_task_of_the_owner) {
  Deliver(owner, MakeDispatch(1));
  BOOST_TEST(Deliver(OtherThan(owner), CancelTask{{kKey, 0}, 1}).empty());
  BOOST_TEST(OutputsOf<StopTask>(Deliver(owner, CancelTask{{kKey, 0}, 1})).size() == 1);
  BOOST_TEST(executor.running() == 1);
  Done(0);
  BOOST_TEST(Deliver(owner, CancelTask{{kKey, 0}, 1}).empty());
}

// Guards against evidence that a later dispatch of the former owner invalidates, and against a
// reply of several parts that is incomplete.
BOOST_AUTO_TEST_CASE(evidence_waits_for_the_member_version) {
  executor.SetEndpoint(EndpointInfo{"listing", 300, 64, "127.0.0.1:1", "w", "r"});
  for (std::uint32_t i = 0; i < 250; ++i) Deliver(owner, MakeDispatch(i + 1, i));
  const EvidenceRequest request{7, 2, {ShardOf(kKey)}};
  BOOST_TEST(Deliver(owner, request).empty());
  BOOST_TEST(Tick().empty());
  Publish(2, {2, 3, 4});
  const auto parts = MessagesOf<EvidenceReply>(Tick());
  BOOST_REQUIRE(parts.size() == 2);
  BOOST_TEST(parts[0].starts.size() == 200);
  BOOST_TEST(!parts[0].complete);
  BOOST_TEST(parts[1].starts.size() == 50);
  BOOST_TEST(parts[1].complete);
  BOOST_TEST(Tick().empty());
}

// Guards against start records that are dropped before their retention ends, or never.
BOOST_AUTO_TEST_CASE(start_records_are_kept_until_retention) {
  Deliver(owner, MakeDispatch(1));
  Deliver(owner, MakeDispatch(2, 1));
  Done(0);
  Advance(seconds(10) + bundle.limits.retention - milliseconds(1));
  Tick();
  BOOST_TEST(executor.start_records() == 2);
  Advance(seconds(12));
  Tick();
  // The record of the task that is still running is kept.
  BOOST_TEST(executor.start_records() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
