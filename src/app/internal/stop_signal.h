#pragma once

#include <functional>
#include <thread>

namespace foxtailrudder {

/// Waits for SIGTERM and SIGINT on a dedicated thread. Construct it before any other thread starts:
/// it blocks the signals for threads that are created later.
class StopSignal {
 public:
  StopSignal();
  StopSignal(const StopSignal&) = delete;
  StopSignal& operator=(const StopSignal&) = delete;
  ~StopSignal();

  /// Starts the signal thread, which calls `on_signal` for each signal.
  void Listen(std::function<void()> on_signal);
  /// Joins the signal thread; `on_signal` is not called after this returns.
  void Stop();

 private:
  std::thread m_thread;
};

}  // namespace foxtailrudder
