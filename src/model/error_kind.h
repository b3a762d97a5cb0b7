#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailrudder {

/// All error kinds. ErrorAnswerOf gives the HTTP status and retry advice of each.
enum class ErrorKind : std::uint8_t {
  // Errors in the request itself.
  kMalformedRequest,
  kBodyTooLarge,
  kUnknownTeam,
  kUnknownService,
  kDeadlinePassed,
  kKeyConflict,
  kNotFound,
  // Admission: refused before any task ran.
  kCanNeverRun,
  kDeadlineUnreachable,
  kQuotaExceeded,
  kQueueFull,
  kClaimTableFull,
  kInputQueueFull,
  kNoCapacity,
  kEntryDraining,
  kShardUnavailable,
  kRegionUnreachable,
  kStoreUnavailable,
  kRetryBudgetExhausted,
  kNotStartedInTime,
  kCancelledBeforeStart,
  // Internal: refused by an executor or a coordinator before the task started.
  kNoPermit,
  kNoFreeSlot,
  kEndpointUnavailable,
  kEndpointLeaving,
  kNotOwner,
  kStaleDispatch,
  kStartRecordsFull,
  kStartDeadlinePassed,
  // After a task may have started.
  kTaskFailed,
  kCancelled,
  kDeadlineExceeded,
  kOutcomeUnknown,
  kAlreadyStarted,
  // Changes by operators.
  kVersionConflict,
  kNotApproved,
  kInvalidBundle,
  kQuorumUnreachable,
  // Transport.
  kUnknownIncarnation,
  kProtocolMismatch,
  kMalformedFrame,
  kInternal,
};

inline constexpr std::size_t kErrorKindCount = static_cast<std::size_t>(ErrorKind::kInternal) + 1;

/// The HTTP response to a caller or operator for one error kind.
struct ErrorAnswer {
  ErrorKind kind;
  /// Stable snake_case identifier in responses, logs and counters.
  std::string_view name;
  std::uint16_t http_status;
  /// True only if no task of the request has started, or will ever start, because of this request.
  bool not_run;
  bool retry_may_help;
  /// Value of the Retry-After header, in whole seconds; the header is omitted if unset.
  std::optional<std::chrono::seconds> retry_after;
  std::string_view title;
};

const ErrorAnswer& ErrorAnswerOf(ErrorKind kind);

/// The error kind with the given stable name, or nullopt if the name is unknown.
std::optional<ErrorKind> ErrorKindFromName(std::string_view name);

/// An error with a detail that names the field, line or member concerned.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;

  friend bool operator==(const Error&, const Error&) = default;
};

}  // namespace foxtailrudder
