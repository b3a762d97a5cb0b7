// Parses bytes as the body of POST /v1/jobs and as an RFC 3339 time. What is accepted must be
// within the bounds that the dispatcher relies on, and must be read the same way again.
#include "config/config.h"
#include "fuzz/require.h"

namespace {

using foxtailrudder::fuzzing::Require;

constexpr std::string_view kKey = "key-1";

void CheckJob(std::string_view body) {
  const foxtailrudder::WallTime now{std::chrono::hours(24 * 365 * 50)};
  const auto job = foxtailrudder::ParseJob(body, kKey, now);
  const auto* spec = std::get_if<foxtailrudder::JobSpec>(&job);
  if (spec == nullptr) {
    const auto& faults = std::get<foxtailrudder::Faults>(job);
    Require(!faults.empty(), "a refusal names at least one fault");
    Require(faults.size() <= foxtailrudder::kMaxFaults, "the list of faults is bounded");
    return;
  }
  Require(spec->key.idempotency_key == kKey, "the key is the one of the request");
  Require(!spec->tasks.empty(), "an accepted job has a task");
  Require(spec->deadline <= now + foxtailrudder::kMaxTimeToDeadline, "the deadline is bounded");
  const auto again = foxtailrudder::ParseJob(body, kKey, now);
  const auto* second = std::get_if<foxtailrudder::JobSpec>(&again);
  Require(second != nullptr && *second == *spec, "the same body is the same job");
}

void CheckTime(std::string_view text) {
  const auto time = foxtailrudder::ParseRfc3339(text);
  if (!time) return;
  const auto again = foxtailrudder::ParseRfc3339(foxtailrudder::FormatRfc3339(*time));
  Require(again == time, "a formatted time is read back to the same time");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text = foxtailrudder::fuzzing::TextOf(data, size);
  CheckJob(text);
  CheckTime(text);
  return 0;
}
