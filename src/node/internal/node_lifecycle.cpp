#include "node/node_lifecycle.h"

namespace foxtailrudder {

NodeLifecycle::NodeLifecycle() { m_process.Fire(ProcessEvent::kBeginJoin); }

void NodeLifecycle::BeginDrain() {
  if (!m_drain.Fire(DrainEvent::kBegin)) return;
  m_process.Fire(ProcessEvent::kDrain);
}

void NodeLifecycle::Observe(const NodeObservation& observation) {
  if (is_draining()) {
    ObserveDrain(observation);
    return;
  }
  m_process.Fire(observation.listed ? ProcessEvent::kListed : ProcessEvent::kDelisted);
}

void NodeLifecycle::ObserveDrain(const NodeObservation& observation) {
  // Peers send no new work to a process that is not listed, so the drain may proceed.
  if (observation.listed_draining || !observation.listed) m_drain.Fire(DrainEvent::kListedDraining);
  if (observation.work_done && m_drain.Fire(DrainEvent::kWorkDone)) {
    m_process.Fire(ProcessEvent::kWorkDone);
  }
  if (observation.left && m_drain.Fire(DrainEvent::kHandedOver))
    m_process.Fire(ProcessEvent::kLeft);
}

}  // namespace foxtailrudder
