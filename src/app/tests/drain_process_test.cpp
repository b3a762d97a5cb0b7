#include <boost/test/unit_test.hpp>
#include <csignal>

#include "app/tests/fleet.h"
#include "app/tests/ledger.h"
#include "app/tests/load.h"

namespace foxtailrudder::app_test {
namespace {

/// Longer than a handover takes, so that every claim is handed over with open dispatches.
constexpr int kTaskDurationMs = 1500;

/// Sends SIGTERM, waits until the process ends, and checks that it exited with status 0.
void StopGracefully(Fleet& fleet, Instance& instance) {
  instance.process->Signal(SIGTERM);
  fleet.WaitUntil(instance.name + " stopped", [&] { return !instance.process->IsRunning(); });
  const auto result = instance.process->Wait(std::chrono::milliseconds(0));
  BOOST_TEST((result && result->status == 0 && result->signal == 0),
             instance.name << " ended with status " << result->status << " signal "
                           << result->signal << "\n"
                           << fleet.LogTail(instance));
}

void CheckNoUnansweredRequests(const LoadGenerator& load, const Ledger& ledger) {
  BOOST_TEST_MESSAGE(ledger.Summary());
  BOOST_TEST(load.unanswered_requests() == 0U, load.first_unanswered_request());
}

void CheckNoOutcomeUnknown(const Ledger& ledger) {
  const std::string answer = ledger.FirstAnswerOfKind("outcome_unknown");
  BOOST_TEST(answer.empty(), ledger.Summary() << answer);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(drain_process)

// Guards against the loss of running tasks and owned jobs in a planned stop of a sidecar.
BOOST_AUTO_TEST_CASE(sidecar_stops_by_plan_under_load) {
  Fleet fleet;
  Ledger ledger;
  LoadGenerator load(fleet, ledger, {.run_ms = kTaskDurationMs});
  load.WaitForJobs(30);
  StopGracefully(fleet, fleet.sidecars()[1]);
  load.WaitForJobs(60);
  load.Stop();
  CheckNoUnansweredRequests(load, ledger);
  CheckNoOutcomeUnknown(ledger);
  ledger.Check(fleet.ReadStartLogs());
}

// Guards against requests that get no answer during a rolling restart of the entries.
BOOST_AUTO_TEST_CASE(each_entry_stops_by_plan_in_turn) {
  Fleet fleet;
  Ledger ledger;
  LoadGenerator load(fleet, ledger, {.run_ms = 300});
  load.WaitForJobs(30);
  for (std::size_t i = 0; i < fleet.entries().size(); ++i) {
    Instance& entry = fleet.entries()[i];
    load.SetAvailable(i, false);
    StopGracefully(fleet, entry);
    fleet.Start(entry);
    fleet.WaitUntil(entry.name + " is back",
                    [&] { return fleet.Get(entry.http, "/readyz").status == 200; });
    load.SetAvailable(i, true);
    load.WaitForJobs(30);
  }
  load.Stop();
  CheckNoUnansweredRequests(load, ledger);
  CheckNoOutcomeUnknown(ledger);
  ledger.Check(fleet.ReadStartLogs());
}

// Guards against lost work when all sidecars of a zone make a planned stop at the same time.
BOOST_AUTO_TEST_CASE(whole_zone_stops_by_plan_under_load) {
  Fleet fleet;
  Ledger ledger;
  LoadGenerator load(fleet, ledger, {.run_ms = kTaskDurationMs});
  load.WaitForJobs(30);
  const Reply reply = fleet.SetZoneState(fleet.entries()[0], "pl-c", "out");
  BOOST_REQUIRE_MESSAGE(reply.status == 200, reply.body << reply.failure);
  for (Instance& sidecar : fleet.sidecars()) {
    if (sidecar.zone == "pl-c") sidecar.process->Signal(SIGTERM);
  }
  for (Instance& sidecar : fleet.sidecars()) {
    if (sidecar.zone == "pl-c") StopGracefully(fleet, sidecar);
  }
  load.WaitForJobs(60);
  load.Stop();
  CheckNoUnansweredRequests(load, ledger);
  CheckNoOutcomeUnknown(ledger);
  ledger.Check(fleet.ReadStartLogs());
}

// Guards against tasks that start on an endpoint after it has asked to leave.
BOOST_AUTO_TEST_CASE(leaving_endpoint_gets_no_new_start) {
  Fleet fleet;
  Ledger ledger;
  LoadGenerator load(fleet, ledger);
  load.WaitForJobs(30);
  constexpr std::size_t kLeaving = 3;
  BOOST_REQUIRE(fleet.Post(fleet.endpoints()[kLeaving].http, "/leave", "").status == 200);
  const auto left = std::chrono::system_clock::now();
  fleet.WaitUntil("start bound has passed",
                  [&] { return std::chrono::system_clock::now() > left + kStartBound; });
  load.WaitForJobs(100);
  load.Stop();
  CheckNoUnansweredRequests(load, ledger);
  const std::vector<StartedTask> starts = fleet.ReadStartLogs();
  for (const StartedTask& start : starts) {
    BOOST_TEST((start.endpoint != kLeaving || start.at <= left + kStartBound),
               start.task_id << " started on the leaving endpoint");
  }
  ledger.Check(starts);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace foxtailrudder::app_test
