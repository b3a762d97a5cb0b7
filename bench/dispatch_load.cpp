#include "bench/dispatch_load.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace foxtailrudder::bench {
namespace {

using dispatch_test::LoadPlan;
using dispatch_test::LoadResult;

constexpr double kMillicoresPerCore = 1'000;
/// Run times on a slow worker are multiplied by this.
constexpr double kSlowdownFactor = 6;

LoadPlan MakeLoadPlan(const DispatchLoadOptions& options) {
  LoadPlan plan;
  plan.kinds = dispatch_test::SheetKinds(
      static_cast<std::uint32_t>(options.task_cores * kMillicoresPerCore));
  plan.entries = options.entries;
  plan.workers = options.workers;
  plan.worker_millicores = static_cast<std::uint32_t>(options.worker_cores * kMillicoresPerCore);
  plan.length = options.length;
  plan.offered = [options](std::chrono::milliseconds passed) {
    const bool in_burst = passed >= options.burst_from && passed < options.burst_until;
    return in_burst ? options.burst : options.offered;
  };
  for (std::uint32_t i = 0; i < options.slow_workers; ++i) plan.slowness[i] = kSlowdownFactor;
  return plan;
}

}  // namespace

DispatchLoadResult SimulateDispatchLoad(const DispatchLoadOptions& options) {
  LoadPlan plan = MakeLoadPlan(options);
  // The offline ideal does not use the capacity of the slow workers.
  const double ideal_millicores =
      plan.worker_millicores * static_cast<double>(plan.workers - options.slow_workers);
  DispatchLoadResult result;
  std::map<std::string, LoadResult::Kind> kinds;
  double completed = 0;
  double ideal = 0;
  for (plan.seed = 1; plan.seed <= options.seeds; ++plan.seed) {
    const LoadResult simulated = dispatch_test::SimulateLoad(plan);
    for (const auto& [name, kind] : simulated.kinds) {
      for (LoadResult::Kind* sum : {&kinds[name], &kinds["all"]}) {
        sum->asked += kind.asked;
        sum->completed += kind.completed;
        sum->within_objective += kind.within_objective;
        sum->refused += kind.refused;
      }
    }
    for (const auto held : simulated.held_before_refusal)
      result.longest_refusal = std::max(result.longest_refusal, held);
    result.entry_messages_per_second += simulated.entry_messages_per_second / options.seeds;
    result.sidecar_messages_per_second += simulated.worker_messages_per_second / options.seeds;
    completed += simulated.completed;
    ideal += dispatch_test::OfflineIdeal(simulated.arrivals, ideal_millicores);
  }
  for (const auto& [name, kind] : kinds) {
    const double asked = kind.asked;
    result.rows.push_back({name, kind.asked, kind.completed / asked, kind.within_objective / asked,
                           kind.refused / asked});
  }
  result.of_ideal = completed / ideal;
  return result;
}

std::string ToTable(const DispatchLoadResult& result) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(3);
  text << "kind       asked  completed  in objective  refused\n";
  for (const DispatchLoadRow& row : result.rows) {
    text << std::left << std::setw(9) << row.kind << std::right << std::setw(7) << row.submitted
         << std::setw(11) << row.completed << std::setw(14) << row.within_objective << std::setw(9)
         << row.refused << '\n';
  }
  text << "of the offline ideal " << result.of_ideal << ", longest wait for a refusal "
       << result.longest_refusal.count() << " ms\n"
       << std::setprecision(0) << "messages a second: to an entry "
       << result.entry_messages_per_second << ", to a sidecar "
       << result.sidecar_messages_per_second << '\n';
  return text.str();
}

}  // namespace foxtailrudder::bench
