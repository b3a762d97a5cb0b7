#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "coordination/coordination.h"
#include "membership/membership.h"
#include "model/model.h"
#include "node/node_lifecycle.h"
#include "node/zone_tracker.h"

namespace foxtailrudder {

struct EntryNodeConfig {
  /// Name, incarnation, addresses, zone and rack of this entry; the id is derived from the name.
  Member self;
  std::string region;
  OutageMode outage_mode = OutageMode::kConfirmByQuorum;
  /// If false, non-idempotent keys are not claimed in the store. Only for tests of the checker.
  bool durable_claims = true;
  std::uint64_t seed = 1;
};

/// Current values of an entry for metrics and the status page.
struct EntryGauges {
  std::size_t waiting_requests = 0;
  std::size_t forward_records = 0;
  std::size_t listed_entries = 0;
  std::size_t listed_sidecars = 0;
  Version control_version = 0;
  Version members_version = 0;
  Version bundle_version = 0;
  bool fresh = false;
  bool listed = false;
  bool store_reachable = false;
};

/// Decision logic of an entry process. It performs no I/O and reads no clock: callers pass inputs
/// with the current time, and it adds the resulting actions to an Outbox.
class EntryNode {
 public:
  static std::variant<std::unique_ptr<EntryNode>, Error> Create(EntryNodeConfig config);

  void Start(Now now, Outbox& out);
  /// Must be called at least every 50 ms.
  void Tick(Now now, Outbox& out);

  void OnEnvelope(const Envelope& envelope, Now now, Outbox& out);
  void OnDisconnected(NodeId peer, Now now, Outbox& out);
  void OnStoreResult(const StoreResult& result, Now now, Outbox& out);

  void Submit(RequestId request, JobSpec job, Now now, Outbox& out);
  void Query(RequestId request, const JobKey& key, Now now, Outbox& out);
  void Cancel(RequestId request, const JobKey& key, Now now, Outbox& out);
  void Abandon(RequestId request);
  void RequestChange(RequestId request, OperatorChange change, Now now, Outbox& out);

  /// Begins a planned stop: refuses new submissions and answers the waiting ones.
  void BeginDrain(Now now, Outbox& out);
  /// True when the planned stop is complete and the process may exit.
  bool IsDrained() const;

  /// True if the entry accepts traffic from callers: it is listed, has a bundle and is not
  /// draining.
  bool IsReady() const;
  EntryGauges gauges(Now now) const;
  const Counters& counters() const { return m_counters; }
  const MemberTable& table() const { return m_membership.table(); }
  const ControlRow& control() const { return m_membership.control(); }
  const Bundle& bundle() const { return m_bundle; }
  const std::string& bundle_text() const { return m_membership.bundle_text(); }
  InForceStatus InForce(Version control_version, Now now) const;
  const ZoneTracker& zones() const { return m_zones; }
  /// Name of the process phase, for logs and the status page.
  std::string_view phase_name() const { return m_lifecycle.phase_name(); }

 private:
  EntryNode(const EntryNodeConfig& config, std::unique_ptr<Counters> counters,
            EntryMembership membership);

  ClusterView view() const;
  void ApplyViewChanges(Now now, Outbox& out);
  void UpdateQuotaShares(Now now);
  void UpdateLifecycle(Now now, Outbox& out);

  NodeRef m_self;
  std::unique_ptr<Counters> m_owned_counters;
  Counters& m_counters;
  EntryMembership m_membership;
  JobRouter m_router;
  Bundle m_bundle;
  Version m_applied_control_version = 0;
  Version m_applied_members_version = 0;
  SteadyTime m_next_quota_update_at{};
  NodeLifecycle m_lifecycle;
  ZoneTracker m_zones;
  bool m_leave_requested = false;
};

}  // namespace foxtailrudder
