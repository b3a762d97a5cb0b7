#include "membership/entry_membership.h"

#include <algorithm>
#include <map>
#include <utility>

#include "membership/internal/change_queue.h"
#include "membership/internal/heartbeat_service.h"
#include "membership/internal/member_registry.h"

namespace foxtailrudder {
namespace {

/// Minimum interval between reads caused by a newer version at a peer or by a conflict.
constexpr std::chrono::milliseconds kMinReadInterval{50};

}  // namespace

class EntryMembership::Impl {
 public:
  Impl(EntryMembershipConfig config, Counters* counters) {
    m_state.config = std::move(config);
    m_state.config.self.role = NodeRole::kEntry;
    m_state.counters = counters;
  }

  void Tick(Now now, Outbox& out);
  bool OnMessage(const Envelope& envelope, Now now, Outbox& out);
  bool OnStoreResult(const StoreResult& result, Now now, Outbox& out);
  std::vector<std::pair<NodeId, std::vector<TeamDemand>>> Demands() const;

 private:
  friend class EntryMembership;

  void ReadRows(Now now, Outbox& out);
  void CreateControlRow(Outbox& out);
  void SendStatus(Now now, Outbox& out);
  void OnRowRead(const RowReader::SentRead& read);

  void Handle(NodeRef from, const Heartbeat& heartbeat, Now now, Outbox& out);
  void Handle(NodeRef from, const PeerStatus& status, Now now, Outbox& out);
  void Handle(NodeRef from, const ConfirmRequest& request, Now now, Outbox& out);
  void Handle(NodeRef from, const ConfirmReply& reply, Now now, Outbox& out);
  void Handle(NodeRef from, const PromiseRequest& request, Now now, Outbox& out);
  void Handle(NodeRef from, const PromiseReply& reply, Now now, Outbox& out);

