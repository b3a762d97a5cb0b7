#include "dispatch/tests/offline_ideal.h"

#include <algorithm>
#include <cstddef>

namespace foxtailrudder::dispatch_test {
namespace {

/// Time windows are widened to multiples of this. That raises the bound only slightly, as
/// callers wait for hundreds of milliseconds at least.
constexpr std::chrono::microseconds kSlotLength{20'000};

/// Capacity left in every interval of the timeline. An amount of work fits into its time window if
/// no interval that contains the window exceeds its capacity (Hall's condition for divisible work).
class IntervalCapacity {
 public:
  IntervalCapacity(std::size_t slots, double capacity_per_slot) : m_slots(slots) {
    m_left.resize(slots * (slots + 1));
    for (std::size_t from = 0; from < slots; ++from) {
      for (std::size_t to = from + 1; to <= slots; ++to) {
        At(from, to) = capacity_per_slot * static_cast<double>(to - from);
      }
    }
  }

  /// Allocates as much of the work as fits between two slots and returns the amount.
  double Allocate(std::size_t from, std::size_t to, double work) {
    double fits = work;
    for (std::size_t i = 0; i <= from; ++i) {
      for (std::size_t j = to; j <= m_slots; ++j) fits = std::min(fits, At(i, j));
    }
    for (std::size_t i = 0; i <= from; ++i) {
      for (std::size_t j = to; j <= m_slots; ++j) At(i, j) -= fits;
    }
    return fits;
  }

 private:
  double& At(std::size_t from, std::size_t to) { return m_left[from * (m_slots + 1) + to]; }

  std::size_t m_slots;
  std::vector<double> m_left;
};

}  // namespace

double OfflineIdeal(std::vector<ArrivedJob> jobs, double capacity_millicores) {
  if (jobs.empty()) return 0;
  // The sets of work that can be served form a polymatroid, so the greedy choice of the work with
  // the highest value per unit of capacity is optimal.
  std::ranges::stable_sort(jobs, [](const ArrivedJob& left, const ArrivedJob& right) {
    return left.worth * right.work > right.worth * left.work;
  });
  const auto start = std::ranges::min(jobs, {}, &ArrivedJob::arrived).arrived;
  const auto end = std::ranges::max(jobs, {}, &ArrivedJob::due).due;
  const auto slots = static_cast<std::size_t>((end - start) / kSlotLength + 1);
  IntervalCapacity capacity(
      slots, capacity_millicores * std::chrono::duration<double>(kSlotLength).count());
  double worth = 0;
  for (const ArrivedJob& job : jobs) {
    const auto from = static_cast<std::size_t>((job.arrived - start) / kSlotLength);
    const auto to = static_cast<std::size_t>((job.due - start) / kSlotLength + 1);
    worth += job.worth * capacity.Allocate(from, to, job.work) / job.work;
  }
  return worth;
}

}  // namespace foxtailrudder::dispatch_test
