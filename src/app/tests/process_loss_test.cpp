#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>
#include <thread>

#include "app/tests/fleet.h"
#include "app/tests/ledger.h"
#include "app/tests/load.h"

namespace foxtailrudder::app_test {
namespace {

constexpr std::chrono::milliseconds kRetryDelay{50};

/// Submits the job to one entry after another until there is a final answer, as a caller does that
/// believes its job to be lost.
Reply SubmitUntilFinalAnswer(Fleet& fleet, Ledger& ledger, const std::vector<std::size_t>& entries,
                             const Job& job) {
  Reply reply;
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  for (std::size_t i = 0; std::chrono::steady_clock::now() < deadline; ++i) {
    reply = fleet.Submit(fleet.entries()[entries[i % entries.size()]], job);
    if (reply.status != 0 || reply.sent) ledger.Add(job, reply);
    if (reply.status != 0 && !reply.IsNotRun()) return reply;
    std::this_thread::sleep_for(kRetryDelay);
  }
  return reply;
}

Job LongJob(const std::string& key) {
  Job job;
  job.key = key;
  job.tasks = 4;
  job.run_ms = 2000;
  return job;
}

void WaitForStart(Fleet& fleet, const std::string& key) {
  fleet.WaitUntil("a task of " + key + " runs", [&] { return fleet.CountStarts(key) > 0; });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(process_loss)

// Guards against a second start or a lost answer when the caller submits again after its entry was
// killed.
BOOST_AUTO_TEST_CASE(entry_killed_while_tasks_run) {
  Fleet fleet;
  Ledger ledger;
  const Job job = LongJob("entry-killed");
  auto first =
      std::async(std::launch::async, [&] { return fleet.Submit(fleet.entries()[1], job); });
  WaitForStart(fleet, job.key);
  fleet.entries()[1].process->Kill();
  BOOST_TEST(first.get().status == 0U);
  const Reply answer = SubmitUntilFinalAnswer(fleet, ledger, {2, 0}, job);
  BOOST_TEST(answer.status == 200U, answer.body << answer.failure);
  ledger.Check(fleet.ReadStartLogs());
}

// Guards against second starts and contradictory answers when a sidecar is killed that coordinates
// some jobs and executes others, while its endpoint keeps running.
BOOST_AUTO_TEST_CASE(sidecar_killed_while_tasks_run) {
  Fleet fleet;
  Ledger ledger;
  constexpr int kJobs = 12;
  std::vector<std::future<Reply>> answers;
  for (int i = 0; i < kJobs; ++i) {
    Job job = LongJob("sidecar-killed-" + std::to_string(i));
    job.tasks = 1;
    answers.push_back(std::async(std::launch::async, [&fleet, &ledger, job, i] {
      const auto entry = static_cast<std::size_t>(i) % 3;
      return SubmitUntilFinalAnswer(fleet, ledger, {entry, (entry + 1) % 3}, job);
    }));
  }
  fleet.WaitUntil("tasks run", [&] { return fleet.ReadStartLogs().size() >= kJobs / 2; });
  fleet.sidecars()[0].process->Kill();
  int complete = 0;
  for (auto& answer : answers) {
    const Reply reply = answer.get();
    BOOST_TEST((reply.status == 200 || reply.ErrorKind() == "outcome_unknown"),
               reply.body << reply.failure);
    complete += reply.status == 200 ? 1 : 0;
  }
  BOOST_TEST_MESSAGE(complete << " of " << kJobs << " complete; " << ledger.Summary());
  BOOST_TEST(complete > 0);
  // Every device that submits a job again must get the same answer.
  for (int i = 0; i < kJobs; ++i) {
    Job job = LongJob("sidecar-killed-" + std::to_string(i));
    job.tasks = 1;
    SubmitUntilFinalAnswer(fleet, ledger, {static_cast<std::size_t>(i + 1) % 3}, job);
  }
  ledger.Check(fleet.ReadStartLogs());
}

// Guards against a job that never ends or runs twice when the endpoint that runs its tasks is
// killed.
BOOST_AUTO_TEST_CASE(endpoint_killed_while_tasks_run) {
  Fleet fleet;
  Ledger ledger;
  LoadGenerator load(fleet, ledger, {.run_ms = 300});
  load.WaitForJobs(20);
  const std::vector<StartedTask> before = fleet.ReadStartLogs();
  fleet.endpoints()[2].process->Kill();
  load.WaitForJobs(60);
  // The start log was lost with the process. The new process at the same address starts with an
  // empty log, so the starts read before the kill are counted too.
  fleet.Start(fleet.endpoints()[2]);
  load.WaitForJobs(30);
  load.Stop();
  BOOST_TEST_MESSAGE(ledger.Summary());
  std::map<std::string, int> starts;
  for (const StartedTask& start : before) {
    if (start.endpoint == 2) ++starts[start.task_id];
  }
  for (const StartedTask& start : fleet.ReadStartLogs()) ++starts[start.task_id];
  for (const auto& [task, times] : starts) BOOST_TEST(times == 1, task << " started twice");
  BOOST_TEST(ledger.CountComplete() > 60U);
}

// Guards against a sidecar that restarts at the same address and acts on behalf of its previous
// run.
BOOST_AUTO_TEST_CASE(sidecar_restarted_at_the_same_address) {
  Fleet fleet;
  Ledger ledger;
  LoadGenerator load(fleet, ledger);
  load.WaitForJobs(20);
  for (const std::size_t number : {1U, 4U}) {
    fleet.sidecars()[number].process->Kill();
    fleet.Start(fleet.sidecars()[number]);
    load.WaitForJobs(20);
  }
  fleet.WaitUntilReady();
  load.WaitForJobs(40);
  load.Stop();
  BOOST_TEST_MESSAGE(ledger.Summary());
  ledger.Check(fleet.ReadStartLogs());
}

// Guards against a paused sidecar that resumes and starts tasks on an expired start permit.
BOOST_AUTO_TEST_CASE(paused_sidecar_starts_nothing_after_take_out) {
  Fleet fleet;
  Ledger ledger;
  LoadGenerator load(fleet, ledger);
  load.WaitForJobs(20);
  Instance& paused = fleet.sidecars()[0];
  paused.process->Signal(SIGSTOP);
  const Reply reply = fleet.SetZoneState(fleet.entries()[1], paused.zone, "out");
  const auto accepted = std::chrono::system_clock::now();
  BOOST_REQUIRE_MESSAGE(reply.status == 200, reply.body << reply.failure);
  const auto version = reply.Json().at("control_version").to_number<std::uint64_t>();
  fleet.WaitUntilInForce(fleet.entries()[1], version);
  fleet.WaitUntil("start bound has passed",
                  [&] { return std::chrono::system_clock::now() > accepted + kStartBound; });
  paused.process->Signal(SIGCONT);
  load.WaitForJobs(60);
  load.Stop();
  BOOST_TEST_MESSAGE(ledger.Summary());
  const std::vector<StartedTask> starts = fleet.ReadStartLogs();
  for (const StartedTask& start : starts) {
    BOOST_TEST((start.zone != paused.zone || start.at <= accepted + kStartBound),
               start.task_id << " started in " << start.zone);
  }
  ledger.Check(starts);
}

// Guards against a paused entry that resumes and grants permits or answers from outdated state.
BOOST_AUTO_TEST_CASE(paused_entry) {
  Fleet fleet;
  Ledger ledger;
  LoadGenerator load(fleet, ledger);
  load.WaitForJobs(20);
  load.SetAvailable(0, false);
  fleet.entries()[0].process->Signal(SIGSTOP);
  load.WaitForJobs(60);
  const std::string zone = fleet.sidecars()[1].zone;
  const Reply reply = fleet.SetZoneState(fleet.entries()[1], zone, "out");
  const auto accepted = std::chrono::system_clock::now();
  BOOST_REQUIRE_MESSAGE(reply.status == 200, reply.body << reply.failure);
  fleet.WaitUntil("start bound has passed",
                  [&] { return std::chrono::system_clock::now() > accepted + kStartBound; });
  fleet.entries()[0].process->Signal(SIGCONT);
  load.SetAvailable(0, true);
  load.WaitForJobs(60);
  load.Stop();
  BOOST_TEST_MESSAGE(ledger.Summary());
  const std::vector<StartedTask> starts = fleet.ReadStartLogs();
  for (const StartedTask& start : starts) {
    BOOST_TEST((start.zone != zone || start.at <= accepted + kStartBound),
               start.task_id << " started in " << start.zone);
  }
  ledger.Check(starts);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace foxtailrudder::app_test
