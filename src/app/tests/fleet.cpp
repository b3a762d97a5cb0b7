#include "app/tests/fleet.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <charconv>
#include <fstream>
#include <future>
#include <iterator>
#include <thread>

#include "config/config.h"

namespace foxtailrudder::app_test {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kPollPeriod{20};
constexpr std::size_t kLogTailBytes = 3000;
const std::string kMembersVersionMetric = "foxtailrudder_members_version";
// Below the ephemeral port range, so that no outgoing connection can take a port before the process
// that it was allocated for listens on it.
constexpr unsigned kFirstPort = 15'000;
constexpr unsigned kEndPort = 32'000;
constexpr unsigned kPortsPerBlock = 500;

/// Returns a socket that listens on the port, or -1 if the port is in use.
int Listen(unsigned port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int reuse = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
      listen(listener, 1) == 0) {
    return listener;
  }
  close(listener);
  return -1;
}

/// A block of ports reserved for this test process, so that several test processes can run at the
/// same time. The reservation is a socket that listens on the first port of the block.
class PortBlock {
 public:
  PortBlock() {
    for (m_first_port = kFirstPort; m_first_port + kPortsPerBlock <= kEndPort;
         m_first_port += kPortsPerBlock) {
      m_reservation = Listen(m_first_port);
      if (m_reservation >= 0) return;
    }
    throw std::runtime_error("no free block of test ports");
  }
  ~PortBlock() { close(m_reservation); }
  PortBlock(const PortBlock&) = delete;
  PortBlock& operator=(const PortBlock&) = delete;

  unsigned AllocatePort() {
    for (unsigned tried = 1; tried < kPortsPerBlock; ++tried) {
      m_last_offset = m_last_offset % (kPortsPerBlock - 1) + 1;
      const int probe = Listen(m_first_port + m_last_offset);
      if (probe < 0) continue;
      close(probe);
      return m_first_port + m_last_offset;
    }
    throw std::runtime_error("no free port in the reserved block");
  }

 private:
  int m_reservation = -1;
  unsigned m_first_port = 0;
  unsigned m_last_offset = 0;
};

std::string ReadAll(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string Number(std::size_t i) { return std::to_string(i); }

}  // namespace

json::object Reply::Json() const {
  boost::system::error_code error;
  json::value value = json::parse(body, error);
  return !error && value.is_object() ? value.get_object() : json::object{};
}

std::string Reply::ErrorKind() const {
  const json::object object = Json();
  const auto* kind = object.if_contains("kind");
  return kind != nullptr && kind->is_string() ? std::string(kind->get_string()) : std::string();
}

bool Reply::IsNotRun() const {
  const json::object object = Json();
  const auto* not_run = object.if_contains("not_run");
  return not_run != nullptr && not_run->is_bool() && not_run->get_bool();
}

Fleet::Fleet(const FleetOptions& options) {
  std::string pattern = (std::filesystem::temp_directory_path() / "foxtailrudder-XXXXXX").string();
  BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
  m_directory = pattern;
  HttpClientConfig config;
  config.max_connections_per_address = 512;
  m_client = HttpClient::Create(config);
  const std::array<std::string, 3> zones{"pl-a", "pl-b", "pl-c"};
  for (int i = 0; i < options.zones; ++i) m_zones.push_back(zones.at(static_cast<std::size_t>(i)));

  StartPlatform();
  StartEntries(options);
  StartSidecars(options);
  AcceptBundle();
  WaitUntilReady();
}

Fleet::~Fleet() {
  m_client->Stop();
  for (auto* group : {&m_sidecars, &m_endpoints, &m_entries}) group->clear();
  m_platform.process.reset();
  // Set to trace a failure that does not always occur.
  if (std::getenv("FOXTAILRUDDER_KEEP_LOGS") != nullptr) return;
  std::error_code ignored;
  std::filesystem::remove_all(m_directory, ignored);
}

std::string Fleet::AllocateAddress() {
  static PortBlock ports;
  return "127.0.0.1:" + std::to_string(ports.AllocatePort());
}

std::string Fleet::WriteSettings(const std::string& name, const json::object& settings) const {
  const auto path = m_directory / (name + ".json");
  std::ofstream(path) << json::serialize(settings);
  return path.string();
}

