#include "bench/workload.h"

#include <algorithm>
#include <numeric>
#include <pcg_random.hpp>
#include <random>

namespace foxtailrudder::bench {
namespace {

constexpr double kShortMinMs = 50;
constexpr double kShortMaxMs = 1000;
constexpr double kTailMinMs = 2000;
constexpr double kTailMaxMs = 6000;
constexpr double kTailShare = 0.02;
constexpr double kUrgentShare = 0.15;

struct SizeClass {
  double share;
  int min;
  int max;
};
constexpr SizeClass kSizes[] = {{0.80, 1, 1}, {0.15, 2, 8}, {0.04, 9, 20}, {0.01, 21, 40}};

double Uniform(pcg64& random, double min, double max) {
  return std::uniform_real_distribution<double>(min, max)(random);
}

int JobSize(pcg64& random) {
  double pick = Uniform(random, 0, 1);
  for (const SizeClass& size : kSizes) {
    if (pick < size.share) return std::uniform_int_distribution<int>(size.min, size.max)(random);
    pick -= size.share;
  }
  return 1;
}

/// Rounds down to whole milliseconds, the unit of the payload.
Milliseconds RunTime(pcg64& random) {
  const bool tail = Uniform(random, 0, 1) < kTailShare;
  const double time =
      tail ? Uniform(random, kTailMinMs, kTailMaxMs) : Uniform(random, kShortMinMs, kShortMaxMs);
  return Milliseconds(static_cast<double>(static_cast<int>(time)));
}

}  // namespace

Milliseconds JobArrival::longest() const {
  return *std::max_element(run_times.begin(), run_times.end());
}

Milliseconds JobArrival::work() const {
  return std::accumulate(run_times.begin(), run_times.end(), Milliseconds(0));
}

Milliseconds MeanRunTime() {
  return Milliseconds((1 - kTailShare) * (kShortMinMs + kShortMaxMs) / 2 +
                      kTailShare * (kTailMinMs + kTailMaxMs) / 2);
}

Milliseconds MeanJobWork() {
  double tasks = 0;
  for (const SizeClass& size : kSizes) tasks += size.share * (size.min + size.max) / 2;
  return tasks * MeanRunTime();
}

std::vector<JobArrival> MakeArrivals(const WorkloadOptions& options) {
  pcg64 random(options.seed);
  const double rate = options.load * options.slots / MeanJobWork().count();
  std::vector<JobArrival> arrivals;
  // Each gap uses the rate at the previous arrival. Only the first arrival after a rate change is
  // inexact, by milliseconds.
  for (Milliseconds now{0};;) {
    const bool burst = now >= options.burst_begin && now < options.burst_end;
    const double factor = burst ? options.burst_factor : 1;
    now += Milliseconds(std::exponential_distribution<double>(rate * factor)(random));
    if (now >= options.duration) return arrivals;
    JobArrival job;
    job.at = now;
    job.run_times.resize(static_cast<std::size_t>(JobSize(random)));
    for (Milliseconds& time : job.run_times) time = RunTime(random);
    job.urgent = Uniform(random, 0, 1) < kUrgentShare;
    arrivals.push_back(std::move(job));
  }
}

}  // namespace foxtailrudder::bench
