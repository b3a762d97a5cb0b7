#include "standins/endpoint_standin.h"

#include <algorithm>
#include <boost/json.hpp>
#include <deque>
#include <mutex>
#include <optional>
#include <pcg_random.hpp>
#include <random>
#include <unordered_map>
#include <utility>

#include "config/rfc3339.h"
#include "http/server.h"
#include "standins/json_support.h"

namespace foxtailrudder::standins {
namespace {

namespace json = boost::json;

/// Too Early (RFC 8470): the task was not started because its start deadline has passed.
constexpr unsigned kTooEarlyStatus = 425;

struct Task {
  std::string id;
  std::optional<WallTime> start_deadline;
  std::string payload;
  HttpResponder responder;
};

}  // namespace

class EndpointStandin::Impl : public HttpHandler, public std::enable_shared_from_this<Impl> {
 public:
  Impl(EndpointConfig config, HttpClient& client, Scheduler& scheduler)
      : m_config(std::move(config)),
        m_client(client),
        m_scheduler(scheduler),
        m_random(m_config.seed) {}

  std::optional<Error> Start() {
    HttpServerConfig config;
    config.address = m_config.listen;
    // Leaves room for control connections beside those for tasks.
    config.max_connections = m_config.connections + 8;
    auto server = HttpServer::Create(config, *this);
    if (auto* error = std::get_if<Error>(&server)) {
      return std::move(*error);
    }
    m_server = std::move(std::get<std::unique_ptr<HttpServer>>(server));
    if (!m_config.sidecar.empty()) {
      AnnounceRepeatedly();
    }
    return std::nullopt;
  }

  void Stop() {
    m_server->Stop(std::chrono::milliseconds(0));
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_waiting_tasks.clear();
    m_running_tasks.clear();
  }

  const std::string& address() const { return m_server->address(); }

  void SetFaults(const EndpointFaults& faults) {
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
  }

  void Freeze(std::chrono::milliseconds duration) {
    {
      const std::lock_guard lock(m_mutex);
      m_frozen_until = std::chrono::steady_clock::now() + duration;
    }
    RunAfter(duration, [](Impl& self) { self.StartWaitingTasks(); });
  }

  void Leave() {
    {
      const std::lock_guard lock(m_mutex);
      m_leaving = true;
    }
    Announce();
  }

  std::vector<TaskStart> starts() const {
    const std::lock_guard lock(m_mutex);
    return m_starts;
  }

  void OnRequest(HttpRequest request, HttpResponder responder) override {
    if (request.target == "/v1/tasks" && request.method == "POST") {
      AcceptTask(std::move(request), std::move(responder));
    } else {
      responder.Respond(HandleControlRequest(request));
    }
  }

  /// A disconnect cancels the request: a waiting task is dropped, a running one frees its slot.
  void OnClientDisconnected(HttpRequestId request) override {
    {
      const std::lock_guard lock(m_mutex);
      std::erase_if(m_waiting_tasks,
                    [&](const Task& task) { return task.responder.id() == request; });
      m_running_tasks.erase(request);
    }
    StartWaitingTasks();
  }

 private:
  HttpResponse HandleControlRequest(const HttpRequest& request) {
    if (request.target == "/starts") {
      json::array rows;
      for (const TaskStart& start : starts()) {
        rows.push_back(
            {{"task_id", start.task_id}, {"at_ns", start.at.time_since_epoch().count()}});
      }
      return JsonResponse(json::object{{"starts", std::move(rows)}});
    }
    if (request.method == "POST" && request.target == "/leave") {
      Leave();
      return EmptyResponse(200);
    }
    const auto body = ParseObject(request.body);
    if (request.method != "POST" || request.target != "/faults" || !body) {
      return EmptyResponse(404);
    }
    {
      const std::lock_guard lock(m_mutex);
      m_faults.fail_all = BoolOr(*body, "fail_all", m_faults.fail_all);
      m_faults.hang = BoolOr(*body, "hang", m_faults.hang);
      m_faults.slow_factor = NumberOr(*body, "slow_factor", m_faults.slow_factor);
    }
    const auto freeze = static_cast<std::int64_t>(NumberOr(*body, "freeze_ms", 0));
    if (freeze > 0) {
      Freeze(std::chrono::milliseconds(freeze));
    }
    return EmptyResponse(200);
  }

  void AcceptTask(HttpRequest request, HttpResponder responder) {
    const std::string* id = request.headers.Find("Idempotency-Key");
    const std::string* deadline = request.headers.Find("Start-Deadline");
    Task task{id != nullptr ? *id : "", {}, std::move(request.body), std::move(responder)};
    if (deadline != nullptr) {
      task.start_deadline = ParseRfc3339(*deadline);
    }
    if (task.id.empty() || (deadline != nullptr && !task.start_deadline)) {
      task.responder.Respond(EmptyResponse(400));
      return;
    }
    {
      const std::lock_guard lock(m_mutex);
      m_waiting_tasks.push_back(std::move(task));
    }
    StartWaitingTasks();
  }