void Fleet::Start(Instance& instance) {
  instance.process = std::make_unique<ChildProcess>(
      instance.command, (m_directory / (instance.name + ".log")).string());
}

void Fleet::StartPlatform() {
  m_platform.name = "platform";
  m_platform.http = AllocateAddress();
  m_platform.command = {FOXTAILRUDDER_STANDIN_BINARY, "platform", "--listen", m_platform.http};
  Start(m_platform);
  WaitUntil("platform stand-in", [this] { return Get(m_platform.http, "/stats").status == 200; });
}

void Fleet::StartEntries(const FleetOptions& options) {
  for (int i = 0; i < options.entries; ++i) {
    const auto number = static_cast<std::size_t>(i);
    Instance entry;
    entry.name = "entry-" + Number(number);
    entry.zone = m_zones[number % m_zones.size()];
    entry.http = AllocateAddress();
    entry.internal = AllocateAddress();
    json::object settings{{"name", entry.name},
                          {"region", "pl"},
                          {"zone", entry.zone},
                          {"rack", "entry-rack-" + Number(number)},
                          {"internal_address", entry.internal},
                          {"http_address", entry.http},
                          {"platform_address", m_platform.http}};
    for (const auto& added : options.entry_settings) settings[added.key()] = added.value();
    entry.command = {FOXTAILRUDDER_BINARY, "entry", "--config",
                     WriteSettings(entry.name, settings)};
    m_entries.push_back(std::move(entry));
    Start(m_entries.back());
  }
  for (const Instance& entry : m_entries) {
    WaitUntil(entry.name, [&] { return Get(entry.http, "/livez").status == 200; });
  }
}

void Fleet::StartSidecars(const FleetOptions& options) {
  json::array seeds;
  for (const Instance& entry : m_entries) {
    seeds.push_back({{"name", entry.name}, {"address", entry.internal}});
  }
  for (int i = 0; i < options.sidecars; ++i) {
    const auto number = static_cast<std::size_t>(i);
    Instance sidecar;
    sidecar.name = "sidecar-" + Number(number);
    sidecar.zone = m_zones[number % m_zones.size()];
    sidecar.http = AllocateAddress();
    sidecar.internal = AllocateAddress();
    const std::string rack = sidecar.zone + "-rack-" + Number(number / m_zones.size());
    const std::string worker = "worker-" + Number(number);
    const json::object settings{{"name", sidecar.name},
                                {"region", "pl"},
                                {"zone", sidecar.zone},
                                {"rack", rack},
                                {"worker", worker},
                                {"internal_address", sidecar.internal},
                                {"announce_address", sidecar.http},
                                {"entries", seeds}};
    sidecar.command = {FOXTAILRUDDER_BINARY, "sidecar", "--config",
                       WriteSettings(sidecar.name, settings)};
    Instance endpoint;
    endpoint.name = "endpoint-" + Number(number);
    endpoint.zone = sidecar.zone;
    endpoint.http = AllocateAddress();
    endpoint.command = {FOXTAILRUDDER_STANDIN_BINARY,
                        "endpoint",
                        "--listen",
                        endpoint.http,
                        "--sidecar",
                        sidecar.http,
                        "--service",
                        kService,
                        "--slots",
                        std::to_string(options.slots),
                        "--worker",
                        worker,
                        "--rack",
                        rack};
    m_sidecars.push_back(std::move(sidecar));
    Start(m_sidecars.back());
    m_endpoints.push_back(std::move(endpoint));
    Start(m_endpoints.back());
  }
}

