#include <boost/test/unit_test.hpp>

#include "node/node_lifecycle.h"
#include "node/zone_tracker.h"

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRamp{3'000};

Now At(int ms) { return {SteadyTime(milliseconds(ms)), WallTime(milliseconds(ms))}; }

ControlRow Row(ZoneState state, int returned_at_ms) {
  ControlRow row;
  row.zones = {{"z", state, 1, WallTime(milliseconds(returned_at_ms))}};
  return row;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(node_lifecycle)

// Guards against a process that leaves before its peers have stopped sending it work.
BOOST_AUTO_TEST_CASE(drain_waits_until_the_member_row_lists_it) {
  NodeLifecycle lifecycle;
  lifecycle.Observe({true, false, true, false});
  lifecycle.BeginDrain();
  lifecycle.Observe({true, false, true, false});
  BOOST_TEST(!lifecycle.is_handing_over());
  lifecycle.Observe({true, true, false, false});
  BOOST_TEST(!lifecycle.is_handing_over());
  lifecycle.Observe({true, true, true, false});
  BOOST_TEST(lifecycle.is_handing_over());
  lifecycle.Observe({false, false, true, true});
  BOOST_TEST(lifecycle.has_left());
}

// Guards against a planned stop that never completes because the process was never listed.
BOOST_AUTO_TEST_CASE(an_unlisted_process_can_complete_its_drain) {
  NodeLifecycle lifecycle;
  lifecycle.BeginDrain();
  lifecycle.Observe({false, false, true, true});
  BOOST_TEST(lifecycle.has_left());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(zone_tracker)

// Guards against reporting a zone as out while a process may still start tasks in it.
BOOST_AUTO_TEST_CASE(a_zone_is_out_only_after_the_take_out_is_in_force) {
  ZoneTracker tracker;
  BOOST_TEST(tracker.PhaseName("z") == "in");
  tracker.Update(Row(ZoneState::kOut, 0), false, kRamp, At(10));
  BOOST_TEST(tracker.PhaseName("z") == "leaving");
  tracker.Update(Row(ZoneState::kOut, 0), true, kRamp, At(20));
  BOOST_TEST(tracker.PhaseName("z") == "out");
}

// Guards against reporting a returning zone as in before its ramp has ended.
BOOST_AUTO_TEST_CASE(a_returning_zone_ramps_up) {
  ZoneTracker tracker;
  tracker.Update(Row(ZoneState::kOut, 0), true, kRamp, At(10));
  tracker.Update(Row(ZoneState::kIn, 1'000), true, kRamp, At(1'010));
  BOOST_TEST(tracker.PhaseName("z") == "returning");
  tracker.Update(Row(ZoneState::kIn, 1'000), true, kRamp, At(4'000));
  BOOST_TEST(tracker.PhaseName("z") == "in");
}

BOOST_AUTO_TEST_SUITE_END()
