#include <boost/test/unit_test.hpp>

#include "node/tests/checkers.h"

using namespace foxtailrudder;           // NOLINT(google-build-using-namespace)
using namespace foxtailrudder::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;

SteadyTime At(int ms) { return SteadyTime(milliseconds(ms)); }

JobSpec Job(const std::string& key, bool idempotent = true) {
  JobSpec job;
  job.key = {"team", key};
  job.idempotent = idempotent;
  job.tasks = {{"a", "payload-a", {}, {}}, {"b", "payload-b", {}, {}}};
  return job;
}

JobComplete Results() { return {{{"a", 200, "payload-a"}, {"b", 200, "payload-b"}}}; }

StartedEvent Start(int ms, const std::string& key, std::uint32_t index,
                   const std::string& zone = "z") {
  return {At(ms), {{"team", key}, index}, "", zone, {7, 1}};
}

/// A valid history: one job is submitted, started and answered.
History ValidHistory() {
  History history;
  history.submitted = {{At(0), 1, Job("k"), false}};
  history.started = {Start(10, "k", 0), Start(11, "k", 1)};
  history.answered = {{At(50), 1, Results()}};
  return history;
}

bool HasViolation(const History& history, int invariant) {
  for (const Violation& violation : CheckHistory(history)) {
    if (violation.invariant == invariant) return true;
  }
  return false;
}

}  // namespace

// Each test guards against a checker that misses a violation of one invariant, or reports one in a
// valid history.
BOOST_AUTO_TEST_SUITE(checkers)

BOOST_AUTO_TEST_CASE(a_valid_history_has_no_violations) {
  BOOST_TEST(Describe(CheckHistory(ValidHistory())) == "");
}

BOOST_AUTO_TEST_CASE(reports_a_second_start) {
  History history = ValidHistory();
  history.started.push_back(Start(12, "k", 0));
  BOOST_TEST(HasViolation(history, 1));
}

BOOST_AUTO_TEST_CASE(reports_a_second_start_of_non_idempotent_work) {
  History history = ValidHistory();
  history.submitted[0].job.idempotent = false;
  history.started.push_back(Start(12, "k", 0));
  BOOST_TEST(HasViolation(history, 6));
}

BOOST_AUTO_TEST_CASE(reports_a_partial_answer) {
  History history = ValidHistory();
  std::get<JobComplete>(history.answered[0].answer).results.pop_back();
  BOOST_TEST(HasViolation(history, 2));
}

BOOST_AUTO_TEST_CASE(reports_two_different_answers) {
  History history = ValidHistory();
  history.submitted.push_back({At(1), 2, Job("k"), false});
  history.answered.push_back({At(51), 2, Error{ErrorKind::kTaskFailed, ""}});
  BOOST_TEST(HasViolation(history, 2));
}

BOOST_AUTO_TEST_CASE(reports_a_start_in_a_zone_that_is_out) {
  History history = ValidHistory();
  history.zones = {{At(0), "z", ZoneState::kOut}};
  history.started.push_back(Start(3'999, "other", 0));
  BOOST_TEST(!HasViolation(history, 3));
  history.started.push_back(Start(4'001, "other", 1));
  BOOST_TEST(HasViolation(history, 3));
}

BOOST_AUTO_TEST_CASE(reports_no_violation_in_a_zone_that_returned) {
  History history = ValidHistory();
  history.zones = {{At(0), "z", ZoneState::kOut}, {At(4'000), "z", ZoneState::kIn}};
  history.started.push_back(Start(4'500, "other", 0));
  BOOST_TEST(!HasViolation(history, 3));
}

BOOST_AUTO_TEST_CASE(reports_the_answer_of_another_request) {
  History history = ValidHistory();
  std::get<JobComplete>(history.answered[0].answer).results[0].body = "payload-of-another-job";
  BOOST_TEST(HasViolation(history, 4));
}

BOOST_AUTO_TEST_CASE(reports_a_request_answered_twice) {
  History history = ValidHistory();
  history.answered.push_back(history.answered[0]);
  BOOST_TEST(HasViolation(history, 4));
}

BOOST_AUTO_TEST_CASE(reports_a_false_not_run) {
  History history = ValidHistory();
  history.answered[0].answer = Error{ErrorKind::kNotStartedInTime, ""};
  BOOST_TEST(HasViolation(history, 5));
}

BOOST_AUTO_TEST_CASE(reports_a_start_on_a_leaving_endpoint) {
  History history = ValidHistory();
  history.leaving = {{At(0), 7}};
  history.started.push_back(Start(4'100, "other", 0));
  BOOST_TEST(HasViolation(history, 7));
}

BOOST_AUTO_TEST_CASE(reports_a_request_cut_off_by_a_planned_stop) {
  History history = ValidHistory();
  history.planned_stops_only = true;
  BOOST_TEST(!HasViolation(history, 8));
  history.answered[0].answer = Error{ErrorKind::kOutcomeUnknown, ""};
  BOOST_TEST(HasViolation(history, 8));
}

BOOST_AUTO_TEST_CASE(reports_a_bundle_that_reverts) {
  History history = ValidHistory();
  history.bundle_samples = {{At(0), {7, 1}, 2, true, true}, {At(100), {7, 1}, 1, true, true}};
  BOOST_TEST(HasViolation(history, 9));
}

BOOST_AUTO_TEST_CASE(reports_a_late_bundle) {
  History history = ValidHistory();
  history.bundles = {{At(0), 2}};
  history.bundle_samples = {{At(3'900), {7, 1}, 1, true, true},
                            {At(4'100), {8, 1}, 1, false, false}};
  BOOST_TEST(!HasViolation(history, 9));
  for (const bool acting : {false, true}) {
    history.bundle_samples.back().acting = acting;
    history.bundle_samples.back().reachable = !acting;
    BOOST_TEST(HasViolation(history, 9));
  }
}

BOOST_AUTO_TEST_CASE(reports_a_request_without_an_answer) {
  History history = ValidHistory();
  history.answered.clear();
  BOOST_TEST(HasViolation(history, 0));
}

BOOST_AUTO_TEST_SUITE_END()
