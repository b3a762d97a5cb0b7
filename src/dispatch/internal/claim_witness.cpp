#include "dispatch/claim_witness.h"

#include <algorithm>

#include "dispatch/internal/milliseconds.h"
#include "dispatch/timing.h"

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

/// Bounds the memory when unknown jobs flood in.
constexpr std::size_t kMaxRemembered = 16'384;

/// Time for which the outcome of a job is remembered: callers send a job again up to some seconds
/// after its answer.
constexpr std::chrono::seconds kOutcomeRetention{10};

constexpr milliseconds kExpiryPeriod{500};

/// What an entry has reported counts for this long: until its next report, which may be late.
constexpr milliseconds kTestimonyValidity = kPresencePeriod + milliseconds(500);

}  // namespace

void ClaimWitness::ExtendAfterPause(Now now) {
  if (!m_started_at) m_started_at = now.steady;
  const auto pause = m_pauses.OnInput(now);
  if (pause == SteadyTime::duration::zero()) return;
  *m_started_at += pause;
  for (auto& [id, grants] : m_grants) {
    for (Grant& grant : grants) grant.expires_at += pause;
  }
}

void ClaimWitness::OnEntryReport(NodeRef entry, const EntryReport& report, Now now) {
  ExtendAfterPause(now);
  if (!has_started_recently(now)) return;
  m_entries.OnHeard(entry, now);
  if (report.claimants_digest == 0) return;
  m_testimonies[entry.id] = {report.claimants_digest, report.claimant_knowledge,
                             report.started_recently, now.steady + kTestimonyValidity};
}

bool ClaimWitness::has_started_recently(Now now) const {
  return !m_started_at || now.steady - *m_started_at < kForgottenClaimLease;
}

VoteBasis ClaimWitness::vote_basis(Now now) const {
  if (!has_started_recently(now)) return VoteBasis::kForgottenClaimsEnded;
  const std::uint64_t heard = m_entries.Digest(now);
  bool is_complete = false;
  bool all_started = false;
  bool some_are_older = false;
  for (const auto& [id, testimony] : m_testimonies) {
    if (now.steady >= testimony.valid_until) continue;
    if (testimony.knowledge == ClaimantKnowledge::kNone) {
      some_are_older |= !testimony.started_recently;
      continue;
    }
    if (testimony.claimants_digest != heard) return VoteBasis::kNone;
    is_complete |= testimony.knowledge == ClaimantKnowledge::kComplete;
    all_started |= testimony.knowledge == ClaimantKnowledge::kAllStarted;
  }
  if (is_complete) return VoteBasis::kEntriesHeard;
  return all_started && !some_are_older ? VoteBasis::kAllStarted : VoteBasis::kNone;
}

ClaimAnswers ClaimWitness::OnClaims(NodeRef entry, const ClaimJobs& claims, Now now) {
  ExtendAfterPause(now);
  const bool may_vote = vote_basis(now) != VoteBasis::kNone;
  ClaimAnswers answers;
  answers.echoed = claims.sent_at;
  answers.answers.reserve(claims.claims.size());
  for (const JobClaim& claim : claims.claims) {
    answers.answers.push_back(Decide(entry, claim, may_vote, now));
  }
  return answers;
}

