#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>

#include "app/tests/fleet.h"
#include "app/tests/ledger.h"
#include "app/tests/load.h"

namespace foxtailrudder::app_test {
namespace {

Job SmallJob(const std::string& key, int tasks = 3, int run_ms = 200) {
  Job job;
  job.key = key;
  job.tasks = tasks;
  job.run_ms = run_ms;
  return job;
}

/// Submits the job asynchronously and records the answer in the ledger.
std::future<Reply> SubmitAsync(Fleet& fleet, Ledger& ledger, std::size_t entry, const Job& job) {
  return std::async(std::launch::async, [&fleet, &ledger, entry, job] {
    Reply reply = fleet.Submit(fleet.entries()[entry], job);
    ledger.Add(job, reply);
    return reply;
  });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(submission_process)

// Guards against a second start and different answers when two devices submit the same job at the
// same time.
BOOST_AUTO_TEST_CASE(two_devices_get_one_answer_and_one_effect) {
  Fleet fleet;
  Ledger ledger;
  for (const bool idempotent : {true, false}) {
    for (int i = 0; i < 10; ++i) {
      Job job = SmallJob((idempotent ? "same-" : "once-") + std::to_string(i));
      job.idempotent = idempotent;
      auto first = SubmitAsync(fleet, ledger, 0, job);
      auto second = SubmitAsync(fleet, ledger, 1, job);
      const Reply answer = first.get();
      BOOST_TEST(answer.status == 200, answer.body << answer.failure);
      BOOST_TEST(answer.body == second.get().body);
    }
  }
  ledger.Check(fleet.ReadStartLogs());
}

// Guards against a second start when a key is submitted again with a different body.
BOOST_AUTO_TEST_CASE(same_key_with_another_body_conflicts) {
  Fleet fleet({.sidecars = 3});
  Ledger ledger;
  const Job job = SmallJob("conflict");
  BOOST_TEST(SubmitAsync(fleet, ledger, 0, job).get().status == 200);
  const Reply other = fleet.Submit(fleet.entries()[1], SmallJob("conflict", 2));
  BOOST_TEST(other.status == 409);
  BOOST_TEST(other.ErrorKind() == "key_conflict");
  ledger.Check(fleet.ReadStartLogs());
}

// Guards against failed tasks whose job is answered with partial results or as "not run".
BOOST_AUTO_TEST_CASE(endpoint_that_fails_everything) {
  Fleet fleet;
  Ledger ledger;
  BOOST_REQUIRE(fleet.Post(fleet.endpoints()[0].http, "/faults", R"({"fail_all":true})").status ==
                200);
  LoadGenerator load(fleet, ledger);
  load.WaitForJobs(150);
  load.Stop();
  BOOST_TEST_MESSAGE(ledger.Summary());
  ledger.Check(fleet.ReadStartLogs());
  BOOST_TEST(ledger.CountComplete() > 0U);

  // Without the fault, every job completes again.
  BOOST_REQUIRE(fleet.Post(fleet.endpoints()[0].http, "/faults", R"({"fail_all":false})").status ==
                200);
  Ledger after;
  LoadGenerator healthy(fleet, after, {.key_prefix = "after"});
  healthy.WaitForJobs(60);
  healthy.Stop();
  BOOST_TEST_MESSAGE(after.Summary());
  BOOST_TEST(after.CountComplete() >= 60U);
}

// Guards against slots that stay occupied and tasks that start after a cancellation.
BOOST_AUTO_TEST_CASE(wave_of_cancellations) {
  Fleet fleet({.sidecars = 3});
  Ledger ledger;
  std::vector<Job> jobs;
  std::vector<std::future<Reply>> answers;
  for (int i = 0; i < 30; ++i) {
    jobs.push_back(SmallJob("cancel-" + std::to_string(i), 4, 3000));
    answers.push_back(SubmitAsync(fleet, ledger, static_cast<std::size_t>(i) % 3, jobs.back()));
  }
  fleet.WaitUntil("some tasks run", [&] { return fleet.ReadStartLogs().size() >= 8; });
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    const Reply reply =
        fleet.Delete(fleet.entries()[(i + 1) % 3].http, "/v1/jobs/" + kTeam + "/" + jobs[i].key);
    BOOST_TEST(reply.status != 0U, reply.failure);
  }
  for (auto& answer : answers) {
    const Reply reply = answer.get();
    BOOST_TEST(reply.status != 0U, reply.failure);
  }
  BOOST_TEST_MESSAGE(ledger.Summary());
  for (const Instance& sidecar : fleet.sidecars()) {
    fleet.WaitUntil(sidecar.name + " has its slots back", [&] {
      return fleet.Metric(sidecar, "foxtailrudder_running_tasks") == 0 &&
             fleet.Metric(sidecar, "foxtailrudder_queued_tasks") == 0;
    });
  }
  BOOST_TEST(SubmitAsync(fleet, ledger, 0, SmallJob("after-cancel")).get().status == 200);
  ledger.Check(fleet.ReadStartLogs());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace foxtailrudder::app_test
