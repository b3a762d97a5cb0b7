#include "dispatch/report_schedule.h"

#include <boost/test/unit_test.hpp>

#include "dispatch/timing.h"

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

Now At(milliseconds time) { return {SteadyTime(std::chrono::hours(1) + time), {}}; }

/// Counts the reports to an entry in ten seconds that begin when the entry is no longer new.
int CountReports(ReportSchedule& schedule, NodeId entry, bool has_work) {
  int reports = 0;
  for (milliseconds time{4'000}; time < milliseconds(14'000); time += milliseconds(20)) {
    reports += schedule.TakeDue(entry, has_work, At(time)) ? 1 : 0;
  }
  return reports;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(report_schedule)

// Guards against reports that grow with entries times sidecars: an entry that does not use the
// worker needs to know only that it exists.
BOOST_AUTO_TEST_CASE(an_entry_that_does_not_use_the_worker_gets_presence_reports) {
  ReportSchedule schedule(Random(1));
  schedule.TakeDue(1, false, At(milliseconds(0)));
  schedule.TakeDue(2, false, At(milliseconds(0)));
  schedule.SetWanted(1, true);
  BOOST_TEST(CountReports(schedule, 1, false) == 100);
  const int presence = CountReports(schedule, 2, false);
  BOOST_TEST(presence >= 10);
  BOOST_TEST(presence <= 13);
}

// Guards against a permit that lapses, and with it a running task, because its entry has left the
// worker out of its subset.
BOOST_AUTO_TEST_CASE(an_entry_with_tasks_here_gets_frequent_reports) {
  ReportSchedule schedule(Random(1));
  schedule.TakeDue(1, true, At(milliseconds(0)));
  schedule.SetWanted(1, false);
  BOOST_TEST(CountReports(schedule, 1, true) == 100);
}

// Guards against an entry whose subset is full and that waits a presence period for a borrowed
// worker.
BOOST_AUTO_TEST_CASE(a_report_is_due_at_once_when_an_entry_begins_to_want_them) {
  ReportSchedule schedule(Random(1));
  schedule.TakeDue(1, false, At(milliseconds(0)));
  BOOST_TEST(schedule.TakeDue(1, false, At(milliseconds(5'000))));
  BOOST_TEST(!schedule.TakeDue(1, false, At(milliseconds(5'020))));
  BOOST_TEST(schedule.SetWanted(1, true));
  BOOST_TEST(schedule.TakeDue(1, false, At(milliseconds(5'020))));
  BOOST_TEST(!schedule.SetWanted(1, true));
  BOOST_TEST(!schedule.TakeDue(1, false, At(milliseconds(5'040))));
}

// Guards against a restarted entry that is found only after a presence period.
BOOST_AUTO_TEST_CASE(a_new_entry_gets_frequent_reports) {
  ReportSchedule schedule(Random(1));
  int reports = 0;
  for (milliseconds time{0}; time < milliseconds(1'000); time += milliseconds(20)) {
    reports += schedule.TakeDue(1, false, At(time)) ? 1 : 0;
  }
  BOOST_TEST(reports == 10);
}

BOOST_AUTO_TEST_SUITE_END()
