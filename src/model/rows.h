#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/ids.h"
#include "model/time.h"

namespace foxtailrudder {

/// Maximum number of change records kept in a row. 64 changes span 13 minutes at 7,100 changes a
/// day, and a lost write reply is resolved within seconds.
inline constexpr std::size_t kMaxChangeRecords = 64;

/// An entry accepts the requests of callers and operators. A sidecar runs next to an endpoint and
/// starts tasks on it.
enum class NodeRole : std::uint8_t { kEntry, kSidecar };

/// A draining member accepts no new tasks and owns no shards, but finishes the tasks that it has.
enum class MemberState : std::uint8_t { kActive, kDraining };

/// One entry or sidecar in the member row of a region.
struct Member {
  NodeId id = 0;
  Incarnation incarnation = 0;
  std::string name;
  NodeRole role = NodeRole::kSidecar;
  MemberState state = MemberState::kActive;
  /// IP address and port of the internal protocol, for example "127.0.0.1:7101".
  std::string address;
  /// HTTP address of an entry; empty for a sidecar.
  std::string http_address;
  std::string zone;
  std::string rack;
  std::string worker;
  /// Service of the announced endpoint; empty while no endpoint is announced.
  std::string service;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  /// Version of the member row that first listed this incarnation.
  Version joined_version = 0;
  WallTime joined_at;

  friend bool operator==(const Member&, const Member&) = default;
};

/// A member that was lost together with its records. Kept until none of the records that it may
/// have held is needed any more.
struct Tombstone {
  NodeId id = 0;
  Incarnation incarnation = 0;
  NodeRole role = NodeRole::kSidecar;
  std::string service;
  std::string zone;
  std::string rack;
  WallTime lost_at;
  WallTime keep_until;

  friend bool operator==(const Tombstone&, const Tombstone&) = default;
};

/// An applied change. After a lost write reply, the writer reads the row and looks for its record.
struct ChangeRecord {
  std::string change_id;
  std::string operator_name;
  /// What was changed; shown to an operator whose concurrent change conflicts with it.
  std::string summary;
  Version version = 0;

  friend bool operator==(const ChangeRecord&, const ChangeRecord&) = default;
};

/// The member row, members/<region>: the entries and sidecars of a region.
struct MembersRow {
  Version version = 0;
  std::vector<Member> members;
  std::vector<Tombstone> tombstones;
  std::vector<ChangeRecord> changes;

  friend bool operator==(const MembersRow&, const MembersRow&) = default;
};

/// The difference between two versions of a member row; a full copy if from_version is 0.
struct MembersDelta {
  Version from_version = 0;
  Version to_version = 0;
  std::vector<Member> upserts;
  std::vector<NodeId> removals;
  std::vector<Tombstone> tombstones;

  friend bool operator==(const MembersDelta&, const MembersDelta&) = default;
};

enum class ZoneState : std::uint8_t { kIn, kOut };

struct ZoneRecord {
  std::string zone;
  ZoneState state = ZoneState::kIn;
  /// Version of the control row that last changed this zone. An operator's change may require it.
  Version changed_version = 0;
  /// When the zone last returned to service; its share of new work ramps up from then.
  WallTime returned_at;

  friend bool operator==(const ZoneRecord&, const ZoneRecord&) = default;
};

/// An operator's request to drain one endpoint, identified by its sidecar.
struct DrainRecord {
  NodeId id = 0;
  std::string name;
  Version changed_version = 0;

  friend bool operator==(const DrainRecord&, const DrainRecord&) = default;
};

/// A configuration bundle that awaits the approval of a second operator.
struct BundleProposal {
  std::string digest;
  std::string proposed_by;
  WallTime proposed_at;

  friend bool operator==(const BundleProposal&, const BundleProposal&) = default;
};

/// An accepted configuration bundle. Its body is in the object store under its digest.
struct AcceptedBundle {
  Version bundle_version = 0;
  std::string digest;
  std::string proposed_by;
  std::string approved_by;
  WallTime accepted_at;

  friend bool operator==(const AcceptedBundle&, const AcceptedBundle&) = default;
};

/// The control row: the operators' settings of bundle, zones and drains.
struct ControlRow {
  Version version = 0;
  AcceptedBundle bundle;
  /// Earlier accepted bundles, newest first, for `ctl bundle history`.
  std::vector<AcceptedBundle> bundle_history;
  std::vector<BundleProposal> proposals;
  std::vector<ZoneRecord> zones;
  std::vector<DrainRecord> drains;
  std::vector<ChangeRecord> changes;

  friend bool operator==(const ControlRow&, const ControlRow&) = default;
};

}  // namespace foxtailrudder
