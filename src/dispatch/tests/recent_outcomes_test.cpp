#include "dispatch/internal/recent_outcomes.h"

#include <boost/test/unit_test.hpp>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)

namespace {

Now At(std::chrono::milliseconds since_start) {
  const auto time = std::chrono::seconds(100) + since_start;
  return {SteadyTime(time), WallTime(time)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(recent_outcomes)

// Guards against a worker that is avoided for ever: it gets no work, so no success could clear it.
BOOST_AUTO_TEST_CASE(outcomes_lose_half_of_their_weight_in_two_seconds) {
  RecentOutcomes outcomes;
  for (int i = 0; i < 8; ++i) outcomes.OnEnd(true, At({}));
  outcomes.OnEnd(false, At({}));
  BOOST_TEST(outcomes.failed_tenths(At({})) == 80);
  BOOST_TEST(outcomes.done_tenths(At({})) == 10);
  BOOST_TEST(outcomes.failed_tenths(At(std::chrono::seconds(2))) == 40);
  BOOST_TEST(outcomes.failed_tenths(At(std::chrono::seconds(60))) == 0);
}

// Guards against counts that wrap on the wire.
BOOST_AUTO_TEST_CASE(counts_are_bounded) {
  RecentOutcomes outcomes;
  for (int i = 0; i < 10'000; ++i) outcomes.OnEnd(false, At({}));
  BOOST_TEST(outcomes.done_tenths(At({})) == UINT16_MAX);
}

BOOST_AUTO_TEST_SUITE_END()
