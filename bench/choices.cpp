#include "bench/choices.h"

#include <cmath>
#include <iomanip>
#include <map>
#include <sstream>

#include "bench/workload.h"
#include "node/tests/simulation.h"

namespace foxtailrudder::bench {
namespace {

using std::chrono::milliseconds;

constexpr int kSidecars = 11;
constexpr std::uint32_t kSlots = 8;
// The run times of the simulated endpoint are uniform from 20 to 199 ms.
constexpr double kMeanRunMs = 109.5;

struct NamedChoice {
  const char* name;
  ChoiceKind kind;
};
constexpr NamedChoice kChoices[] = {{"two choices", ChoiceKind::kTwoChoices},
                                    {"least outstanding", ChoiceKind::kLeastOutstanding},
                                    {"round robin", ChoiceKind::kRoundRobin},
                                    {"random", ChoiceKind::kRandom}};

ChoiceResult RunChoice(const NamedChoice& choice, double load, std::uint64_t seed, int seconds) {
  testing::SimulationOptions options;
  options.seed = seed;
  options.sidecars = kSidecars;
  options.slots = kSlots;
  options.coordinator.choice = choice.kind;
  testing::Simulation simulation(options);
  ChoiceResult result{choice.name, load, {}, 0, 0, 0};
  if (!simulation.RunUntilReady()) return result;

  WorkloadOptions workload;
  workload.seed = seed;
  workload.slots = kSidecars * kSlots;
  workload.load = load;
  const double scale = kMeanRunMs / MeanRunTime().count();
  workload.duration = Milliseconds(seconds * 1000.0 / scale);
  const SteadyTime begin = simulation.now().steady;
  int number = 0;
  for (const JobArrival& job : MakeArrivals(workload)) {
    const SteadyTime at = begin + milliseconds(std::llround(job.at.count() * scale));
    if (at > simulation.now().steady) {
      simulation.RunFor(std::chrono::duration_cast<milliseconds>(at - simulation.now().steady));
    }
    simulation.Submit(
        number % simulation.entries(),
        simulation.MakeJob("job-" + std::to_string(number), static_cast<int>(job.run_times.size()),
                           milliseconds(20'000)));
    ++number;
  }
  simulation.RunFor(std::chrono::seconds(20));

  std::map<std::string, SteadyTime> submitted;
  for (const auto& event : simulation.history().submitted) {
    submitted[event.job.key.idempotency_key] = event.at;
  }
  std::vector<double> waits;
  for (const auto& event : simulation.history().started) {
    const auto wait = event.at - submitted[event.task.job.idempotency_key];
    waits.push_back(std::chrono::duration<double, std::milli>(wait).count());
  }
  for (const auto& event : simulation.history().answered) {
    if (std::holds_alternative<Error>(event.answer)) ++result.failed;
  }
  double refused = 0;
  double retried = 0;
  for (int i = simulation.FirstSidecar(); i < simulation.node_count(); ++i) {
    const Counters& counters = simulation.sidecar(i)->counters();
    refused += static_cast<double>(counters.Refusals(ErrorKind::kNoFreeSlot));
    retried += static_cast<double>(counters.Retries(ErrorKind::kNoFreeSlot));
  }
  const auto tasks = static_cast<double>(waits.size());
  result.refused_per_task = refused / tasks;
  result.retried_per_task = retried / tasks;
  result.wait_ms = Summarize(std::move(waits));
  return result;
}

}  // namespace

std::vector<ChoiceResult> CompareChoices(std::uint64_t seed, int seconds) {
  std::vector<ChoiceResult> results;
  for (const double load : {0.5, 0.7, 0.9}) {
    for (const NamedChoice& choice : kChoices) {
      results.push_back(RunChoice(choice, load, seed, seconds));
    }
  }
  return results;
}

std::string ToTable(const std::vector<ChoiceResult>& results) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(3)
      << "load  choice              tasks  wait ms: mean      p50      p99    p99.9  refused  "
         "retried  failed\n";
  for (const ChoiceResult& result : results) {
    out << std::setw(4) << std::setprecision(1) << result.load << "  " << std::left << std::setw(18)
        << result.choice << std::right << std::setprecision(3) << std::setw(7)
        << result.wait_ms.count << std::setw(15) << result.wait_ms.mean << std::setw(9)
        << result.wait_ms.p50 << std::setw(9) << result.wait_ms.p99 << std::setw(9)
        << result.wait_ms.p999 << std::setw(9) << result.refused_per_task << std::setw(9)
        << result.retried_per_task << std::setw(8) << result.failed << '\n';
  }
  return out.str();
}

}  // namespace foxtailrudder::bench