void Fleet::AcceptBundle() {
  const Instance& entry = m_entries.front();
  WaitUntil("first entry listed", [&] {
    const json::object status = Get(entry.http, "/v1/operator/status").Json();
    const auto* listed = status.if_contains("listed");
    return listed != nullptr && listed->is_bool() && listed->get_bool();
  });
  const std::string bundle =
      ReadAll(std::string(FOXTAILRUDDER_SOURCE_DIR) + "/examples/registry.bundle.json");
  Reply reply = PostChange(entry, {{"change_id", "propose-1"},
                                   {"operator", "author"},
                                   {"type", "propose_bundle"},
                                   {"bundle", bundle}});
  BOOST_REQUIRE_MESSAGE(reply.status == 200, reply.body << reply.failure);
  const json::object status = Get(entry.http, "/v1/operator/bundle").Json();
  reply = PostChange(entry, {{"change_id", "approve-1"},
                             {"operator", "reviewer"},
                             {"type", "approve_bundle"},
                             {"digest", status.at("proposals").at(0).at("digest")},
                             {"expected_version", 0}});
  BOOST_REQUIRE_MESSAGE(reply.status == 200, reply.body << reply.failure);
}

bool Fleet::ListsAllEndpoints(const Instance& entry) {
  const json::object reply = Get(entry.http, "/v1/operator/endpoints").Json();
  const auto* endpoints = reply.if_contains("endpoints");
  if (endpoints == nullptr || !endpoints->is_array()) return false;
  std::size_t announced = 0;
  for (const json::value& endpoint : endpoints->get_array()) {
    announced += endpoint.at("service").as_string() == kService ? 1 : 0;
  }
  return announced == m_sidecars.size();
}

bool Fleet::IsReadyToStartTasks(const Instance& sidecar) {
  return Get(sidecar.http, "/readyz").status == 200 &&
         Metric(sidecar, "foxtailrudder_pending_shards") == 0 &&
         Metric(sidecar, "foxtailrudder_may_start") == 1;
}

void Fleet::WaitUntilReady() {
  for (const Instance& entry : m_entries) {
    WaitUntil(entry.name + " ready", [&] { return Get(entry.http, "/readyz").status == 200; });
  }
  for (const Instance& sidecar : m_sidecars) {
    WaitUntil(sidecar.name + " ready to start tasks", [&] { return IsReadyToStartTasks(sidecar); });
  }
  for (const Instance& entry : m_entries) {
    WaitUntil(entry.name + " lists all endpoints", [&] { return ListsAllEndpoints(entry); });
  }
  // A coordinator's member list may be one heartbeat older than that of the entries.
  const double newest = Metric(m_entries.front(), kMembersVersionMetric);
  for (const Instance& sidecar : m_sidecars) {
    WaitUntil(sidecar.name + " knows all endpoints",
              [&] { return Metric(sidecar, kMembersVersionMetric) >= newest; });
  }
}

Reply Fleet::Send(HttpClientRequest request, std::chrono::milliseconds timeout) {
  request.deadline = std::chrono::time_point_cast<std::chrono::nanoseconds>(
      std::chrono::steady_clock::now() + timeout);
  auto promise = std::make_shared<std::promise<Reply>>();
  auto future = promise->get_future();
  m_client->Request(std::move(request), [promise](HttpClientResult result) {
    Reply reply;
    if (auto* response = std::get_if<HttpClientResponse>(&result)) {
      reply = {response->status, std::move(response->body), std::move(response->headers), true, {}};
    } else {
      const auto& error = std::get<HttpClientError>(result);
      reply.sent = error.sent;
      reply.failure = error.detail.empty() ? "no answer" : error.detail;
    }
    promise->set_value(std::move(reply));
  });
  return future.get();
}

Reply Fleet::Get(const std::string& address, const std::string& target,
                 std::chrono::milliseconds timeout) {
  HttpClientRequest request;
  request.address = address;
  request.target = target;
  return Send(std::move(request), timeout);
}

Reply Fleet::Post(const std::string& address, const std::string& target, std::string body,
                  HttpHeaders headers, std::chrono::milliseconds timeout) {
  HttpClientRequest request;
  request.address = address;
  request.method = "POST";
  request.target = target;
  request.headers = std::move(headers);
  request.headers.Add("Content-Type", "application/json");
  request.body = std::move(body);
  return Send(std::move(request), timeout);
}

Reply Fleet::Delete(const std::string& address, const std::string& target) {
  HttpClientRequest request;
  request.address = address;
  request.method = "DELETE";
  request.target = target;
  return Send(std::move(request), std::chrono::seconds(20));
}

