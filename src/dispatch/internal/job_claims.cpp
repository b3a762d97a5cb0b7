#include "dispatch/internal/job_claims.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "dispatch/internal/milliseconds.h"
#include "dispatch/timing.h"

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

/// A grant of this age is established: its holder has asked the other witnesses, too, and is not in
/// a tie. Longer than a round trip to a witness that is busy.
constexpr milliseconds kEstablishedAge{50};

/// Claims repeated at once after a tie, until the others have released their grants.
constexpr std::uint32_t kMaxQuickRetries = 8;

/// A witness that has started recently usually decides within some tens of milliseconds, for which
/// a job waits this long at most before it asks less often.
constexpr milliseconds kUndecidedRetryPeriod{30};
constexpr milliseconds kUndecidedRetryTime{200};

/// A conflict is resolved without the witnesses that have not answered by then.
constexpr milliseconds kAnswerTimeout{20};

std::uint64_t RankOf(const JobName& job, NodeId entry) { return MixHash(NodeIdOf(job.id), entry); }

}  // namespace

SteadyTime JobClaims::NextSendTime(Now now) {
  m_last_sent_at = std::max(now.steady, m_last_sent_at + std::chrono::nanoseconds(1));
  return m_last_sent_at;
}

void JobClaims::Claim(const JobClaim& claim, Now now, ClaimOutputs& out) {
  const auto [found, is_new] = m_claims.try_emplace(claim.job);
  if (!is_new) return;
  Record& record = found->second;
  record.claim = claim;
  record.claimed_at = now.steady;
  Ask(record, false, now, out);
}

void JobClaims::Ask(Record& record, bool only_missing, Now now, ClaimOutputs& out) {
  record.next_ask_at = now.steady + (record.is_held ? kClaimRenewalPeriod : kClaimRetryPeriod);
  if (now.steady < m_ask_from) {
    record.next_ask_at = m_ask_from;
    return;
  }
  record.asked_at = now.steady;
  // Refusals of an earlier round are outdated.
  std::erase_if(record.votes, [](const auto& vote) {
    return vote.second.answer.status != ClaimStatus::kGranted;
  });
  record.claim.is_held = record.is_held;
  const SteadyTime sent_at = NextSendTime(now);
  std::set<NodeId> asked;
  for (const WitnessSet& set : m_witnesses.SetsFor(record.claim.job.id, now)) {
    for (const NodeId id : set.sidecars) {
      const auto witness = m_witnesses.Find(id);
      if (!witness || !asked.insert(id).second) continue;
      if (only_missing && record.votes.contains(id)) continue;
      record.asked[id] = *witness;
      out.messages.push_back({*witness, ClaimJobs{sent_at, {record.claim}}});
    }
  }
}

bool JobClaims::IsGranted(const Vote& vote, Now now) {
  return vote.answer.status == ClaimStatus::kGranted && now.steady < vote.asked_at + kClaimValidity;
}

void JobClaims::OnAnswers(NodeRef witness, const ClaimAnswers& answers, Now now,
                          ClaimOutputs& out) {
  // An incarnation that has been replaced has forgotten what it granted.
  const auto current = m_witnesses.Find(witness.id);
  if (current && *current != witness) return;
  for (const ClaimAnswer& answer : answers.answers) {
    const auto found = m_claims.find(answer.job);
    if (found == m_claims.end()) {
      // Given up in the meantime.
      if (answer.status == ClaimStatus::kGranted) {
        out.messages.push_back({witness, ReleaseClaim{answer.job, JobOutcome::kNone, false}});
      }
      continue;
    }
    Record& record = found->second;
    if (answers.echoed <= record.released_at) continue;
    Vote& vote = record.votes[witness.id];
    if (vote.witness == witness && answers.echoed < vote.asked_at) continue;
    const bool was_granted = vote.witness == witness && vote.answer.status == ClaimStatus::kGranted;
    const SteadyTime granted_at = was_granted ? vote.granted_at : now.steady;
    vote = {witness, answers.echoed, granted_at, answer};
    if (answer.may_have_run && !std::exchange(record.may_have_run, true)) {
      out.events.push_back({answer.job, ClaimEventKind::kMayHaveRun, {}, false, {}});
    }
    Evaluate(record, now, out);
  }
}

bool JobClaims::UpdateValidity(Record& record, Now now) const {
  const auto sets = m_witnesses.SetsFor(record.claim.job.id, now);
  if (sets.empty()) return false;
  SteadyTime valid_until = SteadyTime::max();
  for (const WitnessSet& set : sets) {
    std::vector<SteadyTime> granted;
    for (const NodeId id : set.sidecars) {
      const auto vote = record.votes.find(id);
      if (vote != record.votes.end() && IsGranted(vote->second, now)) {
        granted.push_back(vote->second.asked_at);
      }
    }
    if (granted.size() < set.majority()) return false;
    std::ranges::sort(granted, std::greater<>());
    valid_until = std::min(valid_until, granted[set.majority() - 1] + kClaimValidity);
  }
  record.valid_until = valid_until;
  return true;
}

