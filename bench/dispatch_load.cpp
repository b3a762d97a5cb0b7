#include "bench/dispatch_load.h"

#include <iomanip>
#include <map>
#include <sstream>

namespace foxtailrudder::bench {
namespace {

using dispatch_test::LoadPlan;
using dispatch_test::LoadResult;

constexpr double kMillicores = 1'000;
/// How much slower a slow worker is.
constexpr double kSlowness = 6;

LoadPlan PlanOf(const DispatchLoadOptions& options) {
  LoadPlan plan;
  plan.kinds =
      dispatch_test::SheetKinds(static_cast<std::uint32_t>(options.task_cores * kMillicores));
  plan.entries = options.entries;
  plan.workers = options.workers;
  plan.worker_millicores = static_cast<std::uint32_t>(options.worker_cores * kMillicores);
  plan.length = options.length;
  plan.offered = [options](std::chrono::milliseconds passed) {
    const bool in_burst = passed >= options.burst_from && passed < options.burst_until;
    return in_burst ? options.burst : options.offered;
  };
  for (std::uint32_t i = 0; i < options.slow_workers; ++i) plan.slowness[i] = kSlowness;
  return plan;
}

}  // namespace

DispatchLoadResult PlayDispatchLoad(const DispatchLoadOptions& options) {
  LoadPlan plan = PlanOf(options);
  // Slow workers are room that the ideal does not use.
  const double room =
      plan.worker_millicores * static_cast<double>(plan.workers - options.slow_workers);
  DispatchLoadResult result;
  std::map<std::string, LoadResult::Kind> kinds;
  double offered = 0;
  double earned = 0;
  double ideal = 0;
  for (plan.seed = 1; plan.seed <= options.seeds; ++plan.seed) {
    const LoadResult played = dispatch_test::SimulateLoad(plan);
    for (const auto& [name, kind] : played.kinds) {
      for (LoadResult::Kind* sum : {&kinds[name], &kinds["all"]}) {
        sum->asked += kind.asked;
        sum->within_objective += kind.within_objective;
        sum->late += kind.late;
        sum->refused += kind.refused;
      }
    }
    result.refused_late += played.refused_late;
    for (const auto& job : played.arrivals) offered += job.worth;
    earned += played.worth;
    ideal += dispatch_test::OfflineIdeal(played.arrivals, room);
  }
  for (const auto& [name, kind] : kinds) {
    const double asked = kind.asked;
    result.rows.push_back(
        {name, kind.asked, kind.within_objective / asked, kind.late / asked, kind.refused / asked});
  }
  result.worth = earned / offered;
  result.of_ideal = earned / ideal;
  return result;
}

std::string ToTable(const DispatchLoadResult& result) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(3);
  text << "kind       asked  in aim    late  refused\n";
  for (const DispatchLoadRow& row : result.rows) {
    text << std::left << std::setw(9) << row.kind << std::right << std::setw(7) << row.asked
         << std::setw(8) << row.within_objective << std::setw(8) << row.late << std::setw(9)
         << row.refused << '\n';
  }
  text << "worth " << result.worth << ", of the offline ideal " << result.of_ideal
       << ", refused late " << result.refused_late << '\n';
  return text.str();
}

}  // namespace foxtailrudder::bench