  void StartWaitingTasks() {
    std::vector<Task> expired_tasks;
    {
      const std::lock_guard lock(m_mutex);
      while (!m_stopped && !m_waiting_tasks.empty() && m_running_tasks.size() < m_config.slots &&
             std::chrono::steady_clock::now() >= m_frozen_until) {
        Task task = std::move(m_waiting_tasks.front());
        m_waiting_tasks.pop_front();
        if (task.start_deadline && std::chrono::system_clock::now() > *task.start_deadline) {
          expired_tasks.push_back(std::move(task));
        } else {
          StartTask(std::move(task));
        }
      }
    }
    for (const Task& task : expired_tasks) {
      task.responder.Respond(EmptyResponse(kTooEarlyStatus));
    }
  }

  /// Requires m_mutex to be held.
  void StartTask(Task task) {
    m_starts.push_back({task.id, std::chrono::system_clock::now()});
    const HttpRequestId request_id = task.responder.id();
    auto run_time = ChooseRunTime(task.payload);
    if (m_faults.fail_all) {
      run_time = {};
    }
    const bool should_hang = m_faults.hang;
    m_running_tasks.emplace(request_id, std::move(task));
    if (!should_hang) {
      RunAfter(run_time, [request_id](Impl& self) { self.FinishTask(request_id); });
    }
  }

  std::chrono::nanoseconds ChooseRunTime(const std::string& payload) {
    const auto body = ParseObject(payload);
    double milliseconds = body ? NumberOr(*body, "run_ms", -1) : -1;
    if (milliseconds < 0) {
      milliseconds = std::uniform_real_distribution<double>(
          static_cast<double>(m_config.min_run_time.count()),
          static_cast<double>(m_config.max_run_time.count()))(m_random);
    }
    return std::chrono::nanoseconds(
        static_cast<std::int64_t>(milliseconds * m_faults.slow_factor * 1e6));
  }

  void FinishTask(HttpRequestId request_id) {
    std::optional<Task> task;
    bool failed = false;
    {
      const std::lock_guard lock(m_mutex);
      const auto now = std::chrono::steady_clock::now();
      const auto found = m_running_tasks.find(request_id);
      if (found == m_running_tasks.end()) {
        return;
      }
      if (now < m_frozen_until) {
        RunAfter(m_frozen_until - now, [request_id](Impl& self) { self.FinishTask(request_id); });
        return;
      }
      task = std::move(found->second);
      m_running_tasks.erase(found);
      failed = m_faults.fail_all;
    }
    HttpResponse response;
    if (failed) {
      response.status = 500;
    } else {
      response.body = std::move(task->payload);
    }
    task->responder.Respond(std::move(response));
    StartWaitingTasks();
  }

  void AnnounceRepeatedly() {
    Announce();
    RunAfter(m_config.announce_period, [](Impl& self) { self.AnnounceRepeatedly(); });
  }

  void Announce() {
    HttpClientRequest request;
    {
      const std::lock_guard lock(m_mutex);
      if (m_stopped || m_config.sidecar.empty() ||
          std::chrono::steady_clock::now() < m_frozen_until) {
        return;
      }
      json::object body{{"service", m_config.service},         {"slots", m_config.slots},
                        {"connections", m_config.connections}, {"address", address()},
                        {"worker", m_config.worker},           {"rack", m_config.rack}};
      if (m_leaving) {
        body["leaving"] = true;
      }
      request.body = json::serialize(body);
    }
    request.address = m_config.sidecar;
    request.method = "POST";
    request.target = "/v1/announce";
    request.headers.Add("Content-Type", "application/json");
    request.deadline = std::chrono::steady_clock::now() + m_config.announce_period;
    // The result is ignored: the next periodic announcement replaces a lost one.
    m_client.Request(std::move(request), [](const HttpClientResult& /*result*/) {});
  }

  template <typename F>
  void RunAfter(std::chrono::nanoseconds delay, F function) {
    m_scheduler.After(delay, [weak = weak_from_this(), function] {
      if (const auto self = weak.lock()) {
        function(*self);
      }
    });
  }

  const EndpointConfig m_config;
  HttpClient& m_client;
  Scheduler& m_scheduler;
  mutable std::mutex m_mutex;
  EndpointFaults m_faults;
  std::chrono::steady_clock::time_point m_frozen_until;
  bool m_leaving = false;
  bool m_stopped = false;
  std::deque<Task> m_waiting_tasks;
  std::unordered_map<HttpRequestId, Task> m_running_tasks;
  std::vector<TaskStart> m_starts;
  pcg64 m_random;
  std::unique_ptr<HttpServer> m_server;
};

EndpointStandin::EndpointStandin(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}
EndpointStandin::~EndpointStandin() { m_impl->Stop(); }

std::variant<std::unique_ptr<EndpointStandin>, Error> EndpointStandin::Create(
    EndpointConfig config, HttpClient& client, Scheduler& scheduler) {
  auto impl = std::make_shared<Impl>(std::move(config), client, scheduler);
  if (auto error = impl->Start()) {
    return std::move(*error);
  }
  return std::unique_ptr<EndpointStandin>(new EndpointStandin(std::move(impl)));
}

const std::string& EndpointStandin::address() const { return m_impl->address(); }
void EndpointStandin::SetFaults(const EndpointFaults& faults) { m_impl->SetFaults(faults); }
void EndpointStandin::Freeze(std::chrono::milliseconds time) { m_impl->Freeze(time); }
void EndpointStandin::Leave() { m_impl->Leave(); }
std::vector<TaskStart> EndpointStandin::starts() const { return m_impl->starts(); }

}  // namespace foxtailrudder::standins
