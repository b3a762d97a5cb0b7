#include "dispatch/tests/offline_ideal.h"

#include <algorithm>
#include <cstddef>

namespace foxtailrudder::dispatch_test {
namespace {

/// Windows are widened to multiples of this, which raises the bound by little: objectives are
/// 150 ms and longer.
constexpr std::chrono::microseconds kGrain{20'000};

/// Room that is left in every interval of the time line. Work with an arrival and an end fits,
/// whole or in part, if no interval around both is overfull (Hall's condition on divisible work).
class IntervalRoom {
 public:
  IntervalRoom(std::size_t grains, double room_per_grain) : m_grains(grains) {
    m_left.resize(grains * (grains + 1));
    for (std::size_t from = 0; from < grains; ++from) {
      for (std::size_t to = from + 1; to <= grains; ++to) {
        At(from, to) = room_per_grain * static_cast<double>(to - from);
      }
    }
  }

  /// Takes as much of the work as fits between two times.
  double Take(std::size_t from, std::size_t to, double work) {
    double fits = work;
    for (std::size_t i = 0; i <= from; ++i) {
      for (std::size_t j = to; j <= m_grains; ++j) fits = std::min(fits, At(i, j));
    }
    for (std::size_t i = 0; i <= from; ++i) {
      for (std::size_t j = to; j <= m_grains; ++j) At(i, j) -= fits;
    }
    return fits;
  }

 private:
  double& At(std::size_t from, std::size_t to) { return m_left[from * (m_grains + 1) + to]; }

  std::size_t m_grains;
  std::vector<double> m_left;
};

}  // namespace

double OfflineIdeal(std::vector<ArrivedJob> jobs, double room_millicores) {
  if (jobs.empty()) return 0;
  // The rank of an amount of work that can be served is a polymatroid, so taking the work with the
  // highest worth for its room first is optimal.
  std::ranges::stable_sort(jobs, [](const ArrivedJob& left, const ArrivedJob& right) {
    return left.worth * right.work > right.worth * left.work;
  });
  const auto start = std::ranges::min(jobs, {}, &ArrivedJob::arrived).arrived;
  const auto end = std::ranges::max(jobs, {}, &ArrivedJob::due).due;
  const auto grains = static_cast<std::size_t>((end - start) / kGrain + 1);
  IntervalRoom room(grains, room_millicores * std::chrono::duration<double>(kGrain).count());
  double worth = 0;
  for (const ArrivedJob& job : jobs) {
    const auto from = static_cast<std::size_t>((job.arrived - start) / kGrain);
    const auto to = static_cast<std::size_t>((job.due - start) / kGrain + 1);
    worth += job.worth * room.Take(from, to, job.work) / job.work;
  }
  return worth;
}

}  // namespace foxtailrudder::dispatch_test
