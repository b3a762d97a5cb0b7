#include <boost/test/unit_test.hpp>

#include "coordination/tests/coordinator_fixture.h"

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)

namespace {

struct StartedCoordinatorFixture : CoordinatorFixture {
  StartedCoordinatorFixture() { Start(); }
};

bool IsComplete(const std::vector<std::pair<NodeRef, JobReply>>& replies) {
  return replies.size() == 1 && std::holds_alternative<JobComplete>(replies[0].second.answer);
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(coordinator_jobs, StartedCoordinatorFixture)

// Guards against results in order of arrival instead of submission (invariant 2).
BOOST_AUTO_TEST_CASE(job_is_complete_with_results_in_order) {
  Forward(Job(KeyOwnedBy("s1"), 3));
  auto dispatches = Sent<DispatchTask>();
  BOOST_REQUIRE_EQUAL(dispatches.size(), 3U);
  Finish(dispatches[2]);
  Finish(dispatches[0]);
  BOOST_TEST(Sent<JobReply>().empty());
  Finish(dispatches[1]);
  const auto replies = Sent<JobReply>();
  BOOST_REQUIRE(IsComplete(replies));
  const auto& results = std::get<JobComplete>(replies[0].second.answer).results;
  for (int i = 0; i < 3; ++i) BOOST_TEST(results[i].task_id == "t" + std::to_string(i));
}

// Guards against a second start when two devices submit the same key at two entries (invariant 1).
BOOST_AUTO_TEST_CASE(second_submission_attaches) {
  const JobSpec job = Job(KeyOwnedBy("s1"));
  Forward(job, 1, "e1");
  Forward(job, 2, "e2");
  Forward(job, 1, "e1");
  const auto dispatches = Sent<DispatchTask>();
  BOOST_REQUIRE_EQUAL(dispatches.size(), 1U);
  Finish(dispatches[0]);
  BOOST_TEST(Sent<JobReply>().size() == 2U);
  Forward(job, 3, "e1");
  BOOST_TEST(IsComplete(Sent<JobReply>()));
  BOOST_TEST(Sent<DispatchTask>().empty());
}

// Guards against a job with a different digest being treated as the same submission.
BOOST_AUTO_TEST_CASE(other_digest_is_a_conflict) {
  Forward(Job(KeyOwnedBy("s1"), 1));
  DiscardSent();
  Forward(Job(KeyOwnedBy("s1"), 2), 2);
  BOOST_TEST((OnlyError() == ErrorKind::kKeyConflict));
}

// Guards against deciding for a shard that another sidecar owns, or without a decide permit.
BOOST_AUTO_TEST_CASE(not_owner_and_no_permit) {
  Forward(Job(KeyOwnedBy("s2")));
  BOOST_TEST((OnlyError() == ErrorKind::kNotOwner));
  m_now.steady += 2'000 * kMs;
  Forward(Job(KeyOwnedBy("s1")));
  BOOST_TEST((OnlyError() == ErrorKind::kNoPermit));
  BOOST_TEST(Sent<DispatchTask>().empty());
}

// Guards against an answer that is sent after the decide permit has expired.
BOOST_AUTO_TEST_CASE(answer_waits_for_the_permit) {
  Forward(Job(KeyOwnedBy("s1")));
  const auto dispatches = Sent<DispatchTask>();
  m_now.steady += 2'000 * kMs;
  Finish(dispatches.at(0));
  BOOST_TEST(Sent<JobReply>().empty());
  AdvanceTime(50 * kMs);
  BOOST_TEST(IsComplete(Sent<JobReply>()));
}

// Guards against a job being reported complete although a task returned an error or status 500.
BOOST_AUTO_TEST_CASE(failed_task_fails_the_job_and_cancels_the_rest) {
  Forward(Job(KeyOwnedBy("s1"), 20));
  const auto dispatches = Sent<DispatchTask>();
  BOOST_REQUIRE_GT(dispatches.size(), 1U);
  Finish(dispatches[0], 500);
  BOOST_TEST((OnlyError() == ErrorKind::kTaskFailed));
  BOOST_TEST(Sent<CancelTask>().size() == dispatches.size() - 1);
  BOOST_TEST(coordinator().queued_tasks() == 0U);
  Finish(dispatches[1]);
  BOOST_TEST(Sent<DispatchTask>().empty());
}

// Guards against answering "not run" for a job with an unanswered dispatch (invariant 5).
BOOST_AUTO_TEST_CASE(deadline_with_an_open_dispatch_is_not_a_refusal) {
  Forward(Job(KeyOwnedBy("s1"), 1, 1'000 * kMs));
  const auto dispatches = Sent<DispatchTask>();
  AdvanceTime(1'100 * kMs);
  BOOST_TEST((OnlyError() == ErrorKind::kDeadlineExceeded));
  BOOST_TEST(Sent<CancelTask>().size() == 1U);
  AdvanceTime(2'000 * kMs);
  BOOST_TEST(!Sent<TaskQuery>().empty());
}

// Guards against a refused submission getting a different answer when its message is repeated or
// when another device submits the same key.
BOOST_AUTO_TEST_CASE(refused_submission_stays_refused_and_a_new_one_reopens) {
  const JobKey key = KeyOwnedBy("s1");
  const JobSpec job = Job(key, 1, 1'000 * kMs);
  Forward(job, 1);
  for (int i = 0; i < 40; ++i) {
    for (const auto& dispatch : Sent<DispatchTask>()) RefuseTask(dispatch, ErrorKind::kNoPermit);
    AdvanceTime(50 * kMs);
  }
  BOOST_TEST((OnlyError() == ErrorKind::kNotStartedInTime));
  Forward(Job(key), 1);
  BOOST_TEST((OnlyError() == ErrorKind::kNotStartedInTime));
  Forward(Job(key), 2);
  const auto dispatches = Sent<DispatchTask>();
  BOOST_REQUIRE_EQUAL(dispatches.size(), 1U);
  Finish(dispatches[0]);
  BOOST_TEST(IsComplete(Sent<JobReply>()));
}

// Guards against a late duplicate of a message running a job whose caller was told "not run".
BOOST_AUTO_TEST_CASE(copy_of_a_refused_message_does_not_run) {
  m_bundle.limits.max_queued_tasks_per_coordinator = 2;
  const JobSpec job = Job(KeyOwnedBy("s1"), 3);
  Forward(job, 1);
  BOOST_TEST((OnlyError() == ErrorKind::kQueueFull));
  m_bundle.limits.max_queued_tasks_per_coordinator = 100;
  Forward(job, 1);
  BOOST_TEST((OnlyError() == ErrorKind::kQueueFull));
  Forward(job, 2);
  BOOST_TEST(Sent<DispatchTask>().size() == 3U);
}

// Guards against a claim being evicted before its retention ends when the claim table is full.
BOOST_AUTO_TEST_CASE(full_claim_table_refuses) {
  m_bundle.limits.max_claims_per_coordinator = 1;
  Forward(Job(KeyOwnedBy("s1")), 1);
  DiscardSent();
  Forward(Job(KeyOwnedBy("s1", 1)), 2);
  BOOST_TEST((OnlyError() == ErrorKind::kClaimTableFull));
}

// Guards against a cancelled job being reported as "not run" although a task may be running.
BOOST_AUTO_TEST_CASE(cancel_before_and_after_the_start) {
  Forward(Job(KeyOwnedBy("s1"), 1), 1);
  const auto dispatches = Sent<DispatchTask>();
  Receive(Ref("e1"), CancelJob{KeyOwnedBy("s1"), Submission("e1", 9)});
  BOOST_TEST((OnlyError() == ErrorKind::kCancelled));
  BOOST_TEST(Sent<JobStatus>().size() == 1U);
  BOOST_TEST(Sent<CancelTask>().size() == 1U);

  Forward(Job(KeyOwnedBy("s1", 1), 20), 2);
  const auto filling = Sent<DispatchTask>();
  Forward(Job(KeyOwnedBy("s1", 2), 1), 3);
  BOOST_REQUIRE(Sent<DispatchTask>().empty());
  Receive(Ref("e1"), CancelJob{KeyOwnedBy("s1", 2), Submission("e1", 10)});
  BOOST_TEST((OnlyError() == ErrorKind::kCancelledBeforeStart));
}

// Guards against a repeated submission of a non-idempotent job starting it when the claim of the
// key is not known.
BOOST_AUTO_TEST_CASE(attach_only_never_claims) {
  const JobSpec job = Job(KeyOwnedBy("s1"), 1, 500 * kMs);
  Forward(job, 1, "e1", true);
  BOOST_TEST(Sent<DispatchTask>().empty());
  AdvanceTime(700 * kMs);
  BOOST_TEST((OnlyError() == ErrorKind::kOutcomeUnknown));
  Forward(Job(KeyOwnedBy("s1"), 1), 2, "e1", true);
  Forward(Job(KeyOwnedBy("s1"), 1), 3, "e2");
  Finish(Sent<DispatchTask>().at(0));
  BOOST_TEST(Sent<JobReply>().size() == 2U);
}

// Guards against a started task being dispatched again after its executor was lost (invariants 1
// and 6).
BOOST_AUTO_TEST_CASE(lost_executor_leaves_the_outcome_unknown) {
  Forward(Job(KeyOwnedBy("s1")));
  const auto dispatch = Sent<DispatchTask>().at(0);
  for (const auto* name : {"s2", "s3", "s4"}) {
    if (Ref(name) == dispatch.first) Remove(name);
  }
  Publish();
  BOOST_TEST((OnlyError() == ErrorKind::kOutcomeUnknown));
  BOOST_TEST(Sent<DispatchTask>().empty());
}

// Guards against a second dispatch, without a query first, after the connection to a running
// executor was lost.
BOOST_AUTO_TEST_CASE(broken_connection_is_resolved_by_a_question) {
  Forward(Job(KeyOwnedBy("s1")));
  const auto dispatch = Sent<DispatchTask>().at(0);
  coordinator().OnPeerDisconnected(dispatch.first.id, view(), m_now, m_out);
  BOOST_TEST(Sent<TaskQuery>().size() == 1U);
  AdvanceTime(2'000 * kMs);
  BOOST_TEST(Sent<TaskQuery>().size() > 1U);
  BOOST_TEST(Sent<DispatchTask>().empty());
  const TaskState state{dispatch.second.task, dispatch.second.sequence, StartState::kNeverStarted,
                        std::nullopt};
  Receive(dispatch.first, state);
  AdvanceTime(300 * kMs);
  BOOST_TEST(Sent<DispatchTask>().size() == 1U);
}

// Guards against a late duplicate of a refusal requeuing a task that now runs on another executor.
BOOST_AUTO_TEST_CASE(duplicate_refusal_is_ignored) {
  Forward(Job(KeyOwnedBy("s1")));
  const auto first = Sent<DispatchTask>().at(0);
  RefuseTask(first, ErrorKind::kNoFreeSlot);
  const auto second = Sent<DispatchTask>();
  BOOST_REQUIRE_EQUAL(second.size(), 1U);
  RefuseTask(first, ErrorKind::kNoFreeSlot);
  AdvanceTime(300 * kMs);
  BOOST_TEST(Sent<DispatchTask>().empty());
  Finish(second[0]);
  BOOST_TEST(IsComplete(Sent<JobReply>()));
}

// Guards against an answer to a former owner's dispatch closing another dispatch with the same
// sequence number.
BOOST_AUTO_TEST_CASE(answer_about_another_task_closes_nothing) {
  Forward(Job(KeyOwnedBy("s1")));
  const auto dispatch = Sent<DispatchTask>().at(0);
  auto other = dispatch;
  other.second.task.job = KeyOwnedBy("s1", 5);
  RefuseTask(other, ErrorKind::kNoFreeSlot);
  BOOST_TEST(Sent<DispatchTask>().empty());
  Finish(dispatch);
  BOOST_TEST(IsComplete(Sent<JobReply>()));
}

// Guards against dispatches to zones that are out, and to the coordinator's own executor while
// others are available.
BOOST_AUTO_TEST_CASE(unusable_executors_get_nothing) {
  Forward(Job(KeyOwnedBy("s1"), 20));
  for (const auto& [to, dispatch] : Sent<DispatchTask>()) BOOST_TEST((to != self()));
  m_control.zones = {{"z2", ZoneState::kOut, 2, {}}};
  coordinator().OnViewChanged(view(), m_permit, m_now, m_out);
  DiscardSent();
  Forward(Job(KeyOwnedBy("s1", 1)), 2);
  for (const auto& [to, dispatch] : Sent<DispatchTask>()) BOOST_TEST((to == self()));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against entry, coordinator and executor being in one zone while another zone has free
// slots.
BOOST_AUTO_TEST_CASE(spread_prefers_another_zone) {
  CoordinatorFixture cluster;
  cluster.GrantDecidePermit();
  cluster.AddMember("s1", NodeRole::kSidecar, "z1");
  cluster.Publish();
  for (const auto* name : {"s2", "s3"}) cluster.AddMember(name, NodeRole::kSidecar, "z1");
  cluster.AddMember("s4", NodeRole::kSidecar, "z2");
  cluster.Publish();
  cluster.DiscardSent();
  cluster.Forward(cluster.Job(cluster.KeyOwnedBy("s1"), 2));
  for (const auto& [to, dispatch] : cluster.Sent<DispatchTask>()) {
    BOOST_TEST((to == CoordinatorFixture::Ref("s4")));
  }
}

// Guards against all records of a task being lost with one zone: the task waits for a slot in
// another zone, while a task from an entry of another zone uses the free slots.
BOOST_AUTO_TEST_CASE(spread_waits_for_another_zone) {
  CoordinatorFixture cluster;
  cluster.GrantDecidePermit();
  cluster.AddMember("e3", NodeRole::kEntry, "z2");
  cluster.AddMember("s1", NodeRole::kSidecar, "z1");
  cluster.Publish();
  for (const auto* name : {"s2", "s3"}) cluster.AddMember(name, NodeRole::kSidecar, "z1");
  cluster.AddMember("s4", NodeRole::kSidecar, "z2");
  cluster.Publish();
  cluster.DiscardSent();
  cluster.Forward(cluster.Job(cluster.KeyOwnedBy("s1"), 5));
  const auto dispatches = cluster.Sent<DispatchTask>();
  BOOST_TEST(dispatches.size() == 2U);
  for (const auto& [to, dispatch] : dispatches) {
    BOOST_TEST((to == CoordinatorFixture::Ref("s4")));
  }
  cluster.AdvanceTime(1000 * kMs);
  BOOST_TEST(cluster.Sent<DispatchTask>().empty());

  cluster.Forward(cluster.Job(cluster.KeyOwnedBy("s1", 1), 1), 2, "e3");
  const auto others = cluster.Sent<DispatchTask>();
  BOOST_REQUIRE_EQUAL(others.size(), 1U);
  BOOST_TEST((others[0].first != CoordinatorFixture::Ref("s4")));
  BOOST_TEST((others[0].first != cluster.self()));

  cluster.Finish(dispatches.at(0));
  const auto next = cluster.Sent<DispatchTask>();
  BOOST_REQUIRE_EQUAL(next.size(), 1U);
  BOOST_TEST((next[0].first == CoordinatorFixture::Ref("s4")));
}

// Guards against all records of a task being lost with one rack where there is only one zone.
BOOST_AUTO_TEST_CASE(spread_waits_for_another_rack_in_a_single_zone) {
  CoordinatorFixture cluster;
  cluster.GrantDecidePermit();
  cluster.AddMember("s1", NodeRole::kSidecar, "z1");
  cluster.Publish();
  for (const auto* name : {"s2", "s3", "s4"}) cluster.AddMember(name, NodeRole::kSidecar, "z1");
  for (Member& member : cluster.m_row.members) {
    member.rack = member.name == "s4" ? "rack-2" : "rack-1";
  }
  cluster.Publish();
  cluster.DiscardSent();
  cluster.Forward(cluster.Job(cluster.KeyOwnedBy("s1"), 5));
  cluster.AdvanceTime(1000 * kMs);
  const auto dispatches = cluster.Sent<DispatchTask>();
  BOOST_TEST(dispatches.size() == 2U);
  for (const auto& [to, dispatch] : dispatches) {
    BOOST_TEST((to == CoordinatorFixture::Ref("s4")));
  }
}

// Guards against a job waiting although all available executors are in the zone of its entry.
BOOST_AUTO_TEST_CASE(spread_gives_way_without_another_zone) {
  CoordinatorFixture cluster;
  cluster.GrantDecidePermit();
  cluster.AddMember("s1", NodeRole::kSidecar, "z1");
  cluster.Publish();
  cluster.AddMember("s2", NodeRole::kSidecar, "z1");
  cluster.AddMember("s4", NodeRole::kSidecar, "z2");
  cluster.m_control.zones.push_back({"z2", ZoneState::kOut, 1, {}});
  cluster.Publish();
  cluster.DiscardSent();
  cluster.Forward(cluster.Job(cluster.KeyOwnedBy("s1"), 1));
  const auto dispatches = cluster.Sent<DispatchTask>();
  BOOST_REQUIRE_EQUAL(dispatches.size(), 1U);
  BOOST_TEST((dispatches[0].first == CoordinatorFixture::Ref("s2")));
}

// Guards against starting jobs of an entry from which a takeover would not request records: the
// entry was removed as lost while it was paused, or joined in a member table version that this
// coordinator has not received.
BOOST_AUTO_TEST_CASE(forward_of_an_unlisted_entry_is_refused) {
  CoordinatorFixture cluster;
  cluster.Start();
  const JobSpec job = cluster.Job(cluster.KeyOwnedBy("s1"));
  const NodeRef other_run{NodeIdOf("e1"), 2};
  cluster.Receive(other_run, ForwardJob{job, {other_run, 1}, cluster.m_table.version(), false});
  BOOST_TEST((cluster.OnlyError() == ErrorKind::kNotOwner));
  BOOST_TEST(cluster.Sent<DispatchTask>().empty());
  cluster.Remove("e2");
  cluster.Publish();
  cluster.Forward(job, 2, "e2");
  BOOST_TEST((cluster.OnlyError() == ErrorKind::kNotOwner));
  BOOST_TEST(cluster.Sent<DispatchTask>().empty());
}

// Guards against a non-idempotent job running under a durable claim that is being released: once
// the coordinator has erased its claim, the key could be claimed and run again.
BOOST_AUTO_TEST_CASE(attach_only_does_not_reopen_a_refused_claim) {
  CoordinatorFixture cluster;
  cluster.Start();
  const JobSpec job = cluster.Job(cluster.KeyOwnedBy("s1"), 1, 1'000 * kMs);
  cluster.Forward(job);
  for (int i = 0; i < 40; ++i) {
    for (const auto& dispatch : cluster.Sent<DispatchTask>()) {
      cluster.RefuseTask(dispatch, ErrorKind::kNoFreeSlot);
    }
    cluster.AdvanceTime(50 * kMs);
  }
  BOOST_TEST((cluster.OnlyError() == ErrorKind::kNotStartedInTime));
  const JobSpec again = cluster.Job(job.key);
  for (int i = 0; i < 2; ++i) {
    cluster.Forward(again, 2, "e2", true);
    BOOST_TEST((cluster.OnlyError() == ErrorKind::kNotStartedInTime));
    BOOST_TEST(cluster.Sent<DispatchTask>().empty());
  }
  cluster.Forward(again, 3);
  BOOST_TEST(cluster.Sent<DispatchTask>().size() == 1U);
}
