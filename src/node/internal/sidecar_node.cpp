#include "node/sidecar_node.h"

#include <utility>

#include "config/config.h"
#include "node/internal/envelope_check.h"

namespace foxtailrudder {
namespace {

// A permit that does not expire, for tests with check_permit off.
PermitHolder UnlimitedPermit() {
  constexpr std::chrono::hours kForever{24 * 365};
  HeartbeatReply reply;
  reply.sequence = 1;
  reply.decide_permit = kForever;
  reply.start_permit = kForever;
  PermitHolder permit;
  permit.OnReply(reply);
  return permit;
}

}  // namespace

std::variant<std::unique_ptr<SidecarNode>, Error> SidecarNode::Create(SidecarNodeConfig config) {
  config.self.id = NodeIdOf(config.self.name);
  config.self.role = NodeRole::kSidecar;

  auto counters = std::make_unique<Counters>();
  auto membership = SidecarMembership::Create({config.self, config.seed_entries}, counters.get());
  if (auto* error = std::get_if<Error>(&membership)) return std::move(*error);
  return std::unique_ptr<SidecarNode>(new SidecarNode(
      config, std::move(counters), std::get<SidecarMembership>(std::move(membership))));
}

SidecarNode::SidecarNode(const SidecarNodeConfig& config, std::unique_ptr<Counters> counters,
                         SidecarMembership membership)
    : m_self{config.self.id, config.self.incarnation},
      m_counters(std::move(counters)),
      m_membership(std::move(membership)),
      m_coordinator(config.coordinator, m_counters.get()),
      m_executor(m_counters.get()),
      m_unlimited_permit(UnlimitedPermit()),
      m_check_permit(config.check_permit) {}

ClusterView SidecarNode::view() const {
  return {m_self, m_membership.table(), m_membership.placement(), m_membership.control(), m_bundle};
}

const PermitHolder& SidecarNode::permit() const {
  return m_check_permit ? m_membership.permit() : m_unlimited_permit;
}

void SidecarNode::Tick(Now now, Outbox& out) {
  m_membership.SetLoad(m_executor.running(), m_coordinator.queued_tasks());
  m_membership.Tick(now, out);
  ApplyViewChanges(now, out);
  m_executor.Tick(view(), now, out);
  m_coordinator.Tick(view(), permit(), now, out);
  UpdateLifecycle();
}

void SidecarNode::OnEnvelope(const Envelope& envelope, Now now, Outbox& out) {
  if (!IsAddressedTo(m_self, envelope, *m_counters, out)) return;

  if (m_membership.OnMessage(envelope, now, out)) {
    ApplyViewChanges(now, out);
    return;
  }
  if (m_executor.OnMessage(envelope, view(), permit(), now, out)) return;
  m_coordinator.OnMessage(envelope, view(), permit(), now, out);
  // Messages sent to an earlier incarnation of the peer are lost, as after a disconnect.
  if (std::holds_alternative<WrongIncarnation>(envelope.message)) {
    m_coordinator.OnPeerDisconnected(envelope.from.id, view(), now, out);
  }
}

void SidecarNode::OnDisconnected(NodeId peer, Now now, Outbox& out) {
  m_coordinator.OnPeerDisconnected(peer, view(), now, out);
}

void SidecarNode::SetEndpoint(std::optional<EndpointInfo> endpoint) {
  m_membership.SetEndpoint(endpoint);
  m_executor.SetEndpoint(std::move(endpoint));
}

void SidecarNode::SetEndpointLeaving(bool leaving) {
  m_endpoint_leaving = leaving;
  ApplyLeaving();
}

void SidecarNode::OnTaskDone(const TaskRef& task, TaskOutcome outcome, Now now, Outbox& out) {
  m_executor.OnTaskDone(task, std::move(outcome), view(), now, out);
}

void SidecarNode::OnTaskNotStarted(const TaskRef& task, ErrorKind reason, Now now, Outbox& out) {
  m_executor.OnTaskNotStarted(task, reason, view(), now, out);
}

void SidecarNode::BeginDrain() {
  m_lifecycle.BeginDrain();
  ApplyLeaving();
}

bool SidecarNode::IsDrained() const { return m_lifecycle.has_left(); }

bool SidecarNode::IsReady(Now now) const {
  return m_membership.IsActive() && m_membership.permit().MayDecide(now.steady);
}

SidecarGauges SidecarNode::gauges(Now now) const {
  SidecarGauges gauges;
  gauges.running_tasks = m_executor.running();
  gauges.free_slots = m_executor.free_slots();
  gauges.queued_tasks = m_coordinator.queued_tasks();
  gauges.claims = m_coordinator.claims();
  gauges.start_records = m_executor.start_records();
  gauges.owned_shards = m_coordinator.owned_shards();
  gauges.pending_shards = m_coordinator.pending_shards();
  gauges.doubtful_shards = m_coordinator.doubtful_shards();
  gauges.control_version = control().version;
  gauges.members_version = table().version();
  gauges.bundle_version = m_membership.bundle_version();
  gauges.may_start = m_membership.permit().MayStart(now.steady);
  gauges.may_decide = m_membership.permit().MayDecide(now.steady);
  return gauges;
}

void SidecarNode::ApplyViewChanges(Now now, Outbox& out) {
  const bool bundle_changed = m_membership.bundle_version() != m_bundle.version;
  if (bundle_changed) {
    auto parsed = ParseBundle(m_membership.bundle_text());
    if (auto* bundle = std::get_if<Bundle>(&parsed)) m_bundle = std::move(*bundle);
    m_bundle.version = m_membership.bundle_version();
  }
  const bool rows_changed = m_applied_control_version != control().version ||
                            m_applied_members_version != table().version();
  if (!rows_changed && !bundle_changed) return;

  m_applied_control_version = control().version;
  m_applied_members_version = table().version();
  m_coordinator.OnViewChanged(view(), permit(), now, out);
}

void SidecarNode::UpdateLifecycle() {
  const Member* self = table().Find(m_self.id);
  NodeObservation observation;
  observation.listed = table().Lists(m_self);
  observation.listed_draining = observation.listed && self->state == MemberState::kDraining;
  observation.work_done = m_coordinator.IsDrained() && m_executor.running() == 0;
  observation.left = m_membership.has_left();
  m_lifecycle.Observe(observation);
  if (m_lifecycle.is_handing_over()) m_membership.Leave();
}

void SidecarNode::ApplyLeaving() {
  const bool leaving = m_endpoint_leaving || m_lifecycle.is_draining();
  m_membership.SetDraining(leaving);
  m_executor.SetLeaving(leaving);
}

}  // namespace foxtailrudder
