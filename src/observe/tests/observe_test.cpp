#include "observe/observe.h"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <string>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using std::chrono::duration;

namespace {

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

// Runs the action with standard error redirected to a file and returns the text written to it.
template <typename Action>
std::string CaptureStandardError(Action action) {
  std::FILE* const file = std::tmpfile();
  BOOST_REQUIRE(file != nullptr);
  const int saved = dup(STDERR_FILENO);
  dup2(fileno(file), STDERR_FILENO);
  action();
  std::fflush(stderr);
  dup2(saved, STDERR_FILENO);
  close(saved);
  std::rewind(file);
  std::string text(4'096, '\0');
  text.resize(std::fread(text.data(), 1, text.size(), file));
  std::fclose(file);
  return text;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(observe)

// Guards against quantiles that are wrong by more than one bucket width, and against the loss of
// values outside the range.
BOOST_AUTO_TEST_CASE(quantiles) {
  LatencyHistogram histogram;
  BOOST_TEST(histogram.Quantile(0.5).count() == 0.0);
  for (int i = 1; i <= 1'000; ++i) histogram.Record(duration<double>(i / 1'000.0));
  BOOST_TEST(histogram.Quantile(0.5).count() == 0.5, boost::test_tools::tolerance(0.05));
  BOOST_TEST(histogram.Quantile(0.99).count() == 0.99, boost::test_tools::tolerance(0.05));
  LatencyHistogram other;
  other.Record(duration<double>(0));
  other.Record(duration<double>(1e6));
  histogram.Merge(other);
  BOOST_TEST(histogram.count() == 1'002U);
  BOOST_TEST(histogram.Quantile(0).count() < 0.001);
  BOOST_TEST(histogram.Quantile(1).count() > 100);
  BOOST_TEST(histogram.Buckets().back().cumulative == 1'001U);
}

// Guards against refusals that no counter shows, and against text that Prometheus cannot parse.
BOOST_AUTO_TEST_CASE(prometheus_text) {
  Counters counters;
  counters.Add(CounterId::kTasksStarted, 7);
  counters.AddRefusal(ErrorKind::kNoFreeSlot);
  counters.AddRetry(ErrorKind::kStaleDispatch);
  HistogramMetric latency{"answer_seconds", "Answers.", {{"service", "s"}}, {}};
  latency.histogram.Record(duration<double>(0.25));
  const std::array<Gauge, 3> gauges = {{{"queued", "Queued.", {{"team", "a\"b\\c\nd"}}, 1.5},
                                        {"slots", "Slots.", {}, 8},
                                        {"queued", "Queued.", {{"team", "e"}}, 2}}};
  const std::string text = PrometheusText(counters, gauges, {&latency, 1});
  constexpr const char* kQueued =
      "# HELP foxtailrudder_queued Queued.\n# TYPE foxtailrudder_queued gauge\n"
      "foxtailrudder_queued{team=\"a\\\"b\\\\c\\nd\"} 1.5\n"
      "foxtailrudder_queued{team=\"e\"} 2\n";
  for (const std::string_view line :
       {"# TYPE foxtailrudder_tasks_started_total counter\nfoxtailrudder_tasks_started_total 7\n",
        "foxtailrudder_refusals_total{reason=\"no_free_slot\"} 1\n",
        "foxtailrudder_refusals_total{reason=\"queue_full\"} 0\n",
        "foxtailrudder_retries_total{reason=\"stale_dispatch\"} 1\n", kQueued,
        "foxtailrudder_answer_seconds_bucket{service=\"s\",le=\"+Inf\"} 1\n",
        "foxtailrudder_answer_seconds_sum{service=\"s\"} 0.25\n",
        "foxtailrudder_answer_seconds_count{service=\"s\"} 1\n"}) {
    BOOST_TEST(Contains(text, line), line);
  }
}

// Guards against log lines that are not JSON, lack the incarnation or are lost on shutdown, and
// against a crash when a message is logged after shutdown.
BOOST_AUTO_TEST_CASE(json_lines) {
  const std::string text = CaptureStandardError([] {
    BOOST_TEST(!SetUpLogging("info", LogOutput::kJsonLines, "entry-1", 42).has_value());
    spdlog::info("refused \"a\"\n{}", "\xff");
    spdlog::debug("hidden");
    ShutDownLogging();
    spdlog::info("after the end");
  });
  BOOST_TEST(Contains(text, R"("level":"info","process":"entry-1","incarnation":42,)"
                            R"("message":"refused \"a\"\u000a\ufffd"})"));
  BOOST_TEST(!Contains(text, "hidden"));
  BOOST_TEST(Contains(text, "after the end"));
  BOOST_TEST(SetUpLogging("loud", LogOutput::kText, "entry-1", 42).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
