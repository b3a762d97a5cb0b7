#include "app/internal/sidecar_app.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "app/internal/clock.h"
#include "app/internal/http_answers.h"
#include "app/internal/url_path.h"

namespace foxtailrudder {
namespace {

// Time limit for running tasks and handovers during a drain.
constexpr std::chrono::seconds kDrainTimeout{150};
constexpr std::size_t kMaxAnnouncementBytes = 64 << 10;

}  // namespace

std::variant<std::unique_ptr<SidecarApp>, Error> SidecarApp::Create(const SidecarSettings& settings,
                                                                    Incarnation incarnation) {
  Member self;
  self.id = NodeIdOf(settings.name);
  self.incarnation = incarnation;
  self.name = settings.name;
  self.role = NodeRole::kSidecar;
  self.address = settings.internal_address;
  self.zone = settings.zone;
  self.rack = settings.rack;
  self.worker = settings.worker;

  SidecarNodeConfig config;
  config.self = self;
  for (const SeedEntry& entry : settings.entries) {
    config.seed_entries.push_back(NodeIdOf(entry.name));
  }
  config.coordinator.seed = self.incarnation;
  auto node = SidecarNode::Create(std::move(config));
  if (auto* error = std::get_if<Error>(&node)) return std::move(*error);

  std::unique_ptr<SidecarApp> app(
      new SidecarApp(settings, self, std::get<std::unique_ptr<SidecarNode>>(std::move(node))));
  if (auto error = app->Open()) return std::move(*error);
  return app;
}

SidecarApp::SidecarApp(const SidecarSettings& settings, Member self,
                       std::unique_ptr<SidecarNode> node)
    : m_settings(settings), m_self(std::move(self)), m_node(std::move(node)) {}

SidecarApp::~SidecarApp() {
  if (m_http) m_http->Stop(std::chrono::milliseconds(0));
  if (m_network) m_network->Stop();
}

std::optional<Error> SidecarApp::Open() {
  m_endpoint_client = EndpointClient::Create(
      {m_settings.endpoint_connect_timeout, m_settings.endpoint_response_timeout},
      [this](EndpointTaskReport report) { PushReport(std::move(report)); });

  NetworkConfig network_config;
  network_config.self = {m_self.id, m_self.incarnation};
  network_config.region = m_settings.region;
  network_config.listen_address = m_settings.internal_address;
  auto network = Network::Create(network_config, *this);
  if (auto* error = std::get_if<Error>(&network)) return std::move(*error);
  m_network = std::get<std::unique_ptr<Network>>(std::move(network));
  for (const SeedEntry& entry : m_settings.entries) {
    m_network->SetAddress(NodeIdOf(entry.name), entry.address);
  }

  HttpServerConfig http_config;
  http_config.address = m_settings.announce_address;
  http_config.max_body_bytes = kMaxAnnouncementBytes;
  auto http = HttpServer::Create(http_config, *this);
  if (auto* error = std::get_if<Error>(&http)) return std::move(*error);
  m_http = std::get<std::unique_ptr<HttpServer>>(std::move(http));
  return std::nullopt;
}

ExitStatus SidecarApp::Run() {
  spdlog::info("sidecar started name={} incarnation={} zone={} announce={} internal={}",
               m_self.name, m_self.incarnation, m_self.zone, m_http->address(),
               m_network->listen_address());
  const auto handle = [this](Input input, Now now) {
    Outbox out_of_input;
    Handle(std::move(input), now, out_of_input);
    Perform(out_of_input, now);
    m_addresses.Update(m_node->table(), *m_network);
  };
  const auto tick = [this](Now now) {
    ExpireAnnouncement(now);
    Outbox out_of_tick;
    m_node->Tick(now, out_of_tick);
    Perform(out_of_tick, now);
    if (m_state_log.IsDue(now.steady)) LogState(now);
    m_addresses.Update(m_node->table(), *m_network);
  };
  if (!m_loop.Run({handle, tick, [this] { return m_node->IsDrained(); }})) {
    spdlog::error("drain did not finish in time; stopping with {} tasks running",
                  m_node->gauges(ReadClocks()).running_tasks);
    return ExitStatus::kFailed;
  }
  spdlog::info("sidecar stopped name={}", m_self.name);
  return ExitStatus::kOk;
}

void SidecarApp::RequestStop() { m_loop.Push(StopRequested{}); }

void SidecarApp::PushReport(EndpointTaskReport report) {
  // Push() rather than TryPush(): a lost report would keep its slot occupied for ever.
  m_loop.Push(std::move(report));
}

void SidecarApp::OnEnvelope(Envelope envelope) { m_loop.TryPush(std::move(envelope)); }

void SidecarApp::OnConnected(NodeRef) {}

void SidecarApp::OnDisconnected(NodeRef peer) { m_loop.TryPush(PeerDisconnected{peer.id}); }

void SidecarApp::OnRefused(const std::string& remote_address, const Error& reason) {
  spdlog::warn("connection refused remote={} kind={} detail={}", remote_address,
               ErrorAnswerOf(reason.kind).name, reason.detail);
}

void SidecarApp::OnRequest(HttpRequest request, HttpResponder responder) {
  const UrlPath path = UrlPath::Parse(request.target);
  std::optional<Input> input;
  if (request.method == "GET" && path.Matches({"livez"})) {
    responder.Respond(TextResponse(200, "live\n"));
    return;
  }
  if (request.method == "GET" && path.Matches({"readyz"})) {
    input = PageRequest{Page::kReady, responder};
  } else if (request.method == "GET" && path.Matches({"metrics"})) {
    input = PageRequest{Page::kMetrics, responder};
  } else if (request.method == "POST" && path.Matches({"v1", "announce"})) {
    auto announcement = ParseAnnouncement(request.body);
    if (auto* error = std::get_if<Error>(&announcement)) {
      Refuse(responder, *error);
      return;
    }
    input = AnnounceRequest{std::get<Announcement>(std::move(announcement)), responder};
  }
  if (!input) {
    Refuse(responder, {ErrorKind::kNotFound, request.method + " " + request.target});
    return;
  }
  if (m_loop.TryPush(std::move(*input))) return;
  Refuse(responder, {ErrorKind::kInputQueueFull, "the sidecar's input queue is full"});
}

void SidecarApp::Refuse(const HttpResponder& responder, const Error& error) {
  m_http_refusals.Add(error.kind);
  responder.Respond(ProblemResponse(error));
}

void SidecarApp::OnClientDisconnected(HttpRequestId) {}

void SidecarApp::Handle(Input input, Now now, Outbox& out) {
  if (auto* envelope = std::get_if<Envelope>(&input)) {
    m_node->OnEnvelope(*envelope, now, out);
  } else if (auto* gone = std::get_if<PeerDisconnected>(&input)) {
    m_node->OnDisconnected(gone->peer, now, out);
  } else if (auto* call = std::get_if<AnnounceRequest>(&input)) {
    HandleAnnouncement(*call, now);
  } else if (auto* page = std::get_if<PageRequest>(&input)) {
    HandlePage(*page, now);
  } else if (auto* report = std::get_if<EndpointTaskReport>(&input)) {
    HandleReport(std::move(*report), now, out);
  } else if (!std::exchange(m_stop_requested, true)) {
    m_loop.SetDeadline(now.steady + kDrainTimeout);
    spdlog::info("drain begins name={} running_tasks={}", m_self.name,
                 m_node->gauges(now).running_tasks);
    m_node->BeginDrain();
  }
}

void SidecarApp::HandleAnnouncement(const AnnounceRequest& call, Now now) {
  const Announcement& announcement = call.announcement;
  m_announcement_expires_at = now.steady + m_settings.announcement_timeout;
  if (m_endpoint != announcement.endpoint) {
    spdlog::info("endpoint announced service={} slots={} address={}", announcement.endpoint.service,
                 announcement.endpoint.slots, announcement.endpoint.address);
    m_endpoint = announcement.endpoint;
    m_endpoint_client->SetEndpoint(*m_endpoint);
    m_node->SetEndpoint(m_endpoint);
  }
  if (m_endpoint_leaving != announcement.leaving) {
    spdlog::info("endpoint {}", announcement.leaving ? "is leaving" : "is no longer leaving");
    m_endpoint_leaving = announcement.leaving;
    m_node->SetEndpointLeaving(m_endpoint_leaving);
  }
  HttpResponse response;
  response.body = "{\"running\":" + std::to_string(m_node->gauges(now).running_tasks) + "}";
  call.responder.Respond(std::move(response));
}

void SidecarApp::ExpireAnnouncement(Now now) {
  if (!m_endpoint || now.steady < m_announcement_expires_at) return;
  spdlog::warn("endpoint announcement lapsed address={}", m_endpoint->address);
  m_endpoint.reset();
  m_node->SetEndpoint(std::nullopt);
}

void SidecarApp::HandleReport(EndpointTaskReport report, Now now, Outbox& out) {
  if (auto* done = std::get_if<EndpointTaskDone>(&report)) {
    m_endpoint_client->Forget(done->task);
    const auto started = m_started_at.find(done->task);
    if (started != m_started_at.end()) {
      m_task_seconds.Record(now.steady - started->second);
      m_started_at.erase(started);
    }
    m_node->OnTaskDone(done->task, std::move(done->outcome), now, out);
    return;
  }
  const auto& not_started = std::get<EndpointTaskNotStarted>(report);
  m_endpoint_client->Forget(not_started.task);
  m_started_at.erase(not_started.task);
  m_node->OnTaskNotStarted(not_started.task, not_started.reason, now, out);
}

void SidecarApp::HandlePage(const PageRequest& call, Now now) {
  if (call.page == Page::kMetrics) {
    call.responder.Respond(TextResponse(200, MetricsText(now)));
    return;
  }
  call.responder.Respond(m_node->IsReady(now) ? TextResponse(200, "ready\n")
                                              : TextResponse(503, "not ready\n"));
}

void SidecarApp::Perform(Outbox& out, Now now) {
  for (Output& output : out.Take()) {
    if (auto* send = std::get_if<SendMessage>(&output)) {
      m_network->Send({{m_self.id, m_self.incarnation}, send->to, std::move(send->message)});
    } else if (auto* start = std::get_if<StartTask>(&output)) {
      m_started_at[start->task] = now.steady;
      m_endpoint_client->Start(*start);
    } else if (auto* stop = std::get_if<StopTask>(&output)) {
      m_endpoint_client->Stop(stop->task);
    }
  }
}

void SidecarApp::LogState(Now now) {
  const SidecarGauges gauges = m_node->gauges(now);
  m_state_log.Report("start permit", gauges.may_start);
  m_state_log.Report("decide permit", gauges.may_decide);
  m_state_log.Report("owned shards decided for", gauges.pending_shards == 0);
  m_state_log.Report("doubtful_shards", static_cast<std::uint64_t>(gauges.doubtful_shards));
  m_state_log.Report("control_version", static_cast<std::uint64_t>(gauges.control_version));
}

std::string SidecarApp::MetricsText(Now now) {
  const SidecarGauges gauges = m_node->gauges(now);
  MetricsPage page;
  page.AddGauge("running_tasks", "Tasks running on the endpoint", gauges.running_tasks);
  page.AddGauge("free_slots", "Slots of the endpoint without a task", gauges.free_slots);
  page.AddGauge("queued_tasks", "Tasks queued by this coordinator", gauges.queued_tasks);
  page.AddGauge("claims", "Jobs remembered by this coordinator",
                static_cast<double>(gauges.claims));
  page.AddGauge("start_records", "Task starts remembered by this executor",
                static_cast<double>(gauges.start_records));
  page.AddGauge("owned_shards", "Shards this coordinator decides for",
                static_cast<double>(gauges.owned_shards));
  page.AddGauge("pending_shards", "Shards owned but not decided for yet",
                static_cast<double>(gauges.pending_shards));
  page.AddGauge("doubtful_shards", "Shards that answer outcome_unknown for unseen keys",
                static_cast<double>(gauges.doubtful_shards));
  page.AddGauge("control_version", "Version of the control row in use",
                static_cast<double>(gauges.control_version));
  page.AddGauge("members_version", "Version of the member row in use",
                static_cast<double>(gauges.members_version));
  page.AddGauge("bundle_version", "Version of the configuration bundle in use",
                static_cast<double>(gauges.bundle_version));
  page.AddGauge("may_start", "1 while the start permit is live", gauges.may_start ? 1 : 0);
  page.AddGauge("may_decide", "1 while the decide permit is live", gauges.may_decide ? 1 : 0);
  page.AddNetwork(m_network->counters(), m_loop.full_count());
  page.AddHttp(m_http->counters(), m_http_refusals);
  page.AddHistogram("task_seconds", "Time from a task start to its outcome", m_task_seconds);
  return page.Text(m_node->counters());
}

}  // namespace foxtailrudder
