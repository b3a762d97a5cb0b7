#include "app/internal/operator_codec.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

#include "config/config.h"

namespace foxtailrudder {
namespace {

namespace json = boost::json;

/// Reads members of a JSON object. Keeps the first error and the keys that were read.
class Reader {
 public:
  explicit Reader(const json::object& object) : m_object(object) {}

  std::string String(std::string_view key) {
    const json::value* value = Find(key);
    if (value == nullptr || !value->is_string() || value->as_string().empty()) {
      return Fail(key, "must be a non-empty string"), std::string();
    }
    return std::string(value->as_string());
  }

  std::optional<Version> OptionalVersion(std::string_view key) {
    const json::value* value = Find(key);
    if (value == nullptr) return std::nullopt;
    if (value->is_int64() && value->as_int64() >= 0) return static_cast<Version>(value->as_int64());
    if (value->is_uint64()) return value->as_uint64();
    Fail(key, "must be a version number");
    return std::nullopt;
  }

  bool Bool(std::string_view key) {
    const json::value* value = Find(key);
    if (value == nullptr || !value->is_bool()) return Fail(key, "must be true or false"), false;
    return value->as_bool();
  }

  void Fail(std::string_view key, std::string_view message) {
    if (m_fault.empty()) m_fault = "/" + std::string(key) + ": " + std::string(message);
  }

  /// Returns the first error; a key that was never read counts as an error.
  std::optional<Error> Finish() {
    for (const auto& member : m_object) {
      if (m_read_keys.count(member.key()) == 0) Fail(member.key(), "unknown member");
    }
    if (m_fault.empty()) return std::nullopt;
    return Error{ErrorKind::kMalformedRequest, m_fault};
  }

 private:
  const json::value* Find(std::string_view key) {
    m_read_keys.insert(std::string(key));
    return m_object.if_contains(key);
  }

