#include "node/tests/checkers.h"

#include <algorithm>
#include <optional>
#include <set>

#include "membership/timing.h"

namespace foxtailrudder::testing {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

class Checker {
 public:
  explicit Checker(const History& history) : m_history(history) {
    for (const SubmittedEvent& event : history.submitted) m_jobs[event.request] = &event;
    for (const AnsweredEvent& event : history.answered) m_answers[event.request].push_back(&event);
    for (const StartedEvent& event : history.started) m_starts[event.task.job].push_back(&event);
  }

  std::vector<Violation> Run() {
    CheckStartsOnce();
    CheckSameAnswer();
    CheckZones();
    CheckOwnAnswer();
    CheckNotRun();
    CheckLeaving();
    CheckPlannedStops();
    CheckBundles();
    CheckLiveness();
    return std::move(m_violations);
  }

 private:
  void Report(int invariant, std::string detail) {
    m_violations.push_back({invariant, std::move(detail)});
  }

  std::string Time(SteadyTime at) const {
    return std::to_string(duration_cast<milliseconds>(at.time_since_epoch()).count()) + " ms";
  }

  static std::string Name(const JobKey& key) { return key.team + "/" + key.idempotency_key; }

  // Invariant 1 (idempotent jobs) and 6 (non-idempotent jobs): no task starts twice.
  void CheckStartsOnce() {
    std::map<TaskRef, const StartedEvent*> first;
    for (const StartedEvent& start : m_history.started) {
      const auto [found, inserted] = first.emplace(start.task, &start);
      if (inserted) continue;
      Report(IsIdempotent(start.task.job) ? 1 : 6,
             Name(start.task.job) + " task " + std::to_string(start.task.index) + " started at " +
                 Time(found->second->at) + " and at " + Time(start.at));
    }
  }

  bool IsIdempotent(const JobKey& key) const {
    for (const SubmittedEvent& event : m_history.submitted) {
      if (event.job.key == key) return event.job.idempotent;
    }
    return true;
  }

  // Invariant 2: all answers for a key agree. outcome_unknown makes no statement about the job, so
  // it contradicts no other answer.
  void CheckSameAnswer() {
    std::map<JobKey, const AnsweredEvent*> complete;
    std::map<JobKey, const AnsweredEvent*> failed;
    for (const AnsweredEvent& event : m_history.answered) {
      const JobSpec& job = m_jobs.at(event.request)->job;
      if (const auto* results = std::get_if<JobComplete>(&event.answer)) {
        const auto [found, inserted] = complete.emplace(job.key, &event);
        if (!inserted && found->second->answer != event.answer) {
          Report(2, Name(job.key) + " has two different complete answers");
        }
        if (results->results.size() != job.tasks.size()) {
          Report(2, Name(job.key) + " has a partial answer");
        }
        continue;
      }
      const ErrorAnswer& row = ErrorAnswerOf(std::get<Error>(event.answer).kind);
      if (!row.not_run && row.kind != ErrorKind::kOutcomeUnknown) failed.emplace(job.key, &event);
    }
    for (const auto& [key, event] : failed) {
      if (complete.count(key) > 0) Report(2, Name(key) + " was answered both complete and failed");
    }
  }

  // Invariant 3: no task starts in a zone later than kInForceLimit after the zone was taken out.
  void CheckZones() {
    for (const StartedEvent& start : m_history.started) {
      bool out = false;
      SteadyTime out_since{};
      for (const ZoneStateEvent& event : m_history.zones) {
        if (event.zone != start.zone || event.at > start.at) continue;
        if (event.state == ZoneState::kIn) {
          out = false;
        } else if (!out) {
          out = true;
          out_since = event.at;
        }
      }
      if (out && start.at - out_since > kInForceLimit) {
        Report(3, Name(start.task.job) + " started in " + start.zone + " at " + Time(start.at) +
                      ", taken out at " + Time(out_since));
      }
    }
  }

