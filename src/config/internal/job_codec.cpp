#include "config/job_codec.h"

#include <algorithm>

#include "config/internal/json_reader.h"
#include "config/internal/text.h"
#include "config/internal/urgency_names.h"

namespace foxtailrudder {
namespace {

namespace json = boost::json;
using json_reader::kOptional;
using json_reader::kRequired;
using json_reader::ObjectReader;
using std::chrono::milliseconds;

constexpr std::size_t kMaxKeyBytes = 255;
constexpr std::size_t kMaxTaskIdBytes = 128;
constexpr std::uint32_t kMaxTaskSize = 1'000'000'000;
constexpr milliseconds kMaxRunTime{3'600'000};

std::string ReadIdempotencyKey(std::string_view header, Faults* faults) {
  if (header.size() >= 2 && header.front() == '"' && header.back() == '"') {
    header = header.substr(1, header.size() - 2);
  }
  const bool printable = std::ranges::all_of(
      header, [](char c) { return c > ' ' && c <= '~' && c != '"' && c != '\\'; });
  if (header.empty() || header.size() > kMaxKeyBytes || !printable) {
    json_reader::AddFault(faults, "Idempotency-Key",
                          "must have 1 to 255 printable ASCII characters, without spaces, quotes "
                          "and backslashes");
  }
  return std::string(header);
}

std::string PayloadText(const json::value& value) {
  if (const json::string* const text = value.if_string()) return {text->data(), text->size()};
  return json::serialize(value);
}

TaskSpec ReadTask(const json::value& value, const std::string& path, Faults* faults) {
  TaskSpec task;
  ObjectReader reader(value, path, faults);
  reader.Text("id", kRequired, 1, kMaxTaskIdBytes, &task.id);
  if (const json::value* const payload = reader.FindMember("payload", kRequired)) {
    task.payload = PayloadText(*payload);
  }
  std::uint32_t size = 0;
  reader.Number("size", kOptional, 0U, kMaxTaskSize, &size);
  if (reader.Has("size")) task.size = size;
  milliseconds run_time_hint{0};
  reader.Milliseconds("run_time_hint", kOptional, milliseconds(0), kMaxRunTime, &run_time_hint);
  if (reader.Has("run_time_hint")) task.run_time_hint = run_time_hint;
  reader.RejectUnknownMembers();
  return task;
}

json::object KeyMembers(const JobKey& key, std::string_view state) {
  return {{"team", key.team}, {"key", key.idempotency_key}, {"state", state}};
}

json::object ResultMembers(const TaskResult& result) {
  json::object members = {{"id", result.task_id}, {"status", result.status}};
  if (IsUtf8(result.body)) {
    members["body"] = result.body;
  } else {
    members["body_base64"] = EncodeBase64(result.body);
  }
  return members;
}

void AddProblemMembers(const Error& error, json::object* members) {
  const ErrorAnswer& answer = ErrorAnswerOf(error.kind);
  (*members)["type"] = "urn:foxtailrudder:error:" + std::string(answer.name);
  (*members)["title"] = answer.title;
  (*members)["status"] = answer.http_status;
  (*members)["detail"] = IsUtf8(error.detail) ? error.detail : std::string();
  (*members)["kind"] = answer.name;
  (*members)["not_run"] = answer.not_run;
}

}  // namespace

std::variant<JobSpec, Faults> ParseJob(std::string_view body, std::string_view idempotency_key,
                                       WallTime now) {
  Faults faults;
  JobSpec job;
  job.key.idempotency_key = ReadIdempotencyKey(idempotency_key, &faults);
  const auto document = json_reader::Parse(body, &faults);
  if (!document) return faults;

  ObjectReader reader(*document, "$", &faults);
  reader.Name("team", kRequired, &job.key.team);
  reader.Name("service", kRequired, &job.service);
  reader.Choice<Urgency>("urgency", kOptional, kUrgencyNames, &job.urgency);
  reader.Time("deadline", kRequired, &job.deadline);
  if (job.deadline > now + kMaxTimeToDeadline) {
    reader.Report("deadline", "is more than 24 hours away");
  }
  // No default: a price must not be posted twice because a caller omitted the flag.
  reader.Flag("idempotent", kRequired, &job.idempotent);
  json_reader::UniqueNames ids;
  reader.Array("tasks", kRequired, 1, kMaxTasksPerJob, [&](const auto& value, const auto& path) {
    job.tasks.push_back(ReadTask(value, path, &faults));
    ids.Add(job.tasks.back().id, path + ".id", &faults);
  });
  reader.RejectUnknownMembers();
  if (!faults.empty()) return faults;
  job.digest = DigestOf(job);
  return job;
}

std::string FormatJobAnswer(const JobKey& key, const JobAnswer& answer) {
  if (const auto* const error = std::get_if<Error>(&answer)) {
    json::object members = KeyMembers(key, "failed");
    AddProblemMembers(*error, &members);
    return json::serialize(members);
  }
  json::object members = KeyMembers(key, "complete");
  json::array results;
  for (const TaskResult& result : std::get<JobComplete>(answer).results) {
    results.emplace_back(ResultMembers(result));
  }
  members["results"] = std::move(results);
  return json::serialize(members);
}

std::string FormatStatus(const JobKey& key, const JobProgress& progress) {
  json::object members = KeyMembers(key, "in_progress");
  members["queued"] = progress.queued;
  members["running"] = progress.running;
  members["finished"] = progress.finished;
  return json::serialize(members);
}

std::string FormatProblem(const Error& error) { return FormatProblem(error, {}); }

std::string FormatProblem(const Error& error, const Faults& faults) {
  json::object members;
  AddProblemMembers(error, &members);
  if (!faults.empty()) {
    json::array list;
    for (const Fault& fault : faults) {
      list.push_back({{"path", fault.path}, {"message", fault.message}});
    }
    members["faults"] = std::move(list);
  }
  return json::serialize(members);
}

}  // namespace foxtailrudder
