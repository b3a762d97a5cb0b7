#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace foxtailrudder::standins {

/// Runs functions at scheduled times on a thread of its own.
class Scheduler {
 public:
  Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;
  /// Calls Stop().
  ~Scheduler();

  void At(std::chrono::steady_clock::time_point when, std::function<void()> function);
  void After(std::chrono::nanoseconds delay, std::function<void()> function);

  /// Discards the pending functions and waits for the running one to return. No function runs
  /// afterwards.
  void Stop();

 private:
  void Run();

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> m_functions;
  bool m_stopped = false;
  std::thread m_thread;
};

}  // namespace foxtailrudder::standins
