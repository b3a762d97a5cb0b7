#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "dispatch/witness_view.h"
#include "model/decision_log.h"
#include "model/messages.h"
#include "model/outputs.h"

namespace foxtailrudder {

enum class ClaimEventKind : std::uint8_t {
  /// This entry holds the claim.
  kHeld,
  /// The claim is no longer valid here; it is asked for again.
  kLapsed,
  /// Another entry holds the claim. Repeated while it does.
  kHeldElsewhere,
  /// Another entry has a grant and may hold the claim; only it can tell.
  kContested,
  /// A task may have run under an earlier claim. Reported before this entry holds the claim.
  kMayHaveRun,
  /// The job has ended a short time ago.
  kEnded,
};

struct ClaimEvent {
  JobName job;
  ClaimEventKind kind = ClaimEventKind::kHeld;
  NodeRef holder;
  /// The holder runs another job with the same ID.
  bool is_other_job = false;
  JobOutcome outcome = JobOutcome::kNone;
};

struct ClaimOutputs {
  std::vector<SendMessage> messages;
  std::vector<ClaimEvent> events;
};

/// The claims of one entry: asks the witnesses of each job until a majority has granted the claim,
/// renews it, and yields to another entry that has a better right to it.
class JobClaims {
 public:
  JobClaims(NodeRef self, const WitnessView& witnesses, DecisionLog& log)
      : m_self(self), m_witnesses(witnesses), m_log(log) {}

  /// Starts to ask for the claim to a job.
  void Claim(const JobClaim& claim, Now now, ClaimOutputs& out);
  /// Gives the claim up, or stops asking for it. No run of the job may be left. With an outcome,
  /// the witnesses answer later requests for the job with it; without one, they tell later
  /// claimants that the job may have run, if it may.
  void Release(const JobName& job, JobOutcome outcome, bool may_have_run, Now now,
               ClaimOutputs& out);
  /// Releases the grants, because `holder` has said that it holds the claim.
  void Yield(const JobName& job, NodeRef holder, Now now, ClaimOutputs& out);
  /// Asks again soon, because the holder does not know the job.
  void RetrySoon(const JobName& job, Now now);
  /// Tells the witnesses of a job that is not claimed here that this entry has no grant for it.
  void Disown(const JobName& job, Now now, ClaimOutputs& out) const;

  void OnAnswers(NodeRef witness, const ClaimAnswers& answers, Now now, ClaimOutputs& out);
  /// Renews at a sidecar that has started recently the grants that its earlier incarnation has
  /// forgotten, unless it has answered. Called with each of its reports, before the reply: the
  /// sidecar votes when it has heard the holders.
  void RenewAt(NodeRef witness, Now now, ClaimOutputs& out);

  /// Asks for no claim before this time.
  void SetAskFrom(SteadyTime from, Now now);
  SteadyTime ask_from() const { return m_ask_from; }

  /// Reports claims that are no longer valid. Has to be called before any other input is handled,
  /// because this process may have been suspended.
  void ExpireClaims(Now now, ClaimOutputs& out);
  void Tick(Now now, ClaimOutputs& out);

  bool IsHeld(const JobName& job) const;
  std::size_t size() const { return m_claims.size(); }

 private:
  struct Vote {
    NodeRef witness;
    SteadyTime asked_at;
    /// Of the grant to this entry.
    SteadyTime granted_at;
    ClaimAnswer answer;
  };
  struct Record {
    JobClaim claim;
    bool is_held = false;
    /// A witness has told that a task may have run under an earlier claim.
    bool may_have_run = false;
    SteadyTime claimed_at;
    /// Answers to claims sent up to then are outdated.
    SteadyTime released_at;
    SteadyTime valid_until;
    SteadyTime next_ask_at;
    SteadyTime asked_at;
    std::uint32_t quick_retries = 0;
    std::map<NodeId, NodeRef> asked;
    std::map<NodeId, Vote> votes;
  };

  /// A claimant in a tie: the entry with the older grant and then the higher rank takes precedence.
  struct Claimant {
    NodeRef entry;
    bool is_established = false;
    std::uint64_t rank = 0;
    bool is_other_job = false;
  };

  /// A time for ClaimJobs::sent_at, later than the last one.
  SteadyTime NextSendTime(Now now);
  void Ask(Record& record, bool only_missing, Now now, ClaimOutputs& out);
  void Evaluate(Record& record, Now now, ClaimOutputs& out);
  /// Reports the outcome of a job that has ended, if a witness has told it.
  static bool ReportEnded(const Record& record, ClaimOutputs& out);
  bool UpdateValidity(Record& record, Now now) const;
  /// Whether the missing answers may still bring a majority.
  bool CanStillWin(const Record& record, Now now) const;
  /// The entry that a majority of a set has named as the holder, if any.
  std::optional<Claimant> MajorityHolder(const Record& record, Now now) const;
  static bool IsUndecided(const Record& record);
  void ResolveConflict(Record& record, Now now, ClaimOutputs& out);
  void YieldTo(Record& record, const Claimant& holder, Now now, ClaimOutputs& out);
  void SendRelease(Record& record, JobOutcome outcome, bool may_have_run, Now now,
                   ClaimOutputs& out);
  static bool IsGranted(const Vote& vote, Now now);

  const NodeRef m_self;
  const WitnessView& m_witnesses;
  DecisionLog& m_log;
  std::map<JobName, Record> m_claims;
  SteadyTime m_last_sent_at;
  SteadyTime m_ask_from;
  /// No held claim expires before.
  SteadyTime m_earliest_expiry = SteadyTime::max();
};

}  // namespace foxtailrudder
