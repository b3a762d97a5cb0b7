#pragma once

#include <random>
#include <unordered_map>

#include "membership/internal/entry_state.h"
#include "membership/internal/forget_queue.h"
#include "membership/internal/last_contact_times.h"
#include "membership/internal/member_plan.h"
#include "membership/internal/promise_round.h"

namespace foxtailrudder {

/// Maintains the member row: batches joins, drains, leaves and losses into one conditional write.
class MemberRegistry {
 public:
  explicit MemberRegistry(EntryState* state)
      : m_state(state), m_random(state->config.seed ^ state->config.self.id) {}

  void OnHeartbeat(NodeRef sidecar, const Heartbeat& heartbeat, SteadyTime now);
  void OnPeerStatus(NodeRef entry, const PeerStatus& status, SteadyTime now);
  void OnPromiseReply(NodeRef from, const PromiseReply& reply, Now now, Outbox& out);
  /// Returns false if the write was not started by this registry.
  bool OnWritten(const RowWritten& written, Now now);
  void Tick(Now now, Outbox& out);

  void Forget(RequestId request, const OperatorChange& change, SteadyTime now) {
    m_forgets.Add(request, change.change_id, std::get<ForgetEntry>(change.change).name, now);
  }

  void BeginDrain() { m_draining = true; }
  void Leave() { m_leaving = true; }
  bool leaving() const { return m_leaving; }

  /// Returns true once after a write whose outcome must be determined by a read.
  bool TakeReadRequested() { return std::exchange(m_read_requested, false); }

  const LastContactTimes& contacts() const { return m_contacts; }
  InForceStatus InForce(Version control_version, SteadyTime now) const;

 private:
  enum class Phase : std::uint8_t { kIdle, kCollectingPromises, kWriting };

  void DetectPause(SteadyTime now);
  std::optional<MembersRow> Plan(Now now) const;
  void PlanLosses(MemberPlan& plan, SteadyTime now) const;
  bool IsLive(NodeId entry, SteadyTime now) const;
  bool HasHeardFromMajority(SteadyTime now) const;
  bool RanksFirstFor(NodeId lost, SteadyTime now) const;
  void StartWrite(Now now, Outbox& out);
  void TryWrite(Now now, Outbox& out);
  void Retry(SteadyTime now);

  EntryState* m_state;
  std::mt19937_64 m_random;
  LastContactTimes m_contacts;
  ForgetQueue m_forgets{m_state, &m_contacts};
  std::unordered_map<NodeId, MemberRequest> m_member_requests;
  PromiseRound m_round;
  Phase m_phase = Phase::kIdle;
  MembersRow m_written;
  std::uint64_t m_operation = 0;
  SteadyTime m_write_sent_at;
  SteadyTime m_next_attempt;
  std::optional<SteadyTime> m_last_tick;
  Version m_seen_version = 0;
  bool m_draining = false;
  bool m_leaving = false;
  bool m_read_requested = false;
};

}  // namespace foxtailrudder
