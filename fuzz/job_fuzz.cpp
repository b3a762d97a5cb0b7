// Parses the input as the body of POST /v1/jobs and as an RFC 3339 time. An accepted job must be
// within the bounds that the dispatcher relies on, and parsing the same body twice must give the
// same job. An accepted time must stay the same after formatting and parsing.
#include "config/config.h"
#include "fuzz/require.h"

namespace {

using foxtailrudder::fuzzing::Require;

constexpr std::string_view kIdempotencyKey = "key-1";

void CheckJob(std::string_view body) {
  const foxtailrudder::WallTime now{std::chrono::hours(24 * 365 * 50)};
  const auto job = foxtailrudder::ParseJob(body, kIdempotencyKey, now);
  const auto* spec = std::get_if<foxtailrudder::JobSpec>(&job);
  if (spec == nullptr) {
    const auto& faults = std::get<foxtailrudder::Faults>(job);
    Require(!faults.empty(), "a rejected input has at least one fault");
    Require(faults.size() <= foxtailrudder::kMaxFaults,
            "the number of faults is at most kMaxFaults");
    return;
  }
  Require(spec->key.idempotency_key == kIdempotencyKey,
          "the job has the idempotency key of the request");
  Require(!spec->tasks.empty(), "an accepted job has at least one task");
  Require(spec->deadline <= now + foxtailrudder::kMaxTimeToDeadline,
          "the deadline is at most kMaxTimeToDeadline away");
  const auto reparse_result = foxtailrudder::ParseJob(body, kIdempotencyKey, now);
  const auto* reparsed = std::get_if<foxtailrudder::JobSpec>(&reparse_result);
  Require(reparsed != nullptr && *reparsed == *spec,
          "parsing the same body twice gives the same job");
}

void CheckTime(std::string_view text) {
  const auto time = foxtailrudder::ParseRfc3339(text);
  if (!time) return;
  const auto reparse_result = foxtailrudder::ParseRfc3339(foxtailrudder::FormatRfc3339(*time));
  Require(reparse_result == time, "formatting and parsing a time keeps it unchanged");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = foxtailrudder::fuzzing::InputText(data, size);
  CheckJob(text);
  CheckTime(text);
  return 0;
}
