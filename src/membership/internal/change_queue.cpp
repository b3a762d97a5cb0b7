#include "membership/internal/change_queue.h"

#include <utility>

#include "membership/internal/control_change.h"

namespace foxtailrudder {
namespace {

/// Maximum time until an operator gets an answer while the store or the entries are unreachable.
constexpr std::chrono::seconds kRequestTimeout{10};
constexpr std::chrono::milliseconds kRetryDelay{100};

}  // namespace

void ChangeQueue::Add(RequestId request, OperatorChange change, Now now, Outbox& out) {
  m_items.push_back({request, std::move(change), now.steady + kRequestTimeout});
  if (m_phase == Phase::kIdle) Advance(now, out);
}

void ChangeQueue::Advance(Now now, Outbox& out) {
  m_phase = Phase::kIdle;
  m_round.Stop();
  if (m_items.empty()) return;
  if (!m_state->reader.HasReadBoth()) return ScheduleRetry(now);
  Item& item = m_items.front();
  const ControlRow& row = m_state->control.row();
  if (auto applied = FindApplied(row, item.change.change_id)) {
    return Answer(std::move(*applied), now, out);
  }
  auto next = ApplyChange(row, item.change, now.wall);
  if (auto* error = std::get_if<Error>(&next)) return Answer(std::move(*error), now, out);
  if (!TransferBody(item, out)) StartPromiseRound(now, out);
}

bool ChangeQueue::TransferBody(const Item& item, Outbox& out) {
  const auto* proposal = std::get_if<ProposeBundle>(&item.change.change);
  const auto* approval = std::get_if<ApproveBundle>(&item.change.change);
  const bool store = proposal != nullptr && !item.body_stored;
  const bool read = approval != nullptr && !m_state->bundle.HasText(approval->digest);
  if (!store && !read) return false;
  m_phase = Phase::kTransferringBody;
  m_operation = m_state->operations.Take();
  if (store) {
    out.Add(PutObject{m_operation, proposal->digest, proposal->body});
  } else {
    out.Add(GetObject{m_operation, approval->digest});
  }
  return true;
}

void ChangeQueue::StartPromiseRound(Now now, Outbox& out) {
  m_phase = Phase::kCollectingPromises;
  const PromiseRequest request{m_state->PromiseId(m_items.front().change.change_id),
                               RowKind::kControl, m_state->control.version() + 1};
  m_round.Start(request, m_state->table, m_state->config.self.id, m_state->promises, now.steady,
                out);
  TryVerifyMembers(now, out);
}

void ChangeQueue::TryVerifyMembers(Now now, Outbox& out) {
  if (m_phase != Phase::kCollectingPromises || !m_round.MayWrite(m_state->table, now.steady))
    return;
  m_phase = Phase::kVerifyingMembers;
  m_operation = m_state->operations.Take();
  m_verified_members_version = m_state->table.version();
  out.Add(ReadRow{RowKind::kMembers, m_verified_members_version, m_operation});
}

bool ChangeQueue::OnMembersVerified(const MembersRowRead& read, Now now, Outbox& out) {
  m_operation = 0;
  m_store_failed = read.status != StoreStatus::kOk && read.status != StoreStatus::kNotModified;
  if (m_store_failed) {
    ScheduleRetry(now);
    return true;
  }
  if (read.status == StoreStatus::kOk) m_state->AdoptMembers(read.row);
  // Against a newer member row the majority may be incomplete, or may include promises given before
  // the row's entries were known.
  const bool verified = read.status == StoreStatus::kNotModified &&
                        m_verified_members_version == m_state->table.version() &&
                        m_round.MayWrite(m_state->table, now.steady);
  if (verified) {
    Write(now, out);
  } else {
    Advance(now, out);
  }
  return true;
}

void ChangeQueue::Write(Now now, Outbox& out) {
  const ControlRow& row = m_state->control.row();
  auto next = ApplyChange(row, m_items.front().change, now.wall);
  auto* changed = std::get_if<ControlRow>(&next);
  // The promises are valid only for the version that follows the one held when the round started.
  if (changed == nullptr || !m_round.IsFor(changed->version)) return ReadBack(now, out);
  m_phase = Phase::kWriting;
  m_round.Stop();
  m_written = std::move(*changed);
  m_operation = m_state->operations.Take();
  out.Add(WriteControlRow{m_operation, row.version, m_written});
}

void ChangeQueue::OnPromiseReply(NodeRef from, const PromiseReply& reply, Now now, Outbox& out) {
  if (m_phase != Phase::kCollectingPromises) return;
  m_round.OnReply(from, reply, m_state->table);
  if (m_round.refused()) return ReadBack(now, out);
  TryVerifyMembers(now, out);
}

bool ChangeQueue::OnStoreResult(const StoreResult& result, Now now, Outbox& out) {
  const auto operation = std::visit([](const auto& part) { return part.operation; }, result);
  if (m_operation == 0 || operation != m_operation) return false;
  if (const auto* written = std::get_if<RowWritten>(&result)) {
    return OnWritten(written->status, now, out);
  }
  if (const auto* read = std::get_if<ControlRowRead>(&result)) return OnRead(*read, now, out);
  if (const auto* verified = std::get_if<MembersRowRead>(&result)) {
    return OnMembersVerified(*verified, now, out);
  }
  if (const auto* object = std::get_if<ObjectResult>(&result)) {
    return OnBodyTransferred(*object, now, out);
  }
  return false;
}

bool ChangeQueue::OnWritten(StoreStatus status, Now now, Outbox& out) {
  m_operation = 0;
  m_store_failed = status == StoreStatus::kUnavailable || status == StoreStatus::kUnknown;
  if (status == StoreStatus::kOk) {
    m_state->control.Adopt(m_written);
    m_state->promises.OnRead(RowKind::kControl, m_written.version, {});
    Advance(now, out);
    return true;
  }
  if (status == StoreStatus::kUnknown) m_items.front().maybe_written = true;
  if (status == StoreStatus::kUnavailable) {
    ScheduleRetry(now);
    return true;
  }
  ReadBack(now, out);
  return true;
}

bool ChangeQueue::OnRead(const ControlRowRead& read, Now now, Outbox& out) {
  m_operation = 0;
  if (read.status != StoreStatus::kOk && read.status != StoreStatus::kNotModified) {
    m_store_failed = true;
    ScheduleRetry(now);
    return true;
  }
  m_store_failed = false;
  if (read.status == StoreStatus::kOk) m_state->control.Adopt(read.row);
  const Version version = m_state->control.version();
  m_state->promises.OnRead(RowKind::kControl, version, m_read_sent_at);
  Advance(now, out);
  return true;
}

bool ChangeQueue::OnBodyTransferred(const ObjectResult& result, Now now, Outbox& out) {
  m_operation = 0;
  m_store_failed = result.status != StoreStatus::kOk;
  if (m_store_failed) {
    ScheduleRetry(now);
    return true;
  }
  Item& item = m_items.front();
  item.body_stored = true;
  const auto* approval = std::get_if<ApproveBundle>(&item.change.change);
  if (approval != nullptr) m_state->bundle.StoreText(approval->digest, result.body);
  Advance(now, out);
  return true;
}

void ChangeQueue::ReadBack(Now now, Outbox& out) {
  m_phase = Phase::kReading;
  m_round.Stop();
  m_read_sent_at = now.steady;
  m_operation = m_state->operations.Take();
  out.Add(ReadRow{RowKind::kControl, m_state->control.version(), m_operation});
}

void ChangeQueue::ScheduleRetry(Now now) {
  m_phase = Phase::kWaitingForRetry;
  m_round.Stop();
  m_retry_at = now.steady + kRetryDelay;
}

void ChangeQueue::Tick(Now now, Outbox& out) {
  if (m_items.empty()) return;
  if (now.steady >= m_items.front().deadline) return AnswerTimeout(now, out);
  if (m_phase == Phase::kWaitingForRetry && now.steady >= m_retry_at) return ReadBack(now, out);
  if (m_phase != Phase::kCollectingPromises && m_phase != Phase::kVerifyingMembers) return;
  if (m_round.IsExpired(now.steady)) return ReadBack(now, out);
  if (m_phase == Phase::kVerifyingMembers) return;
  m_round.ResendPending(m_state->table, now.steady, out);
  TryVerifyMembers(now, out);
}

void ChangeQueue::AnswerTimeout(Now now, Outbox& out) {
  // A write in flight may still take effect.
  if (m_phase == Phase::kWriting) m_items.front().maybe_written = true;
  m_operation = 0;
  Answer(MakeTimeoutError(), now, out);
}

Error ChangeQueue::MakeTimeoutError() const {
  const Item& item = m_items.front();
  if (item.maybe_written) {
    return {ErrorKind::kOutcomeUnknown, "the store did not confirm whether change " +
                                            item.change.change_id +
                                            " took effect; repeat it with the same change id"};
  }
  if (m_store_failed || m_phase != Phase::kCollectingPromises) {
    return {ErrorKind::kStoreUnavailable, "the store did not answer in time"};
  }
  return {ErrorKind::kQuorumUnreachable,
          "no majority of the listed entries promised the change in time"};
}

void ChangeQueue::Answer(std::variant<ChangeApplied, Error> outcome, Now now, Outbox& out) {
  if (std::holds_alternative<ChangeApplied>(outcome) && m_state->counters != nullptr) {
    m_state->counters->Add(CounterId::kChangesMade);
  }
  out.Add(AnswerOperator{m_items.front().request, std::move(outcome)});
  m_items.pop_front();
  Advance(now, out);
}

}  // namespace foxtailrudder
