#include "policy/executor_choice.h"

#include <algorithm>
#include <cmath>

namespace foxtailrudder {
namespace {

// Compares outstanding / usable slots by cross-multiplication instead of division.
bool LessLoaded(const ExecutorLoad& left, const ExecutorLoad& right) {
  return std::uint64_t{left.outstanding} * UsableSlots(right) <
         std::uint64_t{right.outstanding} * UsableSlots(left);
}

std::uint32_t Size(std::span<const ExecutorLoad> candidates) {
  return static_cast<std::uint32_t>(candidates.size());
}

// Returns the best candidate with a free slot. The scan starts at `first`; a random start keeps
// ties from always going to the first candidate.
template <typename Better>
std::optional<std::size_t> BestFree(std::span<const ExecutorLoad> candidates, std::size_t first,
                                    Better better) {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::size_t index = (first + i) % candidates.size();
    if (!HasFreeSlot(candidates[index])) continue;
    if (!best || better(candidates[index], candidates[*best])) best = index;
  }
  return best;
}

}  // namespace

std::uint32_t UsableSlots(const ExecutorLoad& load) {
  if (load.slots == 0) return 0;
  const double scaled = std::floor(load.slots * std::clamp(load.weight, 0.0, 1.0));
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(scaled));
}

bool HasFreeSlot(const ExecutorLoad& load) { return load.outstanding < UsableSlots(load); }

std::optional<std::size_t> TwoChoices::Choose(std::span<const ExecutorLoad> candidates,
                                              Random& random) {
  if (candidates.empty()) return std::nullopt;
  if (candidates.size() > 1) {
    const std::uint32_t first = random.Below(Size(candidates));
    // An offset of at least one guarantees two different candidates.
    const std::uint32_t offset = 1 + random.Below(Size(candidates) - 1);
    const std::uint32_t second = (first + offset) % Size(candidates);
    const bool first_free = HasFreeSlot(candidates[first]);
    const bool second_free = HasFreeSlot(candidates[second]);
    if (first_free && second_free) {
      return LessLoaded(candidates[second], candidates[first]) ? second : first;
    }
    if (first_free) return first;
    if (second_free) return second;
  }
  // At 90% load two random candidates are often both full while others have free slots.
  return LeastOutstanding().Choose(candidates, random);
}

std::optional<std::size_t> LeastOutstanding::Choose(std::span<const ExecutorLoad> candidates,
                                                    Random& random) {
  if (candidates.empty()) return std::nullopt;
  return BestFree(candidates, random.Below(Size(candidates)), LessLoaded);
}

std::optional<std::size_t> RoundRobin::Choose(std::span<const ExecutorLoad> candidates,
                                              Random& /*random*/) {
  if (candidates.empty()) return std::nullopt;
  const auto first_found = [](const ExecutorLoad&, const ExecutorLoad&) { return false; };
  const auto chosen = BestFree(candidates, m_next % candidates.size(), first_found);
  if (chosen) m_next = *chosen + 1;
  return chosen;
}

std::optional<std::size_t> RandomChoice::Choose(std::span<const ExecutorLoad> candidates,
                                                Random& random) {
  const auto free = static_cast<std::uint32_t>(std::ranges::count_if(candidates, HasFreeSlot));
  if (free == 0) return std::nullopt;
  std::uint32_t skip = random.Below(free);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (HasFreeSlot(candidates[i]) && skip-- == 0) return i;
  }
  return std::nullopt;
}

}  // namespace foxtailrudder
