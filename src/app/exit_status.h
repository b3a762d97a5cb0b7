#pragma once

namespace foxtailrudder {

/// Process exit statuses, shared by all roles.
enum class ExitStatus : int {
  kOk = 0,
  kFailed = 1,
  /// Invalid command line or settings.
  kUsage = 2,
  /// An entry refused the request (ctl).
  kRefused = 3,
  /// No answer, or the change was accepted but not in force, within the time-out (ctl).
  kTimedOut = 4,
  /// No entry could be reached (ctl).
  kUnreachable = 5,
};

}  // namespace foxtailrudder
