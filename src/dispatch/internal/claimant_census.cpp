#include "dispatch/internal/claimant_census.h"

namespace foxtailrudder {

void ClaimantCensus::OnInput(Now now) {
  const bool was_suspended = m_pauses.OnInput(now) != SteadyTime::duration::zero();
  if (m_started_at && !was_suspended) return;
  if (!m_started_at) m_started_at = now.steady;
  m_complete_from = now.steady + kHeardEntryRetention;
}

void ClaimantCensus::OnEntryHeard(NodeRef entry, bool started_recently, Now now) {
  m_entries.OnHeard(entry, now);
  m_hears_older_process |= !started_recently;
}

void ClaimantCensus::OnSidecarHeard(bool started_recently) {
  m_hears_older_process |= !started_recently;
}

bool ClaimantCensus::HasStartedRecently(Now now) const {
  return now.steady - *m_started_at < kHeardEntryRetention;
}

bool ClaimantCensus::FollowsTotalLoss(Now now) const {
  return HasStartedRecently(now) && !m_hears_older_process;
}

SteadyTime ClaimantCensus::claims_from(Now now) const {
  return FollowsTotalLoss(now) ? *m_started_at + kRunsEndedAfterTotalLoss : *m_started_at;
}

ClaimantKnowledge ClaimantCensus::KnowledgeAt(Now now) const {
  if (now.steady >= m_complete_from) return ClaimantKnowledge::kComplete;
  if (FollowsTotalLoss(now) && now.steady >= claims_from(now)) {
    return ClaimantKnowledge::kAllStarted;
  }
  return ClaimantKnowledge::kNone;
}

void ClaimantCensus::AddTo(EntryReport& report, bool to_sidecar_that_started_recently,
                           Now now) const {
  report.started_recently = HasStartedRecently(now);
  if (!to_sidecar_that_started_recently) return;
  report.claimants_digest = m_entries.Digest(now) ^ EntryDigest(m_self);
  report.claimant_knowledge = KnowledgeAt(now);
}

}  // namespace foxtailrudder
