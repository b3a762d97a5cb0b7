#pragma once

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace foxtailrudder::testing {

/// Threads that run independent simulations. Leaves cores free for other jobs on a shared machine.
inline constexpr int kSimulationThreads = 6;

/// Calls run(i) for every i in [0, count) on kSimulationThreads threads. The calls must be
/// independent of each other.
inline void RunInParallel(std::size_t count, const std::function<void(std::size_t)>& run) {
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  threads.reserve(kSimulationThreads);
  for (int i = 0; i < kSimulationThreads; ++i) {
    threads.emplace_back([&] {
      for (std::size_t index = next++; index < count; index = next++) run(index);
    });
  }
  for (std::thread& thread : threads) thread.join();
}

}  // namespace foxtailrudder::testing
