#include "dispatch/tests/offline_ideal.h"

#include <boost/test/unit_test.hpp>

using namespace foxtailrudder::dispatch_test;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr double kCapacityMillicores = 1'000;

ArrivedJob Job(milliseconds arrived, milliseconds due, double work, double worth) {
  return {"job", arrived, due, work, worth};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(offline_ideal)

// Guards against a bound that is too low when all work fits.
BOOST_AUTO_TEST_CASE(work_that_fits_is_served_whole) {
  BOOST_TEST(OfflineIdeal({Job(milliseconds(0), milliseconds(1'000), 500, 3),
                           Job(milliseconds(0), milliseconds(999), 500, 2)},
                          kCapacityMillicores) == 5);
}

// Guards against a bound that is too high: of 2 s of work in a window of 1 s, only the more
// valuable half is served.
BOOST_AUTO_TEST_CASE(work_that_does_not_fit_is_served_by_its_worth) {
  const double ideal = OfflineIdeal({Job(milliseconds(0), milliseconds(979), 980, 1),
                                     Job(milliseconds(0), milliseconds(979), 980, 5)},
                                    kCapacityMillicores);
  BOOST_TEST(ideal == 5, boost::test_tools::tolerance(0.01));
}

// Guards against the use of capacity outside a job's time window: the free second lies after the
// first window has ended.
BOOST_AUTO_TEST_CASE(room_after_the_end_of_a_window_serves_nothing) {
  const double ideal = OfflineIdeal({Job(milliseconds(0), milliseconds(979), 1'960, 1),
                                     Job(milliseconds(2'000), milliseconds(2'979), 98, 1)},
                                    kCapacityMillicores);
  BOOST_TEST(ideal == 1.5, boost::test_tools::tolerance(0.01));
}

// Guards against a short job that is left out although a job with a longer window could use other
// capacity.
BOOST_AUTO_TEST_CASE(a_long_window_makes_way_for_a_short_one) {
  const double ideal = OfflineIdeal({Job(milliseconds(0), milliseconds(1'979), 980, 2),
                                     Job(milliseconds(0), milliseconds(979), 980, 1)},
                                    kCapacityMillicores);
  BOOST_TEST(ideal == 3, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_SUITE_END()
