#include <boost/test/unit_test.hpp>
#include <fstream>
#include <future>
#include <iterator>

#include "app/tests/fleet.h"
#include "app/tests/ledger.h"
#include "app/tests/load.h"

namespace foxtailrudder::app_test {
namespace {

namespace json = boost::json;

void SetPlatformFaults(Fleet& fleet, const std::string& faults) {
  BOOST_REQUIRE(fleet.Post(fleet.platform().http, "/faults", faults).status == 200);
}

/// Checks that no task started in the zone later than kStartBound after the change was accepted.
void CheckNoStarts(const std::vector<StartedTask>& starts, const std::string& zone,
                   WallTime accepted) {
  for (const StartedTask& start : starts) {
    BOOST_TEST((start.zone != zone || start.at <= accepted + kStartBound),
               start.task_id << " started in " << zone);
  }
}

WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::nanoseconds>(std::chrono::system_clock::now());
}

void WaitPastStartBound(Fleet& fleet, WallTime accepted) {
  fleet.WaitUntil("start bound has passed", [&] { return WallNow() > accepted + kStartBound; });
}

/// The fleet's bundle as JSON text, with a different retry budget.
std::string BundleWithRetryBudget(int percent) {
  std::ifstream file(std::string(FOXTAILRUDDER_SOURCE_DIR) + "/examples/registry.bundle.json");
  const std::string text(std::istreambuf_iterator<char>(file), {});
  json::object bundle = json::parse(text).as_object();
  bundle["limits"].as_object()["retry_budget_percent"] = percent;
  return json::serialize(bundle);
}

void CheckTakeOutWithSlowStore(const std::string& faults) {
  Fleet fleet;
  Ledger ledger;
  LoadGenerator load(fleet, ledger);
  load.WaitForJobs(30);
  SetPlatformFaults(fleet, faults);
  load.WaitForJobs(60);
  const Reply reply = fleet.SetZoneState(fleet.entries()[0], "pl-a", "out");
  const WallTime accepted = WallNow();
  BOOST_REQUIRE_MESSAGE(reply.status == 200, reply.body << reply.failure);
  WaitPastStartBound(fleet, accepted);
  load.WaitForJobs(60);
  SetPlatformFaults(fleet, R"({"slow_ms":0})");
  load.Stop();
  BOOST_TEST_MESSAGE(ledger.Summary());
  const auto starts = fleet.ReadStartLogs();
  CheckNoStarts(starts, "pl-a", accepted);
  ledger.Check(starts);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(operator_process)

// Guards against starts in a zone that is out, and against a zone that does not return to service.
BOOST_AUTO_TEST_CASE(zone_leaves_and_returns_under_load) {
  Fleet fleet;
  Ledger ledger;
  LoadGenerator load(fleet, ledger);
  load.WaitForJobs(30);
  Reply reply = fleet.SetZoneState(fleet.entries()[0], "pl-b", "out");
  const WallTime accepted = WallNow();
  BOOST_REQUIRE_MESSAGE(reply.status == 200, reply.body << reply.failure);
  WaitPastStartBound(fleet, accepted);
  load.WaitForJobs(60);
  CheckNoStarts(fleet.ReadStartLogs(), "pl-b", accepted);
  reply = fleet.SetZoneState(fleet.entries()[2], "pl-b", "in");
  BOOST_REQUIRE_MESSAGE(reply.status == 200, reply.body << reply.failure);
  const WallTime returned = WallNow();
  fleet.WaitUntil("the zone starts tasks again", [&] {
    for (const StartedTask& start : fleet.ReadStartLogs()) {
      if (start.zone == "pl-b" && start.at > returned) return true;
    }
    return false;
  });
  load.Stop();
  BOOST_TEST_MESSAGE(ledger.Summary());
  ledger.Check(fleet.ReadStartLogs());
}

// Guards against work that waits for an unavailable store, and against a change that is partly
// applied without it.
BOOST_AUTO_TEST_CASE(store_down_during_work) {
  Fleet fleet;
  Ledger ledger;
  LoadGenerator load(fleet, ledger);
  load.WaitForJobs(30);
  SetPlatformFaults(fleet, R"({"down":true})");
  const WallTime down = WallNow();
  // Longer than every start permit and freshness period that stems from a read before the outage.
  WaitPastStartBound(fleet, down);
  load.WaitForJobs(100);
  const Reply refused = fleet.SetZoneState(fleet.entries()[0], "pl-c", "out");
  BOOST_TEST(refused.status == 503U, refused.body << refused.failure);
  Job once;
  once.key = "once-in-outage";
  once.idempotent = false;
  const Reply not_run = fleet.Submit(fleet.entries()[1], once);
  ledger.Add(once, not_run);
  BOOST_TEST(not_run.ErrorKind() == "store_unavailable", not_run.body << not_run.failure);
  SetPlatformFaults(fleet, R"({"down":false})");
  load.WaitForJobs(30);
  load.Stop();
  BOOST_TEST_MESSAGE(ledger.Summary());
  ledger.Check(fleet.ReadStartLogs());
}

// Guards against a slow store that delays work, or delays a take-out beyond kStartBound.
BOOST_AUTO_TEST_CASE(store_slow_during_take_out) {
  CheckTakeOutWithSlowStore(R"({"slow_ms":150})");
}

// As above, with reads that exceed the entry's read timeout and writes that still succeed.
BOOST_AUTO_TEST_CASE(store_very_slow_during_take_out) {
  CheckTakeOutWithSlowStore(R"({"slow_ms":400})");
}

// Guards against a change that is applied twice or misreported when the store's reply is lost.
BOOST_AUTO_TEST_CASE(store_reply_lost_during_take_out) {
  Fleet fleet;
  Ledger ledger;
  LoadGenerator load(fleet, ledger);
  load.WaitForJobs(30);
  SetPlatformFaults(fleet, R"({"lose_write_replies":1})");
  const json::object change{{"change_id", "lost-reply"},
                            {"operator", "tester"},
                            {"type", "set_zone"},
                            {"zone", "pl-a"},
                            {"state", "out"}};
  const Reply reply = fleet.PostChange(fleet.entries()[0], change);
  const WallTime accepted = WallNow();
  BOOST_REQUIRE_MESSAGE(reply.status == 200, reply.body << reply.failure);
  const Reply repeated = fleet.PostChange(fleet.entries()[1], change);
  BOOST_TEST(repeated.status == 200U, repeated.body << repeated.failure);
  BOOST_TEST(repeated.body == reply.body);
  WaitPastStartBound(fleet, accepted);
  load.WaitForJobs(30);
  load.Stop();
  BOOST_TEST_MESSAGE(ledger.Summary());
  const auto starts = fleet.ReadStartLogs();
  CheckNoStarts(starts, "pl-a", accepted);
  ledger.Check(starts);
}

// Guards against a second run of a non-idempotent job when the store's reply to the insert of its
// claim is lost.
BOOST_AUTO_TEST_CASE(store_reply_lost_during_claim) {
  Fleet fleet({.sidecars = 3});
  Ledger ledger;
  for (int i = 0; i < 5; ++i) {
    SetPlatformFaults(fleet, R"({"lose_write_replies":1})");
    Job job;
    job.key = "lost-claim-" + std::to_string(i);
    job.idempotent = false;
    auto first =
        std::async(std::launch::async, [&] { return fleet.Submit(fleet.entries()[0], job); });
    const Reply second = fleet.Submit(fleet.entries()[1], job);
    const Reply answer = first.get();
    ledger.Add(job, answer);
    ledger.Add(job, second);
    BOOST_TEST(answer.status == 200U, answer.body << answer.failure);
    BOOST_TEST(second.status == 200U, second.body << second.failure);
  }
  ledger.Check(fleet.ReadStartLogs());
}

// Guards against concurrent changes by two operators that both succeed, and against a conflict that
// does not name the winning change.
BOOST_AUTO_TEST_CASE(two_operators_race) {
  Fleet fleet({.sidecars = 3});
  for (int round = 0; round < 5; ++round) {
    std::uint64_t version = 0;
    const json::object zones = fleet.Get(fleet.entries()[0].http, "/v1/operator/zones").Json();
    for (const json::value& zone : zones.at("zones").as_array()) {
      if (zone.at("zone").as_string() == "pl-a") {
        version = zone.at("changed_version").to_number<std::uint64_t>();
      }
    }
    const std::string state = round % 2 == 0 ? "out" : "in";
    const auto change = [&](const std::string& id) {
      return json::object{{"change_id", id},    {"operator", "op-" + id},
                          {"type", "set_zone"}, {"zone", "pl-a"},
                          {"state", state},     {"expected_version", version}};
    };
    const std::string first_id = "race-a-" + std::to_string(round);
    const std::string second_id = "race-b-" + std::to_string(round);
    auto first = std::async(std::launch::async,
                            [&] { return fleet.PostChange(fleet.entries()[0], change(first_id)); });
    const Reply second = fleet.PostChange(fleet.entries()[1], change(second_id));
    const Reply one = first.get();
    BOOST_TEST_MESSAGE(one.status << " " << one.body << " / " << second.status << " "
                                  << second.body);
    const bool first_won = one.status == 200;
    const Reply& winner = first_won ? one : second;
    const Reply& loser = first_won ? second : one;
    BOOST_TEST(winner.status == 200U, winner.body << winner.failure);
    BOOST_TEST(loser.status == 409U, loser.body << loser.failure);
    BOOST_TEST(loser.ErrorKind() == "version_conflict");
    BOOST_TEST(loser.body.find(first_won ? first_id : second_id) != std::string::npos,
               "the conflict does not name the winner's change: " << loser.body);
    const auto applied = winner.Json().at("control_version").to_number<std::uint64_t>();
    for (const Instance& entry : fleet.entries()) {
      fleet.WaitUntil(entry.name + " knows the change", [&] {
        return fleet.Metric(entry, "foxtailrudder_control_version") >= static_cast<double>(applied);
      });
    }
  }
}

// Guards against an older bundle that takes effect after a newer one, including in a restarted
// entry.
BOOST_AUTO_TEST_CASE(bundle_roll_out_then_entry_restart) {
  Fleet fleet;
  Ledger ledger;
  LoadGenerator load(fleet, ledger);
  load.WaitForJobs(30);
  const Reply proposed =
      fleet.PostChange(fleet.entries()[0], {{"change_id", "propose-2"},
                                            {"operator", "author"},
                                            {"type", "propose_bundle"},
                                            {"bundle", BundleWithRetryBudget(11)}});
  BOOST_REQUIRE_MESSAGE(proposed.status == 200, proposed.body << proposed.failure);
  const json::object status = fleet.Get(fleet.entries()[0].http, "/v1/operator/bundle").Json();
  const Reply approved = fleet.PostChange(
      fleet.entries()[0], {{"change_id", "approve-2"},
                           {"operator", "reviewer"},
                           {"type", "approve_bundle"},
                           {"digest", status.at("proposals").at(0).at("digest")},
                           {"expected_version", status.at("accepted").at("version")}});
  BOOST_REQUIRE_MESSAGE(approved.status == 200, approved.body << approved.failure);
  const json::object applied = approved.Json();
  const auto bundle = static_cast<double>(applied.at("bundle_version").to_number<std::uint64_t>());
  fleet.WaitUntilInForce(fleet.entries()[0],
                         applied.at("control_version").to_number<std::uint64_t>());
  const auto has_newest = [&](const Instance& instance) {
    return fleet.Metric(instance, "foxtailrudder_bundle_version") >= bundle;
  };
  for (const Instance& sidecar : fleet.sidecars()) BOOST_TEST(has_newest(sidecar), sidecar.name);

  load.SetAvailable(1, false);
  fleet.entries()[1].process->Kill();
  fleet.Start(fleet.entries()[1]);
  fleet.WaitUntil("the restarted entry is ready",
                  [&] { return fleet.Get(fleet.entries()[1].http, "/readyz").status == 200; });
  BOOST_TEST(has_newest(fleet.entries()[1]));
  load.SetAvailable(1, true);
  load.WaitForJobs(60);
  for (const Instance& sidecar : fleet.sidecars()) BOOST_TEST(has_newest(sidecar), sidecar.name);
  for (const Instance& entry : fleet.entries()) BOOST_TEST(has_newest(entry), entry.name);
  load.Stop();
  BOOST_TEST_MESSAGE(ledger.Summary());
  ledger.Check(fleet.ReadStartLogs());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace foxtailrudder::app_test
