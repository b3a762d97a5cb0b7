#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/ids.h"
#include "model/job.h"

namespace foxtailrudder {

/// A service that endpoints provide and jobs request.
struct ServiceConfig {
  std::string name;
  /// Maximum declared task size (TaskSpec::size) for this service; 0 means no limit.
  std::uint32_t max_task_size = 0;
  /// Initial estimate of a task's run time, until run times have been measured.
  std::chrono::milliseconds expected_run_time{300};

  friend bool operator==(const ServiceConfig&, const ServiceConfig&) = default;
};

/// Priority of one urgency class relative to the others.
struct UrgencyRule {
  Urgency urgency = Urgency::kNormal;
  /// Added to the time that a task of this class has waited when the queue is ordered.
  std::chrono::milliseconds head_start{0};

  friend bool operator==(const UrgencyRule&, const UrgencyRule&) = default;
};

struct TeamConfig {
  std::string name;
  std::string home_region;
  /// Maximum task starts per second, summed over all entries of the home region.
  std::uint32_t tasks_per_second = 0;
  /// Number of tasks accepted at once above the rate (token bucket size).
  std::uint32_t burst = 0;

  friend bool operator==(const TeamConfig&, const TeamConfig&) = default;
};

struct LimitsConfig {
  /// How long a job and its answer are kept after its deadline.
  std::chrono::milliseconds retention{600'000};
  /// Maximum time from submission to deadline.
  std::chrono::milliseconds max_deadline{120'000};
  /// How long the store keeps the durable claim of a non-idempotent job.
  std::chrono::milliseconds durable_claim_retention{7 * 24 * 3'600'000LL};
  std::uint32_t max_queued_tasks_per_coordinator = 20'000;
  std::uint32_t max_claims_per_coordinator = 100'000;
  std::uint32_t max_start_records_per_executor = 50'000;
  std::uint32_t max_forward_records_per_entry = 200'000;
  /// Retries allowed per hundred first attempts.
  std::uint32_t retry_budget_percent = 10;
  /// Maximum share of a subset's endpoints that may be ejected at once.
  std::uint32_t max_ejected_percent = 33;
  /// Time over which a returned zone or endpoint ramps up to its full share of new work.
  std::chrono::milliseconds return_ramp{3'000};

  friend bool operator==(const LimitsConfig&, const LimitsConfig&) = default;
};

/// An accepted configuration bundle. Version 0 is the empty bundle of a new installation.
struct Bundle {
  Version version = 0;
  std::vector<ServiceConfig> services;
  std::vector<std::string> zones;
  std::vector<UrgencyRule> urgency_rules;
  std::vector<TeamConfig> teams;
  LimitsConfig limits;

  const ServiceConfig* FindService(std::string_view name) const;
  const TeamConfig* FindTeam(std::string_view name) const;

  friend bool operator==(const Bundle&, const Bundle&) = default;
};

}  // namespace foxtailrudder
