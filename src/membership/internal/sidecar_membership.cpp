#include "membership/sidecar_membership.h"

#include <utility>

#include "membership/internal/home_selector.h"
#include "membership/internal/row_copy.h"

namespace foxtailrudder {
namespace {

constexpr std::chrono::milliseconds kReplyTimeout = kHeartbeatPeriod * 3 / 2;

bool MatchesListed(const Member* listed, const Member& wanted) {
  if (listed == nullptr) return false;
  Member comparable = *listed;
  comparable.state = wanted.state;
  comparable.joined_version = wanted.joined_version;
  comparable.joined_at = wanted.joined_at;
  return comparable == wanted;
}

}  // namespace

class SidecarMembership::Impl {
 public:
  explicit Impl(SidecarMembershipConfig config) : m_config(std::move(config)) {
    m_config.self.role = NodeRole::kSidecar;
  }

  void Tick(Now now, Outbox& out) {
    if (m_awaiting && now.steady - m_asked_at >= kReplyTimeout) {
      m_homes.OnFailure(m_home, now.steady);
      m_awaiting = false;
      m_next_heartbeat = now.steady;
    }
    if (now.steady >= m_next_heartbeat) SendHeartbeat(now, out);
  }

  void OnReply(const Envelope& envelope, const HeartbeatReply& reply, Now now) {
    const NodeRef self{m_config.self.id, m_config.self.incarnation};
    if (envelope.to != self) return;
    if (reply.sequence > m_sequence || reply.sent_at > now.steady) return;
    if (envelope.from.id == m_home) m_awaiting = false;
    UpdateHomeStatus(envelope.from.id, reply, now.steady);
    if (m_leave && reply.sequence >= m_leave_sequence) m_leave_acknowledged = true;
    const bool changed = AdoptRows(reply);
    m_permit.OnReply(reply);
    RevokeByRows();
    // Permits are granted only for acknowledged versions, so the new ones are acknowledged
    // immediately.
    if (changed) m_next_heartbeat = now.steady;
  }

  void RevokeByRows() {
    const Member* listed = Listed();
    if (listed == nullptr) {
      m_permit.Revoke();
      return;
    }
    if (m_draining || listed->state == MemberState::kDraining || IsZoneOut(listed->zone)) {
      m_permit.RevokeStarts();
    }
  }

  const Member* Listed() const {
    const Member* listed = m_table.Find(m_config.self.id);
    if (listed == nullptr || listed->incarnation != m_config.self.incarnation) return nullptr;
    return listed;
  }

  SidecarMembershipConfig m_config;
  HomeSelector m_homes;
  PermitHolder m_permit;
  MemberTable m_table;
  Placement m_placement;
  RowCopy<ControlRow> m_control;
  std::string m_bundle_text;
  Version m_bundle_version = 0;
  std::uint32_t m_running = 0;
  std::uint32_t m_queued = 0;
  bool m_draining = false;
  bool m_leave = false;
  bool m_leave_acknowledged = false;
  std::uint64_t m_leave_sequence = 0;

 private:
  friend class SidecarMembership;

  // An entry that is not fresh grants no permits, possibly for as long as it cannot reach the
  // store, while other entries may still grant them.
  void UpdateHomeStatus(NodeId entry, const HeartbeatReply& reply, SteadyTime now) {
    if (reply.refusal != PermitRefusal::kEntryNotFresh) return m_homes.OnSuccess(entry);
    if (entry != m_home || now - reply.sent_at >= kReplyTimeout) return;
    m_homes.OnFailure(entry, now);
    // The next entry in the ranking is asked immediately, so that the current permit need not
    // expire. If no entry is fresh, the heartbeat period limits the traffic.
    if (!m_homes.IsAvoided(NextHome(now), now)) m_next_heartbeat = now;
  }

  NodeId NextHome(SteadyTime now) const {
    const std::vector<NodeId> ranking = Placement::HomeRanking(m_table, m_config.self.id);
    return m_homes.Choose(ranking.empty() ? m_config.seed_entries : ranking, now);
  }

  void SendHeartbeat(Now now, Outbox& out) {
    const NodeId home = NextHome(now.steady);
    if (home == 0) return;
    if (!m_awaiting || home != m_home) m_asked_at = now.steady;
    m_home = home;
    m_awaiting = true;
    m_next_heartbeat = now.steady + kHeartbeatPeriod;
    out.Send({home, 0}, MakeHeartbeat(now));
  }

  Heartbeat MakeHeartbeat(Now now) {
    Heartbeat heartbeat;
    heartbeat.sequence = ++m_sequence;
    heartbeat.sent_at = now.steady;
    heartbeat.control_version = m_control.version();
    heartbeat.members_version = m_table.version();
    heartbeat.bundle_version = m_bundle_version;
    heartbeat.drain = m_draining;
    heartbeat.leave = m_leave;
    heartbeat.running_tasks = m_running;
    heartbeat.queued_tasks = m_queued;
    const bool up_to_date = MatchesListed(m_table.Find(m_config.self.id), m_config.self);
    if (!m_leave && !up_to_date) heartbeat.announcement = m_config.self;
    return heartbeat;
  }

