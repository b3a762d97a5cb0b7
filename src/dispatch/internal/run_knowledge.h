#pragma once

#include "dispatch/entry_dispatcher.h"

namespace foxtailrudder {

/// What an entry knows of runs of a job under claims other than its present one. No answer says
/// that a job never runs if a task of it may have run, here or elsewhere.
class RunKnowledge {
 public:
  /// Another entry has the claim, or asks for it. Its answer tells how the job ends there.
  void OnHeldElsewhere() { m_is_held_elsewhere = true; }
  /// The other entry says that it works on the job.
  void OnProgressElsewhere() { m_has_progressed_elsewhere = true; }
  /// The other entry says that it does not have the job. It would have told the end of one that it
  /// worked on until then, so it has lost that one.
  void OnUnknownElsewhere() {
    m_may_have_run |= m_has_progressed_elsewhere;
    m_is_held_elsewhere = m_has_progressed_elsewhere = false;
  }
  /// This entry has got the claim, although the other one has not given it up.
  void OnClaimed() {
    m_may_have_run |= m_is_held_elsewhere;
    m_is_held_elsewhere = m_has_progressed_elsewhere = false;
  }
  /// A task has run, or may have.
  void OnRun() { m_may_have_run = true; }

  bool may_have_run() const { return m_may_have_run; }
  bool is_held_elsewhere() const { return m_is_held_elsewhere; }

  /// The answer that may be given: a refusal of a job that may have run becomes its abandonment.
  JobAnswered Truthful(JobAnswered answer) const {
    if (answer.end != JobEnd::kRefused || !m_may_have_run) return answer;
    return {answer.request, JobEnd::kGivenUp, ErrorKind::kDeadlineExceeded, std::nullopt};
  }

 private:
  bool m_may_have_run = false;
  bool m_is_held_elsewhere = false;
  bool m_has_progressed_elsewhere = false;
};

}  // namespace foxtailrudder
