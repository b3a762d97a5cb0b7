#pragma once

#include <string>
#include <variant>

#include "http/server.h"
#include "model/model.h"

namespace foxtailrudder {

// HTTP requests from callers and operators to an entry, parsed and validated.

struct SubmitCommand {
  JobSpec job;
  /// "Prefer: respond-async" was given: answer 202 as soon as the job is accepted.
  bool async = false;
};

struct QueryCommand {
  JobKey key;
};

struct CancelCommand {
  JobKey key;
};

struct ChangeCommand {
  OperatorChange change;
};

/// Asks how many members have acknowledged a version of the control row.
struct InForceCommand {
  Version control_version = 0;
};

enum class PageKind : std::uint8_t {
  kLive,
  kReady,
  kMetrics,
  kStatus,
  kBundle,
  kBundleText,
  kZones,
  kEndpoints
};

struct PageCommand {
  PageKind page = PageKind::kLive;
};

using EntryCommand = std::variant<SubmitCommand, QueryCommand, CancelCommand, ChangeCommand,
                                  InForceCommand, PageCommand>;

/// Parses an HTTP request. The error names the invalid header or JSON member.
std::variant<EntryCommand, Error> ParseEntryCommand(const HttpRequest& request, WallTime now);

}  // namespace foxtailrudder
