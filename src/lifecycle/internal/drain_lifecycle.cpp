#include "lifecycle/drain_lifecycle.h"

#include "lifecycle/internal/msm_phase.h"

namespace foxtailrudder {
namespace {

struct Front : msm_phase::Front<Front, DrainPhase> {
  // Boost.MSM requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  using initial_state = msm_phase::StateType<DrainPhase::kIdle>;
  using transition_table = boost::mpl::vector<
      msm_phase::Row<DrainPhase::kIdle, DrainEvent::kBegin, DrainPhase::kRefusing>,
      msm_phase::Row<DrainPhase::kRefusing, DrainEvent::kListedDraining, DrainPhase::kFinishing>,
      msm_phase::Row<DrainPhase::kFinishing, DrainEvent::kWorkDone, DrainPhase::kHandingOver>,
      msm_phase::Row<DrainPhase::kHandingOver, DrainEvent::kHandedOver, DrainPhase::kLeft>,
      msm_phase::Row<DrainPhase::kRefusing, DrainEvent::kCancel, DrainPhase::kIdle>,
      msm_phase::Row<DrainPhase::kFinishing, DrainEvent::kCancel, DrainPhase::kIdle>>;
  // NOLINTEND(readability-identifier-naming)
};

}  // namespace

class DrainLifecycle::Impl {
 public:
  boost::msm::back::state_machine<Front> machine;
};

DrainLifecycle::DrainLifecycle() : m_impl(std::make_unique<Impl>()) { m_impl->machine.start(); }
DrainLifecycle::DrainLifecycle(DrainLifecycle&&) noexcept = default;
DrainLifecycle& DrainLifecycle::operator=(DrainLifecycle&&) noexcept = default;
DrainLifecycle::~DrainLifecycle() = default;

bool DrainLifecycle::Fire(DrainEvent event) {
  switch (event) {
    case DrainEvent::kBegin:
      return msm_phase::ProcessEnumEvent<DrainEvent::kBegin>(m_impl->machine);
    case DrainEvent::kListedDraining:
      return msm_phase::ProcessEnumEvent<DrainEvent::kListedDraining>(m_impl->machine);
    case DrainEvent::kWorkDone:
      return msm_phase::ProcessEnumEvent<DrainEvent::kWorkDone>(m_impl->machine);
    case DrainEvent::kHandedOver:
      return msm_phase::ProcessEnumEvent<DrainEvent::kHandedOver>(m_impl->machine);
    case DrainEvent::kCancel:
      return msm_phase::ProcessEnumEvent<DrainEvent::kCancel>(m_impl->machine);
  }
  return false;
}

DrainPhase DrainLifecycle::phase() const { return m_impl->machine.phase; }

std::string_view DrainLifecycle::phase_name() const {
  switch (phase()) {
    case DrainPhase::kIdle:
      return "idle";
    case DrainPhase::kRefusing:
      return "refusing";
    case DrainPhase::kFinishing:
      return "finishing";
    case DrainPhase::kHandingOver:
      return "handing_over";
    case DrainPhase::kLeft:
      return "left";
  }
  return "unknown";
}

}  // namespace foxtailrudder
