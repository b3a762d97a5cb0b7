#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "model/ids.h"
#include "policy/random.h"

namespace foxtailrudder {

/// Load of one executor as known to a coordinator.
struct ExecutorLoad {
  NodeId id = 0;
  std::uint32_t slots = 0;
  /// Tasks dispatched to the executor that have not finished.
  std::uint32_t outstanding = 0;
  std::string_view zone = {};
  std::string_view rack = {};
  /// Share of the slots that may be used, 0 to 1; below 1 while the zone or endpoint ramps up after
  /// its return.
  double weight = 1.0;
};

/// Slots that may be used at the current weight. At least one, so that a returning executor gets a
/// first task, unless the executor has no slots.
std::uint32_t UsableSlots(const ExecutorLoad& load);

/// Returns true if the executor can take one more task.
bool HasFreeSlot(const ExecutorLoad& load);

/// Selects the executor for a task: returns the index of a candidate with a free slot, or nullopt.
template <typename T>
concept ExecutorChoice = requires(T choice, std::span<const ExecutorLoad> candidates,
                                  Random& random) {
  { choice.Choose(candidates, random) } -> std::same_as<std::optional<std::size_t>>;
};

/// Power of two choices: the less loaded of two random candidates, or the least loaded of all if
/// both are full.
class TwoChoices {
 public:
  std::optional<std::size_t> Choose(std::span<const ExecutorLoad> candidates, Random& random);
};

/// The candidate with the lowest utilization of its usable slots; ties are broken at random.
class LeastOutstanding {
 public:
  std::optional<std::size_t> Choose(std::span<const ExecutorLoad> candidates, Random& random);
};

/// The next candidate in cyclic order that has a free slot.
class RoundRobin {
 public:
  std::optional<std::size_t> Choose(std::span<const ExecutorLoad> candidates, Random& random);

 private:
  std::size_t m_next = 0;
};

/// A random candidate among those with a free slot.
class RandomChoice {
 public:
  std::optional<std::size_t> Choose(std::span<const ExecutorLoad> candidates, Random& random);
};

static_assert(ExecutorChoice<TwoChoices> && ExecutorChoice<LeastOutstanding> &&
              ExecutorChoice<RoundRobin> && ExecutorChoice<RandomChoice>);

}  // namespace foxtailrudder
