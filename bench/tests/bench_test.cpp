#include <boost/test/unit_test.hpp>

#include "bench/fleet.h"
#include "bench/load_runner.h"
#include "bench/slot_model.h"
#include "bench/statistics.h"
#include "bench/workload.h"

using namespace foxtailrudder::bench;  // NOLINT(google-build-using-namespace)

// Guards against a fit that swaps slope and intercept or reports a high r2 for scattered points.
BOOST_AUTO_TEST_CASE(FitReportsLineAndScatter) {
  const std::vector<double> x{1, 2, 3, 4};
  const LinearFit exact = FitLine(x, std::vector<double>{5, 7, 9, 11});
  BOOST_CHECK_CLOSE(exact.slope, 2, 1e-9);
  BOOST_CHECK_CLOSE(exact.intercept, 3, 1e-9);
  BOOST_CHECK_CLOSE(exact.r2, 1, 1e-9);
  BOOST_CHECK_LT(FitLine(x, std::vector<double>{5, 1, 9, 2}).r2, 0.5);
}

// Guards against quantiles that are off by one rank.
BOOST_AUTO_TEST_CASE(QuantilesUseNearestRank) {
  std::vector<double> values;
  values.reserve(100);
  for (int i = 100; i >= 1; --i) values.push_back(i);
  const Summary summary = Summarize(values);
  BOOST_CHECK_EQUAL(summary.p50, 50);
  BOOST_CHECK_EQUAL(summary.p99, 99);
  BOOST_CHECK_EQUAL(summary.p999, 100);
  BOOST_CHECK_EQUAL(Summarize({}).count, 0U);
}

// Guards against arrivals that differ between runs or do not add up to the configured load.
BOOST_AUTO_TEST_CASE(ArrivalsAreSeededAndOfferTheLoad) {
  WorkloadOptions options;
  options.duration = Milliseconds(2'000'000);
  const auto arrivals = MakeArrivals(options);
  const auto again = MakeArrivals(options);
  BOOST_REQUIRE_EQUAL(arrivals.size(), again.size());
  Milliseconds work{0};
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    BOOST_REQUIRE(arrivals[i].at == again[i].at);
    BOOST_REQUIRE(arrivals[i].run_times == again[i].run_times);
    work += arrivals[i].work();
  }
  BOOST_CHECK_CLOSE(work / (options.duration * options.slots), options.load, 4);
}

// Guards against counting the slots of a zone that is out as possible work.
BOOST_AUTO_TEST_CASE(PossibleWorkExcludesSlotsOfAnOutage) {
  std::vector<JobArrival> arrivals;
  arrivals.reserve(4);
  for (int i = 0; i < 4; ++i) arrivals.push_back({Milliseconds(0), {Milliseconds(100)}, false});
  BOOST_CHECK_EQUAL(PossibleWork(arrivals, 2, {}, Milliseconds(200)).count(), 400);
  const SlotOutage outage{1, Milliseconds(0), Milliseconds(1000)};
  BOOST_CHECK_EQUAL(PossibleWork(arrivals, 2, outage, Milliseconds(200)).count(), 200);
}

// Guards against counting refusals sent to callers as wasted messages, and against missing retries.
BOOST_AUTO_TEST_CASE(WasteCountsDispatchRefusalsAndRetries) {
  FleetCounters counters;
  const std::string page =
      "# HELP x\n"
      "foxtailrudder_refusals_total{reason=\"no_free_slot\"} 3\n"
      "foxtailrudder_refusals_total{reason=\"quota_exceeded\"} 50\n"
      "foxtailrudder_retries_total{reason=\"no_free_slot\"} 2\n"
      "foxtailrudder_messages_duplicate_total 1\n"
      "foxtailrudder_tasks_started_total 100\n";
  AddMetricsPage(page, "sidecar", counters);
  BOOST_CHECK_CLOSE(counters.WastedPerTask(), 0.06, 1e-9);
}

// Guards against late urgent jobs that are not counted, and against counting refused ones as late.
BOOST_AUTO_TEST_CASE(LateUrgentJobsAreCounted) {
  LoadOptions options;
  LoadResult result;
  const JobArrival urgent{Milliseconds(0), {Milliseconds(100)}, true};
  result.arrivals = {urgent, urgent, urgent};
  JobRecord in_time;
  in_time.answered = true;
  in_time.status = 200;
  in_time.latency = Milliseconds(500);
  JobRecord late = in_time;
  late.latency = urgent.longest() + options.urgent_slack + Milliseconds(1);
  JobRecord refused;
  refused.answered = true;
  refused.status = 503;
  refused.error_kind = "deadline_unreachable";
  refused.not_run = true;
  result.records = {in_time, late, refused};
  const LoadFigures figures = Evaluate(result, options);
  BOOST_CHECK_EQUAL(figures.urgent_accepted, 2U);
  BOOST_CHECK_EQUAL(figures.urgent_late, 1U);
  BOOST_CHECK_EQUAL(figures.refused, 1U);
}
