#include "app/internal/dispatch_entry_app.h"

#include <utility>

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

/// After a stop request the load balancer may still send callers here until two readiness checks,
/// one second apart, have failed; includes a small margin.
constexpr milliseconds kAcceptAfterStop{2'300};

/// End of the stop grace period that is reserved for writing answers.
constexpr milliseconds kStopMargin{700};

constexpr milliseconds kRegisterRetry{500};

constexpr std::size_t kMaxBodyBytes = 1U << 20U;

/// Reports to other entries in a report period. With more entries, each is reported to less often.
constexpr std::size_t kEntryReportsPerRound = 12;

/// While the store answers, it delivers a change to this entry too, but a large one on a slow link
/// takes longer than this: a peer then sends it compressed.
constexpr DocumentRequestDelay kStoreHeadStart{milliseconds(400), milliseconds(800)};

}  // namespace

HttpResponse DispatchEntryApp::StatusPage(const HttpRequest& request) const {
  HttpResponse response;
  if (m_adapters.callers->IsReadinessRequest(request)) {
    response.status = IsReady(ReadBootClocks()) ? 200 : 503;
  } else if (request.method == "GET" && request.target == "/metrics") {
    response = MetricsAnswer(Metrics());
  } else {
    response.status = 404;
  }
  return response;
}

DispatchEntryApp::DispatchEntryApp(
    const DispatchEntrySettings& settings, DispatchProcessConfig config,
    const std::function<EntryAdapters(boost::asio::io_context&)>& make_adapters)
    : DispatchProcess(std::move(config)),
      m_settings(settings),
      m_limits(ProcessLimits::Create(settings.clients)),
      m_adapters(make_adapters(loop())),
      m_dispatcher(self(), log(), settings.remote_rack_factor),
      m_shared_jobs(self(), m_dispatcher, log(), m_limits.job_bytes()),
      m_watcher(loop(), *m_adapters.store, log(),
                [this](const StateRead& read) { OnStateRead(read); }),
      m_store_timer(loop()) {}

std::optional<Error> DispatchEntryApp::Start(Now now) {
  m_store_answered_at = now.steady;
  m_status_handler = std::make_unique<PageHandler>(
      [this](const HttpRequest& request) { return StatusPage(request); });
  const auto open = [this](HttpServerConfig config, HttpHandler& handler,
                           std::unique_ptr<HttpServer>* server) -> std::optional<Error> {
    config.loop = &loop();
    auto created = HttpServer::Create(config, handler);
    if (auto* error = std::get_if<Error>(&created)) return std::move(*error);
    *server = std::get<std::unique_ptr<HttpServer>>(std::move(created));
    return std::nullopt;
  };
  const HttpServerConfig callers = m_limits.ClientServer(m_settings.caller_address, kMaxBodyBytes);
  if (auto error = open(callers, *this, &m_callers)) return error;
  const HttpServerConfig readiness = m_limits.PageServer(m_settings.readiness_address);
  if (auto error = open(readiness, *m_status_handler, &m_readiness)) return error;
  if (!m_settings.metrics_address.empty()) {
    const HttpServerConfig metrics = m_limits.PageServer(m_settings.metrics_address);
    if (auto error = open(metrics, *m_status_handler, &m_metrics)) return error;
  }
  m_watcher.Start();
  RegisterAddress();
  DiscoverEntries();
  return std::nullopt;
}

void DispatchEntryApp::Close() {
  m_watcher.Stop();
  m_callers.reset();
  m_readiness.reset();
  m_metrics.reset();
}

void DispatchEntryApp::RegisterAddress() {
  m_adapters.store->WriteEntryAddress(m_settings.internal_address, [this](bool written) {
    if (written) return;
    m_store_timer.expires_after(kRegisterRetry);
    m_store_timer.async_wait([this](boost::system::error_code error) {
      if (!error) RegisterAddress();
    });
  });
}

