#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/coordination.h"

namespace foxtailrudder {

/// Region with one entry and three sidecars. Tests advance its clocks.
class Region {
 public:
  Region() {
    bundle.services = {{"listing", 100, std::chrono::milliseconds(300)}};
    bundle.teams = {{"registry", "home", 0, 0}};
    bundle.limits.max_deadline = std::chrono::hours(1);
    Publish(1, {2, 3, 4});
  }

  /// Replaces the member table by one with the entry and the given sidecars.
  void Publish(Version version, const std::vector<NodeId>& sidecars) {
    MembersRow row;
    row.version = version;
    row.members.push_back(MakeMember(1, NodeRole::kEntry));
    for (const NodeId id : sidecars) row.members.push_back(MakeMember(id, NodeRole::kSidecar));
    table = MemberTable::Create(std::move(row));
    placement = Placement::Create(table);
  }

  ClusterView View(NodeRef self) const { return {self, table, placement, control, bundle}; }

  NodeRef OwnerOf(const JobKey& key) const { return table.RefOf(placement.OwnerOf(ShardOf(key))); }
  NodeRef OtherThan(NodeRef node) const { return table.RefOf(node.id == 2 ? 3 : 2); }

  void Advance(std::chrono::milliseconds time) {
    now.steady += time;
    now.wall += time;
  }

  MemberTable table;
  Placement placement;
  ControlRow control;
  Bundle bundle;
  Now now{SteadyTime(std::chrono::hours(1)), WallTime(std::chrono::hours(1'000'000))};
  Counters counters;
  Outbox out;

 private:
  static Member MakeMember(NodeId id, NodeRole role) {
    Member member;
    member.id = id;
    member.incarnation = 100 + id;
    member.name = "node-" + std::to_string(id);
    member.role = role;
    member.zone = "z1";
    if (role == NodeRole::kSidecar) member.service = "listing";
    member.slots = 2;
    return member;
  }
};

/// Returns the sent messages of type T among the outputs.
template <typename T>
std::vector<T> MessagesOf(const std::vector<Output>& outputs) {
  std::vector<T> messages;
  for (const Output& output : outputs) {
    const auto* send = std::get_if<SendMessage>(&output);
    if (send == nullptr) continue;
    if (const auto* message = std::get_if<T>(&send->message)) messages.push_back(*message);
  }
  return messages;
}

/// Returns the outputs of type T.
template <typename T>
std::vector<T> OutputsOf(const std::vector<Output>& outputs) {
  std::vector<T> found;
  for (const Output& output : outputs) {
    if (const auto* item = std::get_if<T>(&output)) found.push_back(*item);
  }
  return found;
}

}  // namespace foxtailrudder
