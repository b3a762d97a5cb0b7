#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "membership/membership.h"

namespace foxtailrudder::testing {

using std::chrono::milliseconds;

/// In-memory table service and object store with fault injection.
struct FakeStore {
  ControlRow control;
  MembersRow members;
  std::map<std::string, std::string> objects;
  bool objects_down = false;
  /// Returns true for entries that cannot reach the store.
  std::function<bool(NodeId)> is_down = [](NodeId) { return false; };
  /// Number of control row writes that take effect but whose reply is lost.
  int lost_control_replies = 0;
  int control_writes = 0;
  int members_writes = 0;

  StoreResult Run(const ReadRow& read) const {
    if (read.row == RowKind::kControl) {
      const bool same = control.version == read.known_version;
      return ControlRowRead{read.operation, same ? StoreStatus::kNotModified : StoreStatus::kOk,
                            same ? ControlRow{} : control};
    }
    const bool same = members.version == read.known_version;
    return MembersRowRead{read.operation, same ? StoreStatus::kNotModified : StoreStatus::kOk,
                          same ? MembersRow{} : members};
  }
  StoreResult Run(const WriteControlRow& write) {
    if (control.version != write.expected_version) {
      return RowWritten{write.operation, RowKind::kControl, StoreStatus::kConflict};
    }
    control = write.row;
    ++control_writes;
    const bool lost = lost_control_replies > 0 && lost_control_replies-- > 0;
    return RowWritten{write.operation, RowKind::kControl,
                      lost ? StoreStatus::kUnknown : StoreStatus::kOk};
  }
  StoreResult Run(const WriteMembersRow& write) {
    if (members.version != write.expected_version) {
      return RowWritten{write.operation, RowKind::kMembers, StoreStatus::kConflict};
    }
    members = write.row;
    ++members_writes;
    return RowWritten{write.operation, RowKind::kMembers, StoreStatus::kOk};
  }
  StoreResult Run(const PutObject& put) {
    objects[put.digest] = put.body;
    return ObjectResult{put.operation, StoreStatus::kOk, {}};
  }
  StoreResult Run(const GetObject& get) const {
    if (objects_down) return ObjectResult{get.operation, StoreStatus::kUnavailable, {}};
    return ObjectResult{get.operation, StoreStatus::kOk, objects.at(get.digest)};
  }
};

inline StoreResult Unavailable(const ReadRow& read) {
  if (read.row == RowKind::kControl)
    return ControlRowRead{read.operation, StoreStatus::kUnavailable, {}};
  return MembersRowRead{read.operation, StoreStatus::kUnavailable, {}};
}
inline StoreResult Unavailable(const WriteControlRow& write) {
  return RowWritten{write.operation, RowKind::kControl, StoreStatus::kUnavailable};
}
inline StoreResult Unavailable(const WriteMembersRow& write) {
  return RowWritten{write.operation, RowKind::kMembers, StoreStatus::kUnavailable};
}
template <typename ObjectOperation>
StoreResult Unavailable(const ObjectOperation& operation) {
  return ObjectResult{operation.operation, StoreStatus::kUnavailable, {}};
}

/// Simulation of entries, sidecars and a store on one simulated clock, in steps of 10 ms.
class World {
 public:
  static constexpr milliseconds kStep{10};

  struct Node {
    std::unique_ptr<EntryMembership> entry;
    std::unique_ptr<SidecarMembership> sidecar;
    Incarnation incarnation = 0;
    bool running = true;
    std::deque<Envelope> inbox;
    std::deque<StoreResult> results;
    std::map<RequestId, std::vector<std::variant<ChangeApplied, Error>>> answers;
  };

  FakeStore store;
  /// Returns true if messages between the two nodes are lost.
  std::function<bool(NodeId, NodeId)> is_partitioned = [](NodeId, NodeId) { return false; };
  /// Called for each message sent, including lost ones.
  std::function<void(NodeId, NodeId, const Message&)> on_send = [](NodeId, NodeId, const Message&) {
  };
  OutageMode mode = OutageMode::kConfirmByQuorum;
  std::map<NodeId, Node> nodes;
  Now now{SteadyTime{std::chrono::hours(1)}, WallTime{std::chrono::hours(1000)}};