  EntryState m_state;
  FreshnessTracker m_freshness{&m_state};
  ChangeQueue m_changes{&m_state};
  MemberRegistry m_registry{&m_state};
  HeartbeatService m_heartbeats{&m_state, &m_freshness};
  std::vector<TeamDemand> m_demands;
  std::map<NodeId, std::vector<TeamDemand>> m_peer_demands;
  std::uint64_t m_create_operation = 0;
  SteadyTime m_next_read;
  SteadyTime m_last_read;
  SteadyTime m_last_tick;
  SteadyTime m_next_status;
};

void EntryMembership::Impl::Tick(Now now, Outbox& out) {
  m_last_tick = now.steady;
  if (now.steady >= m_next_read) ReadRows(now, out);
  m_freshness.Tick(now.steady, out);
  m_changes.Tick(now, out);
  m_registry.Tick(now, out);
  m_state.bundle.Tick(m_state.control.row(), m_state.operations, now.steady, out);
  if (now.steady >= m_next_status) SendStatus(now, out);
  if (m_registry.TakeReadRequested()) m_next_read = m_last_read + kMinReadInterval;
}

void EntryMembership::Impl::ReadRows(Now now, Outbox& out) {
  m_last_read = now.steady;
  m_next_read = now.steady + kHeartbeatPeriod;
  if (m_state.reader.HasReadBoth() && m_state.control.version() == 0) CreateControlRow(out);
  m_state.reader.SendRound(m_state.control.version(), m_state.table.version(),
                           m_state.operations.Take(2), now.steady, out);
}

// Version 1 is as empty as the missing row, so its write needs no promises.
void EntryMembership::Impl::CreateControlRow(Outbox& out) {
  ControlRow row;
  row.version = 1;
  m_create_operation = m_state.operations.Take();
  out.Add(WriteControlRow{m_create_operation, 0, std::move(row)});
}

void EntryMembership::Impl::SendStatus(Now now, Outbox& out) {
  m_next_status = now.steady + kHeartbeatPeriod;
  const PeerStatus status{m_state.control.version(), m_state.table.version(),
                          m_registry.contacts().RecentDirectContacts(now.steady), m_demands};
  for (const NodeId id : m_state.table.Entries()) {
    if (id != m_state.config.self.id) out.Send({id, 0}, status);
  }
}

bool EntryMembership::Impl::OnMessage(const Envelope& envelope, Now now, Outbox& out) {
  const auto handle = [&](const auto& message) {
    if constexpr (requires { Handle(envelope.from, message, now, out); }) {
      // The message is addressed to another incarnation of this entry.
      const Incarnation meant = envelope.to.incarnation;
      if (meant != 0 && meant != m_state.config.self.incarnation) return true;
      Handle(envelope.from, message, now, out);
      return true;
    }
    return false;
  };
  return std::visit(handle, envelope.message);
}

void EntryMembership::Impl::Handle(NodeRef from, const Heartbeat& heartbeat, Now now, Outbox& out) {
  m_registry.OnHeartbeat(from, heartbeat, now.steady);
  out.Send(from, m_heartbeats.Answer(from, heartbeat, now.steady));
}

void EntryMembership::Impl::Handle(NodeRef from, const PeerStatus& status, Now now,
                                   Outbox& /*out*/) {
  m_registry.OnPeerStatus(from, status, now.steady);
  m_peer_demands[from.id] = status.demands;
  const bool newer = status.control_version > m_state.control.version() ||
                     status.members_version > m_state.table.version();
  if (newer) m_next_read = std::min(m_next_read, m_last_read + kMinReadInterval);
}

void EntryMembership::Impl::Handle(NodeRef from, const ConfirmRequest& request, Now /*now*/,
                                   Outbox& out) {
  out.Send(from, m_freshness.Answer(request));
}

void EntryMembership::Impl::Handle(NodeRef from, const ConfirmReply& reply, Now /*now*/,
                                   Outbox& /*out*/) {
  m_freshness.OnReply(from, reply);
}

void EntryMembership::Impl::Handle(NodeRef from, const PromiseRequest& request, Now now,
                                   Outbox& out) {
  const Version held =
      request.row == RowKind::kControl ? m_state.control.version() : m_state.table.version();
  const bool promised = held < request.new_version && m_state.promises.Promise(request, now.steady);
  out.Send(from, PromiseReply{request.change_id, promised});
}

void EntryMembership::Impl::Handle(NodeRef from, const PromiseReply& reply, Now now, Outbox& out) {
  m_changes.OnPromiseReply(from, reply, now, out);
  m_registry.OnPromiseReply(from, reply, now, out);
}

bool EntryMembership::Impl::OnStoreResult(const StoreResult& result, Now now, Outbox& out) {
  if (const auto* read = std::get_if<ControlRowRead>(&result)) {
    if (const auto finished = m_state.reader.OnResult(read->operation, read->status)) {
      if (read->status == StoreStatus::kOk) m_state.control.Adopt(read->row);
      if (read->status <= StoreStatus::kNotModified) OnRowRead(*finished);
      return true;
    }
  }
  if (const auto* read = std::get_if<MembersRowRead>(&result)) {
    if (const auto finished = m_state.reader.OnResult(read->operation, read->status)) {
      if (read->status == StoreStatus::kOk) m_state.AdoptMembers(read->row);
      if (read->status <= StoreStatus::kNotModified) OnRowRead(*finished);
      return true;
    }
  }
  if (const auto* written = std::get_if<RowWritten>(&result)) {
    if (m_create_operation != 0 && written->operation == m_create_operation) return true;
    if (m_registry.OnWritten(*written, now)) return true;
  }
  if (const auto* object = std::get_if<ObjectResult>(&result)) {
    if (m_state.bundle.OnResult(*object)) return true;
  }
  return m_changes.OnStoreResult(result, now, out);
}

void EntryMembership::Impl::OnRowRead(const RowReader::SentRead& read) {
  const bool control = read.row == RowKind::kControl;
  const Version version = control ? m_state.control.version() : m_state.table.version();
  m_state.promises.OnRead(read.row, version, read.sent_at);
}

std::vector<std::pair<NodeId, std::vector<TeamDemand>>> EntryMembership::Impl::Demands() const {
  std::vector<std::pair<NodeId, std::vector<TeamDemand>>> result;
  for (const NodeId id : m_state.table.Entries()) {
    if (id == m_state.config.self.id) continue;
    const auto found = m_peer_demands.find(id);
    if (found != m_peer_demands.end()) result.emplace_back(id, found->second);
  }
  result.emplace_back(m_state.config.self.id, m_demands);
  return result;
}

std::variant<EntryMembership, Error> EntryMembership::Create(EntryMembershipConfig config,
                                                             Counters* counters) {
  if (config.self.id == 0 || config.self.incarnation == 0) {
    return Error{ErrorKind::kInternal,
                 "the entry configuration needs a non-zero id and incarnation"};
  }
  return EntryMembership(std::make_unique<Impl>(std::move(config), counters));
}

EntryMembership::EntryMembership(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}
EntryMembership::EntryMembership(EntryMembership&&) noexcept = default;
EntryMembership& EntryMembership::operator=(EntryMembership&&) noexcept = default;
EntryMembership::~EntryMembership() = default;

void EntryMembership::Start(Now now, Outbox& out) {
  m_impl->m_state.started_at = now.steady;
  m_impl->ReadRows(now, out);
}

void EntryMembership::Tick(Now now, Outbox& out) { m_impl->Tick(now, out); }

bool EntryMembership::OnMessage(const Envelope& envelope, Now now, Outbox& out) {
  return m_impl->OnMessage(envelope, now, out);
}

bool EntryMembership::OnStoreResult(const StoreResult& result, Now now, Outbox& out) {
  return m_impl->OnStoreResult(result, now, out);
}

void EntryMembership::RequestChange(RequestId request, OperatorChange change, Now now,
                                    Outbox& out) {
  if (std::holds_alternative<ForgetEntry>(change.change)) {
    m_impl->m_registry.Forget(request, change, now.steady);
    return;
  }
  m_impl->m_changes.Add(request, std::move(change), now, out);
}

void EntryMembership::SetTombstoneRetention(std::chrono::milliseconds retention) {
  m_impl->m_state.config.tombstone_retention = retention;
}

void EntryMembership::SetDemands(std::vector<TeamDemand> demands) {
  m_impl->m_demands = std::move(demands);
}

std::vector<std::pair<NodeId, std::vector<TeamDemand>>> EntryMembership::Demands() const {
  return m_impl->Demands();
}

void EntryMembership::BeginDrain(Now /*now*/, Outbox& /*out*/) { m_impl->m_registry.BeginDrain(); }

void EntryMembership::Leave(Now /*now*/, Outbox& /*out*/) { m_impl->m_registry.Leave(); }

bool EntryMembership::has_left() const {
  return m_impl->m_registry.leaving() && m_impl->m_state.reader.HasReadBoth() && !IsListed();
}

const MemberTable& EntryMembership::table() const { return m_impl->m_state.table; }
const Placement& EntryMembership::placement() const { return m_impl->m_state.placement; }
const ControlRow& EntryMembership::control() const { return m_impl->m_state.control.row(); }
const std::string& EntryMembership::bundle_text() const { return m_impl->m_state.bundle.text(); }
Version EntryMembership::bundle_version() const { return m_impl->m_state.bundle.version(); }

bool EntryMembership::IsFresh(SteadyTime now) const { return m_impl->m_freshness.IsFresh(now); }

bool EntryMembership::IsListed() const {
  return m_impl->m_state.table.Lists(m_impl->m_state.self());
}

bool EntryMembership::IsStoreReachable() const {
  return m_impl->m_state.reader.IsStoreReachable(m_impl->m_last_tick);
}

InForceStatus EntryMembership::InForce(Version control_version, SteadyTime now) const {
  return m_impl->m_registry.InForce(control_version, now);
}

}  // namespace foxtailrudder
