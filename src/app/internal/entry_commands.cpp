#include "app/internal/entry_commands.h"

#include <charconv>

#include "app/internal/operator_codec.h"
#include "app/internal/url_path.h"
#include "config/config.h"

namespace foxtailrudder {
namespace {

using Parsed = std::variant<EntryCommand, Error>;

// Bounded because keys are held in memory and are part of row names in the store.
constexpr std::size_t kMaxKeyBytes = 256;

Parsed ParseSubmit(const HttpRequest& request, WallTime now) {
  const std::string* key = request.headers.Find("Idempotency-Key");
  if (key == nullptr || key->empty() || key->size() > kMaxKeyBytes) {
    return Error{ErrorKind::kMalformedRequest,
                 "the Idempotency-Key header is required, 1 to 256 bytes long"};
  }
  auto job = ParseJob(request.body, *key, now);
  if (const auto* faults = std::get_if<Faults>(&job)) {
    return Error{ErrorKind::kMalformedRequest, FormatFaults(*faults)};
  }
  const std::string* prefer = request.headers.Find("Prefer");
  const bool async = prefer != nullptr && prefer->find("respond-async") != std::string::npos;
  return SubmitCommand{std::get<JobSpec>(std::move(job)), async};
}

Parsed ParseInForce(const UrlPath& path) {
  const std::string& text = path.segments.back();
  InForceCommand command;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), command.control_version);
  if (error != std::errc() || end != text.data() + text.size()) {
    return Error{ErrorKind::kMalformedRequest, "the control version must be a number: " + text};
  }
  return command;
}

Parsed ParseChange(const HttpRequest& request) {
  auto change = ParseOperatorChange(request.body);
  if (auto* error = std::get_if<Error>(&change)) return std::move(*error);
  return ChangeCommand{std::get<OperatorChange>(std::move(change))};
}

Parsed ParseGet(const UrlPath& path) {
  if (path.Matches({"livez"})) return PageCommand{PageKind::kLive};
  if (path.Matches({"readyz"})) return PageCommand{PageKind::kReady};
  if (path.Matches({"metrics"})) return PageCommand{PageKind::kMetrics};
  if (path.Matches({"v1", "operator", "status"})) return PageCommand{PageKind::kStatus};
  if (path.Matches({"v1", "operator", "bundle"})) return PageCommand{PageKind::kBundle};
  if (path.Matches({"v1", "operator", "bundle", "text"})) return PageCommand{PageKind::kBundleText};
  if (path.Matches({"v1", "operator", "zones"})) return PageCommand{PageKind::kZones};
  if (path.Matches({"v1", "operator", "endpoints"})) return PageCommand{PageKind::kEndpoints};
  if (path.Matches({"v1", "operator", "in-force", "*"})) return ParseInForce(path);
  if (path.Matches({"v1", "jobs", "*", "*"}))
    return QueryCommand{{path.segments[2], path.segments[3]}};
  return Error{ErrorKind::kNotFound, "no such resource"};
}

}  // namespace

std::variant<EntryCommand, Error> ParseEntryCommand(const HttpRequest& request, WallTime now) {
  const UrlPath path = UrlPath::Parse(request.target);
  if (request.method == "GET") return ParseGet(path);
  if (request.method == "POST" && path.Matches({"v1", "jobs"})) return ParseSubmit(request, now);
  if (request.method == "POST" && path.Matches({"v1", "operator", "changes"})) {
    return ParseChange(request);
  }
  if (request.method == "DELETE" && path.Matches({"v1", "jobs", "*", "*"})) {
    return CancelCommand{{path.segments[2], path.segments[3]}};
  }
  return Error{ErrorKind::kNotFound, "no such resource: " + request.method + " " + request.target};
}

}  // namespace foxtailrudder
