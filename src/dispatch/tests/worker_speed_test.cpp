#include "dispatch/internal/worker_speed.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

#include "policy/random.h"

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

/// Runs of one worker, one after the other.
struct Worker {
  WorkerSpeed speed;
  SteadyTime time{std::chrono::seconds(100)};
  Random random{1};

  Now now() const { return {time, WallTime(time.time_since_epoch())}; }

  /// Runs of the given slowness against estimates that deviate by 0.4, 50 a second.
  void Run(double slowness, milliseconds length) {
    for (const SteadyTime end = time + length; time < end; time += milliseconds(20)) {
      const double deviation =
          std::exp(0.4 * (random.Unit() + random.Unit() + random.Unit() - 1.5) * 2);
      speed.OnRun(slowness * deviation, now());
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(worker_speed)

// Guards against workers that are taken for faster or slower than they are after a few runs.
BOOST_AUTO_TEST_CASE(the_baseline_follows_the_runs_with_their_number) {
  Worker worker;
  worker.speed.OnRun(0.1, worker.now());
  BOOST_TEST(worker.speed.baseline() > 0.85);
  worker.Run(1 / 1.7, std::chrono::seconds(10));
  BOOST_TEST(worker.speed.baseline() > 0.5);
  BOOST_TEST(worker.speed.baseline() < 0.75);
}

// Guards against a speed that is learnt anew after each quiet time.
BOOST_AUTO_TEST_CASE(the_baseline_is_kept_without_runs) {
  Worker worker;
  worker.Run(0.5, std::chrono::seconds(10));
  const double baseline = worker.speed.baseline();
  worker.time += std::chrono::minutes(10);
  BOOST_TEST(worker.speed.baseline() == baseline);
  BOOST_TEST(worker.speed.present(worker.now()) == baseline, boost::test_tools::tolerance(0.01));
}

// Guards against a disturbance that is noticed late, that counts as the worker's nature, or that
// keeps it out of use for long after it has passed.
BOOST_AUTO_TEST_CASE(a_disturbance_shows_within_a_few_runs_and_passes) {
  Worker worker;
  worker.Run(1, std::chrono::seconds(10));
  const double before = worker.speed.baseline();
  for (int run = 0; run < 5; ++run) worker.speed.OnProgress(5, worker.now());
  BOOST_TEST(worker.speed.baseline() == before);
  BOOST_TEST(worker.speed.present(worker.now()) > 2 * before);
  for (int i = 0; i < 60; ++i) {
    worker.time += milliseconds(100);
    worker.speed.OnRun(5, worker.now());
  }
  BOOST_TEST(worker.speed.baseline() < 1.4 * before);
  worker.time += std::chrono::seconds(6);
  BOOST_TEST(worker.speed.present(worker.now()) < 2 * before);
}

// Guards against tasks of unusual length, which any worker runs, that make their worker look slow.
BOOST_AUTO_TEST_CASE(a_single_long_task_hardly_moves_the_baseline) {
  Worker worker;
  worker.Run(1, std::chrono::seconds(10));
  const double before = worker.speed.baseline();
  worker.time += std::chrono::seconds(60);
  worker.speed.OnRun(7, worker.now());
  BOOST_TEST(worker.speed.baseline() < 1.05 * before);
}

BOOST_AUTO_TEST_SUITE_END()
