#include "app/explain.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_SUITE(explain)

// Guards against an explanation that omits a process, is out of order, or does not mark the first
// departure from the normal course.
BOOST_AUTO_TEST_CASE(lines_of_several_processes_are_merged_and_the_first_departure_is_marked) {
  std::istringstream logs(R"(
 0.3 side-1 {"time_ms":120,"level":"warning","process":"side-1","event":"run_not_started","request":"aa","answer":5}
{"time_ms":100,"level":"info","process":"front-1","zone":"z","event":"job_taken","request":"aa","tasks":2}
not json at all aa
{"time_ms":150,"level":"warning","process":"front-1","event":"task_ended","request":"aa","end":"lost"}
{"time_ms":101,"level":"info","process":"front-1","event":"job_taken","request":"ab","tasks":2}
{"broken aa
)");
  std::ostringstream out;
  BOOST_TEST((Explain("aa", logs, out) == ExitStatus::kOk));
  BOOST_TEST(out.str() ==
             "  +0 ms  front-1  job_taken  tasks=2\n"
             "> +20 ms  side-1  run_not_started  answer=5\n"
             "  +50 ms  front-1  task_ended  end=\"lost\"\n");
}

// Guards against empty output that could be mistaken for a run without problems.
BOOST_AUTO_TEST_CASE(an_unknown_request_is_an_error) {
  std::istringstream logs;
  std::ostringstream out;
  BOOST_TEST((Explain("aa", logs, out) == ExitStatus::kFailed));
  BOOST_TEST(out.str().find("no line names") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
