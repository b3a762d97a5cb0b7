#pragma once

#include <memory>
#include <string>

#include "coordination/cluster_view.h"
#include "model/model.h"

namespace foxtailrudder {

/// Load-balancing policy by which a coordinator selects the executor of a task (implemented in
/// policy/executor_choice.h).
enum class ChoiceKind : std::uint8_t { kTwoChoices, kLeastOutstanding, kRoundRobin, kRandom };

/// Load-balancing policy and safety mechanisms of a coordinator. Tests switch off single mechanisms
/// to verify that the history checkers detect the resulting violation.
struct CoordinatorOptions {
  ChoiceKind choice = ChoiceKind::kTwoChoices;
  /// Off: every ForwardJob creates a new claim (violates invariant 1).
  bool claims = true;
  /// Off: a new owner decides immediately, without the wait and the evidence of a takeover
  /// (violates invariant 1).
  bool takeover_evidence = true;
  /// Off: decides without a valid decide permit (violates invariants 1 and 5).
  bool decide_permit = true;
  /// Off: a task whose executor was lost is dispatched again (violates invariants 1 and 6).
  bool outcome_unknown = true;
  /// Off: executors are selected regardless of the zone and rack of the entry and the coordinator.
  bool spread = true;
  std::uint64_t seed = 1;
};

/// Decides on the jobs of the shards that one sidecar owns: claims idempotency keys, queues and
/// dispatches tasks, collects outcomes, retains answers, and hands over or takes over shards. Does
/// no I/O and reads no clock: the caller passes in messages and the time.
class Coordinator {
 public:
  Coordinator(CoordinatorOptions options, Counters* counters);
  Coordinator(Coordinator&&) noexcept;
  Coordinator& operator=(Coordinator&&) noexcept;
  ~Coordinator();

  /// Handles the messages of entries and executors about jobs, and those of handover and takeover.
  /// Returns false for other messages.
  bool OnMessage(const Envelope& envelope, const ClusterView& view, const PermitHolder& permit,
                 Now now, Outbox& out);

  /// Applies a newer member table or control row. Call before any other input after the change.
  void OnViewChanged(const ClusterView& view, const PermitHolder& permit, Now now, Outbox& out);

  /// The connection to a node was lost. Sends a TaskQuery for each open dispatch to it.
  void OnPeerDisconnected(NodeId peer, const ClusterView& view, Now now, Outbox& out);

  void Tick(const ClusterView& view, const PermitHolder& permit, Now now, Outbox& out);

  std::uint32_t queued_tasks() const;
  std::size_t claims() const;
  /// Shards for which this sidecar currently decides.
  std::size_t owned_shards() const;
  /// Shards that it owns but may not decide for yet.
  std::size_t pending_shards() const;
  /// Shards where all processes that knew one of the keys may have been lost.
  std::size_t doubtful_shards() const;
  /// True when a draining coordinator has handed over every shard and has no open dispatch.
  bool IsDrained() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
