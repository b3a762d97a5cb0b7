#include "app/internal/ctl_client.h"

#include <boost/json.hpp>
#include <cstdio>
#include <future>
#include <thread>
#include <utility>

#include "app/internal/clock.h"

namespace foxtailrudder {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kPollPeriod{100};

std::string DescribeProblem(const HttpClientResponse& response) {
  json::error_code error;
  const json::value value = json::parse(response.body, error);
  std::string status = "HTTP " + std::to_string(response.status);
  if (error || !value.is_object()) return status;

  std::string text = status;
  for (const char* key : {"title", "detail"}) {
    const json::value* member = value.as_object().if_contains(key);
    if (member != nullptr && member->is_string()) text += ": " + std::string(member->as_string());
  }
  return text;
}

}  // namespace

CtlClient::CtlClient(std::vector<std::string> entries, std::chrono::milliseconds timeout)
    : m_entries(std::move(entries)),
      m_deadline(ReadClocks().steady + timeout),
      m_client(HttpClient::Create({})) {}

CtlResult CtlClient::Get(const std::string& target) { return Send("GET", target, {}, {}); }

CtlResult CtlClient::Send(const std::string& method, const std::string& target,
                          const HttpHeaders& headers, const std::string& body) {
  CtlFailure last{ExitStatus::kUnreachable, "no entry is configured; use --entry"};
  for (const std::string& entry : m_entries) {
    HttpClientRequest request;
    request.address = entry;
    request.method = method;
    request.target = target;
    request.headers = headers;
    request.body = body;
    request.deadline = m_deadline;
    std::promise<HttpClientResult> done;
    m_client->Request(std::move(request),
                      [&done](HttpClientResult result) { done.set_value(std::move(result)); });
    const HttpClientResult result = done.get_future().get();

    if (const auto* error = std::get_if<HttpClientError>(&result)) {
      const bool timed_out = error->kind == HttpClientErrorKind::kDeadline;
      last = {timed_out ? ExitStatus::kTimedOut : ExitStatus::kUnreachable,
              entry + ": " + (timed_out ? "no answer in time" : "not reachable") +
                  (error->detail.empty() ? "" : " (" + error->detail + ")")};
      continue;
    }
    const auto& response = std::get<HttpClientResponse>(result);
    if (response.status < 300) return CtlAnswer{response.status, response.body};
    return CtlFailure{ExitStatus::kRefused, entry + ": " + DescribeProblem(response)};
  }
  return last;
}

CtlResult CtlClient::WaitInForce(Version control_version, bool show_progress) {
  for (;;) {
    CtlResult result = Get("/v1/operator/in-force/" + std::to_string(control_version));
    if (std::holds_alternative<CtlFailure>(result)) return result;

    json::error_code error;
    const json::value value = json::parse(std::get<CtlAnswer>(result).body, error);
    if (error || !value.is_object()) {
      return CtlFailure{ExitStatus::kFailed, "the entry sent a malformed answer"};
    }
    const json::object& status = value.as_object();
    if (show_progress) {
      std::fprintf(stderr, "control version %llu: %s of %s members acknowledged, %s lapsed\n",
                   static_cast<unsigned long long>(control_version),
                   json::serialize(status.at("acknowledged")).c_str(),
                   json::serialize(status.at("members")).c_str(),
                   json::serialize(status.at("lapsed")).c_str());
    }
    if (status.at("in_force").as_bool()) return result;
    if (ReadClocks().steady + kPollPeriod >= m_deadline) {
      return CtlFailure{ExitStatus::kTimedOut,
                        "accepted as control version " + std::to_string(control_version) +
                            ", but not in force everywhere within the time-out"};
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
}

}  // namespace foxtailrudder
