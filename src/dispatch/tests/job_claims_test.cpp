#include "dispatch/internal/job_claims.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "dispatch/claim_witness.h"
#include "dispatch/tests/recording_log.h"
#include "dispatch/timing.h"
#include "dispatch/witness_view.h"

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr NodeRef kEntry{1, 10};
constexpr NodeRef kOther{2, 10};
const JobClaim kClaim{{"show.example/q/", "job"}, "show", false};

Now At(milliseconds time) {
  const SteadyTime steady = SteadyTime(std::chrono::seconds(100)) + time;
  return {steady, WallTime(steady.time_since_epoch())};
}

NodeRef Sidecar(NodeId index) { return {100 + index, 1}; }

/// Sidecars 1 to `count`, each in a zone of its own unless there are more than three.
void HearSidecars(WitnessView& view, NodeId count, milliseconds time) {
  for (NodeId i = 1; i <= count; ++i) {
    view.OnSidecarHeard(Sidecar(i), "z" + std::to_string(i % 3), At(time));
  }
}

ClaimStatus StatusOf(const ClaimAnswers& answers) { return answers.answers.front().status; }

void TickUntil(ClaimWitness& witness, milliseconds from, milliseconds until) {
  for (milliseconds time = from; time <= until; time += milliseconds(20)) witness.Tick(At(time));
}

/// A witness that has started so long before time 0 that it knows all claims.
ClaimWitness WitnessThatKnowsAllClaims() {
  ClaimWitness witness;
  TickUntil(witness, -kForgottenClaimLease, milliseconds(0));
  return witness;
}

EntryReport ReportOfClaimants(const std::vector<NodeRef>& claimants, ClaimantKnowledge knowledge) {
  EntryReport report;
  for (const NodeRef entry : claimants) report.claimants_digest ^= EntryDigest(entry);
  report.claimant_knowledge = knowledge;
  return report;
}

/// Three witnesses, and an entry that has claimed a job there.
struct Fixture {
  RecordingLog log;
  WitnessView view;
  JobClaims claims{kEntry, view, log};
  ClaimOutputs out;

  Fixture() {
    HearSidecars(view, 3, milliseconds(0));
    view.OnPeerList(kOther.id, {{101, "z1"}, {102, "z2"}, {103, "z0"}}, 1, true);
    view.Tick(At(milliseconds(1)));
    claims.Claim(kClaim, At(milliseconds(10)), out);
  }

  void Answer(NodeId sidecar, ClaimStatus status, milliseconds time,
              milliseconds held_for = milliseconds(0)) {
    ClaimAnswer answer{kClaim.job, status, kOther, false, held_for, JobOutcome::kNone, false};
    claims.OnAnswers(Sidecar(sidecar), {At(time).steady, {answer}}, At(time), out);
  }

