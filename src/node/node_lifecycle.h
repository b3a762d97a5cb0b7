#pragma once

#include <string_view>

#include "lifecycle/lifecycle.h"

namespace foxtailrudder {

/// State of a node at a tick, as input of its lifecycle.
struct NodeObservation {
  /// The member row lists this incarnation of the node.
  bool listed = false;
  /// The member row lists it as draining.
  bool listed_draining = false;
  /// No request or task is in progress, and nothing is left to hand over.
  bool work_done = false;
  /// The node asked to leave, and the member row no longer lists it.
  bool left = false;
};

/// Tracks the phase of one process from joining to the end of a planned stop.
class NodeLifecycle {
 public:
  NodeLifecycle();

  void BeginDrain();
  void Observe(const NodeObservation& observation);

  bool is_draining() const { return m_drain.phase() != DrainPhase::kIdle; }
  /// True once all work is done and the process may ask to leave.
  bool is_handing_over() const { return m_drain.phase() == DrainPhase::kHandingOver; }
  bool has_left() const { return m_drain.phase() == DrainPhase::kLeft; }

  /// For logs and the status page.
  std::string_view phase_name() const { return m_process.phase_name(); }
  std::string_view drain_phase_name() const { return m_drain.phase_name(); }

 private:
  void ObserveDrain(const NodeObservation& observation);

  ProcessLifecycle m_process;
  DrainLifecycle m_drain;
};

}  // namespace foxtailrudder
