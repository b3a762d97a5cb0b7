#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "app/dispatch_adapters.h"
#include "app/internal/dispatch_process.h"
#include "app/internal/page_handler.h"
#include "app/internal/process_limits.h"
#include "app/internal/state_watcher.h"
#include "config/config.h"

namespace foxtailrudder {

/// Entry process with direct dispatch: serves callers and places the tasks of their jobs on
/// workers.
class DispatchEntryApp : public DispatchProcess, private HttpHandler {
 public:
  DispatchEntryApp(const DispatchEntrySettings& settings, DispatchProcessConfig config,
                   const std::function<EntryAdapters(boost::asio::io_context&)>& make_adapters);

 private:
  std::optional<Error> Start(Now now) override;
  void OnMessage(const Envelope& envelope, Now now) override;
  void OnPeerConnected(NodeRef peer, Now now) override;
  void OnTick(Now now) override;
  void OnStopRequested(Now now) override;
  void OnDocuments(std::string_view source, Now now) override;
  DocumentRequestDelay document_request_delay() const override;
  const HttpServer* main_server() const override { return m_callers.get(); }
  void Close() override;

  void OnRequest(HttpRequest request, HttpResponder responder) override;
  void OnClientDisconnected(HttpRequestId request) override;
  void OnRequestRefused(const Error& reason, const std::string& remote_address) override {
    OnHttpRefused(reason, remote_address);
  }

  void OnWorkerReport(NodeRef from, const WorkerReport& report, Now now);
  void OnStateRead(const StateRead& read);
  /// Report to a process that has reported this digest of its live entries.
  EntryReport ReportTo(std::uint64_t entries_digest, Now now) const;
  void ReportToEntries(Now now);
  void Perform(DispatchOutputs& out);
  /// Has to be called before an input is handled.
  void SuspendExpiredClaims(Now now);
  void RegisterAddress();
  void DiscoverEntries();
  void EndLoopIfStopped(Now now);
  bool IsReady(Now now) const;
  /// Answers requests for readiness and metrics.
  HttpResponse StatusPage(const HttpRequest& request) const;
  std::string Metrics() const;

  const DispatchEntrySettings m_settings;
  const ProcessLimits m_limits;
  EntryAdapters m_adapters;
  EntryDispatcher m_dispatcher;
  SharedJobs m_shared_jobs;
  StateWatcher m_watcher;
  std::optional<DispatchPlan> m_plan;
  /// When the store last confirmed the documents or sent newer ones; the start before it has.
  SteadyTime m_store_answered_at;
  std::unique_ptr<HttpServer> m_callers;
  std::unique_ptr<PageHandler> m_status_handler;
  std::unique_ptr<HttpServer> m_readiness;
  std::unique_ptr<HttpServer> m_metrics;
  struct OpenRequest {
    HttpResponder responder;
    SteadyTime received_at;
  };
  std::unordered_map<RequestId, OpenRequest> m_open_requests;
  LatencyHistogram m_answer_times;
  boost::asio::steady_timer m_store_timer;
  std::uint64_t m_direct_answers = 0;
  SteadyTime m_next_report;
  std::size_t m_report_round = 0;
  bool m_was_ready = false;
  std::optional<SteadyTime> m_stop_requested_at;
  bool m_accept_stopped = false;
  bool m_was_idle = false;
};

}  // namespace foxtailrudder
