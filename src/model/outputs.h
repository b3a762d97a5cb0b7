#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "model/changes.h"
#include "model/job.h"
#include "model/messages.h"
#include "model/rows.h"

namespace foxtailrudder {

// Operations that decision code requests from its process. Adding one to the Outbox does not carry
// it out yet.

struct SendMessage {
  NodeRef to;
  Message message;
};

/// Completes a caller's job request at an entry.
struct AnswerCaller {
  RequestId request = 0;
  JobAnswer answer;
};

/// Completes a caller's status request at an entry.
struct AnswerStatus {
  RequestId request = 0;
  std::variant<JobProgress, JobComplete, Error> state;
};

/// Sends a task to the endpoint. Immediately before it writes the request, the process must check
/// not_after on its steady clock, and report the task as not started if that time has passed.
struct StartTask {
  TaskRef task;
  std::string service;
  std::string task_id;
  std::string payload;
  SteadyTime not_after;
  WallTime start_deadline;
  WallTime job_deadline;
};

/// Aborts a running task through the endpoint connection.
struct StopTask {
  TaskRef task;
};

/// Reads a row if its version differs from known_version.
struct ReadRow {
  RowKind row = RowKind::kControl;
  Version known_version = 0;
  std::uint64_t operation = 0;
};

/// Writes the row only if its stored version is expected_version.
struct WriteControlRow {
  std::uint64_t operation = 0;
  Version expected_version = 0;
  ControlRow row;
};

struct WriteMembersRow {
  std::uint64_t operation = 0;
  Version expected_version = 0;
  MembersRow row;
};

/// A row in the store, unique for its key, that keeps the key of a non-idempotent job claimed for
/// longer than the processes' memory lasts.
struct DurableClaim {
  JobKey key;
  std::uint64_t digest = 0;
  /// Identifies the submission whose insert took effect, in case a reply was lost.
  SubmissionId claimant;
  WallTime keep_until;

  friend bool operator==(const DurableClaim&, const DurableClaim&) = default;
};

/// Inserts claim rows in one transaction. Rows that exist already are returned, not overwritten.
struct InsertClaims {
  std::uint64_t operation = 0;
  std::vector<DurableClaim> claims;
};

/// Reads claim rows after a lost reply, to learn which inserts took effect.
struct ReadClaims {
  std::uint64_t operation = 0;
  std::vector<JobKey> keys;
};

/// Deletes claim rows in one transaction, each only if it still contains this claim. The result
/// gives the rows that exist afterwards.
struct ReleaseClaims {
  std::uint64_t operation = 0;
  std::vector<DurableClaim> claims;
};

/// Completes an operator's change request at an entry.
struct AnswerOperator {
  RequestId request = 0;
  std::variant<ChangeApplied, Error> outcome;
};

struct GetObject {
  std::uint64_t operation = 0;
  std::string digest;
};

struct PutObject {
  std::uint64_t operation = 0;
  std::string digest;
  std::string body;
};

using Output = std::variant<SendMessage, AnswerCaller, AnswerStatus, StartTask, StopTask, ReadRow,
                            WriteControlRow, WriteMembersRow, InsertClaims, ReadClaims,
                            ReleaseClaims, GetObject, PutObject, AnswerOperator>;

/// Collects the outputs that result from one input, in order.
class Outbox {
 public:
  void Add(Output output) { m_outputs.push_back(std::move(output)); }

  void Send(NodeRef to, Message message) { Add(SendMessage{to, std::move(message)}); }

  /// Returns the collected outputs and clears the outbox.
  std::vector<Output> Take() { return std::exchange(m_outputs, {}); }

  bool empty() const { return m_outputs.empty(); }

 private:
  std::vector<Output> m_outputs;
};

// Results of store operations, which are inputs to an entry.

enum class StoreStatus : std::uint8_t {
  kOk,
  /// Read: the version of the row is still known_version.
  kNotModified,
  /// Write: the version of the row is not expected_version; nothing was changed.
  kConflict,
  /// The store refused the operation or could not be reached; the operation did not take effect.
  kUnavailable,
  /// The store did not respond; a write may or may not have taken effect.
  kUnknown,
};

struct ControlRowRead {
  std::uint64_t operation = 0;
  StoreStatus status = StoreStatus::kUnavailable;
  ControlRow row;
};

struct MembersRowRead {
  std::uint64_t operation = 0;
  StoreStatus status = StoreStatus::kUnavailable;
  MembersRow row;
};

struct RowWritten {
  std::uint64_t operation = 0;
  RowKind row = RowKind::kControl;
  StoreStatus status = StoreStatus::kUnavailable;
};

/// For each key of InsertClaims, ReadClaims or ReleaseClaims, the claim in the store, or nullopt if
/// there is none.
struct ClaimsResult {
  std::uint64_t operation = 0;
  StoreStatus status = StoreStatus::kUnavailable;
  std::vector<std::optional<DurableClaim>> claims;
};

struct ObjectResult {
  std::uint64_t operation = 0;
  StoreStatus status = StoreStatus::kUnavailable;
  std::string body;
};

using StoreResult =
    std::variant<ControlRowRead, MembersRowRead, RowWritten, ClaimsResult, ObjectResult>;

}  // namespace foxtailrudder
