#include "node/zone_tracker.h"

namespace foxtailrudder {

ZoneTracker::ZoneTracker() : m_machine(MakeMachine()) {}

ZoneTracker::Machine ZoneTracker::MakeMachine() {
  return CreateBuiltInMachine<Machine>("zone", kZonePhaseNames, kZoneEventNames);
}

void ZoneTracker::Update(const ControlRow& control, bool in_force,
                         std::chrono::milliseconds return_ramp, Now now) {
  for (const ZoneRecord& record : control.zones) {
    Zone& zone = m_zones[record.zone];
    if (record.state == ZoneState::kOut) {
      m_machine.Fire(zone.phase, ZoneEvent::kTakeOut, zone);
      if (in_force) m_machine.Fire(zone.phase, ZoneEvent::kInForce, zone);
      continue;
    }
    m_machine.Fire(zone.phase, ZoneEvent::kReturn, zone);
    if (now.wall >= record.returned_at + return_ramp) {
      m_machine.Fire(zone.phase, ZoneEvent::kRampedUp, zone);
    }
  }
}

std::string_view ZoneTracker::PhaseName(const std::string& zone) const {
  const auto found = m_zones.find(zone);
  const ZonePhase phase = found == m_zones.end() ? ZonePhase::kIn : found->second.phase;
  return kZonePhaseNames[static_cast<std::size_t>(phase)];
}

}  // namespace foxtailrudder
