#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "membership/member_table.h"
#include "membership/placement.h"
#include "membership/timing.h"
#include "model/model.h"

namespace foxtailrudder {

/// Behaviour of an entry while it cannot read the store.
enum class OutageMode : std::uint8_t {
  /// Stays fresh while a majority of the listed entries confirms that its rows are current.
  kConfirmByQuorum,
  /// Stops being fresh once the freshness bound has passed. Serves as a baseline for measurements.
  kStop,
  /// Stays fresh without confirmation. Violates the zone take-out during a partition; exists to
  /// verify that the checker detects this.
  kUnchecked,
};

struct EntryMembershipConfig {
  /// The record to list for this entry in the member row; name, addresses, zone and rack must be
  /// set.
  Member self;
  std::string region;
  OutageMode outage_mode = OutageMode::kConfirmByQuorum;
  /// Tombstone retention until SetTombstoneRetention is called.
  std::chrono::milliseconds tombstone_retention{720'000};
  /// Seed for the jitter between write attempts.
  std::uint64_t seed = 1;
};

/// The entry side of cluster membership: reads and writes the control and member rows, serves as
/// home entry for sidecars (the entry that answers their heartbeats and grants their permits), and
/// reports how far a version has propagated. Does no I/O and reads no clock.
class EntryMembership {
 public:
  static std::variant<EntryMembership, Error> Create(EntryMembershipConfig config,
                                                     Counters* counters);

  EntryMembership(EntryMembership&&) noexcept;
  EntryMembership& operator=(EntryMembership&&) noexcept;
  ~EntryMembership();

  /// Starts reading the rows and joining the cluster. Call once.
  void Start(Now now, Outbox& out);

  /// Must be called at least every 50 ms.
  void Tick(Now now, Outbox& out);

  /// Returns false if the message type is handled by another module.
  bool OnMessage(const Envelope& envelope, Now now, Outbox& out);

  /// Returns false if the operation was not started here.
  bool OnStoreResult(const StoreResult& result, Now now, Outbox& out);

  /// Starts an operator's change. The outcome follows as an AnswerOperator output.
  void RequestChange(RequestId request, OperatorChange change, Now now, Outbox& out);

  /// Sets the retention of tombstones written from now on. It must cover the longest time for which
  /// a record of a lost member can matter: the latest deadline plus the retention of the bundle.
  void SetTombstoneRetention(std::chrono::milliseconds retention);

  /// Sets the demand of the teams at this entry, sent to the peers with the next status.
  void SetDemands(std::vector<TeamDemand> demands);

  /// Latest known demands by entry, for all listed entries including this one.
  std::vector<std::pair<NodeId, std::vector<TeamDemand>>> Demands() const;

  /// Marks this entry as draining in the member row. Call Leave once the drain is complete.
  void BeginDrain(Now now, Outbox& out);
  /// Removes this entry from the member row. Call when no request is pending.
  void Leave(Now now, Outbox& out);
  bool has_left() const;

  /// The newest rows known to this entry. Versions never decrease.
  const MemberTable& table() const;
  const Placement& placement() const;
  const ControlRow& control() const;
  /// Text and version of the newest accepted bundle whose body has been read.
  const std::string& bundle_text() const;
  Version bundle_version() const;

  /// True while both rows were current less than F (kFreshnessBound) ago and the text of the
  /// accepted bundle is available.
  bool IsFresh(SteadyTime now) const;
  /// True if this incarnation is listed in the member row.
  bool IsListed() const;
  bool IsStoreReachable() const;

  InForceStatus InForce(Version control_version, SteadyTime now) const;

 private:
  class Impl;
  explicit EntryMembership(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
