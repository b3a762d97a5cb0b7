#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "model/model.h"
#include "node/node.h"

namespace foxtailrudder {

// JSON formats of the operators' interface, described in docs/api.md.

std::variant<OperatorChange, Error> ParseOperatorChange(std::string_view body);
std::string FormatOperatorChange(const OperatorChange& change);

std::string FormatChangeApplied(const ChangeApplied& applied);
std::string FormatInForce(const InForceStatus& status);
std::string FormatEntryStatus(const EntryNode& node, const Member& self, Now now);
std::string FormatBundleStatus(const ControlRow& control);
/// Includes zones of the bundle that have no record in the control row.
std::string FormatZones(const ControlRow& control, const Bundle& bundle, const ZoneTracker& phases);
std::string FormatEndpoints(const MemberTable& table, const ControlRow& control);

}  // namespace foxtailrudder