  const json::object& m_object;
  std::set<std::string, std::less<>> m_read_keys;
  std::string m_fault;
};

void ReadChange(Reader& reader, const std::string& type, OperatorChange& change) {
  if (type == "propose_bundle") {
    const std::string body = reader.String("bundle");
    change.change = ProposeBundle{DigestOfBundle(body), body};
  } else if (type == "approve_bundle") {
    const std::string digest = reader.String("digest");
    change.change = ApproveBundle{digest, reader.OptionalVersion("expected_version").value_or(0)};
  } else if (type == "set_zone") {
    const std::string zone = reader.String("zone");
    const std::string state = reader.String("state");
    if (state != "in" && state != "out") reader.Fail("state", "must be \"in\" or \"out\"");
    change.change = SetZoneState{zone, state == "out" ? ZoneState::kOut : ZoneState::kIn,
                                 reader.OptionalVersion("expected_version")};
  } else if (type == "set_endpoint_drain") {
    const std::string name = reader.String("name");
    change.change = SetEndpointDrain{name, reader.Bool("drain")};
  } else if (type == "forget_entry") {
    change.change = ForgetEntry{reader.String("name")};
  } else {
    reader.Fail("type", "unknown change");
  }
}

json::array FormatChanges(const std::vector<ChangeRecord>& changes) {
  json::array list;
  for (const ChangeRecord& change : changes) {
    list.push_back({{"change_id", change.change_id},
                    {"operator", change.operator_name},
                    {"summary", change.summary},
                    {"control_version", change.version}});
  }
  return list;
}

json::object FormatBundle(const AcceptedBundle& bundle) {
  return {{"version", bundle.bundle_version},
          {"digest", bundle.digest},
          {"proposed_by", bundle.proposed_by},
          {"approved_by", bundle.approved_by},
          {"accepted_at", FormatRfc3339(bundle.accepted_at)}};
}

}  // namespace

std::variant<OperatorChange, Error> ParseOperatorChange(std::string_view body) {
  json::error_code error;
  const json::value value = json::parse(json::string_view(body.data(), body.size()), error);
  if (error || !value.is_object()) {
    return Error{ErrorKind::kMalformedRequest, "the body must be a JSON object"};
  }
  Reader reader(value.as_object());
  OperatorChange change;
  change.change_id = reader.String("change_id");
  change.operator_name = reader.String("operator");
  ReadChange(reader, reader.String("type"), change);
  if (auto fault = reader.Finish()) return std::move(*fault);
  return change;
}

std::string FormatOperatorChange(const OperatorChange& change) {
  json::object object = {{"change_id", change.change_id}, {"operator", change.operator_name}};
  if (const auto* propose = std::get_if<ProposeBundle>(&change.change)) {
    object["type"] = "propose_bundle";
    object["bundle"] = propose->body;
  } else if (const auto* approve = std::get_if<ApproveBundle>(&change.change)) {
    object["type"] = "approve_bundle";
    object["digest"] = approve->digest;
    object["expected_version"] = approve->expected_version;
  } else if (const auto* zone = std::get_if<SetZoneState>(&change.change)) {
    object["type"] = "set_zone";
    object["zone"] = zone->zone;
    object["state"] = zone->state == ZoneState::kOut ? "out" : "in";
    if (zone->expected_version) object["expected_version"] = *zone->expected_version;
  } else if (const auto* drain = std::get_if<SetEndpointDrain>(&change.change)) {
    object["type"] = "set_endpoint_drain";
    object["name"] = drain->name;
    object["drain"] = drain->drain;
  } else if (const auto* forget = std::get_if<ForgetEntry>(&change.change)) {
    object["type"] = "forget_entry";
    object["name"] = forget->name;
  }
  return json::serialize(object);
}

std::string FormatChangeApplied(const ChangeApplied& applied) {
  return json::serialize(json::object{{"change_id", applied.change_id},
                                      {"control_version", applied.control_version},
                                      {"bundle_version", applied.bundle_version}});
}

std::string FormatInForce(const InForceStatus& status) {
  return json::serialize(json::object{{"control_version", status.control_version},
                                      {"members", status.members},
                                      {"acknowledged", status.acknowledged},
                                      {"lapsed", status.lapsed},
                                      {"in_force", status.in_force}});
}

std::string FormatEntryStatus(const EntryNode& node, const Member& self, Now now) {
  const EntryGauges gauges = node.gauges(now);
  return json::serialize(json::object{{"name", self.name},
                                      {"zone", self.zone},
                                      {"incarnation", self.incarnation},
                                      {"phase", node.phase_name()},
                                      {"ready", node.IsReady()},
                                      {"listed", gauges.listed},
                                      {"fresh", gauges.fresh},
                                      {"store_reachable", gauges.store_reachable},
                                      {"waiting_requests", gauges.waiting_requests},
                                      {"forward_records", gauges.forward_records},
                                      {"entries", gauges.listed_entries},
                                      {"sidecars", gauges.listed_sidecars},
                                      {"control_version", gauges.control_version},
                                      {"members_version", gauges.members_version},
                                      {"bundle_version", gauges.bundle_version},
                                      {"recent_changes", FormatChanges(node.control().changes)}});
}

std::string FormatBundleStatus(const ControlRow& control) {
  json::array proposals;
  for (const BundleProposal& proposal : control.proposals) {
    proposals.push_back({{"digest", proposal.digest},
                         {"proposed_by", proposal.proposed_by},
                         {"proposed_at", FormatRfc3339(proposal.proposed_at)}});
  }
  json::array history;
  for (const AcceptedBundle& bundle : control.bundle_history)
    history.push_back(FormatBundle(bundle));
  return json::serialize(json::object{{"control_version", control.version},
                                      {"accepted", FormatBundle(control.bundle)},
                                      {"proposals", std::move(proposals)},
                                      {"history", std::move(history)}});
}

std::string FormatZones(const ControlRow& control, const Bundle& bundle,
                        const ZoneTracker& phases) {
  std::vector<ZoneRecord> zones = control.zones;
  for (const std::string& name : bundle.zones) {
    const bool listed = std::any_of(zones.begin(), zones.end(),
                                    [&](const ZoneRecord& zone) { return zone.zone == name; });
    if (!listed) zones.push_back({name, ZoneState::kIn, 0, {}});
  }
  json::array list;
  for (const ZoneRecord& zone : zones) {
    list.push_back({{"zone", zone.zone},
                    {"state", zone.state == ZoneState::kOut ? "out" : "in"},
                    {"phase", phases.PhaseName(zone.zone)},
                    {"changed_version", zone.changed_version}});
  }
  return json::serialize(
      json::object{{"control_version", control.version}, {"zones", std::move(list)}});
}

std::string FormatEndpoints(const MemberTable& table, const ControlRow& control) {
  json::array list;
  for (const Member& member : table.row().members) {
    if (member.role != NodeRole::kSidecar) continue;
    const bool drain =
        std::any_of(control.drains.begin(), control.drains.end(),
                    [&](const DrainRecord& record) { return record.id == member.id; });
    list.push_back({{"name", member.name},
                    {"service", member.service},
                    {"slots", member.slots},
                    {"connections", member.connections},
                    {"zone", member.zone},
                    {"rack", member.rack},
                    {"worker", member.worker},
                    {"address", member.address},
                    {"state", member.state == MemberState::kActive ? "active" : "draining"},
                    {"operator_drain", drain}});
  }
  return json::serialize(
      json::object{{"members_version", table.version()}, {"endpoints", std::move(list)}});
}

}  // namespace foxtailrudder