  bool AdoptRows(const HeartbeatReply& reply) {
    bool changed = reply.control && m_control.Adopt(*reply.control);
    if (reply.members && reply.members->to_version > m_table.version()) {
      auto applied = MemberTable::Apply(m_table, *reply.members);
      if (auto* table = std::get_if<MemberTable>(&applied)) {
        m_placement = Placement::Update(m_placement, m_table, *table);
        m_table = std::move(*table);
        changed = true;
      }
    }
    const bool took_bundle = reply.bundle && reply.control && TakeBundle(reply);
    return changed || took_bundle;
  }

  bool TakeBundle(const HeartbeatReply& reply);
  bool IsZoneOut(const std::string& zone) const {
    for (const ZoneRecord& record : m_control.row().zones) {
      if (record.zone == zone) return record.state == ZoneState::kOut;
    }
    return false;
  }

  NodeId m_home = 0;
  bool m_awaiting = false;
  SteadyTime m_asked_at{};
  SteadyTime m_next_heartbeat{};
  std::uint64_t m_sequence = 0;
};

// The bundle text carries no version; the control row sent with it names the version. The cached
// control row cannot be used for this, since it may be newer when replies of two entries cross.
bool SidecarMembership::Impl::TakeBundle(const HeartbeatReply& reply) {
  const Version version = reply.control->bundle.bundle_version;
  if (version <= m_bundle_version) return false;
  m_bundle_version = version;
  m_bundle_text = *reply.bundle;
  return true;
}

std::variant<SidecarMembership, Error> SidecarMembership::Create(SidecarMembershipConfig config,
                                                                 Counters* /*counters*/) {
  if (config.self.id == 0 || config.self.incarnation == 0) {
    return Error{ErrorKind::kInternal,
                 "the sidecar configuration needs a non-zero id and incarnation"};
  }
  return SidecarMembership(std::make_unique<Impl>(std::move(config)));
}

SidecarMembership::SidecarMembership(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}
SidecarMembership::SidecarMembership(SidecarMembership&&) noexcept = default;
SidecarMembership& SidecarMembership::operator=(SidecarMembership&&) noexcept = default;
SidecarMembership::~SidecarMembership() = default;

void SidecarMembership::Tick(Now now, Outbox& out) { m_impl->Tick(now, out); }

bool SidecarMembership::OnMessage(const Envelope& envelope, Now now, Outbox& /*out*/) {
  const auto* reply = std::get_if<HeartbeatReply>(&envelope.message);
  if (reply == nullptr) return false;
  m_impl->OnReply(envelope, *reply, now);
  return true;
}

void SidecarMembership::SetEndpoint(std::optional<EndpointInfo> endpoint) {
  const EndpointInfo info = std::move(endpoint).value_or(EndpointInfo{});
  Member& self = m_impl->m_config.self;
  self.service = info.service;
  self.slots = info.slots;
  self.connections = info.connections;
  if (!info.worker.empty()) self.worker = info.worker;
  if (!info.rack.empty()) self.rack = info.rack;
}

void SidecarMembership::SetLoad(std::uint32_t running_tasks, std::uint32_t queued_tasks) {
  m_impl->m_running = running_tasks;
  m_impl->m_queued = queued_tasks;
}

void SidecarMembership::SetDraining(bool draining) {
  m_impl->m_draining = draining;
  if (draining) m_impl->m_permit.RevokeStarts();
}

void SidecarMembership::Leave() {
  if (m_impl->m_leave) return;
  m_impl->m_leave = true;
  m_impl->m_leave_sequence = m_impl->m_sequence + 1;
  m_impl->m_next_heartbeat = {};
}

bool SidecarMembership::has_left() const {
  return m_impl->m_leave_acknowledged && m_impl->Listed() == nullptr;
}

const PermitHolder& SidecarMembership::permit() const { return m_impl->m_permit; }
const MemberTable& SidecarMembership::table() const { return m_impl->m_table; }
const Placement& SidecarMembership::placement() const { return m_impl->m_placement; }
const ControlRow& SidecarMembership::control() const { return m_impl->m_control.row(); }
const std::string& SidecarMembership::bundle_text() const { return m_impl->m_bundle_text; }
Version SidecarMembership::bundle_version() const { return m_impl->m_bundle_version; }

bool SidecarMembership::IsActive() const {
  const Member* listed = m_impl->Listed();
  return listed != nullptr && listed->state == MemberState::kActive;
}

}  // namespace foxtailrudder
