// Load and experiment program: costs of the decision libraries, simulated comparisons, and load and
// fault scenarios on a running fleet.
#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <string>

#include "bench/choices.h"
#include "bench/decisions.h"
#include "bench/dispatch_load.h"
#include "bench/report.h"
#include "bench/scenario.h"

namespace {

using namespace foxtailrudder::bench;  // NOLINT(google-build-using-namespace)

struct FleetOptions {
  std::string directory;
  std::string output;
  std::string label;
  double duration_s = 25;
  double client_delay_ms = 0;
  ScenarioOptions scenario;
};

void AddFleetOptions(CLI::App& command, FleetOptions& options) {
  command.add_option("--dir", options.directory, "directory given to scripts/fleet")->required();
  command.add_option("--out", options.output, "directory for the JSON result and the SVG");
  command.add_option("--label", options.label, "name of the result files");
  command.add_option("--seed", options.scenario.seed, "seed of the arrivals");
  command.add_option("--load", options.scenario.load, "offered work as a share of the slots")
      ->check(CLI::Range(0.01, 3.0));
  command.add_option("--duration-s", options.duration_s, "duration of the arrivals, in seconds")
      ->check(CLI::Range(1.0, 3600.0));
  command
      .add_option("--client-delay-ms", options.client_delay_ms,
                  "one-way delay between caller and entry, added in this client")
      ->check(CLI::Range(0.0, 1000.0));
}

void AddDispatchOptions(CLI::App& command, DispatchLoadOptions& options) {
  const CLI::Range any_load(0.01, 3.0);
  command.add_option("--entries", options.entries)->check(CLI::Range(1, 100));
  command.add_option("--workers", options.workers)->check(CLI::Range(1, 1'000));
  command.add_option("--worker-cores", options.worker_cores)->check(CLI::Range(1.0, 1'000.0));
  command.add_option("--task-cores", options.task_cores, "mean cores per task")
      ->check(CLI::Range(0.1, 100.0));
  command.add_option("--load", options.offered, "offered work as a share of the capacity")
      ->check(any_load);
  command
      .add_option("--burst", options.burst,
                  "offered work from second 3 to 7, as a share of the capacity")
      ->check(any_load);
  command.add_option("--slow-workers", options.slow_workers, "workers that are six times slower")
      ->check(CLI::Range(0, 1'000));
  command.add_option("--seeds", options.seeds, "number of runs, with the seeds 1 to this number")
      ->check(CLI::Range(1, 1'000));
}

int RunOnFleet(const std::string& name, FleetOptions& options) {
  auto fleet = Fleet::Open(options.directory);
  if (!fleet) {
    std::cerr << options.directory << ": no running fleet with a bundle\n";
    return 1;
  }
  options.scenario.duration = std::chrono::duration<double>(options.duration_s);
  options.scenario.client_delay = Milliseconds(options.client_delay_ms);
  const auto result = RunScenario(*fleet, name, options.scenario);
  if (!result) {
    std::cerr << "unknown scenario; one of:";
    for (const std::string& known : ScenarioNames()) std::cerr << ' ' << known;
    std::cerr << '\n';
    return 2;
  }
  std::cout << ToTable(*result) << std::flush;
  if (options.output.empty()) return 0;
  const std::string label = options.label.empty() ? name : options.label;
  if (WriteResultFiles(*result, options.output, label)) return 0;
  std::cerr << options.output << ": cannot write the result files\n";
  return 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Load and experiment program of foxtailrudder"};
  app.require_subcommand(1);

  bool as_json = false;
  auto* decisions = app.add_subcommand("decisions", "costs of the decision libraries, one thread");
  decisions->add_flag("--json", as_json, "JSON instead of a table");

  std::uint64_t seed = 1;
  int seconds = 60;
  auto* choices =
      app.add_subcommand("choices", "simulated comparison of the executor selection policies");
  choices->add_option("--seed", seed, "seed of arrivals and simulation");
  choices->add_option("--seconds", seconds, "simulated time")->check(CLI::Range(1, 3600));

  DispatchLoadOptions dispatch_options;
  auto* dispatch = app.add_subcommand(
      "dispatch", "load on the decision modules of direct dispatch, in virtual time");
  AddDispatchOptions(*dispatch, dispatch_options);

  FleetOptions options;
  auto* load = app.add_subcommand("load", "open-loop load on a running fleet");
  AddFleetOptions(*load, options);
  std::string name;
  auto* scenario = app.add_subcommand("scenario", "load with a fault or a change");
  scenario->add_option("name", name, "scenario")->required();
  AddFleetOptions(*scenario, options);
  CLI11_PARSE(app, argc, argv);

  if (*decisions) {
    const auto series = MeasureDecisions();
    std::cout << (as_json ? boost::json::serialize(ToJson(series)) + "\n" : ToTable(series));
    return 0;
  }
  if (*choices) {
    std::cout << ToTable(CompareChoices(seed, seconds));
    return 0;
  }
  if (*dispatch) {
    std::cout << ToTable(SimulateDispatchLoad(dispatch_options));
    return 0;
  }
  return RunOnFleet(*load ? "steady" : name, options);
}
