#include "membership/internal/control_change.h"

#include <algorithm>
#include <string>

namespace foxtailrudder {
namespace {

constexpr std::size_t kMaxProposals = 16;
constexpr std::size_t kMaxBundleHistory = 32;

std::string SummaryOf(const ProposeBundle& change) { return "propose bundle " + change.digest; }
std::string SummaryOf(const ApproveBundle& change) { return "approve bundle " + change.digest; }
std::string SummaryOf(const SetZoneState& change) {
  return "set zone " + change.zone + (change.state == ZoneState::kOut ? " out" : " in");
}
std::string SummaryOf(const SetEndpointDrain& change) {
  return (change.drain ? "drain endpoint " : "end drain of endpoint ") + change.name;
}

std::string SummaryOf(const ForgetEntry& change) { return "forget entry " + change.name; }

/// "<operator> changed it in version <v> (<summary>)", for the operator whose change conflicts.
std::string DescribeChange(const ControlRow& row, Version version) {
  const auto found = std::ranges::find(row.changes, version, &ChangeRecord::version);
  if (found == row.changes.end()) return "it was changed in version " + std::to_string(version);
  return found->operator_name + " changed it in version " + std::to_string(version) + " (" +
         found->summary + ")";
}

std::optional<Error> Apply(ControlRow& row, const ProposeBundle& change, const OperatorChange& by,
                           WallTime now) {
  const auto same = [&](const BundleProposal& proposal) {
    return proposal.digest == change.digest;
  };
  // A repeated proposal keeps the first proposer, so that nobody becomes able to approve their own
  // bundle.
  if (std::ranges::any_of(row.proposals, same)) return std::nullopt;
  row.proposals.push_back({change.digest, by.operator_name, now});
  if (row.proposals.size() > kMaxProposals) row.proposals.erase(row.proposals.begin());
  return std::nullopt;
}

std::optional<Error> Apply(ControlRow& row, const ApproveBundle& change, const OperatorChange& by,
                           WallTime now) {
  if (row.bundle.bundle_version != change.expected_version) {
    return Error{ErrorKind::kVersionConflict,
                 "bundle version " + std::to_string(row.bundle.bundle_version) +
                     " is in force, not " + std::to_string(change.expected_version) + ": " +
                     row.bundle.approved_by + " changed it (approve bundle " + row.bundle.digest +
                     ")"};
  }
  const auto proposal = std::ranges::find(row.proposals, change.digest, &BundleProposal::digest);
  if (proposal == row.proposals.end()) {
    return Error{ErrorKind::kNotFound, "no proposed bundle has the digest " + change.digest};
  }
  if (proposal->proposed_by == by.operator_name) {
    return Error{ErrorKind::kNotApproved,
                 by.operator_name + " proposed the bundle; another operator must approve it"};
  }
  if (row.bundle.bundle_version > 0) {
    row.bundle_history.insert(row.bundle_history.begin(), row.bundle);
    if (row.bundle_history.size() > kMaxBundleHistory) row.bundle_history.pop_back();
  }
  row.bundle = {row.bundle.bundle_version + 1, change.digest, proposal->proposed_by,
                by.operator_name, now};
  row.proposals.erase(proposal);
  return std::nullopt;
}

std::optional<Error> Apply(ControlRow& row, const SetZoneState& change,
                           const OperatorChange& /*by*/, WallTime now) {
  auto zone = std::ranges::find(row.zones, change.zone, &ZoneRecord::zone);
  const Version changed = zone == row.zones.end() ? 0 : zone->changed_version;
  if (change.expected_version && *change.expected_version != changed) {
    return Error{ErrorKind::kVersionConflict,
                 "zone " + change.zone + ": " + DescribeChange(row, changed)};
  }
  if (zone == row.zones.end()) {
    row.zones.push_back({change.zone, ZoneState::kIn, 0, {}});
    zone = std::prev(row.zones.end());
  }
  const bool returns = zone->state == ZoneState::kOut && change.state == ZoneState::kIn;
  if (returns) zone->returned_at = now;
  zone->state = change.state;
  zone->changed_version = row.version;
  return std::nullopt;
}

std::optional<Error> Apply(ControlRow& row, const SetEndpointDrain& change,
                           const OperatorChange& /*by*/, WallTime /*now*/) {
  std::erase_if(row.drains, [&](const DrainRecord& drain) { return drain.name == change.name; });
  if (change.drain) row.drains.push_back({NodeIdOf(change.name), change.name, row.version});
  return std::nullopt;
}

std::optional<Error> Apply(ControlRow& /*row*/, const ForgetEntry& /*change*/,
                           const OperatorChange& /*by*/, WallTime /*now*/) {
  return Error{ErrorKind::kInternal,
               "a forget-entry change applies to the member row, not to the control row"};
}

}  // namespace

ZoneState ZoneStateOf(const ControlRow& row, std::string_view zone) {
  const auto found = std::ranges::find(row.zones, zone, &ZoneRecord::zone);
  return found == row.zones.end() ? ZoneState::kIn : found->state;
}

bool IsDrainedByOperator(const ControlRow& row, NodeId sidecar) {
  return std::ranges::any_of(row.drains,
                             [&](const DrainRecord& drain) { return drain.id == sidecar; });
}

std::optional<ChangeApplied> FindApplied(const ControlRow& row, std::string_view change_id) {
  const auto found = std::ranges::find(row.changes, change_id, &ChangeRecord::change_id);
  if (found == row.changes.end()) return std::nullopt;
  ChangeApplied applied{found->change_id, found->version, 0};
  // A later bundle may have been accepted since, so the bundle is identified by its digest.
  const auto accepted = [&](const AcceptedBundle& bundle) {
    return found->summary == SummaryOf(ApproveBundle{bundle.digest, 0});
  };
  if (accepted(row.bundle)) applied.bundle_version = row.bundle.bundle_version;
  for (const AcceptedBundle& bundle : row.bundle_history) {
    if (applied.bundle_version == 0 && accepted(bundle)) {
      applied.bundle_version = bundle.bundle_version;
    }
  }
  return applied;
}

std::variant<ControlRow, Error> ApplyChange(const ControlRow& row, const OperatorChange& change,
                                            WallTime now) {
  ControlRow next = row;
  ++next.version;
  const auto apply = [&](const auto& part) { return Apply(next, part, change, now); };
  if (const auto error = std::visit(apply, change.change)) return *error;
  const auto summarise = [](const auto& part) { return SummaryOf(part); };
  next.changes.push_back(
      {change.change_id, change.operator_name, std::visit(summarise, change.change), next.version});
  if (next.changes.size() > kMaxChangeRecords) next.changes.erase(next.changes.begin());
  return next;
}

}  // namespace foxtailrudder
