#include "bench/fleet.h"

#include <array>
#include <fstream>
#include <future>
#include <sstream>
#include <string_view>

namespace foxtailrudder::bench {
namespace {

namespace json = boost::json;

/// Refusal reasons used between processes. All other reasons are for answers to callers.
constexpr std::array<std::string_view, 10> kDispatchRefusals{
    "no_permit",           "no_free_slot",         "endpoint_unavailable", "endpoint_leaving",
    "not_owner",           "stale_dispatch",       "start_records_full",   "already_started",
    "unknown_incarnation", "start_deadline_passed"};

bool IsDispatchRefusal(std::string_view line) {
  for (const std::string_view reason : kDispatchRefusals) {
    if (line.find("reason=\"" + std::string(reason) + "\"") != std::string_view::npos) return true;
  }
  return false;
}

}  // namespace

FleetCounters FleetCounters::operator-(const FleetCounters& before) const {
  return {refused - before.refused, retried - before.retried, duplicated - before.duplicated,
          started - before.started, dispatched - before.dispatched};
}

double FleetCounters::WastedPerTask() const {
  return started > 0 ? (refused + retried + duplicated) / started : 0;
}

void AddMetricsPage(const std::string& page, const std::string& role, FleetCounters& counters) {
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    if (line.empty() || line[0] == '#') continue;
    const auto space = line.rfind(' ');
    if (space == std::string::npos) continue;
    const double value = std::strtod(line.c_str() + space, nullptr);
    const std::string name = line.substr(0, line.find_first_of(" {"));
    if (name == "foxtailrudder_retries_total") counters.retried += value;
    if (role != "sidecar") continue;
    if (name == "foxtailrudder_refusals_total" && IsDispatchRefusal(line)) {
      counters.refused += value;
    }
    if (name == "foxtailrudder_messages_duplicate_total") counters.duplicated += value;
    if (name == "foxtailrudder_tasks_started_total") counters.started += value;
    if (name == "foxtailrudder_tasks_dispatched_total") counters.dispatched += value;
  }
}

std::optional<Fleet> Fleet::Open(const std::string& directory) {
  std::ifstream file(directory + "/fleet.json");
  std::stringstream text;
  text << file.rdbuf();
  boost::system::error_code error;
  const json::value root = json::parse(text.str(), error);
  if (error || !root.is_object()) return std::nullopt;
  Fleet fleet;
  for (const json::value& item : root.at("processes").as_array()) {
    const auto string_member = [&](const char* name) {
      const json::value* member = item.as_object().if_contains(name);
      return member == nullptr ? std::string() : std::string(member->as_string());
    };
    fleet.m_processes.push_back({string_member("role"), string_member("name"),
                                 string_member("zone"), string_member("http"),
                                 static_cast<int>(item.at("pid").as_int64())});
  }
  HttpClientConfig config;
  config.max_connections_per_address = 1500;
  config.max_response_bytes = 64U << 20U;
  fleet.m_client = HttpClient::Create(config);
  const auto entries = fleet.ProcessesOf("entry");
  if (entries.empty()) return std::nullopt;
  const auto bundle = fleet.Call(entries[0].http_address, "GET", "/v1/operator/bundle/text");
  if (!bundle) return std::nullopt;
  const json::value parsed = json::parse(*bundle, error);
  if (error) return std::nullopt;
  fleet.m_team = parsed.at("teams").at(0).at("name").as_string().c_str();
  fleet.m_service = parsed.at("services").at(0).at("name").as_string().c_str();
  return fleet;
}

std::vector<FleetProcess> Fleet::ProcessesOf(const std::string& role) const {
  std::vector<FleetProcess> found;
  for (const FleetProcess& process : m_processes) {
    if (process.role == role) found.push_back(process);
  }
  return found;
}

std::optional<std::string> Fleet::Call(const std::string& address, const std::string& method,
                                       const std::string& target, const std::string& body) const {
  HttpClientRequest request;
  request.address = address;
  request.method = method;
  request.target = target;
  request.body = body;
  if (!body.empty()) request.headers.Add("Content-Type", "application/json");
  request.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  std::promise<HttpClientResult> promise;
  auto future = promise.get_future();
  m_client->Request(std::move(request),
                    [&promise](HttpClientResult result) { promise.set_value(std::move(result)); });
  HttpClientResult result = future.get();
  auto* response = std::get_if<HttpClientResponse>(&result);
  if (response == nullptr || response->status / 100 != 2) return std::nullopt;
  return std::move(response->body);
}

FleetCounters Fleet::ReadCounters() const {
  FleetCounters counters;
  for (const FleetProcess& process : m_processes) {
    if (process.role != "entry" && process.role != "sidecar") continue;
    const auto page = Call(process.http_address, "GET", "/metrics");
    if (page) AddMetricsPage(*page, process.role, counters);
  }
  return counters;
}

}  // namespace foxtailrudder::bench
