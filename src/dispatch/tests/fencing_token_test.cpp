#include "dispatch/fencing_token.h"

#include <boost/test/unit_test.hpp>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTimeOfDay{1'700'000'000'000};

EndpointStatus StatusAt(milliseconds born, milliseconds clock) {
  EndpointStatus status;
  status.born = born;
  status.clock = clock;
  return status;
}

/// Number of refusals until the token has reached the one that the endpoint has seen.
int RefusalsUntil(FencingToken& token, std::uint64_t seen) {
  int refusals = 0;
  while (token.value() < seen && refusals < 100) {
    token.OnRefused(token.value());
    ++refusals;
  }
  return refusals;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fencing_token)

// Guards against a sidecar that never gets a command through, because the time of day was ahead by
// any amount when the one before it started.
BOOST_AUTO_TEST_CASE(refusals_raise_it_above_any_token_after_a_few) {
  FencingToken after_seconds{WallTime(kTimeOfDay)};
  BOOST_TEST(RefusalsUntil(after_seconds, (kTimeOfDay + std::chrono::seconds(12)).count()) <= 2);
  FencingToken after_years{WallTime(kTimeOfDay)};
  BOOST_TEST(RefusalsUntil(after_years, 2 * kTimeOfDay.count()) <= 30);
}

// Guards against tokens that grow without need: several commands are refused for one token.
BOOST_AUTO_TEST_CASE(refusals_of_an_earlier_token_do_not_raise_it) {
  FencingToken token{WallTime(kTimeOfDay)};
  const std::uint64_t first = token.value();
  BOOST_TEST(token.OnRefused(first));
  const std::uint64_t raised = token.value();
  BOOST_TEST(raised > first);
  BOOST_TEST(!token.OnRefused(first));
  BOOST_TEST(token.value() == raised);
}

// Guards against a lower token after a higher one where endpoints do not check: the time of day
// was set back between two starts of the sidecar, while the endpoint's clock went on.
BOOST_AUTO_TEST_CASE(the_clock_of_the_endpoint_keeps_it_rising_over_a_step_of_the_wall_clock) {
  FencingToken before{WallTime(kTimeOfDay)};
  before.OnStatus(StatusAt(kTimeOfDay, milliseconds(5'000)));
  FencingToken after{WallTime(kTimeOfDay - std::chrono::hours(1))};
  after.OnStatus(StatusAt(kTimeOfDay, milliseconds(6'000)));
  BOOST_TEST(after.value() > before.value());
}

// Guards against a status without a clock, or a delayed one, that lowers the token.
BOOST_AUTO_TEST_CASE(a_status_never_lowers_it) {
  FencingToken token{WallTime(kTimeOfDay)};
  token.OnStatus(StatusAt(milliseconds(1), milliseconds(1)));
  token.OnStatus(EndpointStatus{});
  BOOST_TEST(token.value() == static_cast<std::uint64_t>(kTimeOfDay.count()));
}

// Guards against a token that wraps, or that a reader of JSON numbers rounds.
BOOST_AUTO_TEST_CASE(it_stays_an_exact_number) {
  FencingToken token{WallTime(kTimeOfDay)};
  for (int i = 0; i < 200; ++i) token.OnRefused(token.value());
  token.OnStatus(StatusAt(milliseconds(INT64_MAX / 2), milliseconds(1)));
  BOOST_TEST(token.value() == (std::uint64_t{1} << 53U) - 1);
}

BOOST_AUTO_TEST_SUITE_END()
