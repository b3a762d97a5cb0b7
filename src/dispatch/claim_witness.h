#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/heard_entries.h"
#include "dispatch/pause_detector.h"
#include "model/messages.h"
#include "model/time.h"

namespace foxtailrudder {

struct ClaimWitnessCounters {
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  std::uint64_t answered_ended = 0;
  /// Claims left undecided because an earlier incarnation may have granted them.
  std::uint64_t undecided_after_start = 0;
  /// Claims left undecided because too many are remembered.
  std::uint64_t undecided_full = 0;
};

/// Why a witness may grant claims that it does not know.
enum class VoteBasis : std::uint8_t {
  /// It may not: an entry may hold a claim that an earlier incarnation has granted.
  kNone,
  /// Since it started it has heard every entry that may hold claims, and each has renewed them.
  kEntriesHeard,
  /// All processes have started, and the runs of earlier incarnations have ended.
  kAllStarted,
  /// The runs under all claims that an earlier incarnation can have granted have ended.
  kForgottenClaimsEnded,
};

/// A sidecar's part in deciding which entry runs a job: grants the claim to a job to one entry at a
/// time. A grant is a lease that the entry renews.
class ClaimWitness {
 public:
  /// Handles a report of an entry. The entry has renewed its claims here before.
  void OnEntryReport(NodeRef entry, const EntryReport& report, Now now);
  ClaimAnswers OnClaims(NodeRef entry, const ClaimJobs& claims, Now now);
  void OnRelease(NodeRef entry, const ReleaseClaim& release, Now now);

  VoteBasis vote_basis(Now now) const;
  /// Whether claims that an earlier incarnation has granted may be unknown here for lack of time.
  bool has_started_recently(Now now) const;

  /// Removes what has expired. Called every few tens of milliseconds.
  void Tick(Now now);

  std::size_t size() const { return m_size; }
  std::size_t former_runs() const { return m_former_runs.size(); }
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
  /// What an entry has reported of the entries that may hold claims.
  struct Testimony {
    std::uint64_t claimants_digest = 0;
    ClaimantKnowledge knowledge = ClaimantKnowledge::kNone;
    bool started_recently = false;
    SteadyTime valid_until;
  };

  /// Extends all grants, and the time after the start, by the time in which this process did not
  /// run: holders of claims may have renewed them, or tried to.
  void ExtendAfterPause(Now now);
  ClaimAnswer Decide(NodeRef entry, const JobClaim& claim, bool may_vote, Now now);
  void Remember(JobClaim claim, NodeRef holder, JobOutcome outcome, Now now);
  /// Removes the grants that have expired.
  void DropExpired(Grants& grants, Now now);
  void RememberRun(const JobName& job, Now now);
  bool MayHaveRun(const JobName& job, Now now) const;

  /// By ID: jobs with the same ID may exclude each other.
  std::map<std::string, Grants> m_grants;
  std::size_t m_size = 0;
  /// Jobs that an earlier holder of the claim may have run, and until when that is remembered.
  std::map<JobName, SteadyTime> m_former_runs;
  /// Until then some such jobs may be missing for want of room.
  SteadyTime m_former_runs_missing_until;
  std::optional<SteadyTime> m_started_at;
  HeardEntries m_entries;
  std::map<NodeId, Testimony> m_testimonies;
  PauseDetector m_pauses;
  SteadyTime m_next_expiry;
  ClaimWitnessCounters m_counters;
};

}  // namespace foxtailrudder