  static Member MemberNamed(const std::string& name, const std::string& zone) {
    Member member;
    member.id = NodeIdOf(name);
    member.name = name;
    member.zone = zone;
    member.rack = zone + "-r";
    member.address = "127.0.0.1:1";
    return member;
  }

  NodeId AddEntry(const std::string& name, Incarnation incarnation = 1) {
    EntryMembershipConfig config;
    config.self = MemberNamed(name, "a");
    config.self.incarnation = incarnation;
    config.outage_mode = mode;
    Node node;
    node.incarnation = incarnation;
    node.entry = std::make_unique<EntryMembership>(
        std::get<EntryMembership>(EntryMembership::Create(config, nullptr)));
    const NodeId id = config.self.id;
    Outbox out;
    node.entry->Start(now, out);
    nodes[id] = std::move(node);
    Deliver(id, out);
    return id;
  }

  NodeId AddSidecar(const std::string& name, const std::string& zone, Incarnation incarnation = 1) {
    SidecarMembershipConfig config;
    config.self = MemberNamed(name, zone);
    config.self.incarnation = incarnation;
    config.self.service = "s";
    for (const auto& [id, node] : nodes) {
      if (node.entry) config.seed_entries.push_back(id);
    }
    Node node;
    node.incarnation = incarnation;
    node.sidecar = std::make_unique<SidecarMembership>(
        std::get<SidecarMembership>(SidecarMembership::Create(config, nullptr)));
    nodes[config.self.id] = std::move(node);
    return config.self.id;
  }

  EntryMembership& Entry(NodeId id) { return *nodes.at(id).entry; }
  SidecarMembership& Sidecar(NodeId id) { return *nodes.at(id).sidecar; }
  bool MayStart(NodeId id) { return Sidecar(id).permit().MayStart(now.steady); }

  void Change(NodeId entry, RequestId request, std::string change_id, std::string by, auto change) {
    Outbox out;
    Entry(entry).RequestChange(request, {std::move(change_id), std::move(by), std::move(change)},
                               now, out);
    Deliver(entry, out);
  }
  /// Returns the answer to a request; an error if there is none or more than one.
  std::variant<ChangeApplied, Error> Answer(NodeId entry, RequestId request) {
    const auto& answers = nodes.at(entry).answers[request];
    if (answers.size() != 1)
      return Error{ErrorKind::kInternal, "request was not answered exactly once"};
    return answers.front();
  }

  void Run(
      milliseconds duration, const std::function<void()>& each_step = [] {}) {
    for (milliseconds passed{0}; passed < duration; passed += kStep) {
      now.steady += kStep;
      now.wall += kStep;
      for (auto& [id, node] : nodes) Step(id, node);
      each_step();
    }
  }

 private:
  void Step(NodeId id, Node& node) {
    if (!node.running) return;
    Outbox out;
    for (std::size_t left = node.results.size(); left > 0; --left) {
      node.entry->OnStoreResult(node.results.front(), now, out);
      node.results.pop_front();
    }
    for (std::size_t left = node.inbox.size(); left > 0; --left) {
      if (node.entry) node.entry->OnMessage(node.inbox.front(), now, out);
      if (node.sidecar) node.sidecar->OnMessage(node.inbox.front(), now, out);
      node.inbox.pop_front();
    }
    if (node.entry) node.entry->Tick(now, out);
    if (node.sidecar) node.sidecar->Tick(now, out);
    Deliver(id, out);
  }

  void Deliver(NodeId from, Outbox& out) {
    for (Output& output : out.Take()) {
      std::visit([&](auto& part) { Perform(from, part); }, output);
    }
  }
  void Perform(NodeId from, SendMessage& send) {
    on_send(from, send.to.id, send.message);
    const auto to = nodes.find(send.to.id);
    if (to == nodes.end() || is_partitioned(from, send.to.id)) return;
    to->second.inbox.push_back({{from, nodes.at(from).incarnation}, send.to, send.message});
  }
  void Perform(NodeId from, AnswerOperator& answer) {
    nodes.at(from).answers[answer.request].push_back(answer.outcome);
  }
  template <typename Operation>
  void Perform(NodeId from, Operation& operation) {
    if constexpr (requires { store.Run(operation); }) {
      nodes.at(from).results.push_back(store.is_down(from) ? Unavailable(operation)
                                                           : store.Run(operation));
    }
  }
};

}  // namespace foxtailrudder::testing
