#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/dispatch_messages.h"
#include "model/time.h"

namespace foxtailrudder {

/// Limits of a submitted job; a larger one is refused as malformed.
inline constexpr std::uint32_t kMaxTasksOfJob = 1'300;
inline constexpr std::size_t kMaxPayloadBytes = 4'000;

struct JobStep {
  std::uint32_t count = 0;
  Resources demand;
  /// Expected run time of one task: the caller's estimate, which the dispatcher corrects by what it
  /// knows of such tasks; 0 if there is neither.
  std::chrono::milliseconds expected_run{0};
  /// Indices of the earlier steps that must complete before this one starts.
  std::vector<std::uint32_t> after;
  /// Label that the worker must have; empty if any worker will do.
  std::string required_label;
  /// Label of the rack that holds the input data; tasks take longer elsewhere. Empty if no rack is
  /// preferred.
  std::string preferred_rack;
  /// Maximum number of the step's tasks on one worker; 0 means no limit.
  std::uint32_t max_per_worker = 0;
};

struct DispatchJob {
  std::string id;
  std::string payload;
  std::vector<JobStep> steps;
  /// When the entry received the job, if it did so before it is submitted to the dispatcher.
  std::optional<SteadyTime> received_at;
};

}  // namespace foxtailrudder
