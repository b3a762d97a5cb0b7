#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "model/time.h"

namespace foxtailrudder {

/// The tasks of one step of a queue's jobs. Those with and without a caller's estimate are learnt
/// separately.
struct TaskKind {
  std::string queue;
  std::uint32_t step = 0;
  bool has_estimate = false;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const TaskKind&, const TaskKind&) = default;
};

/// What is known of a kind of task.
struct KnownRunTime {
  /// The caller's estimate, corrected if the estimates of the kind are far off; without an
  /// estimate, the median.
  std::chrono::milliseconds expected{0};
  /// What a task of this kind seldom exceeds: the same if there is an estimate, which tells long
  /// tasks from short ones, and the ninth decile if there is none.
  std::chrono::milliseconds usual{0};
};

/// Learns how long the tasks of each kind run: relative to their callers' estimates, which may be
/// off by any factor, or in absolute terms where callers give none.
class RunTimeHistory {
 public:
  /// `estimate` is the caller's; 0 if there is none.
  void OnDone(const std::string& queue, std::uint32_t step, std::chrono::milliseconds estimate,
              std::chrono::milliseconds run_time, Now now);

  /// Handles a task that was still running when the time of its callers was over. It would have run
  /// at least that long, and nothing contradicts a longer estimate.
  void OnUnfinished(const std::string& queue, std::uint32_t step,
                    std::chrono::milliseconds estimate, std::chrono::milliseconds run_time,
                    Now now);

  /// Not set while too few tasks of the kind have ended lately.
  std::optional<KnownRunTime> Find(const std::string& queue, std::uint32_t step,
                                   std::chrono::milliseconds estimate, Now now) const;

  /// Forgets kinds without recent tasks.
  void Expire(Now now);

 private:
  struct Sample {
    /// Run time divided by the estimate, or in milliseconds if there is none.
    double ratio = 0;
    std::chrono::milliseconds observed_run{0};
    SteadyTime expires_at;
  };

  void Add(const std::string& queue, std::uint32_t step, std::chrono::milliseconds estimate,
           std::chrono::milliseconds assumed_run, std::chrono::milliseconds observed_run, Now now);

  std::map<TaskKind, std::deque<Sample>> m_samples;
};

}  // namespace foxtailrudder
