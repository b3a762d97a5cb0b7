#pragma once

#include <iosfwd>
#include <string>

#include "app/exit_status.h"

namespace foxtailrudder {

/// Merges the log lines of several processes about one request, prints them in time order and marks
/// the first warning. Lines without a JSON object are skipped. Text before the first brace of a
/// line is ignored, so that prefixes added by log collectors are accepted. Returns kFailed if no
/// line names the request.
ExitStatus Explain(const std::string& request, std::istream& logs, std::ostream& out);

}  // namespace foxtailrudder
