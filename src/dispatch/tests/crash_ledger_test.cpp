#include "dispatch/internal/crash_ledger.h"

#include <boost/test/unit_test.hpp>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)

namespace {

const TaskName kTask{{"queue", "job"}, 0, 1};
const TaskName kOther{{"queue", "other"}, 0, 0};
const Now kNow{SteadyTime(std::chrono::seconds(100)), WallTime(std::chrono::seconds(100))};

}  // namespace

BOOST_AUTO_TEST_SUITE(crash_ledger)

// Guards against a task that goes on crashing endpoints because it never ran alone: three crashes
// are enough.
BOOST_AUTO_TEST_CASE(three_crashes_beside_others_make_a_task_guilty) {
  CrashLedger ledger;
  BOOST_TEST((ledger.VerdictOn(kTask) == CrashVerdict::kClear));
  ledger.Add({1, {kTask, kOther}}, kNow);
  BOOST_TEST((ledger.VerdictOn(kTask) == CrashVerdict::kSuspect));
  ledger.Add({2, {kTask, kOther}}, kNow);
  BOOST_TEST((ledger.VerdictOn(kTask) == CrashVerdict::kStrongSuspect));
  ledger.Add({3, {kTask, kOther}}, kNow);
  BOOST_TEST((ledger.VerdictOn(kTask) == CrashVerdict::kGuilty));
}

// Guards against a third crash by a task that has crashed an endpoint on which nothing else ran.
BOOST_AUTO_TEST_CASE(two_crashes_make_a_task_guilty_if_it_was_alone) {
  CrashLedger ledger;
  ledger.Add({1, {kTask}}, kNow);
  BOOST_TEST((ledger.VerdictOn(kTask) == CrashVerdict::kSuspect));
  ledger.Add({2, {kTask, kOther}}, kNow);
  BOOST_TEST((ledger.VerdictOn(kTask) == CrashVerdict::kGuilty));
  BOOST_TEST((ledger.VerdictOn(kOther) == CrashVerdict::kSuspect));
}

// Guards against jobs that fail although they could be done: one crash is reported by each
// connection of a sidecar, and a task that has ended well is innocent of the crashes beside it.
BOOST_AUTO_TEST_CASE(a_crash_counts_once_and_a_good_end_clears) {
  CrashLedger ledger;
  for (int i = 0; i < 3; ++i) ledger.Add({1, {kTask, kOther}}, kNow);
  BOOST_TEST(ledger.CrashesOf(kTask) == 1U);
  ledger.Add({2, {kTask, kOther}}, kNow);
  BOOST_TEST(ledger.Clear(kTask));
  BOOST_TEST(!ledger.Clear(kTask));
  BOOST_TEST((ledger.VerdictOn(kTask) == CrashVerdict::kClear));
  BOOST_TEST((ledger.VerdictOn(kOther) == CrashVerdict::kStrongSuspect));
}

// Guards against memory that grows with all crashes ever seen.
BOOST_AUTO_TEST_CASE(old_crashes_are_forgotten) {
  CrashLedger ledger;
  ledger.Add({1, {kTask, kOther}}, kNow);
  Now later = kNow;
  later.steady += std::chrono::minutes(10);
  ledger.Expire(later);
  BOOST_TEST(ledger.size() == 0U);
}

// Guards against a guilty task that is not counted because the ledger is full of others: known
// tasks are still counted, and what is left out is told.
BOOST_AUTO_TEST_CASE(a_full_ledger_still_counts_the_tasks_that_it_knows) {
  CrashLedger ledger;
  ledger.Add({1, {kTask, kOther}}, kNow);
  EndpointCrash many{2, {}};
  for (std::uint32_t index = 0; index < 10'000; ++index)
    many.suspects.push_back({{"queue", "m"}, 0, index});
  many.suspects.push_back(kTask);
  const std::size_t left_out = ledger.Add(many, kNow);
  BOOST_TEST(left_out == 10'000U + 2U - ledger.size());
  BOOST_TEST(left_out > 0U);
  BOOST_TEST(ledger.CrashesOf(kTask) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
