#include "coordination/coordinator.h"

#include "coordination/internal/coordinator_impl.h"

namespace foxtailrudder {
namespace {

constexpr std::chrono::milliseconds kRefreshPeriod{100};

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

Coordinator::Impl::Impl(CoordinatorOptions options, Counters* counters)
    : m_options(options),
      m_counters(counters),
      m_pool(options.choice, options.spread, options.seed),
      m_ownership(options.takeover_evidence),
      m_retry_budget(LimitsConfig().retry_budget_percent) {}

bool Coordinator::Impl::MayDecide(const PermitHolder& permit, Now now) {
  m_decide_deadline = permit.decide_deadline();
  return !m_options.decide_permit || permit.MayDecide(now.steady);
}

void Coordinator::Impl::Tick(Input& in) {
  if (in.now.steady >= m_next_refresh) {
    m_next_refresh = in.now.steady + kRefreshPeriod;
    m_pool.Refresh(in.view, in.now);
    m_refusals.DropExpired(in.now.wall);
    ExpireHeldAttaches(in);
    CountDoubtful(in.now);
    DropReleased(in);
  }
  for (const ClaimId id : std::exchange(m_jobs_awaiting_permit, {})) {
    if (Claim* claim = m_claims.Find(id)) EndJobIfDone(*claim, in);
  }
  while (Claim* claim = m_claims.NextDue(in.now.wall)) OnClaimEvent(*claim, in);
  RequestHandovers(in);
  BeginEvidenceCollection(in);
  m_evidence.Tick(in.view, in.now, in.out);
  FinishEvidenceCollection(in);
  QueryUnresolvedDispatches(in);
  DispatchQueued(in);
}

Coordinator::Coordinator(CoordinatorOptions options, Counters* counters)
    : m_impl(std::make_unique<Impl>(options, counters)) {}
Coordinator::Coordinator(Coordinator&&) noexcept = default;
Coordinator& Coordinator::operator=(Coordinator&&) noexcept = default;
Coordinator::~Coordinator() = default;

bool Coordinator::OnMessage(const Envelope& envelope, const ClusterView& view,
                            const PermitHolder& permit, Now now, Outbox& out) {
  CoordinatorInput in{view, m_impl->MayDecide(permit, now), now, out};
  Impl& impl = *m_impl;
  const NodeRef from = envelope.from;
  bool handled = true;
  std::visit(
      Overloaded{
          [&](const ForwardJob& message) { impl.OnForwardJob(from, message, in); },
          [&](const CancelJob& message) { impl.OnCancelJob(from, message, in); },
          [&](const QueryJob& message) { impl.OnQueryJob(from, message, in); },
          [&](const TaskRefused& message) { impl.OnTaskRefused(from, message, in); },
          [&](const TaskFinished& message) { impl.OnTaskFinished(from, message, in); },
          [&](const TaskState& message) { impl.OnTaskState(from, message, in); },
          [&](const EvidenceReply& message) { impl.OnEvidenceReply(from, message, in); },
          [&](const HandoverRequest& message) { impl.OnHandoverRequest(from, message, in); },
          [&](const Handover& message) { impl.OnHandover(from, message, in); },
          [&](const HandoverAck& message) { impl.OnHandoverAck(from, message, in); },
          [&](const WrongIncarnation& message) { impl.OnWrongIncarnation(from, message, in); },
          [&](const auto& /*other*/) { handled = false; },
      },
      envelope.message);
  return handled;
}

void Coordinator::OnViewChanged(const ClusterView& view, const PermitHolder& permit, Now now,
                                Outbox& out) {
  CoordinatorInput in{view, false, now, out};
  m_impl->OnViewChanged(in);
  in.may_decide = m_impl->MayDecide(permit, now);
  m_impl->Tick(in);
}

void Coordinator::OnPeerDisconnected(NodeId peer, const ClusterView& view, Now now, Outbox& out) {
  CoordinatorInput in{view, false, now, out};
  m_impl->OnPeerDisconnected(peer, in);
}

void Coordinator::Tick(const ClusterView& view, const PermitHolder& permit, Now now, Outbox& out) {
  CoordinatorInput in{view, m_impl->MayDecide(permit, now), now, out};
  m_impl->Tick(in);
}

std::uint32_t Coordinator::queued_tasks() const { return m_impl->queued_tasks(); }
std::size_t Coordinator::claims() const { return m_impl->claims(); }
std::size_t Coordinator::owned_shards() const { return m_impl->owned_shards(); }
std::size_t Coordinator::pending_shards() const { return m_impl->pending_shards(); }
std::size_t Coordinator::doubtful_shards() const { return m_impl->doubtful_shards(); }
bool Coordinator::IsDrained() const { return m_impl->IsDrained(); }

}  // namespace foxtailrudder