void DispatchEntryApp::DiscoverEntries() {
  m_adapters.store->ReadEntryAddresses([this](const EntryAddressesRead& read) {
    for (const std::string& address : read.addresses)
      AddKnownEntry(address, false, ReadBootClocks());
  });
}

void DispatchEntryApp::SuspendExpiredClaims(Now now) {
  DispatchOutputs out;
  m_shared_jobs.BeforeInput(now, out);
  Perform(out);
}

void DispatchEntryApp::OnMessage(const Envelope& envelope, Now now) {
  SuspendExpiredClaims(now);
  DispatchOutputs out;
  if (m_shared_jobs.OnMessage(envelope, now, out)) {
    Perform(out);
    return;
  }
  if (const auto* report = std::get_if<WorkerReport>(&envelope.message)) {
    OnWorkerReport(envelope.from, *report, now);
  } else if (const auto* ends = std::get_if<TaskReports>(&envelope.message)) {
    m_dispatcher.OnTaskReports(envelope.from, *ends, now, out);
  } else if (const auto* crash = std::get_if<EndpointCrash>(&envelope.message)) {
    m_dispatcher.OnEndpointCrash(*crash, now, out);
  } else if (const auto* entry = std::get_if<EntryReport>(&envelope.message)) {
    OnEntryReport(envelope.from, *entry, entry->next_within, now);
    m_shared_jobs.OnEntryReport(envelope.from, *entry, now);
  }
  Perform(out);
}

void DispatchEntryApp::OnWorkerReport(NodeRef from, const WorkerReport& report, Now now) {
  OnPeerVersion(from, report.state_version, now);
  DispatchOutputs renewals;
  m_shared_jobs.OnSidecarReport(from, report, now, renewals);
  Perform(renewals);
  DispatchOutputs out;
  m_dispatcher.OnWorkerReport(from, report, now, out);
  EntryReport reply = ReportTo(report.entries_digest, now);
  reply.echoed = report.sent_at;
  reply.reports_seen = m_dispatcher.ReportsSeen(from);
  reply.wants_reports = m_dispatcher.WantsReports(from);
  reply.load_interval = m_dispatcher.load_interval();
  m_shared_jobs.AddTo(reply, report, now);
  Send(from, std::move(reply));
  Perform(out);
}

EntryReport DispatchEntryApp::ReportTo(std::uint64_t entries_digest, Now now) const {
  EntryReport report;
  report.state_version = documents().newest();
  report.entries_digest = LiveEntriesDigest(now) ^ self().id;
  if (entries_digest != report.entries_digest) {
    report.entries = LiveEntryAddresses(now);
    report.entries.push_back(m_settings.internal_address);
  }
  return report;
}

void DispatchEntryApp::ReportToEntries(Now now) {
  const std::size_t rounds = (entries().size() + kEntryReportsPerRound - 1) / kEntryReportsPerRound;
  if (rounds == 0) return;
  ++m_report_round;
  std::size_t index = 0;
  for (const auto& [id, entry] : entries()) {
    if (index++ % rounds != m_report_round % rounds) continue;
    EntryReport report = ReportTo(entry.entries_digest, now);
    report.next_within = kReportPeriod * static_cast<int>(rounds);
    m_shared_jobs.AddTo(report, id, entry.held_sidecars_digest, now);
    Send(NodeRef{id, 0}, std::move(report));
  }
}

void DispatchEntryApp::OnPeerConnected(NodeRef /*peer*/, Now /*now*/) {}

