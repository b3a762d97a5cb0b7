#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "model/bundle.h"
#include "model/job.h"
#include "model/time.h"

namespace foxtailrudder {

/// Bounded priority queue. Each urgency class has a head start that is subtracted from the arrival
/// time of its items, and items are ordered by the result. Items of any class can therefore be
/// overtaken for a bounded time only. An item near its deadline is treated like one of the class
/// with the largest head start.
template <typename Item>
class UrgencyQueue {
 public:
  /// An item is promoted when its deadline is closer than this plus the largest head start.
  static constexpr std::chrono::milliseconds kNearDeadline{1'000};

  static UrgencyQueue Create(std::size_t capacity) { return UrgencyQueue(capacity); }

  /// Replaces the head starts and reorders the waiting items. A class without a rule has no head
  /// start.
  void SetRules(std::vector<UrgencyRule> rules) {
    m_rules = std::move(rules);
    for (Entry& entry : m_heap) entry.rank = RankOf(entry.arrival, entry.deadline, entry.urgency);
    std::make_heap(m_heap.begin(), m_heap.end(), After);
  }

  /// Returns false, without change, if the queue is full.
  bool Push(Item item, Urgency urgency, WallTime deadline, Now now) {
    if (m_heap.size() >= m_capacity) return false;
    // Only distances of a few seconds affect the order; clamping avoids overflow for extreme
    // deadlines.
    const auto remaining = std::clamp<WallTime::duration>(
        deadline - now.wall, -kMaxDeadlineDistance, kMaxDeadlineDistance);
    const SteadyTime steady_deadline = now.steady + remaining;
    m_heap.push_back({RankOf(now.steady, steady_deadline, urgency), m_next_sequence++, now.steady,
                      steady_deadline, urgency, std::move(item)});
    std::push_heap(m_heap.begin(), m_heap.end(), After);
    return true;
  }

  /// Removes and returns the next item. Expired items are returned too, so that the caller can
  /// answer them.
  std::optional<Item> Pop(Now /*now*/) {
    if (m_heap.empty()) return std::nullopt;
    std::pop_heap(m_heap.begin(), m_heap.end(), After);
    std::optional<Item> item(std::move(m_heap.back().item));
    m_heap.pop_back();
    return item;
  }

  /// Returns the next item without removing it, or nullptr if the queue is empty.
  const Item* Peek() const { return m_heap.empty() ? nullptr : &m_heap.front().item; }

  /// Removes the items that match the predicate, in linear time; returns the number removed.
  template <typename Predicate>
  std::size_t RemoveIf(Predicate predicate) {
    const std::size_t removed =
        std::erase_if(m_heap, [&](const Entry& entry) { return predicate(entry.item); });
    if (removed > 0) std::make_heap(m_heap.begin(), m_heap.end(), After);
    return removed;
  }

  std::size_t size() const { return m_heap.size(); }
  bool empty() const { return m_heap.empty(); }
  std::size_t capacity() const { return m_capacity; }

 private:
  static constexpr std::chrono::hours kMaxDeadlineDistance{24};

  struct Entry {
    SteadyTime rank;
    std::uint64_t sequence;
    SteadyTime arrival;
    SteadyTime deadline;
    Urgency urgency;
    Item item;
  };

  explicit UrgencyQueue(std::size_t capacity) : m_capacity(capacity) {}

  static bool After(const Entry& left, const Entry& right) {
    return std::pair(left.rank, left.sequence) > std::pair(right.rank, right.sequence);
  }

  // The rank does not depend on the current time, so the heap stays valid as time passes. An item
  // with deadline D passes new items of the class with the largest head start from D -
  // kNearDeadline on.
  SteadyTime RankOf(SteadyTime arrival, SteadyTime deadline, Urgency urgency) const {
    std::chrono::milliseconds own{0};
    std::chrono::milliseconds largest{0};
    for (const UrgencyRule& rule : m_rules) {
      if (rule.urgency == urgency) own = rule.head_start;
      largest = std::max(largest, rule.head_start);
    }
    // Items of other classes are not ranked ahead of that class merely because their deadline is
    // short.
    const auto pull_limit = own == largest ? kNearDeadline : std::chrono::milliseconds(0);
    const SteadyTime pulled =
        std::max(deadline - largest - kNearDeadline, arrival - largest - pull_limit);
    return std::min<SteadyTime>(arrival - own, pulled);
  }

  std::size_t m_capacity;
  std::uint64_t m_next_sequence = 0;
  std::vector<UrgencyRule> m_rules;
  std::vector<Entry> m_heap;
};

}  // namespace foxtailrudder
