#include "lifecycle/lifecycle.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::array<std::string_view, 3> kStates{"off", "on", "broken"};
constexpr std::array<std::string_view, 2> kEvents{"toggle", "break"};

bool HasError(const std::variant<Chart, std::vector<ChartError>>& result, std::string_view path,
              std::string_view text) {
  const auto* errors = std::get_if<std::vector<ChartError>>(&result);
  if (errors == nullptr) return false;
  return std::any_of(errors->begin(), errors->end(), [&](const ChartError& error) {
    return error.path == path && error.message.find(text) != std::string::npos;
  });
}

struct Lamp {
  bool locked = false;
  int toggle_count = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(lifecycle)

// Guards against an invalid chart that is detected only when one of its events occurs.
BOOST_AUTO_TEST_CASE(all_chart_errors_are_reported_with_their_path) {
  const auto result = Chart::Parse(
      R"({"name":"lamp","initial":"dark","final":["broken"],"extra":1,"transitions":[
        {"from":"off","event":"toggle","to":"on"},
        {"from":"off","event":"toggle","to":"off"},
        {"from":"broken","event":"toggle","to":"off"},
        {"from":"on","event":"kick"}]})",
      kStates, kEvents);
  BOOST_TEST(HasError(result, "$.extra", "unknown member"));
  BOOST_TEST(HasError(result, "$.initial", "unknown state: dark"));
  BOOST_TEST(HasError(result, "$.transitions[1]", "duplicate unguarded"));
  BOOST_TEST(HasError(result, "$.transitions[2].from", "final state"));
  BOOST_TEST(HasError(result, "$.transitions[3].event", "unknown event: kick"));
  BOOST_TEST(HasError(result, "$.transitions[3].to", "missing"));
  BOOST_TEST(HasError(result, "$.transitions", "event is missing: break"));
}

// Guards against accepting a chart with an unreachable state, and text that is not JSON.
BOOST_AUTO_TEST_CASE(unreachable_states_and_invalid_json_are_errors) {
  const auto unreachable = Chart::Parse(
      R"({"name":"lamp","initial":"off","final":[],"transitions":[
        {"from":"off","event":"toggle","to":"on"},{"from":"broken","event":"break","to":"off"}]})",
      kStates, kEvents);
  BOOST_TEST(HasError(unreachable, "$.transitions", "unreachable: broken"));
  BOOST_TEST(HasError(Chart::Parse("{", kStates, kEvents), "$", ""));
}

// Guards against a transition whose guard is false being taken, or an ignored event changing state.
BOOST_AUTO_TEST_CASE(machine_takes_the_first_enabled_transition) {
  const auto chart = Chart::Parse(
      R"({"name":"lamp","initial":"off","final":["broken"],"transitions":[
        {"from":"off","event":"toggle","to":"off","guard":"locked"},
        {"from":"off","event":"toggle","to":"on","action":"count"},
        {"from":"on","event":"break","to":"broken"}]})",
      kStates, kEvents);
  BOOST_REQUIRE(std::holds_alternative<Chart>(chart));
  using Machine = ChartMachine<std::uint8_t, std::uint8_t, Lamp>;
  Machine::Bindings bindings;
  bindings.guards["locked"] = [](const Lamp& lamp) { return lamp.locked; };
  BOOST_TEST(std::holds_alternative<std::vector<ChartError>>(
      Machine::Create(std::get<Chart>(chart), bindings)));
  bindings.actions["count"] = [](Lamp& lamp) { ++lamp.toggle_count; };
  const auto machine = std::get<Machine>(Machine::Create(std::get<Chart>(chart), bindings));
  Lamp lamp{.locked = true};
  std::uint8_t state = machine.initial();
  BOOST_TEST(!machine.Fire(state, 1, lamp));
  BOOST_TEST(machine.Fire(state, 0, lamp));
  BOOST_TEST(state == 0);
  lamp.locked = false;
  BOOST_TEST(machine.Fire(state, 0, lamp));
  BOOST_TEST(state == 1);
  BOOST_TEST(lamp.toggle_count == 1);
}

// Guards against a built-in chart that no longer matches the enums of the code.
BOOST_AUTO_TEST_CASE(built_in_charts_match_their_enums) {
  BOOST_TEST(std::holds_alternative<Chart>(
      Chart::Parse(BuiltInChart("endpoint"), kEndpointStateNames, kEndpointEventNames)));
  BOOST_TEST(std::holds_alternative<Chart>(
      Chart::Parse(BuiltInChart("zone"), kZonePhaseNames, kZoneEventNames)));
  BOOST_TEST(BuiltInChart("none").empty());
}

// Guards against a process that stops before its shards are handed over.
BOOST_AUTO_TEST_CASE(process_drains_before_it_stops) {
  ProcessLifecycle process;
  BOOST_TEST(process.phase_name() == "starting");
  BOOST_TEST(!process.Fire(ProcessEvent::kListed));
  BOOST_TEST(process.Fire(ProcessEvent::kBeginJoin));
  BOOST_TEST(process.Fire(ProcessEvent::kListed));
  BOOST_TEST(process.Fire(ProcessEvent::kDrain));
  BOOST_TEST(!process.Fire(ProcessEvent::kLeft));
  BOOST_TEST(process.Fire(ProcessEvent::kWorkDone));
  BOOST_TEST(process.phase_name() == "handing_over");
  BOOST_TEST(process.Fire(ProcessEvent::kLeft));
  BOOST_TEST(!process.Fire(ProcessEvent::kBeginJoin));
  BOOST_TEST((process.phase() == ProcessPhase::kStopped));
}

// Guards against a closing connection that drops queued messages, and a closed one that reopens.
BOOST_AUTO_TEST_CASE(connection_flushes_before_it_closes) {
  ConnectionLifecycle connection;
  BOOST_TEST(!connection.Fire(ConnectionEvent::kGreeted));
  BOOST_TEST(connection.Fire(ConnectionEvent::kConnected));
  BOOST_TEST(connection.Fire(ConnectionEvent::kGreeted));
  BOOST_TEST(connection.Fire(ConnectionEvent::kClose));
  BOOST_TEST(connection.phase_name() == "closing");
  BOOST_TEST(connection.Fire(ConnectionEvent::kFlushed));
  BOOST_TEST(!connection.Fire(ConnectionEvent::kConnected));
  BOOST_TEST((connection.phase() == ConnectionPhase::kClosed));
}

// Guards against a drain that reports its work done while peers may still send new work.
BOOST_AUTO_TEST_CASE(drain_waits_until_it_is_listed_as_draining) {
  DrainLifecycle drain;
  BOOST_TEST(drain.Fire(DrainEvent::kBegin));
  BOOST_TEST(!drain.Fire(DrainEvent::kWorkDone));
  BOOST_TEST(drain.Fire(DrainEvent::kListedDraining));
  BOOST_TEST(drain.Fire(DrainEvent::kWorkDone));
  BOOST_TEST(!drain.Fire(DrainEvent::kCancel));
  BOOST_TEST(drain.Fire(DrainEvent::kHandedOver));
  BOOST_TEST((drain.phase() == DrainPhase::kLeft));
}

BOOST_AUTO_TEST_SUITE_END()
