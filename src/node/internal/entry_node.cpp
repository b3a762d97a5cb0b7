#include "node/entry_node.h"

#include <utility>

#include "config/config.h"
#include "node/internal/envelope_check.h"
#include "policy/policy.h"

namespace foxtailrudder {
namespace {

constexpr std::chrono::milliseconds kQuotaUpdatePeriod{500};

JobRouterConfig RouterConfig(const EntryNodeConfig& config) {
  JobRouterConfig router;
  router.self = {config.self.id, config.self.incarnation};
  router.region = config.region;
  router.durable_claims = config.durable_claims;
  router.seed = config.seed;
  return router;
}

}  // namespace

std::variant<std::unique_ptr<EntryNode>, Error> EntryNode::Create(EntryNodeConfig config) {
  config.self.id = NodeIdOf(config.self.name);
  config.self.role = NodeRole::kEntry;

  EntryMembershipConfig membership_config;
  membership_config.self = config.self;
  membership_config.region = config.region;
  membership_config.outage_mode = config.outage_mode;
  membership_config.seed = config.seed;

  auto counters = std::make_unique<Counters>();
  auto membership = EntryMembership::Create(std::move(membership_config), counters.get());
  if (auto* error = std::get_if<Error>(&membership)) return std::move(*error);
  return std::unique_ptr<EntryNode>(
      new EntryNode(config, std::move(counters), std::get<EntryMembership>(std::move(membership))));
}

EntryNode::EntryNode(const EntryNodeConfig& config, std::unique_ptr<Counters> counters,
                     EntryMembership membership)
    : m_self{config.self.id, config.self.incarnation},
      m_owned_counters(std::move(counters)),
      m_counters(*m_owned_counters),
      m_membership(std::move(membership)),
      m_router(RouterConfig(config), m_owned_counters.get()) {}

ClusterView EntryNode::view() const {
  return {m_self, m_membership.table(), m_membership.placement(), m_membership.control(), m_bundle};
}

void EntryNode::Start(Now now, Outbox& out) { m_membership.Start(now, out); }

void EntryNode::Tick(Now now, Outbox& out) {
  m_membership.Tick(now, out);
  ApplyViewChanges(now, out);
  UpdateQuotaShares(now);
  m_router.Tick(view(), now, out);
  UpdateLifecycle(now, out);
}

void EntryNode::OnEnvelope(const Envelope& envelope, Now now, Outbox& out) {
  if (!IsAddressedTo(m_self, envelope, m_counters, out)) return;

  if (m_membership.OnMessage(envelope, now, out)) {
    ApplyViewChanges(now, out);
    return;
  }
  // Messages sent to an earlier incarnation of the peer are lost, as after a disconnect.
  if (std::holds_alternative<WrongIncarnation>(envelope.message)) {
    m_router.OnPeerDisconnected(envelope.from.id, view(), now, out);
    return;
  }
  m_router.OnMessage(envelope, view(), now, out);
}

void EntryNode::OnDisconnected(NodeId peer, Now now, Outbox& out) {
  m_router.OnPeerDisconnected(peer, view(), now, out);
}

void EntryNode::OnStoreResult(const StoreResult& result, Now now, Outbox& out) {
  if (m_membership.OnStoreResult(result, now, out)) {
    ApplyViewChanges(now, out);
    return;
  }
  m_router.OnStoreResult(result, view(), now, out);
}

void EntryNode::Submit(RequestId request, JobSpec job, Now now, Outbox& out) {
  // A takeover asks only the listed entries which jobs they forwarded, so an entry that is not
  // listed must not forward any.
  if (!m_membership.IsListed() && !m_lifecycle.is_draining()) {
    m_counters.AddRefusal(ErrorKind::kShardUnavailable);
    out.Add(AnswerCaller{request,
                         Error{ErrorKind::kShardUnavailable, "this entry has not joined yet"}});
    return;
  }
  m_router.Submit(request, std::move(job), view(), now, out);
}

void EntryNode::Query(RequestId request, const JobKey& key, Now now, Outbox& out) {
  m_router.Query(request, key, view(), now, out);
}

void EntryNode::Cancel(RequestId request, const JobKey& key, Now now, Outbox& out) {
  m_router.Cancel(request, key, view(), now, out);
}

void EntryNode::Abandon(RequestId request) { m_router.Abandon(request); }

void EntryNode::RequestChange(RequestId request, OperatorChange change, Now now, Outbox& out) {
  if (const auto* proposal = std::get_if<ProposeBundle>(&change.change)) {
    const auto parsed = ParseBundle(proposal->body);
    if (const auto* faults = std::get_if<Faults>(&parsed)) {
      m_counters.AddRefusal(ErrorKind::kInvalidBundle);
      out.Add(AnswerOperator{request, Error{ErrorKind::kInvalidBundle, FormatFaults(*faults)}});
      return;
    }
  }
  m_membership.RequestChange(request, std::move(change), now, out);
}

void EntryNode::BeginDrain(Now now, Outbox& out) {
  if (m_lifecycle.is_draining()) return;
  m_lifecycle.BeginDrain();
  m_router.BeginDrain();
  m_membership.BeginDrain(now, out);
}

bool EntryNode::IsDrained() const { return m_lifecycle.has_left(); }

bool EntryNode::IsReady() const {
  return m_membership.IsListed() && m_membership.bundle_version() > 0 && !m_lifecycle.is_draining();
}

EntryGauges EntryNode::gauges(Now now) const {
  EntryGauges gauges;
  gauges.waiting_requests = m_router.waiting();
  gauges.forward_records = m_router.forward_records();
  gauges.listed_entries = table().Entries().size();
  gauges.listed_sidecars = table().Sidecars().size();
  gauges.control_version = control().version;
  gauges.members_version = table().version();
  gauges.bundle_version = m_membership.bundle_version();
  gauges.fresh = m_membership.IsFresh(now.steady);
  gauges.listed = m_membership.IsListed();
  gauges.store_reachable = m_membership.IsStoreReachable();
  return gauges;
}

InForceStatus EntryNode::InForce(Version control_version, Now now) const {
  return m_membership.InForce(control_version, now.steady);
}

void EntryNode::ApplyViewChanges(Now now, Outbox& out) {
  const bool bundle_changed = m_membership.bundle_version() != m_bundle.version;
  if (bundle_changed) {
    // The body was checked before it was proposed; a body that cannot be read leaves the old one in
    // use.
    auto parsed = ParseBundle(m_membership.bundle_text());
    if (auto* bundle = std::get_if<Bundle>(&parsed)) m_bundle = std::move(*bundle);
    m_membership.SetTombstoneRetention(m_bundle.limits.max_deadline + m_bundle.limits.retention);
    m_bundle.version = m_membership.bundle_version();
  }
  const bool rows_changed = m_applied_control_version != control().version ||
                            m_applied_members_version != table().version();
  if (!rows_changed && !bundle_changed) return;

  m_applied_control_version = control().version;
  m_applied_members_version = table().version();
  m_router.OnViewChanged(view(), now, out);
}

void EntryNode::UpdateQuotaShares(Now now) {
  if (now.steady < m_next_quota_update_at) return;
  m_next_quota_update_at = now.steady + kQuotaUpdatePeriod;

  m_membership.SetDemands(m_router.Demands(now));
  const auto demands = m_membership.Demands();
  std::vector<std::pair<std::string, double>> shares;
  for (const TeamConfig& team : m_bundle.teams) {
    std::vector<std::uint32_t> by_entry;
    std::size_t own = 0;
    for (const auto& [entry, teams] : demands) {
      if (entry == m_self.id) own = by_entry.size();
      std::uint32_t demand = 0;
      for (const TeamDemand& team_demand : teams) {
        if (team_demand.team == team.name) demand = team_demand.tasks_per_second;
      }
      by_entry.push_back(demand);
    }
    if (by_entry.empty()) continue;
    shares.emplace_back(team.name, QuotaShares::Split(by_entry)[own]);
  }
  m_router.SetQuotaShares(std::move(shares));
}

void EntryNode::UpdateLifecycle(Now now, Outbox& out) {
  const Member* self = table().Find(m_self.id);
  NodeObservation observation;
  observation.listed = m_membership.IsListed();
  observation.listed_draining =
      observation.listed && self != nullptr && self->state == MemberState::kDraining;
  observation.work_done = m_router.waiting() == 0;
  observation.left = m_membership.has_left();
  m_lifecycle.Observe(observation);
  if (m_lifecycle.is_handing_over() && !std::exchange(m_leave_requested, true)) {
    m_membership.Leave(now, out);
  }
  m_zones.Update(control(), InForce(control().version, now).in_force, m_bundle.limits.return_ramp,
                 now);
}

}  // namespace foxtailrudder