void DispatchEntryApp::OnTick(Now now) {
  SuspendExpiredClaims(now);
  DispatchOutputs out;
  m_shared_jobs.Tick(now, out);
  m_dispatcher.Tick(now, out);
  Perform(out);
  if (now.steady >= m_next_report) {
    m_next_report = now.steady + kReportPeriod;
    std::vector<NodeId> alive = LiveEntries(now);
    m_shared_jobs.SetLiveEntries(alive);
    alive.push_back(self().id);
    m_dispatcher.SetEntries(std::move(alive));
    ReportToEntries(now);
    ExpireSilentEntries(now);
    const bool ready = IsReady(now);
    if (ready != std::exchange(m_was_ready, ready)) {
      log().Record(DecisionClass::kStateChange, ready ? "ready" : "not_ready", {},
                   {{"has_plan", static_cast<std::int64_t>(m_plan.has_value())},
                    {"workers", static_cast<std::int64_t>(m_dispatcher.usable_workers(now))},
                    {"stopping", static_cast<std::int64_t>(is_stop_signalled())}});
    }
  }
  EndLoopIfStopped(now);
}

bool DispatchEntryApp::IsReady(Now now) const {
  return m_plan.has_value() && !is_stop_signalled() && m_shared_jobs.is_settled() &&
         m_dispatcher.usable_workers(now) > 0;
}

void DispatchEntryApp::OnStateRead(const StateRead& read) {
  const Now now = ReadBootClocks();
  SuspendExpiredClaims(now);
  const Version before = documents().newest();
  m_store_answered_at = now.steady;
  if (read.complete) {
    if (documents().MergeSnapshot(read.state, read.cursor)) OnDocuments("store", now);
  } else {
    MergeDocuments(read.state, "store", now);
  }
  if (documents().newest() == before) return;
  // Other processes may be unable to read the store; the next report tells them the version.
  m_next_report = now.steady;
}

DocumentRequestDelay DispatchEntryApp::document_request_delay() const {
  if (!m_watcher.is_reachable()) return {};
  return kStoreHeadStart;
}

void DispatchEntryApp::OnDocuments(std::string_view source, Now now) {
  auto read = m_adapters.callers->ReadPlan(documents());
  if (const auto* error = std::get_if<Error>(&read)) {
    log().Record(
        DecisionClass::kStateChange, "configuration_unusable", {},
        {{"detail", error->detail}, {"version", static_cast<std::int64_t>(documents().newest())}});
    return;
  }
  auto& plan = std::get<DispatchPlan>(read);
  log().Record(DecisionClass::kStateChange, "plan_in_force", {},
               {{"version", static_cast<std::int64_t>(plan.version)},
                {"source", source},
                {"document_version", static_cast<std::int64_t>(documents().newest())},
                {"queues", static_cast<std::int64_t>(plan.queues.size())},
                {"evacuated_zones", static_cast<std::int64_t>(plan.evacuated_zones.size())}});
  m_plan = std::move(plan);
  DispatchOutputs out;
  m_dispatcher.SetPlan(*m_plan, now, out);
  Perform(out);
}

void DispatchEntryApp::OnRequest(HttpRequest request, HttpResponder responder) {
  const Now now = ReadBootClocks();
  SuspendExpiredClaims(now);
  CallerCall call = m_adapters.callers->Read(request, m_plan ? &*m_plan : nullptr);
  if (auto* direct = std::get_if<DirectAnswer>(&call)) {
    ++m_direct_answers;
    log().Record(
        DecisionClass::kAnomaly, "request_answered_directly", {},
        {{"status", static_cast<std::int64_t>(direct->response.status)},
         {"reason", direct->reason},
         {"target", request.target},
         {"plan", static_cast<std::int64_t>(m_plan ? m_plan->version : 0)},
         {"store_answered_ms_ago",
          std::chrono::duration_cast<milliseconds>(now.steady - m_store_answered_at).count()}});
    responder.Respond(std::move(direct->response));
    return;
  }
  if (const auto* length = std::get_if<QueueLengthCall>(&call)) {
    const std::size_t waiting = m_dispatcher.waiting_jobs(length->queue->address());
    responder.Respond(m_adapters.callers->QueueLength(waiting));
    return;
  }
  auto& submit = std::get<SubmitCall>(call);
  const RequestId id = responder.id();
  m_open_requests.emplace(id, OpenRequest{std::move(responder), now.steady});
  DispatchOutputs out;
  m_shared_jobs.Submit(id, *submit.queue, std::move(submit.job), now.steady + submit.time_budget,
                       now, out);
  Perform(out);
}

