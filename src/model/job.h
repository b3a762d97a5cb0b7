#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "model/error_kind.h"
#include "model/ids.h"
#include "model/time.h"

namespace foxtailrudder {

/// Maximum number of tasks in one job.
inline constexpr std::size_t kMaxTasksPerJob = 1300;

/// Urgency class of a job. UrgencyRule defines how the classes are ordered.
enum class Urgency : std::uint8_t { kBatch, kNormal, kUrgent };

/// One task as submitted.
struct TaskSpec {
  std::string id;
  std::string payload;
  /// Size declared by the caller, in abstract units; may be inaccurate.
  std::optional<std::uint32_t> size;
  /// Run time declared by the caller; may be inaccurate.
  std::optional<std::chrono::milliseconds> run_time_hint;

  friend bool operator==(const TaskSpec&, const TaskSpec&) = default;
};

/// A job as submitted by a caller.
struct JobSpec {
  JobKey key;
  std::string service;
  Urgency urgency = Urgency::kNormal;
  WallTime deadline;
  bool idempotent = true;
  std::vector<TaskSpec> tasks;
  /// Digest of team, service, idempotent flag and tasks (see DigestOf). Deadline and urgency are
  /// excluded because they differ slightly when two devices submit the same job.
  std::uint64_t digest = 0;

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

/// Digest of the fields that must match for two submissions with the same key to be the same job.
std::uint64_t DigestOf(const JobSpec& job);

/// The endpoint's response for one task.
struct TaskResult {
  std::string task_id;
  /// HTTP status of the endpoint's response.
  std::uint16_t status = 200;
  std::string body;

  friend bool operator==(const TaskResult&, const TaskResult&) = default;
};

/// The results of all tasks, in the order of the submission.
struct JobComplete {
  std::vector<TaskResult> results;

  friend bool operator==(const JobComplete&, const JobComplete&) = default;
};

/// The final answer to a job: all results, or an error without results.
using JobAnswer = std::variant<JobComplete, Error>;

/// Number of tasks per state in a job that is not answered yet.
struct JobProgress {
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  std::uint32_t finished = 0;

  friend bool operator==(const JobProgress&, const JobProgress&) = default;
};

/// Outcome of one task at an executor: the endpoint's result, or the error that prevented one.
using TaskOutcome = std::variant<TaskResult, Error>;

}  // namespace foxtailrudder
