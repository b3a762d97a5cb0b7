#include "app/internal/dispatch_sidecar_app.h"

#include <utility>

#include "app/internal/process_limits.h"

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

/// Period of reading entry addresses from the store while no entry is live.
constexpr milliseconds kEntryDiscoveryPeriod{1'500};

/// A sidecar keeps a copy of the documents only for entries that restart while the store is down.
/// The range keeps the copies of many sidecars off the links on which callers wait.
constexpr DocumentRequestDelay kCopyDelay{milliseconds(500), milliseconds(3'000)};

/// The process ends this long before the stop grace period is over.
constexpr milliseconds kStopMargin{700};

constexpr std::size_t kMaxBodyBytes = 256U << 10U;

std::string_view NameOf(VoteBasis basis) {
  switch (basis) {
    case VoteBasis::kEntriesHeard:
      return "entries_heard";
    case VoteBasis::kAllStarted:
      return "all_started";
    case VoteBasis::kForgottenClaimsEnded:
      return "forgotten_claims_ended";
    case VoteBasis::kNone:
      break;
  }
  return "none";
}

}  // namespace

DispatchSidecarApp::DispatchSidecarApp(
    const DispatchSidecarSettings& settings, DispatchProcessConfig config,
    const std::function<SidecarAdapters(boost::asio::io_context&)>& make_adapters)
    : DispatchProcess(std::move(config)),
      m_settings(settings),
      m_adapters(make_adapters(loop())),
      m_executor({self(), settings.max_run_lease}, log()),
      m_report_schedule(Random(MixHash(self().id, self().incarnation))),
      m_fencing_token(ReadBootClocks().wall) {}

std::optional<Error> DispatchSidecarApp::Start(Now now) {
  const auto limits = ProcessLimits::Create(m_settings.clients);
  HttpServerConfig config = limits.ClientServer(m_settings.announce_address, kMaxBodyBytes);
  config.loop = &loop();
  auto created = HttpServer::Create(config, *this);
  if (auto* error = std::get_if<Error>(&created)) return std::move(*error);
  m_announcements = std::get<std::unique_ptr<HttpServer>>(std::move(created));
  if (!m_settings.metrics_address.empty()) {
    m_metrics_handler = std::make_unique<PageHandler>([this](const HttpRequest& request) {
      HttpResponse missing;
      missing.status = 404;
      return request.target == "/metrics" ? MetricsAnswer(Metrics()) : missing;
    });
    config = limits.PageServer(m_settings.metrics_address);
    config.loop = &loop();
    auto metrics = HttpServer::Create(config, *m_metrics_handler);
    if (auto* error = std::get_if<Error>(&metrics)) return std::move(*error);
    m_metrics = std::get<std::unique_ptr<HttpServer>>(std::move(metrics));
  }
  m_next_entry_discovery = now.steady + kEntryDiscoveryPeriod;
  return std::nullopt;
}

void DispatchSidecarApp::Close() {
  m_announcements.reset();
  m_metrics.reset();
}

void DispatchSidecarApp::OnMessage(const Envelope& envelope, Now now) {
  if (const auto* claims = std::get_if<ClaimJobs>(&envelope.message)) {
    Send(envelope.from, m_claim_witness.OnClaims(envelope.from, *claims, now));
    return;
  }
  if (const auto* release = std::get_if<ReleaseClaim>(&envelope.message)) {
    m_claim_witness.OnRelease(envelope.from, *release, now);
    return;
  }
  if (const auto* report = std::get_if<EntryReport>(&envelope.message)) {
    const NodeId entry = envelope.from.id;
    m_claim_witness.OnEntryReport(envelope.from, *report, now);
    OnEntryReport(envelope.from, *report, m_report_schedule.PeriodOf(entry, now), now);
    if (m_report_schedule.SetWanted(entry, report->wants_reports)) SendDueReports(now);
  }
  ExecutorOutputs out;
  m_executor.OnMessage(envelope, now, out);
  Perform(out, now);
}

void DispatchSidecarApp::OnPeerConnected(NodeRef peer, Now now) {
  ExecutorOutputs out;
  m_executor.OnEntryConnected(peer, now, out);
  Perform(out, now);
}

void DispatchSidecarApp::OnTick(Now now) {
  m_claim_witness.Tick(now);
  RecordVoteBasis(now);
  ExecutorOutputs out;
  m_executor.Tick(now, out);
  Perform(out, now);
  SendDueReports(now);
  if (now.steady >= m_next_expiry) {
    m_next_expiry = now.steady + kReportPeriod;
    ExpireSilentEntries(now);
  }
  DiscoverEntries(now);
  if (!m_stop_requested_at) return;
  const auto since = now.steady - *m_stop_requested_at;
  // Two report periods leave time to send the last task ends.
  const bool done = m_executor.running() == 0 && since >= 2 * kReportPeriod;
  if (done || since >= m_settings.stop_grace - kStopMargin) {
    log().Record(DecisionClass::kStateChange, "stop_done", {},
                 {{"running", static_cast<std::int64_t>(m_executor.running())}});
    EndLoop(ExitStatus::kOk);
  }
}

void DispatchSidecarApp::RecordVoteBasis(Now now) {
  const VoteBasis basis = m_claim_witness.vote_basis(now);
  if (basis == std::exchange(m_vote_basis, basis)) return;
  log().Record(
      DecisionClass::kStateChange, "witness_votes", {},
      {{"basis", NameOf(basis)},
       {"undecided", static_cast<std::int64_t>(m_claim_witness.counters().undecided_after_start)}});
}

void DispatchSidecarApp::SendDueReports(Now now) {
  const std::uint64_t digest = LiveEntriesDigest(now);
  for (const auto& [id, entry] : entries()) {
    const NodeRef ref{id, entry.incarnation};
    if (!m_report_schedule.TakeDue(id, m_executor.HasWorkOf(ref), now)) continue;
    WorkerReport report = m_executor.ReportFor(ref, documents().newest(), now);
    report.entries_digest = digest;
    report.sidecar_zone = zone();
    report.started_recently = m_claim_witness.has_started_recently(now);
    Send(NodeRef{id, 0}, std::move(report));
  }
}

void DispatchSidecarApp::DiscoverEntries(Now now) {
  if (now.steady < m_next_entry_discovery) return;
  m_next_entry_discovery = now.steady + kEntryDiscoveryPeriod;
  if (!LiveEntryAddresses(now).empty()) return;
  m_adapters.store->ReadEntryAddresses([this](const EntryAddressesRead& read) {
    for (const std::string& address : read.addresses)
      AddKnownEntry(address, false, ReadBootClocks());
  });
}

void DispatchSidecarApp::OnStopRequested(Now now) {
  m_stop_requested_at = now.steady;
  ExecutorOutputs out;
  m_executor.BeginDrain(now, out);
  Perform(out, now);
  m_report_schedule.MakeAllDue();
  SendDueReports(now);
}

void DispatchSidecarApp::OnDocuments(std::string_view /*source*/, Now /*now*/) {}

DocumentRequestDelay DispatchSidecarApp::document_request_delay() const { return kCopyDelay; }

void DispatchSidecarApp::OnRequest(HttpRequest request, HttpResponder responder) {
  const Now now = ReadBootClocks();
  EndpointReport report = m_adapters.announcements->Read(request);
  HttpResponse response;
  response.body = "{}";
  if (const auto* error = std::get_if<Error>(&report)) {
    ++m_refused_reports;
    log().Record(
        DecisionClass::kAnomaly, "endpoint_report_refused", {},
        {{"detail", error->detail}, {"bytes", static_cast<std::int64_t>(request.body.size())}});
    response.status = error->kind == ErrorKind::kNotFound ? 404 : 400;
    responder.Respond(std::move(response));
    return;
  }
  responder.Respond(std::move(response));
  ExecutorOutputs out;
  if (auto* status = std::get_if<EndpointStatus>(&report)) {
    m_executor.OnEndpointStatus(std::move(*status), now, out);
  } else {
    m_executor.OnEndpointLeft(std::get<EndpointLeft>(report).id, now, out);
  }
  Perform(out, now);
}

void DispatchSidecarApp::OnClientDisconnected(HttpRequestId /*request*/) {}

void DispatchSidecarApp::OnTokenRefused(std::uint64_t token, std::string_view command) {
  if (!m_fencing_token.OnRefused(token)) return;
  ++m_raised_tokens;
  log().Record(DecisionClass::kStateChange, "token_raised", {},
               {{"command", command},
                {"refused", static_cast<std::int64_t>(token)},
                {"token", static_cast<std::int64_t>(m_fencing_token.value())}});
}

/// Tells all entries that the worker has become available or unavailable, or has changed its kind.
void DispatchSidecarApp::ReportWorkerChange(Now now) {
  const std::pair state(m_executor.is_accepting(now), m_executor.worker_revision());
  if (state == std::exchange(m_reported_state, state)) return;
  m_report_schedule.MakeAllDue();
  SendDueReports(now);
}

void DispatchSidecarApp::Perform(ExecutorOutputs& out, Now now) {
  // Before the tasks that are returned because of it, which the entries place again at once.
  ReportWorkerChange(now);
  Send(std::move(out.messages));
  if (const EndpointStatus* endpoint = m_executor.endpoint()) {
    m_fencing_token.OnStatus(*endpoint);
    m_adapters.endpoint->SetIncarnation(endpoint->id);
  }
  const std::uint64_t token = m_fencing_token.value();
  for (const StartRun& start : out.starts) {
    m_adapters.endpoint->Start(
        start, token,
        [this, token, name = start.run](StartAnswer answer, const std::string& detail) {
          if (answer == StartAnswer::kFenced) OnTokenRefused(token, "start");
          const bool good = answer == StartAnswer::kStarted;
          log().Record(good ? DecisionClass::kRoutine : DecisionClass::kAnomaly,
                       good ? "run_started" : "run_not_started", name.job,
                       {{"index", static_cast<std::int64_t>(name.index)},
                        {"attempt", static_cast<std::int64_t>(name.attempt)},
                        {"answer", static_cast<std::int64_t>(answer)},
                        {"detail", detail}});
          const Now answered = ReadBootClocks();
          ExecutorOutputs after;
          m_executor.OnStartAnswer(name, answer, answered, after);
          Perform(after, answered);
        });
  }
  for (const StopRun& stop : out.stops) {
    m_adapters.endpoint->Stop(stop, token, [this, token, name = stop.run](StopAnswer answer) {
      if (answer == StopAnswer::kFenced) OnTokenRefused(token, "stop");
      const Now answered = ReadBootClocks();
      ExecutorOutputs after;
      m_executor.OnStopAnswer(name, answer == StopAnswer::kAccepted, answered, after);
      Perform(after, answered);
    });
  }
  for (const HoldRuns& hold : out.holds) {
    m_adapters.endpoint->Hold(hold, token, [this, token, id = hold.id](const HoldAnswer& answer) {
      if (answer.is_fenced) OnTokenRefused(token, "hold");
      const Now answered = ReadBootClocks();
      ExecutorOutputs after;
      m_executor.OnHoldAnswer(id, answer, answered, after);
      Perform(after, answered);
    });
  }
}

std::string DispatchSidecarApp::Metrics() const {
  MetricsPage page;
  AddCommonMetrics(page);
  const WorkerExecutorCounters& counters = m_executor.counters();
  page.AddCounter("tasks_placed_total", "Placements received", counters.placed);
  page.AddCounter("runs_started_total", "Starts ordered", counters.starts);
  page.AddCounter("runs_done_total", "Runs done", counters.done);
  page.AddCounter("runs_failed_total", "Runs failed", counters.failed);
  page.AddCounter("runs_stopped_total", "Runs stopped", counters.stopped);
  page.AddCounter("runs_lost_total", "Runs lost", counters.lost);
  page.AddCounter("runs_stalled_total", "Runs stopped for want of progress", counters.stalled);
  page.AddCounter("tasks_not_run_total", "Placements returned", counters.not_run);
  page.AddCounter("starts_no_room_total", "Starts refused for want of room",
                  counters.starts_no_room);
  page.AddCounter("tokens_raised_total", "Fencing tokens raised after a refusal", m_raised_tokens);
  page.AddCounter("starts_fenced_total", "Starts refused for the token", counters.starts_fenced);
  page.AddCounter("starts_refused_total", "Starts refused otherwise", counters.starts_refused);
  page.AddCounter("starts_unanswered_total", "Starts without an answer",
                  counters.starts_unanswered);
  page.AddCounter("holds_unanswered_total", "Lease renewals without an answer",
                  counters.holds_unanswered);
  page.AddCounter("endpoint_crashes_total", "Crashes of the endpoint", counters.endpoint_crashes);
  page.AddCounter("endpoint_statuses_refuted_total",
                  "Status reports of another incarnation than the one that answers",
                  counters.statuses_refuted);
  page.AddCounter("runs_crashed_total", "Runs lost with their endpoint", counters.crashed);
  page.AddCounter("endpoint_reports_refused_total", "Endpoint reports refused", m_refused_reports);
  const ClaimWitnessCounters& claims = m_claim_witness.counters();
  page.AddCounter("claims_granted_total", "Claims to jobs granted", claims.granted);
  page.AddCounter("claims_refused_total", "Claims refused because another entry has the grant",
                  claims.refused);
  page.AddCounter("claims_ended_total", "Claims to jobs that had ended", claims.answered_ended);
  page.AddCounter("claims_undecided_after_start_total",
                  "Claims left undecided because an earlier incarnation may have granted them",
                  claims.undecided_after_start);
  page.AddCounter("claims_undecided_full_total",
                  "Claims left undecided because too many are remembered", claims.undecided_full);
  page.AddGauge("claims", "Claims and outcomes remembered",
                static_cast<double>(m_claim_witness.size()));
  page.AddGauge("former_runs", "Jobs that may have run under a claim without an outcome",
                static_cast<double>(m_claim_witness.former_runs()));
  page.AddGauge("present_slowness", "Run time relative to the expected one, lately",
                m_executor.present_slowness(ReadBootClocks()));
  page.AddGauge("baseline_slowness", "Run time relative to the expected one, in the long run",
                m_executor.baseline_slowness());
  page.AddGauge("running", "Runs on the endpoint", m_executor.running());
  page.AddGauge("queued", "Placements that wait for room", m_executor.queued());
  return page.Text({});
}

}  // namespace foxtailrudder
