#include "membership/internal/last_contact_times.h"

#include <algorithm>

#include "membership/timing.h"

namespace foxtailrudder {
namespace {

/// Contacts older than this are not reported; a sidecar that changed its home entry is reported by
/// the new one.
constexpr std::chrono::milliseconds kReportWindow = kMemberLossTimeout;

}  // namespace

void LastContactTimes::Merge(Contact& known, const Contact& contact) {
  if (known.incarnation != contact.incarnation) {
    // Reports of a previous incarnation may arrive late; the incarnation with the latest contact is
    // the running one.
    if (contact.at >= known.at) known = contact;
    return;
  }
  known.at = std::max(known.at, contact.at);
  known.control_version = std::max(known.control_version, contact.control_version);
  known.members_version = std::max(known.members_version, contact.members_version);
}

void LastContactTimes::OnHeartbeat(NodeRef sidecar, const Heartbeat& heartbeat, SteadyTime now) {
  const Contact contact{sidecar.incarnation, now, heartbeat.control_version,
                        heartbeat.members_version};
  Merge(m_direct[sidecar.id], contact);
  Merge(m_latest[sidecar.id], contact);
}

void LastContactTimes::OnPeerStatus(NodeRef entry, const PeerStatus& status, SteadyTime now) {
  Merge(m_latest[entry.id],
        {entry.incarnation, now, status.control_version, status.members_version});
  for (const HeardSidecar& contact : status.heard) {
    Merge(m_latest[contact.sidecar.id], {contact.sidecar.incarnation, now - contact.age,
                                         contact.control_version, contact.members_version});
  }
}

void LastContactTimes::OnTable(const MemberTable& table, Version seen_version, SteadyTime now) {
  for (const Member& member : table.row().members) {
    const Contact listed{member.incarnation, now, 0, 0};
    const bool known = Find({member.id, member.incarnation}) != nullptr;
    if (!known || member.joined_version > seen_version) Merge(m_latest[member.id], listed);
  }
  std::erase_if(m_direct,
                [&](const auto& contact) { return now - contact.second.at > kReportWindow; });
  std::erase_if(m_latest, [&](const auto& contact) {
    return table.Find(contact.first) == nullptr && now - contact.second.at > kReportWindow;
  });
}

void LastContactTimes::OnPause(const MemberTable& table, SteadyTime now) {
  for (const Member& member : table.row().members) {
    Merge(m_latest[member.id], {member.incarnation, now, 0, 0});
  }
}

const LastContactTimes::Contact* LastContactTimes::Find(NodeRef node) const {
  const auto found = m_latest.find(node.id);
  if (found == m_latest.end() || found->second.incarnation != node.incarnation) return nullptr;
  return &found->second;
}

bool LastContactTimes::IsSilent(NodeRef node, std::chrono::milliseconds longer_than,
                                SteadyTime now) const {
  const Contact* contact = Find(node);
  return contact != nullptr && now - contact->at > longer_than;
}

std::vector<HeardSidecar> LastContactTimes::RecentDirectContacts(SteadyTime now) const {
  std::vector<HeardSidecar> result;
  for (const auto& [id, contact] : m_direct) {
    if (now - contact.at > kReportWindow) continue;
    // Rounded up, so that a peer never assumes a later contact than the actual one.
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - contact.at);
    result.push_back(
        {{id, contact.incarnation}, age, contact.control_version, contact.members_version});
  }
  return result;
}

}  // namespace foxtailrudder
