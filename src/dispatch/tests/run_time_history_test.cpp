#include "dispatch/internal/run_time_history.h"

#include <boost/test/unit_test.hpp>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

Now At(std::chrono::seconds time) { return {SteadyTime(time), WallTime()}; }

struct Fixture {
  RunTimeHistory history;
  Now now = At(std::chrono::seconds(100));

  void Done(int count, milliseconds estimate, milliseconds run_time) {
    for (int i = 0; i < count; ++i) history.OnDone("queue", 0, estimate, run_time, now);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(run_time_history, Fixture)

// Guards against estimates that are replaced although they are only rough.
BOOST_AUTO_TEST_CASE(a_rough_estimate_is_used_as_it_is) {
  Done(20, milliseconds(100), milliseconds(180));
  const auto known = history.Find("queue", 0, milliseconds(40), now);
  BOOST_TEST_REQUIRE(known.has_value());
  BOOST_TEST((known->expected == milliseconds(40)));
}

// Guards against forecasts, stall checks and refusals that follow estimates which are off by a
// factor.
BOOST_AUTO_TEST_CASE(estimates_that_are_far_off_are_corrected) {
  Done(20, milliseconds(10), milliseconds(900));
  BOOST_TEST((history.Find("queue", 0, milliseconds(20), now)->expected == milliseconds(1'800)));
  Done(40, milliseconds(9'000), milliseconds(900));
  BOOST_TEST((history.Find("queue", 0, milliseconds(9'000), now)->expected == milliseconds(900)));
}

// Guards against callers that suffer from the far too short or long estimates of another one: the
// correction of those would make their tasks look hopeless, or free.
BOOST_AUTO_TEST_CASE(an_estimate_is_not_corrected_far_beyond_the_observed_runs) {
  Done(20, milliseconds(1), milliseconds(60));
  BOOST_TEST((history.Find("queue", 0, milliseconds(60), now)->expected == milliseconds(120)));
  BOOST_TEST((history.Find("queue", 0, milliseconds(500), now)->expected == milliseconds(500)));
  Done(40, milliseconds(4'000'000'000), milliseconds(60));
  BOOST_TEST((history.Find("queue", 0, milliseconds(80), now)->expected == milliseconds(30)));
}

// Guards against one long task in ten that is taken for stalled where callers give no estimates.
BOOST_AUTO_TEST_CASE(without_estimates_the_longest_usual_run_time_is_known) {
  BOOST_TEST(!history.Find("queue", 0, milliseconds(0), now).has_value());
  Done(24, milliseconds(0), milliseconds(60));
  Done(6, milliseconds(0), milliseconds(900));
  const auto known = history.Find("queue", 0, milliseconds(0), now);
  BOOST_TEST_REQUIRE(known.has_value());
  BOOST_TEST((known->expected == milliseconds(60)));
  BOOST_TEST((known->usual == milliseconds(900)));
  BOOST_TEST(!history.Find("queue", 0, milliseconds(100), now).has_value());
  BOOST_TEST(!history.Find("queue", 1, milliseconds(0), now).has_value());
}

// Guards against jobs that are tried again and again although none of their kind has ended in time,
// and against a kind that is refused for ever.
BOOST_AUTO_TEST_CASE(tasks_that_do_not_end_in_time_confirm_long_estimates_for_some_time) {
  for (int i = 0; i < 4; ++i) {
    history.OnUnfinished("queue", 0, milliseconds(4'500), milliseconds(1'500), now);
  }
  BOOST_TEST((history.Find("queue", 0, milliseconds(4'500), now)->expected == milliseconds(4'500)));
  now = At(std::chrono::seconds(200));
  BOOST_TEST(!history.Find("queue", 0, milliseconds(4'500), now).has_value());
  history.Expire(now);
  BOOST_TEST(!history.Find("queue", 0, milliseconds(4'500), now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
