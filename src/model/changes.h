#pragma once

#include <optional>
#include <string>
#include <variant>

#include "model/ids.h"
#include "model/rows.h"

namespace foxtailrudder {

// Operators' changes to the control row. ForgetEntry changes the member row instead.

struct ProposeBundle {
  std::string digest;
  std::string body;
};

/// Accepts a proposed bundle. The approver must differ from the proposer.
struct ApproveBundle {
  std::string digest;
  /// Version of the bundle that was in force when the approver looked.
  Version expected_version = 0;
};

struct SetZoneState {
  std::string zone;
  ZoneState state = ZoneState::kOut;
  /// ZoneRecord::changed_version that the operator saw; if unset, any version is accepted.
  std::optional<Version> expected_version;
};

struct SetEndpointDrain {
  std::string name;
  bool drain = true;
};

/// Removes a listed entry that the operator knows to be gone, without waiting for its promise
/// (PromiseRequest). Changes the member row.
struct ForgetEntry {
  std::string name;
};

/// A change by one operator. The change id ensures that a retry after a lost reply applies once.
struct OperatorChange {
  std::string change_id;
  std::string operator_name;
  std::variant<ProposeBundle, ApproveBundle, SetZoneState, SetEndpointDrain, ForgetEntry> change;
};

/// Reply to an accepted change, with the version of the control row that contains it.
struct ChangeApplied {
  std::string change_id;
  Version control_version = 0;
  /// Set if the change accepted a bundle.
  Version bundle_version = 0;
};

/// How many member sidecars have acknowledged a version of the control row. The version is in force
/// if the answering entry has it or a newer one and each of these sidecars has acknowledged it or
/// lapsed. A sidecar has lapsed if it has not acknowledged the version and its last contact known
/// to the entry is older than the staleness bound, so that its permit has expired.
struct InForceStatus {
  Version control_version = 0;
  std::uint32_t members = 0;
  std::uint32_t acknowledged = 0;
  /// Members that have not acknowledged it, but whose permits have expired.
  std::uint32_t lapsed = 0;
  bool in_force = false;
};

}  // namespace foxtailrudder
