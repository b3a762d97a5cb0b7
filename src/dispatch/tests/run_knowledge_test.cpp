#include "dispatch/internal/run_knowledge.h"

#include <boost/test/unit_test.hpp>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::chrono::milliseconds kRetry{700};
const JobAnswered kRefusal{1, JobEnd::kRefused, ErrorKind::kNoCapacity, kRetry};

JobEnd EndOfRefusal(const RunKnowledge& runs) { return runs.Truthful(kRefusal).end; }

}  // namespace

BOOST_AUTO_TEST_SUITE(run_knowledge)

// Guards against "not run" for a job that may have run, and against a time for the return of a
// caller whose job was given up.
BOOST_AUTO_TEST_CASE(a_refusal_of_a_job_that_may_have_run_is_given_up) {
  RunKnowledge runs;
  BOOST_TEST((EndOfRefusal(runs) == JobEnd::kRefused));
  BOOST_TEST((runs.Truthful(kRefusal).retry_after == kRetry));
  runs.OnRun();
  BOOST_TEST((EndOfRefusal(runs) == JobEnd::kGivenUp));
  BOOST_TEST(!runs.Truthful(kRefusal).retry_after.has_value());
  const JobAnswered completed{1, JobEnd::kCompleted, ErrorKind::kInternal, std::nullopt};
  BOOST_TEST((runs.Truthful(completed).end == JobEnd::kCompleted));
}

// Guards against a refusal after the entry that had the claim was lost without telling the end.
BOOST_AUTO_TEST_CASE(a_job_whose_holder_was_lost_may_have_run) {
  RunKnowledge lost;
  lost.OnHeldElsewhere();
  BOOST_TEST(lost.is_held_elsewhere());
  lost.OnClaimed();
  BOOST_TEST(!lost.is_held_elsewhere());
  BOOST_TEST((EndOfRefusal(lost) == JobEnd::kGivenUp));

  RunKnowledge interrupted;
  interrupted.OnHeldElsewhere();
  interrupted.OnProgressElsewhere();
  interrupted.OnUnknownElsewhere();
  BOOST_TEST((EndOfRefusal(interrupted) == JobEnd::kGivenUp));
}

// Guards against a true refusal that is withheld: the other entry only asked for the claim.
BOOST_AUTO_TEST_CASE(a_job_that_no_other_entry_worked_on_has_not_run) {
  RunKnowledge runs;
  runs.OnHeldElsewhere();
  BOOST_TEST((EndOfRefusal(runs) == JobEnd::kRefused));
  runs.OnUnknownElsewhere();
  runs.OnClaimed();
  BOOST_TEST((EndOfRefusal(runs) == JobEnd::kRefused));
}

BOOST_AUTO_TEST_SUITE_END()
