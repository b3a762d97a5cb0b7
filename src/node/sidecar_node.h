#pragma once

#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/coordination.h"
#include "membership/membership.h"
#include "model/model.h"
#include "node/node_lifecycle.h"

namespace foxtailrudder {

struct SidecarNodeConfig {
  /// Name, incarnation, address, zone, rack and worker of this sidecar; the id is derived from the
  /// name.
  Member self;
  std::vector<NodeId> seed_entries;
  CoordinatorOptions coordinator;
  /// If false, tasks start without a valid permit. Only for tests of the checker.
  bool check_permit = true;
};

/// Current values of a sidecar for metrics and the status page.
struct SidecarGauges {
  std::uint32_t running_tasks = 0;
  std::uint32_t free_slots = 0;
  std::uint32_t queued_tasks = 0;
  std::size_t claims = 0;
  std::size_t start_records = 0;
  std::size_t owned_shards = 0;
  std::size_t pending_shards = 0;
  std::size_t doubtful_shards = 0;
  Version control_version = 0;
  Version members_version = 0;
  Version bundle_version = 0;
  bool may_start = false;
  bool may_decide = false;
};

/// Decision logic of a sidecar process. It performs no I/O and reads no clock: callers pass inputs
/// with the current time, and it adds the resulting actions to an Outbox.
class SidecarNode {
 public:
  static std::variant<std::unique_ptr<SidecarNode>, Error> Create(SidecarNodeConfig config);

  /// Must be called at least every 50 ms.
  void Tick(Now now, Outbox& out);

  void OnEnvelope(const Envelope& envelope, Now now, Outbox& out);
  void OnDisconnected(NodeId peer, Now now, Outbox& out);

  /// Sets the announcement of the endpoint, or nullopt after the announcement has expired.
  void SetEndpoint(std::optional<EndpointInfo> endpoint);
  /// Sets whether the endpoint has asked to leave; false after it has come back.
  void SetEndpointLeaving(bool leaving);
  void OnTaskDone(const TaskRef& task, TaskOutcome outcome, Now now, Outbox& out);
  void OnTaskNotStarted(const TaskRef& task, ErrorKind reason, Now now, Outbox& out);

  /// Begins a planned stop: starts no new tasks, finishes running ones and hands over the shards.
  void BeginDrain();
  bool IsDrained() const;

  /// True if this sidecar is listed as active and holds a valid decide permit.
  bool IsReady(Now now) const;
  SidecarGauges gauges(Now now) const;
  const Counters& counters() const { return *m_counters; }
  const MemberTable& table() const { return m_membership.table(); }
  const ControlRow& control() const { return m_membership.control(); }
  const Bundle& bundle() const { return m_bundle; }
  /// Name of the process phase, for logs.
  std::string_view phase_name() const { return m_lifecycle.phase_name(); }

 private:
  SidecarNode(const SidecarNodeConfig& config, std::unique_ptr<Counters> counters,
              SidecarMembership membership);

  ClusterView view() const;
  const PermitHolder& permit() const;
  void ApplyViewChanges(Now now, Outbox& out);
  void ApplyLeaving();
  void UpdateLifecycle();

  NodeRef m_self;
  std::unique_ptr<Counters> m_counters;
  SidecarMembership m_membership;
  Coordinator m_coordinator;
  Executor m_executor;
  Bundle m_bundle;
  PermitHolder m_unlimited_permit;
  Version m_applied_control_version = 0;
  Version m_applied_members_version = 0;
  bool m_check_permit = true;
  bool m_endpoint_leaving = false;
  NodeLifecycle m_lifecycle;
};

}  // namespace foxtailrudder