void JobClaims::Evaluate(Record& record, Now now, ClaimOutputs& out) {
  if (!record.is_held && ReportEnded(record, out)) return;
  if (UpdateValidity(record, now)) {
    record.quick_retries = 0;
    m_earliest_expiry = std::min(m_earliest_expiry, record.valid_until);
    if (std::exchange(record.is_held, true)) return;
    record.next_ask_at = now.steady + kClaimRenewalPeriod;
    m_log.Record(DecisionClass::kRoutine, "claim_held", record.claim.job.id,
                 {{"waited_ms", Ms(now.steady - record.claimed_at).count()},
                  {"witnesses", static_cast<std::int64_t>(record.asked.size())}});
    out.events.push_back({record.claim.job, ClaimEventKind::kHeld, m_self, false, {}});
    return;
  }
  // A holder that lacks a renewal keeps its claim until it expires.
  if (!record.is_held && !CanStillWin(record, now)) ResolveConflict(record, now, out);
}

bool JobClaims::CanStillWin(const Record& record, Now now) const {
  const auto is_possible = [&](NodeId id) {
    const auto vote = record.votes.find(id);
    if (vote == record.votes.end()) return m_witnesses.Find(id).has_value();
    return vote->second.answer.status == ClaimStatus::kGranted;
  };
  return std::ranges::all_of(
      m_witnesses.SetsFor(record.claim.job.id, now), [&](const WitnessSet& set) {
        return static_cast<std::size_t>(std::ranges::count_if(set.sidecars, is_possible)) >=
               set.majority();
      });
}

std::optional<JobClaims::Claimant> JobClaims::MajorityHolder(const Record& record, Now now) const {
  for (const WitnessSet& set : m_witnesses.SetsFor(record.claim.job.id, now)) {
    std::map<NodeRef, std::size_t> holders;
    for (const NodeId id : set.sidecars) {
      const auto vote = record.votes.find(id);
      if (vote == record.votes.end() || vote->second.answer.status != ClaimStatus::kHeld) continue;
      const ClaimAnswer& answer = vote->second.answer;
      if (++holders[answer.holder] >= set.majority()) {
        return Claimant{answer.holder, true, 0, answer.is_other_job};
      }
    }
  }
  return std::nullopt;
}

bool JobClaims::ReportEnded(const Record& record, ClaimOutputs& out) {
  for (const auto& [id, vote] : record.votes) {
    if (vote.answer.status != ClaimStatus::kEnded) continue;
    out.events.push_back(
        {record.claim.job, ClaimEventKind::kEnded, {}, false, vote.answer.outcome});
    return true;
  }
  return false;
}

void JobClaims::ResolveConflict(Record& record, Now now, ClaimOutputs& out) {
  if (const auto holder = MajorityHolder(record, now)) {
    YieldTo(record, *holder, now, out);
    return;
  }
  const auto precedes = [](const Claimant& left, const Claimant& right) {
    return std::tuple(left.is_established, left.rank) >
           std::tuple(right.is_established, right.rank);
  };
  std::optional<Claimant> own;
  std::optional<Claimant> first;
  for (const auto& [id, vote] : record.votes) {
    const ClaimAnswer& answer = vote.answer;
    const bool is_own = answer.status == ClaimStatus::kGranted;
    if (!is_own && answer.status != ClaimStatus::kHeld) continue;
    const NodeRef entry = is_own ? m_self : answer.holder;
    const milliseconds age = is_own ? Ms(now.steady - vote.granted_at) : answer.held_for;
    const Claimant claimant{entry, age >= kEstablishedAge, RankOf(record.claim.job, entry.id),
                            answer.is_other_job};
    std::optional<Claimant>& best = is_own ? own : first;
    if (!best || precedes(claimant, *best)) best = claimant;
  }
  if (!first) return;
  if (!own || precedes(*first, *own)) {
    YieldTo(record, *first, now, out);
    return;
  }
  // The other entry releases its grants as soon as it knows, unless it holds the claim.
  if (++record.quick_retries <= kMaxQuickRetries) Ask(record, true, now, out);
  if (first->is_established) {
    out.events.push_back(
        {record.claim.job, ClaimEventKind::kContested, first->entry, first->is_other_job, {}});
  }
}

void JobClaims::YieldTo(Record& record, const Claimant& holder, Now now, ClaimOutputs& out) {
  SendRelease(record, JobOutcome::kNone, false, now, out);
  record.next_ask_at = now.steady + kClaimRetryPeriod;
  out.events.push_back(
      {record.claim.job, ClaimEventKind::kHeldElsewhere, holder.entry, holder.is_other_job, {}});
}

