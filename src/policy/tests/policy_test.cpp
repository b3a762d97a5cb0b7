#include "policy/policy.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <string>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

Now At(milliseconds since_start) {
  return {SteadyTime(milliseconds(1'000'000)) + since_start,
          WallTime(milliseconds(2'000'000)) + since_start};
}

constexpr milliseconds kFar{60'000};

}  // namespace

BOOST_AUTO_TEST_SUITE(policy)

// Guards against leaving a task queued while a slot is free because both random candidates are
// full.
BOOST_AUTO_TEST_CASE(every_choice_finds_the_only_free_slot) {
  std::vector<ExecutorLoad> candidates(11, {.slots = 8, .outstanding = 8});
  candidates[7].outstanding = 7;
  Random random(1);
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(TwoChoices().Choose(candidates, random).value() == 7U);
    BOOST_TEST(LeastOutstanding().Choose(candidates, random).value() == 7U);
    BOOST_TEST(RoundRobin().Choose(candidates, random).value() == 7U);
    BOOST_TEST(RandomChoice().Choose(candidates, random).value() == 7U);
  }
  candidates[7].outstanding = 8;
  BOOST_TEST(!TwoChoices().Choose(candidates, random).has_value());
  BOOST_TEST(!RandomChoice().Choose(candidates, random).has_value());
  BOOST_TEST(!TwoChoices().Choose({}, random).has_value());
}

// Guards against overloading a returning executor, or never giving it a first task.
BOOST_AUTO_TEST_CASE(weight_scales_slots_and_keeps_one) {
  BOOST_TEST(UsableSlots({.slots = 8, .weight = 0.5}) == 4U);
  BOOST_TEST(UsableSlots({.slots = 8, .weight = 0.0}) == 1U);
  BOOST_TEST(UsableSlots({.slots = 0, .weight = 1.0}) == 0U);
}

