#include "membership/internal/heartbeat_service.h"

#include "membership/internal/control_change.h"

namespace foxtailrudder {

HeartbeatReply HeartbeatService::Answer(NodeRef sidecar, const Heartbeat& heartbeat,
                                        SteadyTime now) const {
  HeartbeatReply reply;
  reply.sequence = heartbeat.sequence;
  reply.sent_at = heartbeat.sent_at;
  reply.refusal = RefusalFor(sidecar, heartbeat, now);
  const bool may_start = reply.refusal == PermitRefusal::kNone;
  const bool may_decide = may_start || reply.refusal == PermitRefusal::kZoneOut ||
                          reply.refusal == PermitRefusal::kDraining;
  if (may_start) reply.start_permit = kPermitDuration;
  if (may_decide) reply.decide_permit = kPermitDuration;
  AddRows(heartbeat, reply);
  if (m_state->counters != nullptr) {
    m_state->counters->Add(may_start ? CounterId::kPermitsGranted : CounterId::kPermitsRefused);
  }
  return reply;
}

PermitRefusal HeartbeatService::RefusalFor(NodeRef sidecar, const Heartbeat& heartbeat,
                                           SteadyTime now) const {
  if (!m_freshness->IsFresh(now)) return PermitRefusal::kEntryNotFresh;
  const Version control_version = m_state->control.version();
  if (heartbeat.control_version != control_version ||
      heartbeat.members_version != m_state->table.version() ||
      heartbeat.bundle_version != m_state->control.row().bundle.bundle_version) {
    return PermitRefusal::kVersionsNotCurrent;
  }
  if (!m_state->table.Lists(sidecar)) return PermitRefusal::kNotMember;
  const Member& member = *m_state->table.Find(sidecar.id);
  if (ZoneStateOf(m_state->control.row(), member.zone) == ZoneState::kOut) {
    return PermitRefusal::kZoneOut;
  }
  const bool draining = heartbeat.drain || member.state == MemberState::kDraining;
  return draining ? PermitRefusal::kDraining : PermitRefusal::kNone;
}

void HeartbeatService::AddRows(const Heartbeat& heartbeat, HeartbeatReply& reply) const {
  const ControlRow& control = m_state->control.row();
  // A bundle text is sent together with the control row that names its version.
  const bool bundle_newer = m_state->bundle.version() > heartbeat.bundle_version &&
                            m_state->bundle.version() == control.bundle.bundle_version;
  if (heartbeat.control_version < control.version || bundle_newer) reply.control = control;
  if (bundle_newer) reply.bundle = m_state->bundle.text();
  if (heartbeat.members_version < m_state->table.version()) {
    reply.members = DeltaFrom(heartbeat.members_version);
  }
}

MembersDelta HeartbeatService::DeltaFrom(Version version) const {
  const MemberTable* base = m_state->history.Find(version);
  return MemberTable::Difference(base == nullptr ? MemberTable{} : *base, m_state->table);
}

}  // namespace foxtailrudder
