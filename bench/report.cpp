#include "bench/report.h"

#include <cstdio>
#include <fstream>
#include <iomanip>
#include <memory>
#include <sstream>

namespace foxtailrudder::bench {
namespace {

namespace json = boost::json;

json::object SummaryJson(const Summary& summary) {
  return {{"count", summary.count}, {"mean", summary.mean}, {"p50", summary.p50},
          {"p99", summary.p99},     {"p999", summary.p999}, {"max", summary.max}};
}

std::string PlotScript(const ScenarioResult& result, const std::string& output) {
  std::ostringstream script;
  script << "set terminal svg size 900,360\nset output '" << output << "'\n"
         << "set title '" << result.name << " at load " << result.options.load << "'\n"
         << "set xlabel 'arrival, s'\nset ylabel 'response / ideal'\nset logscale y\n"
         << "set yrange [0.9:*]\nset key top left\n"
         << "plot '-' with dots lw 2 title 'jobs', 1.05 title 'target of the mean at 70%'\n";
  for (std::size_t i = 0; i < result.load.records.size(); ++i) {
    const JobRecord& record = result.load.records[i];
    if (record.status != 200) continue;
    const JobArrival& job = result.load.arrivals[i];
    script << job.at.count() / 1000 << ' '
           << record.latency / (job.longest() + result.load.round_trip) << '\n';
  }
  script << "e\n";
  return script.str();
}

}  // namespace

json::object ToJson(const ScenarioResult& result) {
  const LoadFigures& figures = result.figures;
  json::object kinds;
  for (const auto& [kind, count] : figures.error_kinds) kinds[kind] = count;
  return {{"scenario", result.name},
          {"seed", result.options.seed},
          {"load", result.options.load},
          {"duration_ms", result.options.duration.count()},
          {"client_delay_ms", result.options.client_delay.count()},
          {"two_trips_ms", result.load.round_trip.count()},
          {"idle_overhead_ms", result.load.idle_overhead.count()},
          {"worst_send_delay_ms", result.load.max_send_delay.count()},
          {"response_over_ideal", SummaryJson(figures.all)},
          {"response_over_ideal_single", SummaryJson(figures.single)},
          {"ratio_of_means", figures.ratio_of_means},
          {"complete", figures.complete},
          {"failed", figures.failed},
          {"refused", figures.refused},
          {"cancelled", figures.cancelled},
          {"unanswered", figures.unanswered},
          {"kinds", std::move(kinds)},
          {"urgent_accepted", figures.urgent_accepted},
          {"urgent_late", figures.urgent_late},
          {"tasks_started", result.load.counters.started},
          {"refused_dispatches", result.load.counters.refused},
          {"retried", result.load.counters.retried},
          {"duplicated", result.load.counters.duplicated},
          {"wasted_per_task", figures.wasted_per_task},
          {"work_of_offered", figures.work_share},
          {"work_of_possible", result.work_of_possible}};
}

std::string ToTable(const ScenarioResult& result) {
  const LoadFigures& figures = result.figures;
  std::ostringstream out;
  out << std::fixed << std::setprecision(3);
  const auto row = [&](const char* name, const Summary& s) {
    out << std::left << std::setw(8) << name << std::right << std::setw(7) << s.count
        << std::setw(9) << s.mean << std::setw(9) << s.p50 << std::setw(9) << s.p99 << std::setw(9)
        << s.p999 << '\n';
  };
  out << result.name << ", load " << result.options.load << ", seed " << result.options.seed << '\n'
      << "response over ideal\n"
      << "          jobs     mean      p50      p99    p99.9\n";
  row("all", figures.all);
  row("single", figures.single);
  out << "two trips " << result.load.round_trip.count() << " ms, idle overhead "
      << result.load.idle_overhead.count() << " ms, worst send delay "
      << result.load.max_send_delay.count() << " ms\n"
      << "wasted messages per task " << figures.wasted_per_task << " (refused "
      << result.load.counters.refused << ", retried " << result.load.counters.retried
      << ", duplicated " << result.load.counters.duplicated << ", tasks "
      << result.load.counters.started << ")\n"
      << "work: " << figures.work_share << " of the offered, " << result.work_of_possible
      << " of the possible\n"
      << "complete " << figures.complete << ", failed " << figures.failed << ", refused "
      << figures.refused << ", cancelled " << figures.cancelled << ", unanswered "
      << figures.unanswered << "; urgent late " << figures.urgent_late << " of "
      << figures.urgent_accepted << '\n';
  for (const auto& [kind, count] : figures.error_kinds) {
    out << "  " << kind << ": " << count << '\n';
  }
  return out.str();
}

bool WriteResultFiles(const ScenarioResult& result, const std::string& directory,
                      const std::string& name) {
  const std::string base = directory + "/" + name;
  std::ofstream file(base + ".json");
  file << json::serialize(ToJson(result)) << '\n';
  if (!file) return false;
  const std::unique_ptr<FILE, int (*)(FILE*)> plot(popen("gnuplot", "w"), pclose);
  if (!plot) return false;
  const std::string script = PlotScript(result, base + ".svg");
  return std::fwrite(script.data(), 1, script.size(), plot.get()) == script.size();
}

}  // namespace foxtailrudder::bench
