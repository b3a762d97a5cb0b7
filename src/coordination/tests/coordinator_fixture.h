#pragma once

#include <string>
#include <utility>
#include <vector>

#include "coordination/coordinator.h"

namespace foxtailrudder {

inline constexpr std::chrono::milliseconds kMs{1};

/// One coordinator in a simulated region with the entries "e1" and "e2". Start() adds four sidecars
/// of the service "check" in two zones; the coordinator under test is that of the sidecar "s1".
class CoordinatorFixture {
 public:
  explicit CoordinatorFixture(CoordinatorOptions options = {})
      : m_coordinator(options, &m_counters) {
    m_bundle.limits.return_ramp = std::chrono::milliseconds(0);
    m_row.version = 1;
    for (const auto* name : {"e1", "e2"}) AddMember(name, NodeRole::kEntry, "z1");
  }

  void AddMember(const std::string& name, NodeRole role, const std::string& zone,
                 Incarnation incarnation = 1) {
    Member member;
    member.id = NodeIdOf(name);
    member.incarnation = incarnation;
    member.name = name;
    member.role = role;
    member.zone = zone;
    member.rack = zone + name;
    if (role == NodeRole::kSidecar) {
      member.service = "check";
      member.slots = 2;
    }
    member.joined_version = m_row.version;
    m_row.members.push_back(member);
  }

  /// Removes a member: with a tombstone if it was lost, without one if it left properly.
  void Remove(const std::string& name, bool lost = true) {
    const NodeId id = NodeIdOf(name);
    for (const Member& member : m_row.members) {
      if (member.id != id || !lost) continue;
      m_row.tombstones.push_back({id, member.incarnation, member.role, member.service, member.zone,
                                  member.rack, m_now.wall, m_now.wall + 600'000 * kMs});
    }
    std::erase_if(m_row.members, [&](const Member& member) { return member.id == id; });
  }

  /// Applies m_row as the member table and passes it to the coordinator; increments the version.
  void Publish() {
    const MemberTable from = m_table;
    m_table = MemberTable::Create(m_row);
    m_placement = Placement::Update(m_placement, from, m_table);
    m_row.version += 1;
    m_coordinator.OnViewChanged(view(), m_permit, m_now, m_out);
  }

  /// Publishes the coordinator alone, then the other three sidecars as executors. The coordinator
  /// decides immediately for the shards that it keeps.
  void Start() {
    GrantDecidePermit();
    AddMember("s1", NodeRole::kSidecar, "z1");
    Publish();
    for (const auto* name : {"s2", "s3", "s4"}) AddMember(name, NodeRole::kSidecar, "z2");
    Publish();
    DiscardSent();
  }

  void GrantDecidePermit(std::chrono::milliseconds length = 1500 * kMs) {
    HeartbeatReply reply;
    reply.sequence = ++m_heartbeat;
    reply.sent_at = m_now.steady;
    reply.decide_permit = length;
    m_permit.OnReply(reply);
  }

  /// Advances time in steps of 50 ms with a Tick each; renews the decide permit if `permit`.
  void AdvanceTime(std::chrono::milliseconds time, bool permit = true) {
    for (std::chrono::milliseconds passed{0}; passed < time; passed += 50 * kMs) {
      m_now.steady += 50 * kMs;
      m_now.wall += 50 * kMs;
      if (permit) GrantDecidePermit();
      m_coordinator.Tick(view(), m_permit, m_now, m_out);
    }
  }

  bool Receive(NodeRef from, Message message) {
    return m_coordinator.OnMessage({from, self(), std::move(message)}, view(), m_permit, m_now,
                                   m_out);
  }

  /// Returns and removes the sent messages of one type; those of other types remain.
  template <typename T>
  std::vector<std::pair<NodeRef, T>> Sent() {
    for (Output& output : m_out.Take()) {
      if (auto* send = std::get_if<SendMessage>(&output)) m_sent.push_back(std::move(*send));
    }
    std::vector<std::pair<NodeRef, T>> found;
    for (const SendMessage& send : m_sent) {
      if (const T* message = std::get_if<T>(&send.message)) found.emplace_back(send.to, *message);
    }
    std::erase_if(m_sent, [](const auto& send) { return std::holds_alternative<T>(send.message); });
    return found;
  }
  /// Discards all sent messages.
  void DiscardSent() {
    m_out.Take();
    m_sent.clear();
  }

  /// A key whose shard the sidecar owns under the current member table, after `skip` other such
  /// keys.
  JobKey KeyOwnedBy(const std::string& name, int skip = 0) const {
    for (int i = 0;; ++i) {
      JobKey key{"team", "key-" + std::to_string(i)};
      if (m_placement.OwnerOf(ShardOf(key)) == NodeIdOf(name) && skip-- == 0) return key;
    }
  }

  JobSpec Job(const JobKey& key, int tasks = 1, std::chrono::milliseconds time = 10'000 * kMs) {
    JobSpec job;
    job.key = key;
    job.service = "check";
    job.deadline = m_now.wall + time;
    for (int i = 0; i < tasks; ++i) job.tasks.push_back({"t" + std::to_string(i), "p", {}, {}});
    job.digest = DigestOf(job);
    return job;
  }

  static NodeRef Ref(const std::string& name) { return {NodeIdOf(name), 1}; }
  static SubmissionId Submission(const std::string& entry, RequestId request) {
    return {Ref(entry), request};
  }

  void Forward(const JobSpec& job, RequestId request = 1, const std::string& entry = "e1",
               bool attach_only = false) {
    Receive(Ref(entry),
            ForwardJob{job, Submission(entry, request), m_table.version(), attach_only});
  }
  void Finish(const std::pair<NodeRef, DispatchTask>& dispatch, std::uint16_t status = 200) {
    Receive(dispatch.first,
            TaskFinished{dispatch.second.task, dispatch.second.sequence,
                         TaskResult{dispatch.second.task_id, status, "body"}, 100 * kMs, 1});
  }
  void RefuseTask(const std::pair<NodeRef, DispatchTask>& dispatch, ErrorKind reason) {
    Receive(dispatch.first, TaskRefused{dispatch.second.task, dispatch.second.sequence, reason, 1});
  }

  /// Removes the sent replies and returns the error kind if there was exactly one and it was an
  /// error.
  std::optional<ErrorKind> OnlyError() {
    const auto replies = Sent<JobReply>();
    if (replies.size() != 1) return std::nullopt;
    const auto* error = std::get_if<Error>(&replies.front().second.answer);
    return error == nullptr ? std::nullopt : std::optional(error->kind);
  }

  NodeRef self() const { return Ref("s1"); }
  ClusterView view() const { return {self(), m_table, m_placement, m_control, m_bundle}; }
  Coordinator& coordinator() { return m_coordinator; }

  Now m_now{SteadyTime(1'000'000 * kMs), WallTime(1'700'000'000'000 * kMs)};
  Counters m_counters;
  Coordinator m_coordinator;
  MembersRow m_row;
  MemberTable m_table;
  Placement m_placement;
  ControlRow m_control;
  Bundle m_bundle;
  PermitHolder m_permit;
  std::uint64_t m_heartbeat = 0;
  Outbox m_out;
  std::vector<SendMessage> m_sent;
};

}  // namespace foxtailrudder
