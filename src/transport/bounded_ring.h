#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace foxtailrudder {

/// Bounded queue for multiple producers and a single consumer. While the consumer is not waiting, a
/// push makes no system call unless producers contend for the lock. A push to a full ring fails;
/// the producer counts such failures.
template <typename T>
class BoundedRing {
 public:
  explicit BoundedRing(std::size_t capacity) : m_queue(capacity) {}
  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;
  ~BoundedRing() {
    while (TryPop()) {
    }
  }

  /// Returns false if the ring is full; the value is then left unchanged.
  bool TryPush(T&& value) {
    auto node = std::make_unique<T>(std::move(value));
    bool pushed = false;
    {
      const std::lock_guard lock(m_producer_mutex);
      pushed = m_queue.push(node.get());
    }
    if (!pushed) {
      value = std::move(*node);
      return false;
    }
    node.release();  // NOLINT(bugprone-unused-return-value): the queue owns the node.
    // Sequentially consistent with the consumer's store to m_sleeping and load of m_size: either
    // this push sees that the consumer sleeps, or the consumer sees the new size.
    m_size.fetch_add(1);
    if (m_sleeping.load()) {
      Notify();
    }
    return true;
  }

  /// Consumer only.
  std::optional<T> TryPop() {
    T* raw = nullptr;
    if (!m_queue.pop(raw)) {
      return std::nullopt;
    }
    const std::unique_ptr<T> node(raw);
    m_size.fetch_sub(1);
    return std::move(*node);
  }

  /// Consumer only. Waits for a value until the deadline or until Wake is called.
  std::optional<T> WaitPopUntil(std::chrono::steady_clock::time_point deadline) {
    if (auto value = TryPop()) {
      return value;
    }
    {
      std::unique_lock lock(m_mutex);
      m_sleeping.store(true);
      m_condition.wait_until(lock, deadline,
                             [this] { return m_size.load() > 0 || m_wake_requested; });
      m_sleeping.store(false);
      m_wake_requested = false;
    }
    return TryPop();
  }

  std::optional<T> WaitPop(std::chrono::milliseconds timeout) {
    return WaitPopUntil(std::chrono::steady_clock::now() + timeout);
  }

  /// Makes the consumer's current or next wait return without a value.
  void Wake() {
    {
      const std::lock_guard lock(m_mutex);
      m_wake_requested = true;
    }
    m_condition.notify_one();
  }

  /// Number of queued values; approximate while producers run.
  std::size_t size() const {
    const auto size = m_size.load(std::memory_order_relaxed);
    return size > 0 ? static_cast<std::size_t>(size) : 0;
  }

 private:
  void Notify() {
    { const std::lock_guard lock(m_mutex); }
    m_condition.notify_one();
  }

  // Not boost::lockfree::queue, whose free list reads a node that another producer may be writing.
  // The value read is discarded, but it is still a data race, which ThreadSanitizer reports.
  boost::lockfree::spsc_queue<T*> m_queue;
  /// Serialises the producers, as spsc_queue allows only one. The consumer does not lock it.
  std::mutex m_producer_mutex;
  /// Signed, because a value can be popped before its producer has counted it.
  std::atomic<std::int64_t> m_size{0};
  std::atomic<bool> m_sleeping{false};
  std::mutex m_mutex;
  std::condition_variable m_condition;
  bool m_wake_requested = false;
};

}  // namespace foxtailrudder
