#include "membership/permit.h"

#include <algorithm>

namespace foxtailrudder {

void PermitHolder::OnReply(const HeartbeatReply& reply) {
  if (reply.sequence <= m_last_sequence) return;
  m_last_sequence = reply.sequence;
  if (reply.refusal == PermitRefusal::kNotMember) {
    Revoke();
    return;
  }
  if (reply.refusal == PermitRefusal::kZoneOut || reply.refusal == PermitRefusal::kDraining) {
    RevokeStarts();
  }
  // Other refusals do not invalidate an earlier grant, which expires by itself.
  if (reply.start_permit.count() > 0) {
    m_start_deadline = std::max(m_start_deadline, reply.sent_at + reply.start_permit);
  }
  if (reply.decide_permit.count() > 0) {
    m_decide_deadline = std::max(m_decide_deadline, reply.sent_at + reply.decide_permit);
  }
}

void PermitHolder::Revoke() {
  m_start_deadline = {};
  m_decide_deadline = {};
}

void PermitHolder::RevokeStarts() { m_start_deadline = {}; }

}  // namespace foxtailrudder
