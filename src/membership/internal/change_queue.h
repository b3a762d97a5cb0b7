#pragma once

#include <deque>
#include <optional>

#include "membership/internal/entry_state.h"
#include "membership/internal/promise_round.h"

namespace foxtailrudder {

/// Applies operators' changes to the control row one at a time: promise round, check of the member
/// row, conditional write, and after a conflict or a lost reply a read that shows the outcome.
class ChangeQueue {
 public:
  explicit ChangeQueue(EntryState* state) : m_state(state) {}

  void Add(RequestId request, OperatorChange change, Now now, Outbox& out);
  void Tick(Now now, Outbox& out);
  void OnPromiseReply(NodeRef from, const PromiseReply& reply, Now now, Outbox& out);

  /// Handles results of this queue's store operations; returns false for any other operation.
  bool OnStoreResult(const StoreResult& result, Now now, Outbox& out);

 private:
  struct Item {
    RequestId request = 0;
    OperatorChange change;
    SteadyTime deadline;
    bool body_stored = false;
    /// A write of this change may have taken effect although no reply arrived.
    bool maybe_written = false;
  };
  enum class Phase : std::uint8_t {
    kIdle,
    kTransferringBody,
    kCollectingPromises,
    kVerifyingMembers,
    kWriting,
    kReading,
    kWaitingForRetry
  };

  bool OnWritten(StoreStatus status, Now now, Outbox& out);
  bool OnMembersVerified(const MembersRowRead& read, Now now, Outbox& out);
  bool OnRead(const ControlRowRead& read, Now now, Outbox& out);
  bool OnBodyTransferred(const ObjectResult& result, Now now, Outbox& out);

  /// Starts or restarts processing of the first change in the queue.
  void Advance(Now now, Outbox& out);
  /// Stores the body of a proposal, or reads the body of the bundle to be approved: if no entry
  /// held the text of an accepted bundle, a store outage would stop all work. Returns false if no
  /// transfer is needed.
  bool TransferBody(const Item& item, Outbox& out);
  void StartPromiseRound(Now now, Outbox& out);
  /// Once a majority has promised, reads the member row again: the entries against which the
  /// majority was counted were read up to F (kFreshnessBound) earlier.
  void TryVerifyMembers(Now now, Outbox& out);
  void Write(Now now, Outbox& out);
  void ReadBack(Now now, Outbox& out);
  void ScheduleRetry(Now now);
  void AnswerTimeout(Now now, Outbox& out);
  void Answer(std::variant<ChangeApplied, Error> outcome, Now now, Outbox& out);
  Error MakeTimeoutError() const;

  EntryState* m_state;
  std::deque<Item> m_items;
  Phase m_phase = Phase::kIdle;
  PromiseRound m_round;
  std::uint64_t m_operation = 0;
  /// Member row version against which the promises were counted.
  Version m_verified_members_version = 0;
  ControlRow m_written;
  SteadyTime m_retry_at;
  SteadyTime m_read_sent_at;
  bool m_store_failed = false;
};

}  // namespace foxtailrudder
