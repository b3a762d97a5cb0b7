#include "bench/scenario.h"

#include <algorithm>
#include <chrono>
#include <iostream>

#include "bench/slot_model.h"

namespace foxtailrudder::bench {
namespace {

constexpr std::uint32_t kSlotsPerEndpoint = 8;
constexpr double kStragglerFactor = 5;
constexpr double kBurstFactor = 3;

void SetZone(Fleet& fleet, const std::string& zone, bool in) {
  const auto stamp = std::chrono::system_clock::now().time_since_epoch().count();
  const std::string body = R"({"change_id":"bench-)" + std::to_string(stamp) +
                           R"(","operator":"bench","type":"set_zone","zone":")" + zone +
                           R"(","state":")" + (in ? "in" : "out") + R"("})";
  if (!fleet.Call(fleet.ProcessesOf("entry").front().http_address, "POST", "/v1/operator/changes",
                  body)) {
    std::cerr << "zone change was refused or not answered\n";
  }
}

void SetFaults(Fleet& fleet, const FleetProcess& process, const std::string& body) {
  if (!fleet.Call(process.http_address, "POST", "/faults", body)) {
    std::cerr << process.name << ": fault setting was refused or not answered\n";
  }
}

}  // namespace

std::vector<std::string> ScenarioNames() {
  return {"steady",     "burst",   "zone",        "store-outage",
          "stragglers", "failing", "wrong-hints", "cancellation"};
}

std::optional<ScenarioResult> RunScenario(Fleet& fleet, const std::string& name,
                                          const ScenarioOptions& options) {
  const auto names = ScenarioNames();
  if (std::find(names.begin(), names.end(), name) == names.end()) return std::nullopt;
  const auto endpoints = fleet.ProcessesOf("endpoint");
  const auto platform = fleet.ProcessesOf("platform").front();

  LoadOptions load;
  load.workload.seed = options.seed;
  load.workload.load = options.load;
  load.workload.duration = options.duration;
  load.workload.slots = static_cast<std::uint32_t>(endpoints.size()) * kSlotsPerEndpoint;
  load.client_delay = options.client_delay;
  load.key_prefix =
      name + "-" + std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
  std::vector<TimedAction> actions;
  SlotOutage outage;
  std::function<void()> restore = [] {};

  if (name == "burst") {
    load.workload.load = options.load / 1.2;
    load.workload.burst_factor = kBurstFactor;
    load.workload.burst_begin = options.duration * 0.4;
    load.workload.burst_end = options.duration * 0.5;
  } else if (name == "zone") {
    const std::string zone = endpoints.front().zone;
    outage.begin = options.duration * 0.25;
    outage.end = options.duration * 0.6;
    for (const FleetProcess& endpoint : endpoints) {
      if (endpoint.zone == zone) outage.slots += kSlotsPerEndpoint;
    }
    actions.push_back({outage.begin, [&fleet, zone] { SetZone(fleet, zone, false); }});
    actions.push_back({outage.end, [&fleet, zone] { SetZone(fleet, zone, true); }});
  } else if (name == "store-outage") {
    SetFaults(fleet, platform, R"({"down":true})");
    restore = [&] { SetFaults(fleet, platform, R"({"down":false})"); };
  } else if (name == "stragglers") {
    // A tenth of the endpoints, but at least one.
    const std::size_t count = std::max<std::size_t>(1, endpoints.size() / 10);
    for (std::size_t i = 0; i < count; ++i) {
      SetFaults(fleet, endpoints[i], R"({"slow_factor":)" + std::to_string(kStragglerFactor) + "}");
    }
    restore = [&fleet, endpoints, count] {
      for (std::size_t i = 0; i < count; ++i)
        SetFaults(fleet, endpoints[i], R"({"slow_factor":1})");
    };
  } else if (name == "failing") {
    SetFaults(fleet, endpoints.front(), R"({"fail_all":true})");
    restore = [&] { SetFaults(fleet, endpoints.front(), R"({"fail_all":false})"); };
  } else if (name == "wrong-hints") {
    load.wrong_hints = true;
  } else if (name == "cancellation") {
    load.cancel_at = options.duration * 0.5;
  }

  ScenarioResult result;
  result.name = name;
  result.options = options;
  result.load = RunLoad(fleet, load, actions);
  restore();
  result.figures = Evaluate(result.load, load);
  const Milliseconds possible =
      PossibleWork(result.load.arrivals, load.workload.slots, outage, options.duration);
  result.work_of_possible = CompletedWork(result.load, options.duration) / possible;
  return result;
}

}  // namespace foxtailrudder::bench
