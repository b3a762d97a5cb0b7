#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "lifecycle/lifecycle.h"
#include "model/model.h"

namespace foxtailrudder {

/// Tracks the phase of each availability zone with the state chart charts/zone.json. The control
/// row holds only `in` or `out`; the tracker adds `leaving`, until a take-out is in force, and
/// `returning`, until the ramp after a return has ended.
class ZoneTracker {
 public:
  ZoneTracker();

  /// Updates the phases from the current control row. `in_force` tells whether that version is in
  /// force.
  void Update(const ControlRow& control, bool in_force, std::chrono::milliseconds return_ramp,
              Now now);

  /// Returns "in" for a zone without a record.
  std::string_view PhaseName(const std::string& zone) const;

 private:
  struct Zone {
    ZonePhase phase = ZonePhase::kIn;
  };
  using Machine = ChartMachine<ZonePhase, ZoneEvent, Zone>;

  static Machine MakeMachine();

  Machine m_machine;
  std::map<std::string, Zone> m_zones;
};

}  // namespace foxtailrudder
