#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <optional>
#include <thread>
#include <utility>

#include "app/internal/clock.h"
#include "transport/transport.h"

namespace foxtailrudder {

/// Multi-producer input queue of a process and its event loop. Any thread may push inputs; the
/// thread that calls Run(), the decision thread, handles inputs and timers.
template <typename Input>
class InputLoop {
 public:
  /// Called on the thread of Run().
  struct Callbacks {
    std::function<void(Input, Now)> handle;
    std::function<void(Now)> tick;
    std::function<bool()> is_finished;
  };

  InputLoop() : m_ring(kCapacity) {}

  /// Returns false and counts the input in full_count() if the ring is full.
  bool TryPush(Input input) {
    if (m_ring.TryPush(std::move(input))) return true;
    m_full_count.fetch_add(1);
    return false;
  }

  /// Blocks while the ring is full and the loop runs. For inputs whose loss would leave a request,
  /// slot or operation open for ever.
  void Push(Input input) {
    // NOLINTNEXTLINE(bugprone-use-after-move): TryPush leaves a refused value as it was.
    while (!m_ring.TryPush(std::move(input)) && !m_has_ended.load()) std::this_thread::yield();
  }

  /// Makes Run() return false if it has not finished by this time. Only the first call has an
  /// effect. Decision thread only.
  void SetDeadline(SteadyTime deadline) {
    if (!m_deadline) m_deadline = deadline;
  }

  /// Runs until is_finished() returns true. Returns false if the deadline passes first.
  bool Run(const Callbacks& callbacks) {
    const bool finished = RunUntilFinished(callbacks);
    m_has_ended.store(true);
    return finished;
  }

  std::uint64_t full_count() const { return m_full_count.load(); }

 private:
  bool RunUntilFinished(const Callbacks& callbacks) {
    SteadyTime next_tick = ReadClocks().steady;
    while (!callbacks.is_finished()) {
      auto input = m_ring.WaitPopUntil(next_tick);
      const Now now = ReadClocks();
      for (int handled = 0; input; input = m_ring.TryPop()) {
        callbacks.handle(std::move(*input), now);
        // Bounded, so that a full ring does not delay timers and clock updates.
        if (++handled == kMaxInputsPerIteration) break;
      }
      if (now.steady >= next_tick) {
        next_tick = now.steady + kTickPeriod;
        callbacks.tick(now);
      }
      if (m_deadline && now.steady >= *m_deadline) return false;
    }
    return true;
  }

  static constexpr std::size_t kCapacity = 16'384;
  static constexpr std::chrono::milliseconds kTickPeriod{20};
  static constexpr int kMaxInputsPerIteration = 256;

  BoundedRing<Input> m_ring;
  std::atomic<std::uint64_t> m_full_count{0};
  std::atomic<bool> m_has_ended{false};
  std::optional<SteadyTime> m_deadline;
};

}  // namespace foxtailrudder