void JobClaims::Yield(const JobName& job, NodeRef holder, Now now, ClaimOutputs& out) {
  const auto found = m_claims.find(job);
  if (found == m_claims.end() || found->second.is_held || holder == m_self) return;
  SendRelease(found->second, JobOutcome::kNone, false, now, out);
  found->second.next_ask_at = now.steady + kClaimRetryPeriod;
}

/// Also to witnesses that have not answered: they may have granted the claim.
void JobClaims::SendRelease(Record& record, JobOutcome outcome, bool may_have_run, Now now,
                            ClaimOutputs& out) {
  for (const auto& [id, witness] : record.asked) {
    out.messages.push_back({witness, ReleaseClaim{record.claim.job, outcome, may_have_run}});
  }
  record.asked.clear();
  record.votes.clear();
  record.quick_retries = 0;
  record.released_at = NextSendTime(now);
}

void JobClaims::Release(const JobName& job, JobOutcome outcome, bool may_have_run, Now now,
                        ClaimOutputs& out) {
  const auto found = m_claims.find(job);
  if (found == m_claims.end()) return;
  SendRelease(found->second, outcome, may_have_run, now, out);
  m_claims.erase(found);
}

void JobClaims::RetrySoon(const JobName& job, Now now) {
  const auto found = m_claims.find(job);
  if (found != m_claims.end() && !found->second.is_held) found->second.next_ask_at = now.steady;
}

void JobClaims::Disown(const JobName& job, Now now, ClaimOutputs& out) const {
  if (m_claims.contains(job)) return;
  for (const WitnessSet& set : m_witnesses.SetsFor(job.id, now)) {
    for (const NodeId id : set.sidecars) {
      if (const auto witness = m_witnesses.Find(id)) {
        out.messages.push_back({*witness, ReleaseClaim{job, JobOutcome::kNone, false}});
      }
    }
  }
}

void JobClaims::RenewAt(NodeRef witness, Now now, ClaimOutputs& out) {
  ClaimJobs renewal;
  for (auto& [job, record] : m_claims) {
    const auto asked = record.asked.find(witness.id);
    if (asked == record.asked.end()) continue;
    const auto vote = record.votes.find(witness.id);
    if (vote != record.votes.end()) {
      if (vote->second.witness == witness) continue;
      const bool was_granted = vote->second.answer.status == ClaimStatus::kGranted;
      record.votes.erase(vote);
      if (!was_granted) continue;
    } else if (!record.is_held) {
      continue;
    }
    asked->second = witness;
    record.claim.is_held = record.is_held;
    renewal.claims.push_back(record.claim);
  }
  if (renewal.claims.empty()) return;
  renewal.sent_at = NextSendTime(now);
  out.messages.push_back({witness, std::move(renewal)});
}

void JobClaims::SetAskFrom(SteadyTime from, Now now) {
  if (from == m_ask_from) return;
  m_ask_from = from;
  for (auto& [job, record] : m_claims) {
    if (!record.is_held) record.next_ask_at = std::max(now.steady, from);
  }
}

void JobClaims::ExpireClaims(Now now, ClaimOutputs& out) {
  if (now.steady < m_earliest_expiry) return;
  m_earliest_expiry = SteadyTime::max();
  for (auto& [job, record] : m_claims) {
    if (!record.is_held) continue;
    if (now.steady < record.valid_until) {
      m_earliest_expiry = std::min(m_earliest_expiry, record.valid_until);
      continue;
    }
    record.is_held = false;
    record.claimed_at = now.steady;
    record.next_ask_at = now.steady;
    m_log.Record(DecisionClass::kAnomaly, "claim_lapsed", job.id,
                 {{"late_ms", Ms(now.steady - record.valid_until).count()}});
    out.events.push_back({job, ClaimEventKind::kLapsed, m_self, false, {}});
  }
}

void JobClaims::Tick(Now now, ClaimOutputs& out) {
  ExpireClaims(now, out);
  for (auto& [job, record] : m_claims) {
    if (now.steady >= record.next_ask_at) {
      Ask(record, false, now, out);
    } else if (!record.is_held && IsUndecided(record) &&
               now.steady - record.asked_at >= kUndecidedRetryPeriod &&
               now.steady - record.claimed_at < kUndecidedRetryTime) {
      Ask(record, true, now, out);
    } else if (!record.is_held && !record.votes.empty() &&
               now.steady - record.asked_at >= kAnswerTimeout) {
      ResolveConflict(record, now, out);
    }
  }
}

bool JobClaims::IsUndecided(const Record& record) {
  return std::ranges::any_of(record.votes, [](const auto& vote) {
    return vote.second.answer.status == ClaimStatus::kUndecided;
  });
}

bool JobClaims::IsHeld(const JobName& job) const {
  const auto found = m_claims.find(job);
  return found != m_claims.end() && found->second.is_held;
}

}  // namespace foxtailrudder