ClaimAnswer ClaimWitness::Decide(NodeRef entry, const JobClaim& claim, bool may_vote, Now now) {
  ClaimAnswer answer;
  answer.job = claim.job;
  const auto found = m_grants.find(claim.job.id);
  if (found != m_grants.end()) DropExpired(found->second, now);
  answer.may_have_run = MayHaveRun(claim.job, now);
  if (found != m_grants.end()) {
    for (Grant& grant : found->second) {
      const bool is_same_job = grant.claim.job == claim.job;
      if (grant.outcome != JobOutcome::kNone) {
        if (!is_same_job) continue;
        ++m_counters.answered_ended;
        answer.status = ClaimStatus::kEnded;
        answer.outcome = grant.outcome;
        return answer;
      }
      if (is_same_job && grant.holder == entry) {
        grant.expires_at = now.steady + kClaimLease;
        answer.status = ClaimStatus::kGranted;
        return answer;
      }
      if (!is_same_job && grant.claim.service != claim.service) continue;
      ++m_counters.refused;
      answer.status = ClaimStatus::kHeld;
      answer.holder = grant.holder;
      answer.is_other_job = !is_same_job;
      answer.held_for = Ms(now.steady - grant.granted_at);
      return answer;
    }
  }
  if (!claim.is_held && !may_vote) {
    ++m_counters.undecided_after_start;
    return answer;
  }
  if (m_size >= kMaxRemembered) {
    ++m_counters.undecided_full;
    return answer;
  }
  ++m_counters.granted;
  Remember(claim, entry, JobOutcome::kNone, now);
  answer.status = ClaimStatus::kGranted;
  return answer;
}

void ClaimWitness::Remember(JobClaim claim, NodeRef holder, JobOutcome outcome, Now now) {
  Grants& grants = m_grants[claim.job.id];
  DropExpired(grants, now);
  m_size -= std::erase_if(grants, [&](const Grant& grant) { return grant.claim.job == claim.job; });
  const SteadyTime expires_at =
      outcome == JobOutcome::kNone ? now.steady + kClaimLease : now.steady + kOutcomeRetention;
  grants.push_back({std::move(claim), holder, now.steady, expires_at, outcome});
  ++m_size;
}

void ClaimWitness::DropExpired(Grants& grants, Now now) {
  m_size -= std::erase_if(grants, [&](const Grant& grant) {
    if (now.steady < grant.expires_at) return false;
    // Its holder was lost, or could not renew it.
    if (grant.outcome == JobOutcome::kNone) RememberRun(grant.claim.job, now);
    return true;
  });
}

void ClaimWitness::RememberRun(const JobName& job, Now now) {
  const SteadyTime until = now.steady + kOutcomeRetention;
  if (m_former_runs.size() < kMaxRemembered) {
    m_former_runs[job] = until;
  } else {
    m_former_runs_missing_until = until;
  }
}

bool ClaimWitness::MayHaveRun(const JobName& job, Now now) const {
  if (now.steady < m_former_runs_missing_until) return true;
  const auto found = m_former_runs.find(job);
  return found != m_former_runs.end() && now.steady < found->second;
}

void ClaimWitness::OnRelease(NodeRef entry, const ReleaseClaim& release, Now now) {
  ExtendAfterPause(now);
  if (release.may_have_run) RememberRun(release.job, now);
  const auto found = m_grants.find(release.job.id);
  const auto is_of_job = [&](const Grant& grant) { return grant.claim.job == release.job; };
  if (found != m_grants.end()) {
    const auto grant = std::ranges::find_if(found->second, is_of_job);
    if (grant != found->second.end()) {
      if (grant->outcome != JobOutcome::kNone || grant->holder != entry) return;
      found->second.erase(grant);
      --m_size;
      if (found->second.empty()) m_grants.erase(found);
    }
  }
  if (release.outcome != JobOutcome::kNone && m_size < kMaxRemembered) {
    Remember({release.job, {}, false}, entry, release.outcome, now);
  }
}

void ClaimWitness::Tick(Now now) {
  ExtendAfterPause(now);
  if (!has_started_recently(now)) m_testimonies.clear();
  if (now.steady < m_next_expiry) return;
  m_next_expiry = now.steady + kExpiryPeriod;
  for (auto next = m_grants.begin(); next != m_grants.end();) {
    DropExpired(next->second, now);
    next = next->second.empty() ? m_grants.erase(next) : std::next(next);
  }
  std::erase_if(m_former_runs, [now](const auto& run) { return now.steady >= run.second; });
}

}  // namespace foxtailrudder
