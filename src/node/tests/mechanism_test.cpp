#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

#include "node/tests/fault_scenario.h"
#include "node/tests/parallel_runs.h"

using namespace foxtailrudder;           // NOLINT(google-build-using-namespace)
using namespace foxtailrudder::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kSeedsPerScenario = 60;

/// Returns every invariant that a scenario violates under at least one of the seeds.
std::set<int> BrokenInvariants(const SimulationOptions& options, FaultStep step,
                               const std::vector<Fault>& faults) {
  std::vector<std::vector<Violation>> violations(kSeedsPerScenario);
  RunInParallel(kSeedsPerScenario, [&](std::size_t i) {
    SimulationOptions run_options = options;
    run_options.seed = i + 1;
    violations[i] = RunFaultScenario(run_options, step, faults);
  });
  std::set<int> broken;
  for (const auto& run_violations : violations) {
    for (const Violation& violation : run_violations) broken.insert(violation.invariant);
  }
  return broken;
}

void SubmitEvery100Ms(Simulation& simulation, int jobs, const std::string& prefix) {
  for (int i = 0; i < jobs; ++i) {
    simulation.Submit(i % simulation.entries(),
                      simulation.MakeJob(prefix + std::to_string(i), 2, milliseconds(8'000)));
    simulation.RunFor(milliseconds(100));
  }
}

/// Takes a zone out while its entry is partitioned from the store and from the other entries.
History TakeOutUnderPartition(OutageMode mode) {
  SimulationOptions options;
  options.outage_mode = mode;
  Simulation simulation(options);
  BOOST_REQUIRE(simulation.RunUntilReady());
  // Node 1 is the entry of zone-1. All sidecars lose the other entries; those of zone-1 that have
  // node 1 as their home entry keep working with it.
  simulation.CutStore(1, true);
  simulation.CutConnection(0, 1);
  simulation.CutConnection(1, 2);
  for (int node = simulation.FirstSidecar(); node < simulation.node_count(); ++node) {
    simulation.CutConnection(0, node);
    simulation.CutConnection(2, node);
  }
  simulation.RunFor(milliseconds(3'000));
  simulation.Change(0, {"out-1", "alice", SetZoneState{"zone-1", ZoneState::kOut, std::nullopt}});
  for (int i = 0; i < 60; ++i) {
    simulation.Submit(1, simulation.MakeJob("cut-" + std::to_string(i), 2, milliseconds(3'000)));
    simulation.RunFor(milliseconds(150));
  }
  simulation.history().all_faults_ended = false;
  return simulation.history();
}

bool HasViolation(const History& history, int invariant) {
  for (const Violation& violation : CheckHistory(history)) {
    if (violation.invariant == invariant) return true;
  }
  return false;
}

}  // namespace

// Each test disables one safety mechanism and expects the checker to report a violation of the
// invariant that the mechanism protects.
BOOST_AUTO_TEST_SUITE(mechanisms)

BOOST_AUTO_TEST_CASE(without_claims_two_devices_start_a_task_twice) {
  SimulationOptions options;
  options.coordinator.claims = false;
  const auto broken = BrokenInvariants(options, FaultStep::kSubmit, {Fault::kBurst});
  BOOST_TEST((broken.count(1) + broken.count(6)) > 0);
}

BOOST_AUTO_TEST_CASE(without_takeover_evidence_a_task_starts_twice) {
  SimulationOptions options;
  options.coordinator.takeover_evidence = false;
  const auto broken = BrokenInvariants(options, FaultStep::kRun, {Fault::kKillCoordinator});
  BOOST_TEST((broken.count(1) + broken.count(6)) > 0);
}

BOOST_AUTO_TEST_CASE(without_outcome_unknown_a_task_starts_twice) {
  SimulationOptions options;
  options.coordinator.outcome_unknown = false;
  const auto broken = BrokenInvariants(options, FaultStep::kRun, {Fault::kKillExecutor});
  BOOST_TEST((broken.count(1) + broken.count(6)) > 0);
}

BOOST_AUTO_TEST_CASE(without_the_permit_check_a_frozen_sidecar_starts_tasks_in_a_zone_that_is_out) {
  SimulationOptions options;
  options.check_permit = false;
  bool found_violation = false;
  for (std::uint64_t seed = 1; seed <= 20 && !found_violation; ++seed) {
    options.seed = seed;
    Simulation simulation(options);
    BOOST_REQUIRE(simulation.RunUntilReady());
    // Freezes the sidecar of zone-1 while dispatches are in flight, and takes the zone out before
    // it resumes.
    const int sidecar = simulation.FirstSidecar() + 1;
    simulation.on_message = [&](int, const Message& message) {
      if (std::holds_alternative<DispatchTask>(message)) simulation.Freeze(sidecar);
    };
    SubmitEvery100Ms(simulation, 10, "job-");
    simulation.on_message = nullptr;
    simulation.Change(0, {"out-1", "alice", SetZoneState{"zone-1", ZoneState::kOut, std::nullopt}});
    simulation.RunFor(milliseconds(5'000));
    simulation.Thaw(sidecar);
    simulation.RunFor(milliseconds(2'000));
    simulation.history().all_faults_ended = false;
    found_violation = HasViolation(simulation.history(), 3);
  }
  BOOST_TEST(found_violation);
}

BOOST_AUTO_TEST_CASE(an_entry_that_goes_on_unchecked_keeps_a_zone_working_that_is_out) {
  BOOST_TEST(HasViolation(TakeOutUnderPartition(OutageMode::kUnchecked), 3));
  BOOST_TEST(!HasViolation(TakeOutUnderPartition(OutageMode::kConfirmByQuorum), 3));
  BOOST_TEST(!HasViolation(TakeOutUnderPartition(OutageMode::kStop), 3));
}

// Guards against a fee recorded twice because the coordinator drops the key after the retention
// period.
BOOST_AUTO_TEST_CASE(without_durable_claims_a_fee_is_recorded_again_after_the_retention) {
  for (const bool durable : {false, true}) {
    SimulationOptions options;
    options.retention = milliseconds(10'000);
    options.durable_claims = durable;
    Simulation simulation(options);
    BOOST_REQUIRE(simulation.RunUntilReady());
    JobSpec fee = simulation.MakeJob("fee", 1, milliseconds(3'000));
    fee.idempotent = false;
    fee.digest = DigestOf(fee);
    simulation.Submit(0, fee);
    simulation.RunFor(milliseconds(40'000));
    fee.deadline = simulation.now().wall + milliseconds(3'000);
    simulation.Submit(1, fee);
    simulation.RunFor(milliseconds(20'000));
    BOOST_TEST(HasViolation(simulation.history(), 6) == !durable);
  }
}

// Guards against a durable claim that outlives its refused job: the fee could then not be recorded
// for 7 days. Covers a second device submitting the same key, and a lost reply to the release of
// the claim.
BOOST_AUTO_TEST_CASE(a_refused_fee_is_recorded_once_on_retry) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    options.retention = milliseconds(10'000);
    Simulation simulation(options);
    BOOST_REQUIRE(simulation.RunUntilReady());
    simulation.RunFor(milliseconds(5'000));
    for (int node = simulation.FirstSidecar(); node < simulation.node_count(); ++node) {
      simulation.endpoint(node).hang = true;
    }
    for (int i = 0; i < 60; ++i) {
      simulation.Submit(i % 3,
                        simulation.MakeJob("full-" + std::to_string(i), 2, milliseconds(4'000)));
    }
    simulation.RunFor(milliseconds(1'000));
    JobSpec fee = simulation.MakeJob("fee", 1, milliseconds(1'500));
    fee.idempotent = false;
    fee.digest = DigestOf(fee);
    std::vector<RequestId> requests = {simulation.Submit(0, fee)};
    if (seed % 2 == 0) {
      simulation.RunFor(milliseconds(200));
      requests.push_back(simulation.Submit(1, fee));
    }
    simulation.RunFor(milliseconds(1'000));
    if (seed % 3 == 0) simulation.store.lose_write_replies = 1;
    simulation.RunFor(milliseconds(6'000));
    for (const RequestId request : requests) {
      const JobAnswer* answer = simulation.AnswerOf(request);
      BOOST_REQUIRE(answer != nullptr);
      BOOST_REQUIRE(std::holds_alternative<Error>(*answer));
      BOOST_TEST(ErrorAnswerOf(std::get<Error>(*answer).kind).not_run);
    }
    // Waits until the coordinator no longer holds the refused claim.
    if (seed > 5) simulation.RunFor(milliseconds(20'000));
    for (int node = simulation.FirstSidecar(); node < simulation.node_count(); ++node) {
      simulation.endpoint(node) = {};
    }
    fee.deadline = simulation.now().wall + milliseconds(5'000);
    const auto is_complete = [&](RequestId request) {
      const JobAnswer* answer = simulation.AnswerOf(request);
      return answer != nullptr && std::holds_alternative<JobComplete>(*answer);
    };
    // The request that does not get the claim may be handled first and receive the earlier refusal.
    requests = {simulation.Submit(2, fee), simulation.Submit(1, fee)};
    simulation.RunFor(milliseconds(10'000));
    BOOST_TEST((is_complete(requests[0]) || is_complete(requests[1])), "seed " << seed);
    for (const RequestId request : requests) {
      if (is_complete(request)) continue;
      const JobAnswer* answer = simulation.AnswerOf(request);
      BOOST_REQUIRE(answer != nullptr);
      BOOST_TEST(ErrorAnswerOf(std::get<Error>(*answer).kind).not_run, "seed " << seed);
    }
    fee.deadline = simulation.now().wall + milliseconds(5'000);
    const RequestId later = simulation.Submit(1, fee);
    simulation.RunFor(milliseconds(3'000));
    BOOST_TEST(is_complete(later), "seed " << seed);
    BOOST_TEST(CheckHistory(simulation.history()).empty(), "seed " << seed);
  }
}

// Guards against waiting for the reply time-out after the peer has answered WrongIncarnation.
BOOST_AUTO_TEST_CASE(wrong_incarnation_is_handled_at_once) {
  Simulation simulation({});
  BOOST_REQUIRE(simulation.RunUntilReady());
  simulation.RunFor(milliseconds(5'000));
  for (int node = simulation.FirstSidecar(); node < simulation.node_count(); ++node) {
    simulation.endpoint(node).hang = true;
  }
  int executor = -1;
  simulation.on_start = [&](int node, const StartTask&) { executor = node; };
  const JobSpec job = simulation.MakeJob("job", 1, milliseconds(20'000));
  simulation.Submit(0, job);
  BOOST_REQUIRE(simulation.RunUntil([&] { return executor >= 0; }, milliseconds(1'000)));
  simulation.RunFor(milliseconds(10));
  const int coordinator = simulation.CoordinatorOf(job.key);
  const MemberTable& table = simulation.entry(0)->table();
  const auto wrong_incarnation = [&](const std::string& from, const std::string& to) {
    const NodeRef sender = table.RefOf(NodeIdOf(from));
    return Envelope{sender, table.RefOf(NodeIdOf(to)), WrongIncarnation{sender.incarnation + 1}};
  };
  const auto sidecar_name = [&](int node) {
    return "sidecar-" + std::to_string(node - simulation.FirstSidecar());
  };

  int forwards = 0;
  simulation.on_message = [&](int from, const Message& message) {
    if (from == 0 && std::holds_alternative<ForwardJob>(message)) ++forwards;
  };
  Outbox out;
  simulation.entry(0)->OnEnvelope(wrong_incarnation(sidecar_name(coordinator), "entry-0"),
                                  simulation.now(), out);
  simulation.RunFor(milliseconds(500));
  BOOST_TEST(forwards == 1);

  out.Take();
  simulation.sidecar(coordinator)
      ->OnEnvelope(wrong_incarnation(sidecar_name(executor), sidecar_name(coordinator)),
                   simulation.now(), out);
  int queries = 0;
  for (const Output& output : out.Take()) {
    const auto* send = std::get_if<SendMessage>(&output);
    if (send != nullptr && std::holds_alternative<TaskQuery>(send->message)) ++queries;
  }
  BOOST_TEST(queries == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(planned_stops)

// Guards against a task started twice: an entry is frozen and removed from the member table, the
// coordinator and executor of the first start are lost, and the resumed entry forwards the job
// again.
BOOST_AUTO_TEST_CASE(a_removed_entry_that_resumes_starts_no_task_twice) {
  constexpr std::size_t kSeeds = 20;
  std::vector<std::vector<Violation>> violations(kSeeds);
  std::vector<int> removed(kSeeds);
  RunInParallel(kSeeds, [&](std::size_t i) {
    SimulationOptions options;
    options.seed = i + 1;
    Simulation simulation(options);
    if (!simulation.RunUntilReady()) return;
    const JobSpec target = simulation.MakeJob("target", 1, milliseconds(30'000));
    int executor = -1;
    simulation.on_start = [&](int node, const StartTask&) { executor = node; };
    simulation.Submit(0, target);
    simulation.RunUntil([&] { return executor >= 0; }, milliseconds(3'000));
    const int coordinator = simulation.CoordinatorOf(target.key);
    simulation.Freeze(0);
    simulation.Kill(executor);
    simulation.Kill(coordinator);
    simulation.RunFor(milliseconds(4'000 + 400 * static_cast<int>(i)));
    removed[i] = simulation.entry(1)->table().Find(NodeIdOf("entry-0")) == nullptr ? 1 : 0;
    simulation.Thaw(0);
    simulation.RunFor(milliseconds(2'000));
    simulation.Submit(1, target);
    simulation.RunFor(milliseconds(25'000));
    violations[i] = CheckHistory(simulation.history());
  });
  for (std::size_t i = 0; i < kSeeds; ++i) {
    BOOST_TEST(violations[i].empty(), "seed " << i + 1 << "\n" << Describe(violations[i]));
  }
  BOOST_TEST(std::count(removed.begin(), removed.end(), 1) > 0);
}

// Guards against a planned stop of a sidecar that aborts a request in progress.
BOOST_AUTO_TEST_CASE(sidecars_stop_one_by_one_under_load) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    Simulation simulation(options);
    BOOST_REQUIRE(simulation.RunUntilReady());
    simulation.history().planned_stops_only = true;
    for (int i = 0; i < 3; ++i) {
      const int node = simulation.FirstSidecar() + i;
      simulation.Drain(node);
      SubmitEvery100Ms(simulation, 30, "drain-" + std::to_string(i) + "-");
      BOOST_REQUIRE(
          simulation.RunUntil([&] { return !simulation.IsAlive(node); }, milliseconds(20'000)));
      simulation.Restart(node);
    }
    BOOST_TEST(
        simulation.RunUntil([&] { return simulation.unanswered() == 0; }, milliseconds(20'000)));
    BOOST_TEST(Describe(CheckHistory(simulation.history())) == "", "seed " << seed);
  }
}

// Guards against an entry that exits before it has answered every waiting caller.
BOOST_AUTO_TEST_CASE(entries_stop_one_by_one_under_load) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    Simulation simulation(options);
    BOOST_REQUIRE(simulation.RunUntilReady());
    simulation.history().planned_stops_only = true;
    for (int node = 0; node < simulation.entries(); ++node) {
      SubmitEvery100Ms(simulation, 10, "before-" + std::to_string(node) + "-");
      simulation.Drain(node);
      BOOST_REQUIRE(
          simulation.RunUntil([&] { return !simulation.IsAlive(node); }, milliseconds(20'000)));
      simulation.Restart(node);
      BOOST_REQUIRE(simulation.RunUntilReady());
    }
    BOOST_TEST(
        simulation.RunUntil([&] { return simulation.unanswered() == 0; }, milliseconds(20'000)));
    for (const SubmittedEvent& event : simulation.history().submitted)
      BOOST_TEST(!event.connection_lost);
    BOOST_TEST(Describe(CheckHistory(simulation.history())) == "", "seed " << seed);
  }
}

// Guards against tasks being dispatched to an endpoint that has asked to leave.
BOOST_AUTO_TEST_CASE(a_leaving_endpoint_gets_no_work) {
  Simulation simulation({});
  BOOST_REQUIRE(simulation.RunUntilReady());
  simulation.history().planned_stops_only = true;
  simulation.SetEndpointLeaving(simulation.FirstSidecar(), true);
  SubmitEvery100Ms(simulation, 80, "leaving-");
  BOOST_TEST(
      simulation.RunUntil([&] { return simulation.unanswered() == 0; }, milliseconds(20'000)));
  BOOST_TEST(Describe(CheckHistory(simulation.history())) == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(outages)

// Guards against a query storm: each query to a dead executor is reported as another disconnect,
// and sending queries immediately on every disconnect made their number grow without bound.
BOOST_AUTO_TEST_CASE(a_dead_executor_gets_few_queries) {
  Simulation simulation({});
  BOOST_REQUIRE(simulation.RunUntilReady());
  std::size_t queries = 0;
  int executor = -1;
  simulation.on_message = [&](int, const Message& message) {
    queries += std::holds_alternative<TaskQuery>(message) ? 1 : 0;
  };
  simulation.on_start = [&](int node, const StartTask&) { executor = node; };
  simulation.Submit(0, simulation.MakeJob("job", 12, milliseconds(8'000)));
  BOOST_REQUIRE(simulation.RunUntil([&] { return executor >= 0; }, milliseconds(1'000)));
  simulation.Kill(executor);
  simulation.RunFor(milliseconds(10'000));
  // The executor is declared lost within 3 s; until then queries back off from 50 ms to 1 s.
  BOOST_TEST(queries < 200U);
  BOOST_TEST(simulation.unanswered() == 0U);
}

// Guards against a store outage blocking jobs that need no write to the store.
BOOST_AUTO_TEST_CASE(jobs_complete_during_a_store_outage) {
  Simulation simulation({});
  BOOST_REQUIRE(simulation.RunUntilReady());
  simulation.store.down = true;
  SubmitEvery100Ms(simulation, 200, "outage-");
  BOOST_TEST(
      simulation.RunUntil([&] { return simulation.unanswered() == 0; }, milliseconds(20'000)));
  std::size_t complete = 0;
  for (const AnsweredEvent& event : simulation.history().answered) {
    complete += std::holds_alternative<JobComplete>(event.answer) ? 1 : 0;
  }
  BOOST_TEST(complete == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
