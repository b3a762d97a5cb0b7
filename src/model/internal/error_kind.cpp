#include "model/error_kind.h"

namespace foxtailrudder {
namespace {

using std::chrono::seconds;

constexpr bool kNotRun = true;
constexpr bool kMayHaveRun = false;
constexpr bool kRetry = true;
constexpr bool kNoRetry = false;
constexpr std::optional<seconds> kNone = std::nullopt;

constexpr std::array<ErrorAnswer, kErrorKindCount> kAnswers = {{
    {ErrorKind::kMalformedRequest, "malformed_request", 400, kNotRun, kNoRetry, kNone,
     "The request is malformed"},
    {ErrorKind::kBodyTooLarge, "body_too_large", 413, kNotRun, kNoRetry, kNone,
     "The request body is too large"},
    {ErrorKind::kUnknownTeam, "unknown_team", 403, kNotRun, kNoRetry, kNone,
     "The configuration has no such team"},
    {ErrorKind::kUnknownService, "unknown_service", 404, kNotRun, kNoRetry, kNone,
     "The configuration has no such service"},
    {ErrorKind::kDeadlinePassed, "deadline_passed", 422, kNotRun, kNoRetry, kNone,
     "The deadline has passed"},
    {ErrorKind::kKeyConflict, "key_conflict", 409, kNotRun, kNoRetry, kNone,
     "The idempotency key was used with another request body"},
    {ErrorKind::kNotFound, "not_found", 404, kNotRun, kNoRetry, kNone, "No such resource"},
    {ErrorKind::kCanNeverRun, "can_never_run", 422, kNotRun, kNoRetry, kNone,
     "No endpoint can ever run this job"},
    {ErrorKind::kDeadlineUnreachable, "deadline_unreachable", 503, kNotRun, kRetry, seconds(1),
     "The job cannot meet its deadline under the present load"},
    {ErrorKind::kQuotaExceeded, "quota_exceeded", 429, kNotRun, kRetry, seconds(1),
     "The team's quota is used up"},
    {ErrorKind::kQueueFull, "queue_full", 503, kNotRun, kRetry, seconds(1), "A task queue is full"},
    {ErrorKind::kClaimTableFull, "claim_table_full", 503, kNotRun, kRetry, seconds(5),
     "The coordinator cannot remember more jobs"},
    {ErrorKind::kInputQueueFull, "ring_full", 503, kNotRun, kRetry, seconds(1),
     "An internal queue is full"},
    {ErrorKind::kNoCapacity, "no_capacity", 503, kNotRun, kRetry, seconds(1),
     "No endpoint of the service is available"},
    {ErrorKind::kEntryDraining, "entry_draining", 503, kNotRun, kRetry, seconds(1),
     "This entry is shutting down"},
    {ErrorKind::kShardUnavailable, "shard_unavailable", 503, kNotRun, kRetry, seconds(2),
     "The coordinator of this key is being replaced"},
    {ErrorKind::kRegionUnreachable, "region_unreachable", 503, kNotRun, kRetry, seconds(5),
     "The home region of the team cannot be reached"},
    {ErrorKind::kStoreUnavailable, "store_unavailable", 503, kNotRun, kRetry, seconds(2),
     "The platform's store cannot be reached"},
    {ErrorKind::kRetryBudgetExhausted, "retry_budget_exhausted", 503, kNotRun, kRetry, seconds(1),
     "Too many refused starts; the retry budget is used up"},
    {ErrorKind::kNotStartedInTime, "not_started_in_time", 504, kNotRun, kRetry, kNone,
     "No task could start before the deadline"},
    {ErrorKind::kCancelledBeforeStart, "cancelled_before_start", 409, kNotRun, kNoRetry, kNone,
     "The job was cancelled before any task started"},
    {ErrorKind::kNoPermit, "no_permit", 503, kNotRun, kRetry, seconds(1),
     "The executor holds no live start permit"},
    {ErrorKind::kNoFreeSlot, "no_free_slot", 503, kNotRun, kRetry, seconds(1),
     "The endpoint has no free slot"},
    {ErrorKind::kEndpointUnavailable, "endpoint_unavailable", 503, kNotRun, kRetry, seconds(1),
     "The endpoint is not announced or not reachable"},
    {ErrorKind::kEndpointLeaving, "endpoint_leaving", 503, kNotRun, kRetry, seconds(1),
     "The endpoint is leaving"},
    {ErrorKind::kNotOwner, "not_owner", 503, kNotRun, kRetry, seconds(1),
     "The process does not own the shard of this key"},
    {ErrorKind::kStaleDispatch, "stale_dispatch", 503, kNotRun, kRetry, kNone,
     "The dispatch arrived after a later one"},
    {ErrorKind::kStartRecordsFull, "start_records_full", 503, kNotRun, kRetry, seconds(5),
     "The executor cannot remember more started tasks"},
    {ErrorKind::kStartDeadlinePassed, "start_deadline_passed", 504, kNotRun, kNoRetry, kNone,
     "The start deadline of the task has passed"},
    {ErrorKind::kTaskFailed, "task_failed", 502, kMayHaveRun, kNoRetry, kNone,
     "A task failed on its endpoint"},
    {ErrorKind::kCancelled, "cancelled", 409, kMayHaveRun, kNoRetry, kNone,
     "The job was cancelled after some of its tasks had started"},
    {ErrorKind::kDeadlineExceeded, "deadline_exceeded", 504, kMayHaveRun, kNoRetry, kNone,
     "The deadline passed after some tasks had started"},
    {ErrorKind::kOutcomeUnknown, "outcome_unknown", 502, kMayHaveRun, kNoRetry, kNone,
     "Some task may have run, but its outcome is not known"},
    {ErrorKind::kAlreadyStarted, "already_started", 409, kMayHaveRun, kNoRetry, kNone,
     "The task has already started"},
    {ErrorKind::kVersionConflict, "version_conflict", 409, kNotRun, kRetry, kNone,
     "Another change was made first"},
    {ErrorKind::kNotApproved, "not_approved", 403, kNotRun, kNoRetry, kNone,
     "The bundle must be approved by another operator"},
    {ErrorKind::kInvalidBundle, "invalid_bundle", 422, kNotRun, kNoRetry, kNone,
     "The configuration bundle is invalid"},
    {ErrorKind::kQuorumUnreachable, "quorum_unreachable", 503, kNotRun, kRetry, seconds(2),
     "Too few entries can be reached to make a change"},
    {ErrorKind::kUnknownIncarnation, "unknown_incarnation", 503, kMayHaveRun, kNoRetry, kNone,
     "The message was meant for an earlier run of this process"},
    {ErrorKind::kProtocolMismatch, "protocol_mismatch", 400, kNotRun, kNoRetry, kNone,
     "The peer speaks another protocol version"},
    {ErrorKind::kMalformedFrame, "malformed_frame", 400, kNotRun, kNoRetry, kNone,
     "The frame failed verification"},
    {ErrorKind::kInternal, "internal", 500, kMayHaveRun, kNoRetry, kNone, "Internal error"},
}};

constexpr bool RowsMatchKinds() {
  for (std::size_t i = 0; i < kAnswers.size(); ++i) {
    if (static_cast<std::size_t>(kAnswers[i].kind) != i) return false;
  }
  return true;
}
static_assert(RowsMatchKinds(), "kAnswers must list the error kinds in enum order");

}  // namespace

const ErrorAnswer& ErrorAnswerOf(ErrorKind kind) {
  return kAnswers[static_cast<std::size_t>(kind)];
}

std::optional<ErrorKind> ErrorKindFromName(std::string_view name) {
  for (const ErrorAnswer& answer : kAnswers) {
    if (answer.name == name) return answer.kind;
  }
  return std::nullopt;
}

}  // namespace foxtailrudder
