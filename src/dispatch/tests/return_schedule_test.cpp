#include "dispatch/internal/return_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

const SteadyTime kNow{std::chrono::seconds(100)};

}  // namespace

BOOST_AUTO_TEST_SUITE(return_schedule)

// Guards against callers that return before the backlog leaves them time, or all at the same time.
BOOST_AUTO_TEST_CASE(callers_return_one_after_the_other_when_there_is_room) {
  ReturnSchedule schedule;
  const ReturningJob job{milliseconds(1'500), milliseconds(400)};
  BOOST_TEST((schedule.Add("show", job, kNow) == milliseconds(1'500)));
  BOOST_TEST((schedule.Add("show", job, kNow) == milliseconds(1'900)));
  // Later refusals come after the earlier ones, although the backlog has become shorter.
  const ReturningJob short_job{milliseconds(100), milliseconds(50)};
  BOOST_TEST((schedule.Add("show", short_job, kNow + milliseconds(1'000)) == milliseconds(1'300)));
  BOOST_TEST((schedule.Add("other", short_job, kNow) == milliseconds(100)));
}

// Guards against a delay that keeps growing after the overload has ended, or without a limit.
BOOST_AUTO_TEST_CASE(the_delay_ends_with_the_backlog_and_is_bounded) {
  ReturnSchedule schedule;
  const ReturningJob job{milliseconds(1'000), milliseconds(5'000)};
  milliseconds last{0};
  for (int i = 0; i < 100; ++i) last = schedule.Add("show", job, kNow);
  BOOST_TEST((last <= milliseconds(30'000)));
  BOOST_TEST((schedule.Add("show", job, kNow + milliseconds(60'000)) == milliseconds(1'000)));
}

BOOST_AUTO_TEST_SUITE_END()