// Guards against urgent items queueing behind less urgent ones, and against starvation of the
// others.
BOOST_AUTO_TEST_CASE(urgent_first_but_batch_does_not_starve) {
  auto queue = UrgencyQueue<int>::Create(100);
  queue.SetRules({{Urgency::kUrgent, milliseconds(2'000)}, {Urgency::kBatch, milliseconds(0)}});
  const Now start = At(milliseconds(0));
  BOOST_TEST(queue.Push(0, Urgency::kBatch, start.wall + kFar, start));
  for (int i = 1; i <= 30; ++i) {
    const Now now = At(milliseconds(100 * i));
    BOOST_TEST(queue.Push(i, Urgency::kUrgent, now.wall + kFar, now));
  }
  int before_batch = 0;
  while (queue.Pop(start).value() != 0) ++before_batch;
  // Only urgent items that arrived within the head start overtake the batch item.
  BOOST_TEST(before_batch == 19);
}

// Guards against a queued task missing its deadline while tasks with more time left run first.
BOOST_AUTO_TEST_CASE(near_deadline_is_pulled_forward) {
  auto queue = UrgencyQueue<std::string>::Create(10);
  queue.SetRules({{Urgency::kUrgent, milliseconds(2'000)}});
  const Now now = At(milliseconds(0));
  queue.Push("patient", Urgency::kNormal, now.wall + kFar, now);
  queue.Push("soon", Urgency::kNormal, now.wall + milliseconds(1'500), now);
  BOOST_TEST(queue.Pop(now).value() == "soon");
  BOOST_TEST(queue.Pop(now).value() == "patient");
}

// Guards against an unbounded queue, and against cancelled items that still occupy capacity.
BOOST_AUTO_TEST_CASE(queue_is_bounded_and_items_can_be_removed) {
  auto queue = UrgencyQueue<int>::Create(3);
  const Now now = At(milliseconds(0));
  for (int i = 0; i < 3; ++i) BOOST_TEST(queue.Push(i, Urgency::kNormal, now.wall + kFar, now));
  BOOST_TEST(!queue.Push(3, Urgency::kNormal, now.wall + kFar, now));
  BOOST_TEST(queue.RemoveIf([](int item) { return item == 0; }) == 1U);
  BOOST_TEST(queue.Pop(now).value() == 1);
}

// Guards against a retry storm when every executor refuses.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_share) {
  RetryBudget budget(10);
  std::uint32_t retries = 0;
  for (int i = 0; i < 500; ++i) {
    budget.OnFirstAttempt();
    while (budget.TryRetry()) ++retries;
  }
  BOOST_TEST(retries == RetryBudget::kReservedRetries + 50);
  RetryBudget none(0);
  none.OnFirstAttempt();
  BOOST_TEST(!none.TryRetry());
}

// Guards against a zero delay or one above the cap, also after many attempts.
BOOST_AUTO_TEST_CASE(backoff_stays_in_bounds) {
  Random random(2);
  for (std::uint32_t attempt = 0; attempt < 100; ++attempt) {
    const milliseconds wait = Backoff::Next(attempt, random);
    const milliseconds limit = attempt < 5 ? milliseconds(5 << attempt) : Backoff::kExecutorCap;
    BOOST_TEST(wait.count() >= 1);
    BOOST_TEST(wait.count() <= limit.count());
  }
}

// Guards against a fast-failing endpoint attracting the work, and against its return at full weight
// before a probe task has succeeded.
BOOST_AUTO_TEST_CASE(failing_member_is_ejected_probed_and_ramped) {
  const std::array<NodeId, 3> members = {1, 2, 3};
  EjectionTracker tracker;
  tracker.SetMembers(members, 33);
  const Now start = At(milliseconds(0));
  for (std::uint32_t i = 0; i < EjectionTracker::kConsecutiveFailureThreshold; ++i) {
    tracker.OnOutcome(1, true, start);
  }
  BOOST_TEST(tracker.IsEjected(1, start));
  const Now probe = At(EjectionTracker::kBaseEjectionTime);
  BOOST_TEST(!tracker.IsEjected(1, probe));
  BOOST_TEST(tracker.Weight(1, probe) == 0.0);

  tracker.OnOutcome(1, true, probe);
  BOOST_TEST(tracker.IsEjected(1, At(EjectionTracker::kBaseEjectionTime * 2)));
  const milliseconds second_probe = EjectionTracker::kBaseEjectionTime * 3;
  tracker.OnOutcome(1, false, At(second_probe));
  const double half = tracker.Weight(1, At(second_probe + EjectionTracker::kDefaultRamp / 2));
  BOOST_TEST(half == 0.5, boost::test_tools::tolerance(0.01));
  BOOST_TEST(tracker.Weight(1, At(second_probe + EjectionTracker::kDefaultRamp)) == 1.0);
}

// Guards against ejecting all executors when the fault lies elsewhere.
BOOST_AUTO_TEST_CASE(at_most_a_third_is_ejected) {
  std::vector<NodeId> members(11);
  std::iota(members.begin(), members.end(), 1);
  EjectionTracker tracker;
  tracker.SetMembers(members, 33);
  for (int round = 0; round < 50; ++round) {
    for (const NodeId id : members) tracker.OnOutcome(id, true, At(milliseconds(round)));
  }
  BOOST_TEST(tracker.ejected_count() == 3U);
}

// Guards against keeping a member in use that fails most tasks but never enough in a row.
BOOST_AUTO_TEST_CASE(high_failure_share_ejects) {
  const std::array<NodeId, 3> members = {1, 2, 3};
  EjectionTracker tracker;
  tracker.SetMembers(members, 33);
  for (int i = 0; i < 100; ++i) tracker.OnOutcome(1, i % 4 != 0, At(milliseconds(i)));
  BOOST_TEST(tracker.ejected_count() == 1U);
}

// Guards against estimates that stay at a wrong initial value or do not follow a change.
BOOST_AUTO_TEST_CASE(run_times_are_learnt) {
  RunTimeEstimator estimator;
  const milliseconds initial(10'000);
  BOOST_TEST(estimator.Estimate("pricing", initial).count() == 10'000);
  for (int i = 0; i < 1'000; ++i) {
    estimator.OnFinished("pricing", milliseconds(i % 10 == 0 ? 1'000 : 100));
  }
  BOOST_TEST(std::abs(estimator.Estimate("pricing", initial).count() - 190) < 120);
  BOOST_TEST(estimator.Quantile("pricing", 0.5, initial).count() < 130);
  BOOST_TEST(estimator.Quantile("pricing", 0.95, initial).count() >= 1'000);
  for (int i = 0; i < 1'500; ++i) estimator.OnFinished("pricing", milliseconds(10));
  BOOST_TEST(estimator.Quantile("pricing", 0.5, initial).count() < 13);
}

// Guards against a team exceeding its rate, and against a job above the burst that is never
// admitted.
BOOST_AUTO_TEST_CASE(token_bucket_limits_rate) {
  const auto at = [](int ms) { return At(milliseconds(ms)).steady; };
  TokenBucket bucket(100, 50, at(0));
  BOOST_TEST(bucket.TryTake(50, at(0)));
  BOOST_TEST(!bucket.TryTake(1, at(5)));
  BOOST_TEST(bucket.TryTake(1, at(10)));
  BOOST_TEST(bucket.TryTake(500, at(1'000)));
  BOOST_TEST(!bucket.TryTake(1, at(5'000)));
  BOOST_TEST(bucket.TryTake(1, at(6'000)));
}

// Guards against quota wasted on entries without demand, and against such entries being unable to
// start.
BOOST_AUTO_TEST_CASE(quota_follows_demand_with_a_floor) {
  const std::array<std::uint32_t, 4> demands = {300, 100, 0, 0};
  const std::vector<double> shares = QuotaShares::Split(demands);
  BOOST_TEST(std::accumulate(shares.begin(), shares.end(), 0.0) == 1.0,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(shares[0] > 0.65);
  BOOST_TEST(shares[3] > 0.01);
}

// Guards against admitting jobs that cannot finish in time and rejecting jobs that can.
BOOST_AUTO_TEST_CASE(admission_follows_load) {
  const Now now = At(milliseconds(0));
  const auto in = [&](int ms) { return now.wall + milliseconds(ms); };
  AdmissionLoad load{.max_queued_tasks = 1'000,
                     .slots = 88,
                     .free_slots = 88,
                     .mean_run_time = milliseconds(300),
                     .last_run_time = milliseconds(800)};
  BOOST_TEST(!Admission::Check(88, in(800), load, now).has_value());
  BOOST_TEST((Admission::Check(1, in(700), load, now) == ErrorKind::kDeadlineUnreachable));
  load.free_slots = 0;
  load.queued_tasks = 880;
  BOOST_TEST((Admission::Check(1, in(3'500), load, now) == ErrorKind::kDeadlineUnreachable));
  BOOST_TEST(!Admission::Check(1, in(4'000), load, now).has_value());
  BOOST_TEST((Admission::Check(121, in(90'000), load, now) == ErrorKind::kQueueFull));
  load.slots = 0;
  BOOST_TEST((Admission::Check(1, in(90'000), load, now) == ErrorKind::kNoCapacity));
}

// Guards against queueing a task that no endpoint can run.
BOOST_AUTO_TEST_CASE(admission_refuses_oversized_tasks) {
  const Now now = At(milliseconds(0));
  Bundle bundle;
  bundle.services = {{.name = "booking", .max_task_size = 10}};
  bundle.teams = {{.name = "taldyk", .home_region = "kz"}};
  JobSpec job;
  job.key = {"taldyk", "k"};
  job.service = "booking";
  job.deadline = now.wall + kFar;
  job.tasks = {{"t", "p", 11, {}}};
  BOOST_TEST((Admission::CheckJob(job, bundle, now) == ErrorKind::kCanNeverRun));
  job.tasks[0].size = 10;
  BOOST_TEST(!Admission::CheckJob(job, bundle, now).has_value());
}

// Guards against a returned zone getting its full share at once, and against errors from a clock
// that is behind.
BOOST_AUTO_TEST_CASE(zone_ramps_up) {
  const WallTime returned = At(milliseconds(0)).wall;
  const auto weight = [&](int ms) {
    return ZoneRampWeight(returned, milliseconds(3'000), returned + milliseconds(ms));
  };
  BOOST_TEST(weight(-100) == 0.0);
  BOOST_TEST(weight(1'500) == 0.5, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(weight(9'000) == 1.0);
  BOOST_TEST(ZoneRampWeight(WallTime(), milliseconds(3'000), returned) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