std::string Fleet::SubmissionBody(const Job& job) {
  const auto deadline = std::chrono::time_point_cast<std::chrono::nanoseconds>(
      std::chrono::system_clock::now() + job.deadline_in);
  json::array tasks;
  for (int i = 0; i < job.tasks; ++i) {
    tasks.push_back({{"id", "t" + std::to_string(i)},
                     {"payload", {{"run_ms", job.run_ms}, {"key", job.key}, {"number", i}}}});
  }
  return json::serialize(
      json::object{{"team", kTeam},
                   {"service", kService},
                   {"deadline", job.deadline.empty() ? FormatRfc3339(deadline) : job.deadline},
                   {"idempotent", job.idempotent},
                   {"tasks", std::move(tasks)}});
}

Reply Fleet::Submit(const Instance& entry, const Job& job) {
  HttpHeaders headers;
  headers.Add("Idempotency-Key", job.key);
  // If the server closed an idle connection while a request is being written to it, the request
  // would count as unanswered.
  headers.Add("Connection", "close");
  return Post(entry.http, "/v1/jobs", SubmissionBody(job), std::move(headers),
              job.deadline_in + std::chrono::seconds(40));
}

Reply Fleet::PostChange(const Instance& entry, const json::object& change) {
  return Post(entry.http, "/v1/operator/changes", json::serialize(change));
}

Reply Fleet::SetZoneState(const Instance& entry, const std::string& zone,
                          const std::string& state) {
  static int number = 0;
  return PostChange(entry, {{"change_id", "zone-" + std::to_string(++number)},
                            {"operator", "tester"},
                            {"type", "set_zone"},
                            {"zone", zone},
                            {"state", state}});
}

void Fleet::WaitUntil(const std::string& what, const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      for (const auto* group : {&m_entries, &m_sidecars}) {
        for (const Instance& instance : *group) {
          BOOST_TEST_MESSAGE(instance.name << ":\n" << LogTail(instance));
        }
      }
      BOOST_FAIL("timed out after " << kWaitTimeout.count() << " s waiting for: " << what);
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
}

void Fleet::WaitUntilInForce(const Instance& entry, std::uint64_t control_version) {
  WaitUntil("control version in force", [&] {
    const json::object status =
        Get(entry.http, "/v1/operator/in-force/" + std::to_string(control_version)).Json();
    const auto* in_force = status.if_contains("in_force");
    return in_force != nullptr && in_force->is_bool() && in_force->get_bool();
  });
}

double Fleet::Metric(const Instance& instance, const std::string& series) {
  const std::string text = "\n" + Get(instance.http, "/metrics").body;
  const auto at = text.find("\n" + series + " ");
  if (at == std::string::npos) return -1;
  return std::strtod(text.c_str() + at + series.size() + 2, nullptr);
}

std::vector<StartedTask> Fleet::ReadStartLogs() {
  std::vector<StartedTask> starts;
  for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
    const Reply reply = Get(m_endpoints[i].http, "/starts");
    BOOST_REQUIRE_MESSAGE(reply.status == 200, m_endpoints[i].name << ": " << reply.failure);
    const json::object log = reply.Json();
    for (const json::value& start : log.at("starts").as_array()) {
      const std::chrono::nanoseconds at(start.at("at_ns").to_number<std::int64_t>());
      starts.push_back(
          {std::string(start.at("task_id").as_string()), WallTime(at), i, m_endpoints[i].zone});
    }
  }
  return starts;
}

std::size_t Fleet::CountStarts(const std::string& key) {
  const std::string prefix = kTeam + "/" + key + "/";
  std::size_t count = 0;
  for (const StartedTask& start : ReadStartLogs())
    count += start.task_id.starts_with(prefix) ? 1 : 0;
  return count;
}

std::string Fleet::LogTail(const Instance& instance) const {
  std::string text = ReadAll(m_directory / (instance.name + ".log"));
  return text.size() > kLogTailBytes ? text.substr(text.size() - kLogTailBytes) : text;
}

bool Fleet::WaitForLog(const Instance& instance, std::string_view text,
                       std::chrono::milliseconds timeout) const {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (LogTail(instance).find(text) == std::string::npos) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

}  // namespace foxtailrudder::app_test