void DispatchEntryApp::OnClientDisconnected(HttpRequestId request) {
  if (m_open_requests.erase(request) == 0) return;
  const Now now = ReadBootClocks();
  SuspendExpiredClaims(now);
  DispatchOutputs out;
  m_shared_jobs.OnCallerDisconnected(request, now, out);
  Perform(out);
}

void DispatchEntryApp::Perform(DispatchOutputs& out) {
  const Now now = ReadBootClocks();
  m_shared_jobs.TranslateAnswers(now, out);
  for (const NodeRef& sidecar : out.report_requests) {
    EntryReport request = ReportTo(LiveEntriesDigest(now) ^ self().id, now);
    request.wants_reports = true;
    request.load_interval = m_dispatcher.load_interval();
    Send(sidecar, std::move(request));
  }
  Send(std::move(out.messages));
  for (const JobAnswered& answer : out.answers) {
    const auto found = m_open_requests.find(answer.request);
    if (found == m_open_requests.end()) continue;
    m_answer_times.Record(now.steady - found->second.received_at);
    found->second.responder.Respond(m_adapters.callers->Answer(answer));
    m_open_requests.erase(found);
  }
}

void DispatchEntryApp::OnStopRequested(Now now) {
  m_stop_requested_at = now.steady;
  // Callers reconnect, and the load balancer routes the new connection to another entry.
  m_callers->DisableKeepAlive();
}

void DispatchEntryApp::EndLoopIfStopped(Now now) {
  if (!m_stop_requested_at) return;
  const auto since = now.steady - *m_stop_requested_at;
  if (since >= kAcceptAfterStop && !std::exchange(m_accept_stopped, true)) m_callers->BeginStop();
  const bool is_idle = m_accept_stopped && m_callers->counters().connections_open == 0 &&
                       m_shared_jobs.open_claims() == 0;
  // The last messages are written before the next tick.
  const bool was_idle = std::exchange(m_was_idle, is_idle);
  if ((is_idle && was_idle) || since >= m_settings.stop_grace - kStopMargin) {
    log().Record(DecisionClass::kStateChange, "stop_done", {},
                 {{"open_requests", static_cast<std::int64_t>(m_open_requests.size())},
                  {"open_claims", static_cast<std::int64_t>(m_shared_jobs.open_claims())}});
    EndLoop(ExitStatus::kOk);
  }
}

