#include "app/internal/entry_app.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "app/internal/clock.h"
#include "app/internal/http_answers.h"
#include "app/internal/operator_codec.h"

namespace foxtailrudder {
namespace {

// Time limit for open requests during a drain: longer than any job deadline plus the time after
// which an entry stops waiting for an answer.
constexpr std::chrono::seconds kDrainTimeout{150};

OutageMode ToOutageMode(OutageSetting setting) {
  switch (setting) {
    case OutageSetting::kStop:
      return OutageMode::kStop;
    case OutageSetting::kUnchecked:
      return OutageMode::kUnchecked;
    case OutageSetting::kConfirm:
      break;
  }
  return OutageMode::kConfirmByQuorum;
}

}  // namespace

std::variant<std::unique_ptr<EntryApp>, Error> EntryApp::Create(const EntrySettings& settings,
                                                                Incarnation incarnation) {
  Member self;
  self.id = NodeIdOf(settings.name);
  self.incarnation = incarnation;
  self.name = settings.name;
  self.role = NodeRole::kEntry;
  self.address = settings.internal_address;
  self.http_address = settings.http_address;
  self.zone = settings.zone;
  self.rack = settings.rack;

  EntryNodeConfig config;
  config.self = self;
  config.region = settings.region;
  config.outage_mode = ToOutageMode(settings.outage_mode);
  config.seed = self.incarnation;
  auto node = EntryNode::Create(std::move(config));
  if (auto* error = std::get_if<Error>(&node)) return std::move(*error);

  std::unique_ptr<EntryApp> app(
      new EntryApp(settings, self, std::get<std::unique_ptr<EntryNode>>(std::move(node))));
  if (auto error = app->Open()) return std::move(*error);
  return app;
}

EntryApp::EntryApp(const EntrySettings& settings, Member self, std::unique_ptr<EntryNode> node)
    : m_settings(settings), m_self(std::move(self)), m_node(std::move(node)) {}

EntryApp::~EntryApp() {
  if (m_http) m_http->Stop(std::chrono::milliseconds(0));
  if (m_network) m_network->Stop();
}

std::optional<Error> EntryApp::Open() {
  StoreClientConfig store_config;
  store_config.address = m_settings.platform_address;
  store_config.region = m_settings.region;
  m_store = StoreClient::Create(store_config, [this](StoreResult result) {
    // Push() rather than TryPush(): a lost result would leave its store operation open for ever.
    m_loop.Push(std::move(result));
  });

  NetworkConfig network_config;
  network_config.self = {m_self.id, m_self.incarnation};
  network_config.region = m_settings.region;
  network_config.listen_address = m_settings.internal_address;
  auto network = Network::Create(network_config, *this);
  if (auto* error = std::get_if<Error>(&network)) return std::move(*error);
  m_network = std::get<std::unique_ptr<Network>>(std::move(network));
  for (const SeedEntry& peer : m_settings.peers) {
    m_network->SetAddress(NodeIdOf(peer.name), peer.address);
  }

  HttpServerConfig http_config;
  http_config.address = m_settings.http_address;
  http_config.max_body_bytes = m_settings.max_body_bytes;
  http_config.max_header_bytes = m_settings.max_header_bytes;
  http_config.max_connections = m_settings.max_connections;
  http_config.read_timeout = m_settings.slow_client_timeout;
  auto http = HttpServer::Create(http_config, *this);
  if (auto* error = std::get_if<Error>(&http)) return std::move(*error);
  m_http = std::get<std::unique_ptr<HttpServer>>(std::move(http));
  return std::nullopt;
}

ExitStatus EntryApp::Run() {
  spdlog::info("entry started name={} incarnation={} zone={} http={} internal={}", m_self.name,
               m_self.incarnation, m_self.zone, m_http->address(), m_network->listen_address());
  Outbox out;
  const Now started = ReadClocks();
  m_node->Start(started, out);
  Perform(out, started);

  const auto handle = [this](Input input, Now now) {
    Outbox out_of_input;
    Handle(std::move(input), now, out_of_input);
    Perform(out_of_input, now);
    m_addresses.Update(m_node->table(), *m_network);
  };
  const auto tick = [this](Now now) {
    Outbox out_of_tick;
    m_node->Tick(now, out_of_tick);
    Perform(out_of_tick, now);
    if (m_state_log.IsDue(now.steady)) LogState(now);
    m_addresses.Update(m_node->table(), *m_network);
  };
  if (!m_loop.Run({handle, tick, [this] { return m_node->IsDrained(); }})) {
    spdlog::error("drain did not finish in time; stopping with {} requests open",
                  m_open_requests.size());
    return ExitStatus::kFailed;
  }
  m_http->Stop();
  spdlog::info("entry stopped name={}", m_self.name);
  return ExitStatus::kOk;
}

void EntryApp::RequestStop() { m_loop.Push(StopRequested{}); }

void EntryApp::OnEnvelope(Envelope envelope) { m_loop.TryPush(std::move(envelope)); }

void EntryApp::OnConnected(NodeRef) {}

void EntryApp::OnDisconnected(NodeRef peer) { m_loop.TryPush(PeerDisconnected{peer.id}); }

void EntryApp::OnRefused(const std::string& remote_address, const Error& reason) {
  spdlog::warn("connection refused remote={} kind={} detail={}", remote_address,
               ErrorAnswerOf(reason.kind).name, reason.detail);
}

void EntryApp::OnRequest(HttpRequest request, HttpResponder responder) {
  auto command = ParseEntryCommand(request, ReadClocks().wall);
  if (auto* error = std::get_if<Error>(&command)) {
    Refuse(responder, *error);
    return;
  }
  Input input(HttpCommand{std::get<EntryCommand>(std::move(command)), responder});
  if (m_loop.TryPush(std::move(input))) return;
  Refuse(responder, {ErrorKind::kInputQueueFull, "the entry's input queue is full"});
}

void EntryApp::Refuse(const HttpResponder& responder, const Error& error) {
  m_http_refusals.Add(error.kind);
  responder.Respond(ProblemResponse(error));
}

void EntryApp::OnClientDisconnected(HttpRequestId request) {
  m_loop.TryPush(ClientDisconnected{request});
}

void EntryApp::Handle(Input input, Now now, Outbox& out) {
  if (auto* envelope = std::get_if<Envelope>(&input)) {
    m_node->OnEnvelope(*envelope, now, out);
  } else if (auto* gone = std::get_if<PeerDisconnected>(&input)) {
    m_node->OnDisconnected(gone->peer, now, out);
  } else if (auto* http = std::get_if<HttpCommand>(&input)) {
    HandleHttp(std::move(*http), now, out);
  } else if (auto* client = std::get_if<ClientDisconnected>(&input)) {
    const auto found = m_request_by_http_id.find(client->request);
    if (found == m_request_by_http_id.end()) return;
    m_node->Abandon(found->second);
    m_open_requests.erase(found->second);
    m_request_by_http_id.erase(found);
  } else if (auto* result = std::get_if<StoreResult>(&input)) {
    m_node->OnStoreResult(*result, now, out);
  } else if (!std::exchange(m_stop_requested, true)) {
    m_loop.SetDeadline(now.steady + kDrainTimeout);
    spdlog::info("drain begins name={} open_requests={}", m_self.name, m_open_requests.size());
    m_node->BeginDrain(now, out);
  }
}

void EntryApp::HandleHttp(HttpCommand http, Now now, Outbox& out) {
  const HttpResponder& responder = http.responder;
  if (auto* submit = std::get_if<SubmitCommand>(&http.command)) {
    Submit(std::move(*submit), responder, now, out);
  } else if (auto* query = std::get_if<QueryCommand>(&http.command)) {
    m_node->Query(AddOpenRequest(responder, query->key, now), query->key, now, out);
  } else if (auto* cancel = std::get_if<CancelCommand>(&http.command)) {
    m_node->Cancel(AddOpenRequest(responder, cancel->key, now), cancel->key, now, out);
  } else if (auto* change = std::get_if<ChangeCommand>(&http.command)) {
    spdlog::info("change requested change_id={} operator={}", change->change.change_id,
                 change->change.operator_name);
    m_node->RequestChange(AddOpenRequest(responder, {}, now), std::move(change->change), now, out);
  } else if (auto* in_force = std::get_if<InForceCommand>(&http.command)) {
    HttpResponse response;
    response.body = FormatInForce(m_node->InForce(in_force->control_version, now));
    responder.Respond(std::move(response));
  } else {
    HandlePage(std::get<PageCommand>(http.command).page, responder, now);
  }
}

void EntryApp::Submit(SubmitCommand command, const HttpResponder& responder, Now now, Outbox& out) {
  const JobKey key = command.job.key;
  const RequestId request = AddOpenRequest(responder, key, now);
  m_node->Submit(request, std::move(command.job), now, out);
  if (!command.async) return;

  // If the job was refused, performing the outputs has answered the request. Otherwise the job
  // continues without a caller.
  Perform(out, now);
  if (m_open_requests.count(request) == 0) return;
  FinishRequest(request, AcceptedResponse(key), now);
  m_node->Abandon(request);
}

void EntryApp::HandlePage(PageKind page, const HttpResponder& responder, Now now) {
  HttpResponse response;
  switch (page) {
    case PageKind::kLive:
      response = TextResponse(200, "live\n");
      break;
    case PageKind::kReady:
      response =
          m_node->IsReady() ? TextResponse(200, "ready\n") : TextResponse(503, "not ready\n");
      break;
    case PageKind::kMetrics:
      response = TextResponse(200, MetricsText(now));
      break;
    case PageKind::kStatus:
      response.body = FormatEntryStatus(*m_node, m_self, now);
      break;
    case PageKind::kBundle:
      response.body = FormatBundleStatus(m_node->control());
      break;
    case PageKind::kBundleText:
      response.body = m_node->bundle_text();
      break;
    case PageKind::kZones:
      response.body = FormatZones(m_node->control(), m_node->bundle(), m_node->zones());
      break;
    case PageKind::kEndpoints:
      response.body = FormatEndpoints(m_node->table(), m_node->control());
      break;
  }
  responder.Respond(std::move(response));
}

RequestId EntryApp::AddOpenRequest(const HttpResponder& responder, JobKey key, Now now) {
  const RequestId request = m_next_request++;
  m_open_requests.emplace(request, OpenRequest{responder, std::move(key), now.steady});
  m_request_by_http_id.emplace(responder.id(), request);
  return request;
}

void EntryApp::FinishRequest(RequestId request, const HttpResponse& response, Now now) {
  const auto found = m_open_requests.find(request);
  if (found == m_open_requests.end()) return;
  m_answer_seconds.Record(now.steady - found->second.received_at);
  m_request_by_http_id.erase(found->second.responder.id());
  found->second.responder.Respond(response);
  m_open_requests.erase(found);
}

void EntryApp::Perform(Outbox& out, Now now) {
  for (Output& output : out.Take()) PerformOutput(std::move(output), now);
}

void EntryApp::PerformOutput(Output output, Now now) {
  if (auto* send = std::get_if<SendMessage>(&output)) {
    m_network->Send({{m_self.id, m_self.incarnation}, send->to, std::move(send->message)});
  } else if (auto* answer = std::get_if<AnswerCaller>(&output)) {
    const auto found = m_open_requests.find(answer->request);
    if (found == m_open_requests.end()) return;
    if (const auto* error = std::get_if<Error>(&answer->answer)) {
      spdlog::debug("job failed team={} key={} kind={} detail={}", found->second.key.team,
                    found->second.key.idempotency_key, ErrorAnswerOf(error->kind).name,
                    error->detail);
    }
    FinishRequest(answer->request, JobResponse(found->second.key, answer->answer), now);
  } else if (auto* status = std::get_if<AnswerStatus>(&output)) {
    const auto found = m_open_requests.find(status->request);
    if (found == m_open_requests.end()) return;
    FinishRequest(status->request, StatusResponse(found->second.key, status->state), now);
  } else if (auto* changed = std::get_if<AnswerOperator>(&output)) {
    if (const auto* error = std::get_if<Error>(&changed->outcome)) {
      spdlog::warn("change refused kind={} detail={}", ErrorAnswerOf(error->kind).name,
                   error->detail);
      FinishRequest(changed->request, ProblemResponse(*error), now);
      return;
    }
    const auto& applied = std::get<ChangeApplied>(changed->outcome);
    spdlog::info("change accepted change_id={} control_version={}", applied.change_id,
                 applied.control_version);
    HttpResponse response;
    response.body = FormatChangeApplied(applied);
    FinishRequest(changed->request, response, now);
  } else {
    std::visit(
        [this](const auto& operation) {
          if constexpr (requires { m_store->Execute(operation); }) m_store->Execute(operation);
        },
        output);
  }
}

void EntryApp::LogState(Now now) {
  const EntryGauges gauges = m_node->gauges(now);
  m_state_log.Report("store reachable", gauges.store_reachable);
  m_state_log.Report("rows known to be current", gauges.fresh);
  m_state_log.Report("listed", gauges.listed);
  m_state_log.Report("listed_entries", gauges.listed_entries);
  m_state_log.Report("listed_sidecars", gauges.listed_sidecars);
  m_state_log.Report("control_version", gauges.control_version);
}

std::string EntryApp::MetricsText(Now now) {
  const EntryGauges gauges = m_node->gauges(now);
  MetricsPage page;
  page.AddGauge("waiting_requests", "Requests that wait for an answer",
                static_cast<double>(gauges.waiting_requests));
  page.AddGauge("forward_records", "Forwarded jobs remembered",
                static_cast<double>(gauges.forward_records));
  page.AddGauge("listed_entries", "Entries in the member row",
                static_cast<double>(gauges.listed_entries));
  page.AddGauge("listed_sidecars", "Sidecars in the member row",
                static_cast<double>(gauges.listed_sidecars));
  page.AddGauge("control_version", "Version of the control row in use",
                static_cast<double>(gauges.control_version));
  page.AddGauge("members_version", "Version of the member row in use",
                static_cast<double>(gauges.members_version));
  page.AddGauge("bundle_version", "Version of the configuration bundle in use",
                static_cast<double>(gauges.bundle_version));
  page.AddGauge("fresh", "1 while the rows are known to be current", gauges.fresh ? 1 : 0);
  page.AddGauge("store_reachable", "1 while the platform's store answers",
                gauges.store_reachable ? 1 : 0);
  page.AddNetwork(m_network->counters(), m_loop.full_count());
  page.AddHttp(m_http->counters(), m_http_refusals);
  page.AddHistogram("answer_seconds", "Time from a request to its answer", m_answer_seconds);
  return page.Text(m_node->counters());
}

}  // namespace foxtailrudder