  // Invariant 4: every result carries the task id and payload of the request's own job, and each
  // request is answered at most once.
  void CheckOwnAnswer() {
    for (const AnsweredEvent& event : m_history.answered) {
      const auto* complete = std::get_if<JobComplete>(&event.answer);
      if (complete == nullptr) continue;
      const JobSpec& job = m_jobs.at(event.request)->job;
      for (std::size_t i = 0; i < complete->results.size() && i < job.tasks.size(); ++i) {
        const TaskResult& result = complete->results[i];
        if (result.task_id == job.tasks[i].id && result.body == job.tasks[i].payload) continue;
        Report(4, Name(job.key) + " got another task's result at position " + std::to_string(i));
      }
    }
    for (const auto& [request, events] : m_answers) {
      if (events.size() > 1)
        Report(4, "request " + std::to_string(request) + " was answered twice");
    }
  }

  // Invariant 5: if every request for a key was refused as not run, none of its tasks has started.
  void CheckNotRun() {
    std::map<JobKey, bool> all_refused;
    for (const auto& [request, event] : m_jobs) {
      const auto answers = m_answers.find(request);
      const bool refused =
          answers != m_answers.end() &&
          std::holds_alternative<Error>(answers->second.front()->answer) &&
          ErrorAnswerOf(std::get<Error>(answers->second.front()->answer).kind).not_run;
      const auto [found, inserted] = all_refused.emplace(event->job.key, refused);
      if (!inserted) found->second = found->second && refused;
    }
    for (const auto& [key, refused] : all_refused) {
      if (refused && m_starts.count(key) > 0)
        Report(5, Name(key) + " was refused as not run, but ran");
    }
  }

  // Invariant 7: no task starts on an endpoint later than kInForceLimit after it asked to leave.
  void CheckLeaving() {
    for (const LeavingEvent& leaving : m_history.leaving) {
      for (const StartedEvent& start : m_history.started) {
        if (start.sidecar.id != leaving.sidecar || start.at - leaving.at <= kInForceLimit) continue;
        Report(7, Name(start.task.job) + " started on a leaving endpoint at " + Time(start.at));
      }
    }
  }

  // Invariant 8: planned stops alone lose no outcome.
  void CheckPlannedStops() {
    if (!m_history.planned_stops_only) return;
    for (const AnsweredEvent& event : m_history.answered) {
      const auto* error = std::get_if<Error>(&event.answer);
      if (error == nullptr || ErrorAnswerOf(error->kind).not_run) continue;
      Report(8, Name(m_jobs.at(event.request)->job.key) +
                    " was cut off: " + std::string(ErrorAnswerOf(error->kind).name));
    }
  }

  // Invariant 9: no process reverts to an older bundle, and every process that is reachable or acts
  // uses a new bundle within kInForceLimit.
  void CheckBundles() {
    std::map<NodeRef, Version> newest;
    for (const BundleSample& sample : m_history.bundle_samples) {
      Version& seen = newest[sample.node];
      if (sample.bundle_version < seen) Report(9, "a process went back to an older bundle");
      seen = std::max(seen, sample.bundle_version);
      // A process that was unreachable and does not act may lag.
      if (!sample.reachable && !sample.acting) continue;
      for (const BundleEvent& bundle : m_history.bundles) {
        if (sample.at - bundle.at <= kInForceLimit ||
            sample.bundle_version >= bundle.bundle_version) {
          continue;
        }
        Report(9, "bundle " + std::to_string(bundle.bundle_version) + " was not in force at " +
                      Time(sample.at));
        return;
      }
    }
  }

  void CheckLiveness() {
    if (!m_history.all_faults_ended) return;
    for (const auto& [request, event] : m_jobs) {
      if (m_answers.count(request) > 0 || event->connection_lost) continue;
      Report(0, Name(event->job.key) + " submitted at " + Time(event->at) + " was never answered");
    }
  }

  const History& m_history;
  std::map<RequestId, const SubmittedEvent*> m_jobs;
  std::map<RequestId, std::vector<const AnsweredEvent*>> m_answers;
  std::map<JobKey, std::vector<const StartedEvent*>> m_starts;
  std::vector<Violation> m_violations;
};

}  // namespace

std::vector<Violation> CheckHistory(const History& history) { return Checker(history).Run(); }

std::string Describe(const std::vector<Violation>& violations) {
  std::string text;
  for (const Violation& violation : violations) {
    text += "invariant " + std::to_string(violation.invariant) + ": " + violation.detail + "\n";
  }
  return text;
}

}  // namespace foxtailrudder::testing
