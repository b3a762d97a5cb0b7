#include "membership/internal/member_registry.h"

#include <algorithm>
#include <utility>

#include "membership/internal/confirmation.h"

namespace foxtailrudder {
namespace {

/// Lifetime of a member request. Every heartbeat repeats the request; a sidecar without a reply for
/// this long switches to another entry, whose record of the request must not be reverted from here.
constexpr std::chrono::milliseconds kMemberRequestLifetime = kHeartbeatPeriod * 3 / 2;
/// Ticks come every 50 ms. After a longer gap than this, the process was paused and received
/// nothing.
constexpr std::chrono::milliseconds kPauseThreshold{1000};
/// Timeout for the reply to a write; a read then shows the row.
constexpr std::chrono::seconds kWriteTimeout{5};
constexpr int kMinRetryMs = 20;
constexpr int kMaxRetryMs = 200;

}  // namespace

void MemberRegistry::OnHeartbeat(NodeRef sidecar, const Heartbeat& heartbeat, SteadyTime now) {
  DetectPause(now);
  m_contacts.OnHeartbeat(sidecar, heartbeat, now);
  MemberRequest request{sidecar.incarnation, heartbeat.announcement, heartbeat.drain,
                        heartbeat.leave, now};
  if (request.announcement) {
    request.announcement->id = sidecar.id;
    request.announcement->incarnation = sidecar.incarnation;
    request.announcement->role = NodeRole::kSidecar;
  }
  m_member_requests.insert_or_assign(sidecar.id, std::move(request));
}

void MemberRegistry::OnPeerStatus(NodeRef entry, const PeerStatus& status, SteadyTime now) {
  DetectPause(now);
  m_contacts.OnPeerStatus(entry, status, now);
}

void MemberRegistry::DetectPause(SteadyTime now) {
  if (m_last_tick && now - *m_last_tick > kPauseThreshold) m_contacts.OnPause(m_state->table, now);
  m_last_tick = now;
}

void MemberRegistry::Tick(Now now, Outbox& out) {
  DetectPause(now.steady);
  if (m_seen_version != m_state->table.version()) {
    m_contacts.OnTable(m_state->table, m_seen_version, now.steady);
    m_seen_version = m_state->table.version();
  }
  m_forgets.Tick(now.steady, out);
  std::erase_if(m_member_requests, [&](const auto& request) {
    return now.steady - request.second.at > kMemberRequestLifetime;
  });
  if (m_phase == Phase::kIdle) return StartWrite(now, out);
  if (m_phase == Phase::kWriting) {
    if (now.steady - m_write_sent_at > kWriteTimeout) Retry(now.steady);
    return;
  }
  if (m_round.refused() || m_round.IsExpired(now.steady)) return Retry(now.steady);
  m_round.ResendPending(m_state->table, now.steady, out);
  TryWrite(now, out);
}

std::optional<MembersRow> MemberRegistry::Plan(Now now) const {
  MemberPlan plan(m_state->table, m_state->control.row(), now, m_state->config.tombstone_retention);
  // Forgotten entries go first: only one entry changes per version, and this entry may be unable to
  // join until they are removed from the majority.
  for (const NodeId entry : m_forgets.Forgotten()) plan.ApplyLoss(entry);
  plan.ApplySelf(m_state->config.self, m_draining, m_leaving);
  for (const auto& [id, request] : m_member_requests) plan.ApplyRequest(id, request);
  PlanLosses(plan, now.steady);
  return plan.Finish();
}

void MemberRegistry::PlanLosses(MemberPlan& plan, SteadyTime now) const {
  // An entry that is partitioned from the other entries receives no contacts of their sidecars
  // either.
  if (!HasHeardFromMajority(now)) return;
  for (const Member& member : m_state->table.row().members) {
    if (member.id == m_state->config.self.id) continue;
    const NodeRef ref{member.id, member.incarnation};
    if (!m_contacts.IsSilent(ref, kMemberLossTimeout, now)) continue;
    if (RanksFirstFor(member.id, now)) plan.ApplyLoss(member.id);
  }
}

bool MemberRegistry::IsLive(NodeId entry, SteadyTime now) const {
  if (entry == m_state->config.self.id) return m_state->table.Lists(m_state->self());
  return !m_contacts.IsSilent(m_state->table.RefOf(entry), kMemberLossTimeout, now);
}

bool MemberRegistry::HasHeardFromMajority(SteadyTime now) const {
  const std::vector<NodeId> entries = m_state->table.Entries();
  const auto live = std::ranges::count_if(entries, [&](NodeId id) { return IsLive(id, now); });
  return static_cast<std::size_t>(live) >= MajorityOf(entries.size());
}

bool MemberRegistry::RanksFirstFor(NodeId lost, SteadyTime now) const {
  for (const NodeId id : Placement::HomeRanking(m_state->table, lost)) {
    if (id == lost || !IsLive(id, now)) continue;
    return id == m_state->config.self.id;
  }
  return false;
}

void MemberRegistry::StartWrite(Now now, Outbox& out) {
  if (now.steady < m_next_attempt || !m_state->IsMembersRowCurrent(now.steady)) return;
  if (!Plan(now)) return;
  m_phase = Phase::kCollectingPromises;
  const PromiseRequest request{m_state->PromiseId("members"), RowKind::kMembers,
                               m_state->table.version() + 1};
  m_round.Start(request, m_state->table, m_state->config.self.id, m_state->promises, now.steady,
                out);
  TryWrite(now, out);
}

void MemberRegistry::TryWrite(Now now, Outbox& out) {
  if (m_phase != Phase::kCollectingPromises ||
      !m_round.MayWrite(m_state->table, now.steady, m_forgets.Forgotten()))
    return;
  if (!m_state->IsMembersRowCurrent(now.steady)) return;
  auto row = Plan(now);
  // The promises are valid only for the version that follows the one held when the round started.
  if (!row || !m_round.IsFor(row->version)) return Retry(now.steady);
  m_phase = Phase::kWriting;
  m_round.Stop();
  m_written = std::move(*row);
  m_write_sent_at = now.steady;
  m_operation = m_state->operations.Take();
  out.Add(WriteMembersRow{m_operation, m_state->table.version(), m_written});
}

void MemberRegistry::OnPromiseReply(NodeRef from, const PromiseReply& reply, Now now, Outbox& out) {
  if (m_phase != Phase::kCollectingPromises) return;
  m_round.OnReply(from, reply, m_state->table);
  TryWrite(now, out);
}

bool MemberRegistry::OnWritten(const RowWritten& written, Now now) {
  if (m_operation == 0 || written.operation != m_operation) return false;
  m_operation = 0;
  if (written.status != StoreStatus::kOk) {
    Retry(now.steady);
    return true;
  }
  m_phase = Phase::kIdle;
  m_state->promises.OnRead(RowKind::kMembers, m_written.version, {});
  m_state->AdoptMembers(std::move(m_written));
  return true;
}

void MemberRegistry::Retry(SteadyTime now) {
  m_phase = Phase::kIdle;
  m_operation = 0;
  m_round.Stop();
  m_read_requested = true;
  // A random delay keeps entries that joined at the same moment from conflicting again.
  std::uniform_int_distribution<int> delay(kMinRetryMs, kMaxRetryMs);
  m_next_attempt = now + std::chrono::milliseconds(delay(m_random));
}

InForceStatus MemberRegistry::InForce(Version control_version, SteadyTime now) const {
  InForceStatus status;
  status.control_version = control_version;
  for (const Member& member : m_state->table.row().members) {
    if (member.role != NodeRole::kSidecar) continue;
    ++status.members;
    const NodeRef ref{member.id, member.incarnation};
    const LastContactTimes::Contact* contact = m_contacts.Find(ref);
    if (contact == nullptr) continue;
    if (contact->control_version >= control_version) {
      ++status.acknowledged;
    } else if (m_contacts.IsSilent(ref, kStalenessBound, now)) {
      ++status.lapsed;
    }
  }
  status.in_force = m_state->control.version() >= control_version &&
                    status.acknowledged + status.lapsed == status.members;
  return status;
}

}  // namespace foxtailrudder
