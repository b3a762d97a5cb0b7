#include "lifecycle/process_lifecycle.h"

#include "lifecycle/internal/msm_phase.h"

namespace foxtailrudder {
namespace {

struct Front : msm_phase::Front<Front, ProcessPhase> {
  // Boost.MSM requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  using initial_state = msm_phase::StateType<ProcessPhase::kStarting>;
  using transition_table = boost::mpl::vector<
      msm_phase::Row<ProcessPhase::kStarting, ProcessEvent::kBeginJoin, ProcessPhase::kJoining>,
      msm_phase::Row<ProcessPhase::kJoining, ProcessEvent::kListed, ProcessPhase::kServing>,
      msm_phase::Row<ProcessPhase::kServing, ProcessEvent::kDelisted, ProcessPhase::kJoining>,
      msm_phase::Row<ProcessPhase::kServing, ProcessEvent::kDrain, ProcessPhase::kDraining>,
      msm_phase::Row<ProcessPhase::kJoining, ProcessEvent::kDrain, ProcessPhase::kHandingOver>,
      msm_phase::Row<ProcessPhase::kStarting, ProcessEvent::kDrain, ProcessPhase::kStopped>,
      msm_phase::Row<ProcessPhase::kDraining, ProcessEvent::kResume, ProcessPhase::kServing>,
      msm_phase::Row<ProcessPhase::kDraining, ProcessEvent::kWorkDone, ProcessPhase::kHandingOver>,
      msm_phase::Row<ProcessPhase::kDraining, ProcessEvent::kDelisted, ProcessPhase::kStopped>,
      msm_phase::Row<ProcessPhase::kHandingOver, ProcessEvent::kLeft, ProcessPhase::kStopped>,
      msm_phase::Row<ProcessPhase::kHandingOver, ProcessEvent::kDelisted, ProcessPhase::kStopped>,
      msm_phase::Row<ProcessPhase::kStarting, ProcessEvent::kStop, ProcessPhase::kStopped>,
      msm_phase::Row<ProcessPhase::kJoining, ProcessEvent::kStop, ProcessPhase::kStopped>,
      msm_phase::Row<ProcessPhase::kServing, ProcessEvent::kStop, ProcessPhase::kStopped>,
      msm_phase::Row<ProcessPhase::kDraining, ProcessEvent::kStop, ProcessPhase::kStopped>,
      msm_phase::Row<ProcessPhase::kHandingOver, ProcessEvent::kStop, ProcessPhase::kStopped>>;
  // NOLINTEND(readability-identifier-naming)
};

}  // namespace

class ProcessLifecycle::Impl {
 public:
  boost::msm::back::state_machine<Front> machine;
};

ProcessLifecycle::ProcessLifecycle() : m_impl(std::make_unique<Impl>()) { m_impl->machine.start(); }
ProcessLifecycle::ProcessLifecycle(ProcessLifecycle&&) noexcept = default;
ProcessLifecycle& ProcessLifecycle::operator=(ProcessLifecycle&&) noexcept = default;
ProcessLifecycle::~ProcessLifecycle() = default;

bool ProcessLifecycle::Fire(ProcessEvent event) {
  switch (event) {
    case ProcessEvent::kBeginJoin:
      return msm_phase::ProcessEnumEvent<ProcessEvent::kBeginJoin>(m_impl->machine);
    case ProcessEvent::kListed:
      return msm_phase::ProcessEnumEvent<ProcessEvent::kListed>(m_impl->machine);
    case ProcessEvent::kDelisted:
      return msm_phase::ProcessEnumEvent<ProcessEvent::kDelisted>(m_impl->machine);
    case ProcessEvent::kDrain:
      return msm_phase::ProcessEnumEvent<ProcessEvent::kDrain>(m_impl->machine);
    case ProcessEvent::kResume:
      return msm_phase::ProcessEnumEvent<ProcessEvent::kResume>(m_impl->machine);
    case ProcessEvent::kWorkDone:
      return msm_phase::ProcessEnumEvent<ProcessEvent::kWorkDone>(m_impl->machine);
    case ProcessEvent::kLeft:
      return msm_phase::ProcessEnumEvent<ProcessEvent::kLeft>(m_impl->machine);
    case ProcessEvent::kStop:
      return msm_phase::ProcessEnumEvent<ProcessEvent::kStop>(m_impl->machine);
  }
  return false;
}

ProcessPhase ProcessLifecycle::phase() const { return m_impl->machine.phase; }

std::string_view ProcessLifecycle::phase_name() const {
  switch (phase()) {
    case ProcessPhase::kStarting:
      return "starting";
    case ProcessPhase::kJoining:
      return "joining";
    case ProcessPhase::kServing:
      return "serving";
    case ProcessPhase::kDraining:
      return "draining";
    case ProcessPhase::kHandingOver:
      return "handing_over";
    case ProcessPhase::kStopped:
      return "stopped";
  }
  return "unknown";
}

}  // namespace foxtailrudder