  std::size_t CountEvents(ClaimEventKind kind) const {
    return static_cast<std::size_t>(std::ranges::count(out.events, kind, &ClaimEvent::kind));
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(claim_witness)

// Guards against a second holder after the witness itself was suspended: the first one has renewed
// its claim at the others meanwhile.
BOOST_AUTO_TEST_CASE(a_grant_outlives_a_suspension_of_its_witness) {
  ClaimWitness witness = WitnessThatKnowsAllClaims();
  witness.OnClaims(kEntry, {{}, {kClaim}}, At(milliseconds(0)));
  const milliseconds woken = 2 * kClaimLease;
  BOOST_TEST((StatusOf(witness.OnClaims(kOther, {{}, {kClaim}}, At(woken))) == ClaimStatus::kHeld));
  TickUntil(witness, woken, woken + kClaimLease - milliseconds(20));
  BOOST_TEST((StatusOf(witness.OnClaims(kOther, {{}, {kClaim}}, At(woken + kClaimLease))) ==
              ClaimStatus::kGranted));
}

// Guards against a witness that votes before it knows the claims that its former incarnation
// granted: it has heard every entry that an entry which was there before has heard.
BOOST_AUTO_TEST_CASE(a_witness_that_has_started_votes_when_it_has_heard_all_claimants) {
  ClaimWitness witness;
  const ClaimJobs claims{{}, {kClaim}};
  const EntryReport report = ReportOfClaimants({kEntry, kOther}, ClaimantKnowledge::kComplete);
  witness.Tick(At(milliseconds(0)));
  witness.OnEntryReport(kOther, report, At(milliseconds(10)));
  BOOST_TEST((StatusOf(witness.OnClaims(kOther, claims, At(milliseconds(20)))) ==
              ClaimStatus::kUndecided));
  JobClaim held = kClaim;
  held.is_held = true;
  BOOST_TEST((StatusOf(witness.OnClaims(kEntry, {{}, {held}}, At(milliseconds(40)))) ==
              ClaimStatus::kGranted));
  witness.OnEntryReport(kEntry, report, At(milliseconds(40)));
  BOOST_TEST(
      (StatusOf(witness.OnClaims(kOther, claims, At(milliseconds(60)))) == ClaimStatus::kHeld));
  const JobClaim other{{"show.example/q/", "other"}, "show", false};
  BOOST_TEST((StatusOf(witness.OnClaims(kOther, {{}, {other}}, At(milliseconds(60)))) ==
              ClaimStatus::kGranted));
}

// Guards against a vote on a claim whose holder was lost while the witness was restarted: the
// entries that are left have stopped to hear it, or have replaced it by a later incarnation.
BOOST_AUTO_TEST_CASE(a_witness_that_has_started_waits_for_an_entry_that_it_has_not_heard) {
  constexpr NodeRef kLost{kEntry.id, kEntry.incarnation - 1};
  for (const bool is_replaced : {false, true}) {
    ClaimWitness witness;
    witness.Tick(At(milliseconds(0)));
    for (milliseconds time{20}; time < kForgottenClaimLease; time += milliseconds(100)) {
      const EntryReport report =
          ReportOfClaimants({kLost, kEntry, kOther}, ClaimantKnowledge::kComplete);
      witness.OnEntryReport(kOther, report, At(time));
      if (is_replaced) witness.OnEntryReport(kEntry, report, At(time));
      BOOST_TEST((StatusOf(witness.OnClaims(kOther, {{}, {kClaim}}, At(time))) ==
                  ClaimStatus::kUndecided));
    }
    BOOST_TEST((StatusOf(witness.OnClaims(kOther, {{}, {kClaim}}, At(kForgottenClaimLease))) ==
                ClaimStatus::kGranted));
  }
}

// Guards against a suspension that counts as time in which holders could renew their claims.
BOOST_AUTO_TEST_CASE(a_witness_that_was_suspended_after_its_start_waits_longer) {
  ClaimWitness witness;
  TickUntil(witness, milliseconds(0), milliseconds(100));
  const milliseconds woken = milliseconds(100) + 2 * kForgottenClaimLease;
  BOOST_TEST(
      (StatusOf(witness.OnClaims(kOther, {{}, {kClaim}}, At(woken))) == ClaimStatus::kUndecided));
  TickUntil(witness, woken, woken + kForgottenClaimLease);
  BOOST_TEST(
      (StatusOf(witness.OnClaims(kOther, {{}, {kClaim}}, At(woken + kForgottenClaimLease))) ==
       ClaimStatus::kGranted));
}

// Guards against votes on the word of entries that have started too while an older one is left,
// which was suspended, and against one that starts later and keeps all others waiting.
BOOST_AUTO_TEST_CASE(a_witness_votes_early_only_after_a_total_loss) {
  for (const bool third_is_older : {true, false}) {
    constexpr NodeRef kThird{3, 10};
    const std::vector<NodeRef> all{kEntry, kOther, kThird};
    ClaimWitness witness;
    witness.Tick(At(milliseconds(0)));
    EntryReport report = ReportOfClaimants(all, ClaimantKnowledge::kAllStarted);
    report.started_recently = true;
    witness.OnEntryReport(kEntry, report, At(milliseconds(20)));
    witness.OnEntryReport(kOther, report, At(milliseconds(20)));
    BOOST_TEST((witness.vote_basis(At(milliseconds(20))) == VoteBasis::kNone));
    report.claimant_knowledge = ClaimantKnowledge::kNone;
    report.started_recently = !third_is_older;
    witness.OnEntryReport(kThird, report, At(milliseconds(40)));
    BOOST_TEST((witness.vote_basis(At(milliseconds(40))) ==
                (third_is_older ? VoteBasis::kNone : VoteBasis::kAllStarted)));
  }
}

// Guards against an entry that takes a job for one that has not run, because the claim under which
// it ran was not released, or was released without an outcome.
BOOST_AUTO_TEST_CASE(a_witness_tells_that_a_job_may_have_run_under_an_earlier_claim) {
  const auto answer_after = [](const auto& act, milliseconds time) {
    ClaimWitness witness = WitnessThatKnowsAllClaims();
    witness.OnClaims(kEntry, {{}, {kClaim}}, At(milliseconds(0)));
    act(witness);
    TickUntil(witness, milliseconds(0), time);
    return witness.OnClaims(kOther, {{}, {kClaim}}, At(time)).answers.front();
  };
  const auto release = [](bool may_have_run) {
    return [may_have_run](ClaimWitness& witness) {
      witness.OnRelease(kEntry, {kClaim.job, JobOutcome::kNone, may_have_run}, At({}));
    };
  };
  const auto lapse = [](ClaimWitness& /*witness*/) {};
  for (const milliseconds time : {kClaimLease, kClaimLease + milliseconds(9'000)}) {
    BOOST_TEST((answer_after(lapse, time).status == ClaimStatus::kGranted));
    BOOST_TEST(answer_after(lapse, time).may_have_run);
  }
  BOOST_TEST(!answer_after(lapse, milliseconds(13'000)).may_have_run);
  BOOST_TEST(answer_after(release(true), milliseconds(20)).may_have_run);
  BOOST_TEST(!answer_after(release(false), milliseconds(20)).may_have_run);
  BOOST_TEST((answer_after(release(false), milliseconds(20)).status == ClaimStatus::kGranted));
}

// Guards against lapsed claims of a flood that take memory without bound, and against a job that is
// said not to have run because it was left out.
BOOST_AUTO_TEST_CASE(a_witness_that_cannot_remember_all_runs_says_so) {
  ClaimWitness witness = WitnessThatKnowsAllClaims();
  const auto release = [&witness](int index) {
    const JobName job{"show.example/q/", std::to_string(index)};
    witness.OnRelease(kEntry, {job, JobOutcome::kNone, true}, At(milliseconds(0)));
  };
  const auto may_have_run = [&witness](milliseconds time) {
    TickUntil(witness, milliseconds(0), time);
    return witness.OnClaims(kOther, {{}, {kClaim}}, At(time)).answers.front().may_have_run;
  };
  for (int i = 0; i < 16'384; ++i) release(i);
  BOOST_TEST(!may_have_run(milliseconds(20)));
  release(16'384);
  BOOST_TEST(witness.former_runs() == 16'384U);
  BOOST_TEST(may_have_run(milliseconds(40)));
  BOOST_TEST(!may_have_run(milliseconds(13'000)));
  BOOST_TEST(witness.former_runs() == 0U);
}

// Guards against memory that grows with a flood of unknown jobs, and against what it leaves.
BOOST_AUTO_TEST_CASE(the_memory_of_a_witness_is_bounded) {
  ClaimWitness witness = WitnessThatKnowsAllClaims();
  ClaimAnswers last;
  for (int i = 0; i < 20'000; ++i) {
    const JobClaim claim{{"show.example/q/", std::to_string(i)}, "show", false};
    last = witness.OnClaims(kEntry, {{}, {claim}}, At(milliseconds(0)));
  }
  BOOST_TEST((StatusOf(last) == ClaimStatus::kUndecided));
  BOOST_TEST(witness.size() == 16'384U);
  BOOST_TEST(witness.counters().undecided_full == 20'000U - 16'384U);
  TickUntil(witness, milliseconds(0), kClaimLease + milliseconds(600));
  BOOST_TEST(witness.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(witness_view)

// Guards against witnesses that are chosen from a part of the deployment after a start.
BOOST_AUTO_TEST_CASE(an_entry_chooses_witnesses_when_it_knows_the_deployment) {
  WitnessView alone;
  HearSidecars(alone, 4, milliseconds(0));
  alone.Tick(At(milliseconds(20)));
  BOOST_TEST(!alone.is_settled());
  BOOST_TEST(alone.SetsFor("job", At(milliseconds(20))).empty());
  for (milliseconds time{40}; time <= milliseconds(400); time += milliseconds(20)) {
    alone.Tick(At(time));
  }
  BOOST_TEST(alone.is_settled());

  WitnessView told;
  HearSidecars(told, 1, milliseconds(0));
  told.OnPeerList(kOther.id, {{101, "z1"}, {102, "z2"}, {103, "z0"}, {104, "z1"}}, 1, true);
  told.Tick(At(milliseconds(20)));
  BOOST_TEST(told.is_settled());
  BOOST_TEST(
      (told.SetsFor("job", At(milliseconds(20))) == alone.SetsFor("job", At(milliseconds(400)))));
}

// Guards against two majorities without a common witness while the entries learn of a change, and
// against witnesses that a lost zone takes away together.
BOOST_AUTO_TEST_CASE(former_witnesses_count_for_some_time_after_a_change) {
  WitnessView view;
  HearSidecars(view, 6, milliseconds(0));
  view.OnPeerList(kOther.id, {{101, "z1"}}, 1, true);
  view.Tick(At(milliseconds(20)));
  const milliseconds changed(200);
  HearSidecars(view, 12, changed);
  view.Tick(At(changed));
  std::size_t moved = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string job = std::to_string(i);
    const auto sets = view.SetsFor(job, At(changed));
    moved += sets.size() == 2 ? 1 : 0;
    std::set<NodeId> zones;
    for (const NodeId sidecar : sets.front().sidecars) zones.insert(sidecar % 3);
    BOOST_TEST(zones.size() == 3U);
    BOOST_TEST(view.SetsFor(job, At(changed + milliseconds(2'500))).size() == 1U);
  }
  BOOST_TEST(moved > 30U);
  BOOST_TEST(moved < 100U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(job_claims, Fixture)

// Guards against a claim that is relied on although it could not be renewed.
BOOST_AUTO_TEST_CASE(a_claim_that_is_not_renewed_lapses_before_its_lease) {
  Answer(1, ClaimStatus::kGranted, milliseconds(10));
  BOOST_TEST(CountEvents(ClaimEventKind::kHeld) == 0U);
  Answer(2, ClaimStatus::kGranted, milliseconds(10));
  BOOST_TEST(CountEvents(ClaimEventKind::kHeld) == 1U);
  claims.ExpireClaims(At(milliseconds(9) + kClaimValidity), out);
  BOOST_TEST(claims.IsHeld(kClaim.job));
  claims.ExpireClaims(At(milliseconds(10) + kClaimValidity), out);
  BOOST_TEST(CountEvents(ClaimEventKind::kLapsed) == 1U);
}

// Guards against a vote of a sidecar that has been restarted since, which has forgotten it.
BOOST_AUTO_TEST_CASE(an_answer_of_an_earlier_incarnation_is_no_vote) {
  Answer(1, ClaimStatus::kGranted, milliseconds(10));
  view.OnSidecarHeard({Sidecar(2).id, Sidecar(2).incarnation + 1}, "z2", At(milliseconds(12)));
  Answer(2, ClaimStatus::kGranted, milliseconds(14));
  BOOST_TEST(CountEvents(ClaimEventKind::kHeld) == 0U);
}

// Guards against a renewal that is lost with its connection: the witness counts the entry as heard
// with the next report.
BOOST_AUTO_TEST_CASE(a_claim_is_renewed_at_a_restarted_witness_until_it_answers) {
  Answer(1, ClaimStatus::kGranted, milliseconds(10));
  Answer(2, ClaimStatus::kGranted, milliseconds(10));
  BOOST_TEST_REQUIRE(claims.IsHeld(kClaim.job));
  const NodeRef restarted{Sidecar(2).id, Sidecar(2).incarnation + 1};
  view.OnSidecarHeard(restarted, "z2", At(milliseconds(20)));
  for (const int time_ms : {20, 120}) {
    out = {};
    claims.RenewAt(restarted, At(milliseconds(time_ms)), out);
    BOOST_TEST(out.messages.size() == 1U);
  }
  const ClaimAnswer answer{kClaim.job, ClaimStatus::kGranted, {},   false,
                           {},         JobOutcome::kNone,     false};
  claims.OnAnswers(restarted, {At(milliseconds(130)).steady, {answer}}, At(milliseconds(130)), out);
  out = {};
  claims.RenewAt(restarted, At(milliseconds(140)), out);
  BOOST_TEST(out.messages.empty());
}

// Guards against two entries that each hold one of two votes and wait for each other.
BOOST_AUTO_TEST_CASE(an_established_holder_is_asked_when_the_votes_are_split) {
  Answer(1, ClaimStatus::kGranted, milliseconds(10));
  Answer(2, ClaimStatus::kHeld, milliseconds(10), milliseconds(200));
  claims.Tick(At(milliseconds(80)), out);
  BOOST_TEST(
      CountEvents(ClaimEventKind::kContested) + CountEvents(ClaimEventKind::kHeldElsewhere) == 1U);
  claims.Yield(kClaim.job, kOther, At(milliseconds(90)), out);
  BOOST_TEST(std::ranges::any_of(out.messages, [](const SendMessage& message) {
    return message.to == Sidecar(3) && std::holds_alternative<ReleaseClaim>(message.message);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