std::string DispatchEntryApp::Metrics() const {
  MetricsPage page;
  AddCommonMetrics(page);
  const EntryDispatcherCounters& counters = m_dispatcher.counters();
  page.AddCounter("jobs_submitted_total", "Jobs submitted", counters.submitted);
  page.AddCounter("jobs_joined_total", "Requests for a job in progress", counters.joined);
  page.AddCounter("jobs_completed_total", "Jobs completed", counters.completed);
  page.AddCounter("jobs_failed_total", "Jobs failed", counters.failed);
  page.AddCounter("jobs_refused_total", "Jobs refused, none of which ran", counters.refused);
  page.AddCounter("jobs_given_up_total", "Jobs given up after a start", counters.given_up);
  page.AddCounter("callers_gone_total", "Callers that left", counters.callers_gone);
  page.AddCounter("direct_answers_total", "Requests without a decision", m_direct_answers);
  page.AddCounter("tasks_placed_total", "Placements", counters.tasks_placed);
  page.AddCounter("tasks_failed_total", "Failed runs", counters.tasks_failed);
  page.AddCounter("tasks_lost_total", "Lost runs", counters.tasks_lost);
  page.AddCounter("tasks_stalled_total", "Stalled runs", counters.tasks_stalled);
  page.AddCounter("tasks_not_run_total", "Placements that came back", counters.tasks_not_run);
  page.AddCounter("task_reports_total", "Task ends reported by workers", counters.task_reports);
  page.AddCounter("task_reports_repeated_total", "Task ends that had been reported before",
                  counters.task_reports_repeated);
  page.AddCounter("tasks_crashed_total", "Runs lost with their endpoint", counters.tasks_crashed);
  page.AddCounter("last_attempts_waited_total",
                  "Last attempts that waited for a worker with recent successes",
                  counters.last_attempts_waited);
  page.AddCounter("last_attempts_forced_total",
                  "Last attempts placed on a worker without recent successes",
                  counters.last_attempts_forced);
  page.AddCounter("tasks_given_up_total", "Tasks given up because endpoints crash under them",
                  counters.tasks_given_up);
  page.AddCounter("jobs_submitted_guilty_total", "Jobs refused for such a task on arrival",
                  counters.submitted_guilty);
  page.AddCounter("suspects_cleared_total", "Tasks that ran beside a crash and ended well",
                  counters.suspects_cleared);
  const SharedJobsCounters& shared = m_shared_jobs.counters();
  page.AddCounter("jobs_held_elsewhere_total", "Requests for a job that another entry runs",
                  shared.held_elsewhere);
  page.AddCounter("requests_attached_total", "Requests of other entries for jobs of this one",
                  shared.attached);
  page.AddCounter("requests_answered_ended_total", "Requests for a job that had ended before",
                  shared.answered_ended);
  page.AddCounter("claims_lapsed_total", "Claims to jobs that could not be renewed",
                  shared.claims_lapsed);
  page.AddCounter("jobs_undecided_total", "Jobs refused for want of a majority of witnesses",
                  shared.undecided);
  page.AddCounter("refusals_withheld_total",
                  "Requests not answered as refused because the job may have run",
                  shared.refusals_of_run_jobs);
  page.AddGauge("attached_requests", "Requests of other entries that wait here",
                static_cast<double>(m_shared_jobs.attached_requests()));
  page.AddGauge("open_claims", "Claims held or asked for",
                static_cast<double>(m_shared_jobs.open_claims()));
  page.AddCounter("jobs_refused_for_memory_total",
                  "Jobs refused because those in progress take the memory for jobs",
                  m_shared_jobs.counters().refused_for_memory);
  page.AddGauge("job_bytes", "Estimated memory of the jobs in progress",
                static_cast<double>(m_shared_jobs.job_bytes()));
  page.AddGauge("open_jobs", "Jobs in progress", static_cast<double>(m_dispatcher.open_jobs()));
  page.AddGauge("waiting_tasks", "Tasks that wait for room",
                static_cast<double>(m_dispatcher.waiting_tasks()));
  page.AddCounter("workers_borrowed_total", "Workers used beyond the subset of this entry",
                  counters.workers_borrowed);
  page.AddGauge("present_workers", "Workers that take work, in this entry's subset or not",
                m_dispatcher.present_workers(ReadBootClocks()));
  page.AddGauge("usable_workers", "Workers that may be given work",
                m_dispatcher.usable_workers(ReadBootClocks()));
  page.AddGauge("receive_delay_seconds", "How long messages wait before they are handled",
                std::chrono::duration<double>(m_dispatcher.receive_delay()).count());
  page.AddGauge(
      "store_answer_age_seconds",
      "Time since the store confirmed the documents, or since the start",
      std::chrono::duration<double>(ReadBootClocks().steady - m_store_answered_at).count());
  page.AddGauge("store_reachable", "The store answers", m_watcher.is_reachable() ? 1 : 0);
  page.AddHistogram("answer_seconds", "From request to answer", m_answer_times);
  return page.Text({});
}

}  // namespace foxtailrudder
