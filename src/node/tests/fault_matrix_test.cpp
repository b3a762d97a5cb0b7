#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <set>

#include "node/tests/fault_scenario.h"
#include "node/tests/parallel_runs.h"

using namespace foxtailrudder;           // NOLINT(google-build-using-namespace)
using namespace foxtailrudder::testing;  // NOLINT(google-build-using-namespace)

namespace {

/// Number of seeds per matrix cell or history test; FOXTAILRUDDER_SEEDS overrides the default.
std::size_t SeedCount(std::size_t default_count) {
  const char* text = std::getenv("FOXTAILRUDDER_SEEDS");
  return text == nullptr ? default_count : std::strtoul(text, nullptr, 10);
}

/// First seed; FOXTAILRUDDER_SEED overrides it to replay a failed run.
std::uint64_t FirstSeed() {
  const char* text = std::getenv("FOXTAILRUDDER_SEED");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

struct Run {
  FaultStep step = FaultStep::kSubmit;
  std::vector<Fault> faults;
  std::uint64_t seed = 1;
  std::vector<Violation> violations;

  std::string Name() const {
    std::string name;
    for (const Fault fault : faults) name += std::string(FaultName(fault)) + ", ";
    return name + "at " + std::string(StepName(step)) + ", seed " + std::to_string(seed);
  }
};

void RunScenarios(std::vector<Run>& runs) {
  RunInParallel(runs.size(), [&](std::size_t i) {
    SimulationOptions options;
    options.seed = runs[i].seed;
    runs[i].violations = RunFaultScenario(options, runs[i].step, runs[i].faults);
  });
}

void ReportViolations(const std::vector<Run>& runs) {
  for (const Run& run : runs) {
    if (run.violations.empty()) continue;
    BOOST_ERROR(run.Name() << "\n" << Describe(run.violations));
  }
}

/// Writes the result matrix to the file named by FOXTAILRUDDER_FAULTS_FILE, if set. This generates
/// docs/FAULTS.md.
void WriteMatrix(const std::vector<Run>& runs, std::size_t seeds) {
  const char* path = std::getenv("FOXTAILRUDDER_FAULTS_FILE");
  if (path == nullptr) return;
  std::map<std::pair<std::size_t, std::size_t>, std::size_t> failed_runs;
  for (const Run& run : runs) {
    failed_runs[{static_cast<std::size_t>(run.faults.front()),
                 static_cast<std::size_t>(run.step)}] += run.violations.empty() ? 0 : 1;
  }
  std::ofstream file(path);
  file << "| Fault \\ step |";
  for (std::size_t step = 0; step < kStepCount; ++step) {
    file << ' ' << StepName(static_cast<FaultStep>(step)) << " |";
  }
  file << "\n|---|";
  for (std::size_t step = 0; step < kStepCount; ++step) file << "---|";
  file << '\n';
  for (std::size_t fault = 0; fault < kFaultCount; ++fault) {
    file << "| " << FaultName(static_cast<Fault>(fault)) << " |";
    for (std::size_t step = 0; step < kStepCount; ++step) {
      const auto found = failed_runs.find({fault, step});
      if (found == failed_runs.end()) {
        file << " not run |";
      } else if (found->second == 0) {
        file << " proved (" << seeds << ") |";
      } else {
        file << " **red** (" << found->second << " of " << seeds << ") |";
      }
    }
    file << '\n';
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fault_matrix)

// Guards against a violated invariant under each single fault at each step.
BOOST_AUTO_TEST_CASE(single_faults) {
  const std::size_t seeds = SeedCount(3);
  std::vector<Run> runs;
  for (std::size_t fault = 0; fault < kFaultCount; ++fault) {
    for (std::size_t step = 0; step < kStepCount; ++step) {
      for (std::size_t seed = 0; seed < seeds; ++seed) {
        runs.push_back(
            {static_cast<FaultStep>(step), {static_cast<Fault>(fault)}, FirstSeed() + seed, {}});
      }
    }
  }
  RunScenarios(runs);
  WriteMatrix(runs, seeds);
  ReportViolations(runs);
}

// Guards against a violated invariant under each pair of faults at a step that the seed selects.
BOOST_AUTO_TEST_CASE(pairs_of_faults) {
  std::vector<Run> runs;
  for (std::size_t first = 0; first < kFaultCount; ++first) {
    for (std::size_t second = first + 1; second < kFaultCount; ++second) {
      const std::uint64_t seed = FirstSeed() + first * kFaultCount + second;
      runs.push_back({static_cast<FaultStep>(seed % kStepCount),
                      {static_cast<Fault>(first), static_cast<Fault>(second)},
                      seed,
                      {}});
    }
  }
  RunScenarios(runs);
  ReportViolations(runs);
}

// Guards against a violated invariant under random faults, steps and interleavings from the seed.
BOOST_AUTO_TEST_CASE(seeded_histories) {
  const std::size_t seeds = SeedCount(1000);
  std::vector<Run> runs;
  for (std::size_t i = 0; i < seeds; ++i) {
    const std::uint64_t seed = FirstSeed() + 10'000 + i;
    std::mt19937_64 random(seed);
    Run run;
    run.seed = seed;
    run.step = static_cast<FaultStep>(random() % kStepCount);
    const std::size_t count = 1 + random() % 3;
    for (std::size_t k = 0; k < count; ++k) {
      run.faults.push_back(static_cast<Fault>(random() % kFaultCount));
    }
    runs.push_back(std::move(run));
  }
  RunScenarios(runs);
  ReportViolations(runs);
}

BOOST_AUTO_TEST_SUITE_END()
