#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/pause_detector.h"
#include "model/messages.h"
#include "model/time.h"

namespace foxtailrudder {

struct ClaimWitnessCounters {
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  std::uint64_t answered_ended = 0;
  /// Claims left undecided because this process started recently.
  std::uint64_t undecided_after_start = 0;
  /// Claims left undecided because too many are remembered.
  std::uint64_t undecided_full = 0;
};

/// A sidecar's part in deciding which entry runs a job: grants the claim to a job to one entry at a
/// time. A grant is a lease that the entry renews.
class ClaimWitness {
 public:
  /// Handles claims of an entry. `knows_entries` tells whether this process has heard every entry
  /// that the sender is in contact with, so that it knows which claims they hold.
  ClaimAnswers OnClaims(NodeRef entry, const ClaimJobs& claims, bool knows_entries, Now now);
  void OnRelease(NodeRef entry, const ReleaseClaim& release, Now now);

  /// Removes what has expired. Called every few tens of milliseconds.
  void Tick(Now now);

  std::size_t size() const { return m_size; }
  const ClaimWitnessCounters& counters() const { return m_counters; }

 private:
  struct Grant {
    JobClaim claim;
    NodeRef holder;
    SteadyTime granted_at;
    SteadyTime expires_at;
    /// Not kNone after the job has ended; nobody holds it then.
    JobOutcome outcome = JobOutcome::kNone;
  };
  using Grants = std::vector<Grant>;

  /// Extends all grants by the time in which this process did not run: their holders may have
  /// renewed them.
  void ExtendAfterPause(Now now);
  ClaimAnswer Decide(NodeRef entry, const JobClaim& claim, bool knows_entries, Now now);
  void Remember(JobClaim claim, NodeRef holder, JobOutcome outcome, Now now);

  /// By ID: jobs with the same ID may exclude each other.
  std::map<std::string, Grants> m_grants;
  std::size_t m_size = 0;
  std::optional<SteadyTime> m_started_at;
  PauseDetector m_pauses;
  SteadyTime m_next_expiry;
  ClaimWitnessCounters m_counters;
};

}  // namespace foxtailrudder
