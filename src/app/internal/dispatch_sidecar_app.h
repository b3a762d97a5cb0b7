#pragma once

#include <memory>
#include <string>
#include <utility>

#include "app/dispatch_adapters.h"
#include "app/internal/dispatch_process.h"
#include "app/internal/page_handler.h"
#include "config/config.h"

namespace foxtailrudder {

/// Sidecar process with direct dispatch: runs the tasks that entries place on its endpoint.
class DispatchSidecarApp : public DispatchProcess, private HttpHandler {
 public:
  DispatchSidecarApp(const DispatchSidecarSettings& settings, DispatchProcessConfig config,
                     const std::function<SidecarAdapters(boost::asio::io_context&)>& make_adapters);

 private:
  std::optional<Error> Start(Now now) override;
  void OnMessage(const Envelope& envelope, Now now) override;
  void OnPeerConnected(NodeRef peer, Now now) override;
  void OnTick(Now now) override;
  void OnStopRequested(Now now) override;
  void OnDocuments(std::string_view source, Now now) override;
  DocumentRequestDelay document_request_delay() const override;
  const HttpServer* main_server() const override { return m_announcements.get(); }
  void Close() override;

  void OnRequest(HttpRequest request, HttpResponder responder) override;
  void OnClientDisconnected(HttpRequestId request) override;
  void OnRequestRefused(const Error& reason, const std::string& remote_address) override {
    OnHttpRefused(reason, remote_address);
  }

  void ReportWorkerChange(Now now);
  void Perform(ExecutorOutputs& out, Now now);
  void SendDueReports(Now now);
  void DiscoverEntries(Now now);
  void OnTokenRefused(std::uint64_t token, std::string_view command);
  /// Logs a change of the reason for which this sidecar may grant claims as a witness.
  void RecordVoteBasis(Now now);
  std::string Metrics() const;

  const DispatchSidecarSettings m_settings;
  SidecarAdapters m_adapters;
  WorkerExecutor m_executor;
  ClaimWitness m_claim_witness;
  VoteBasis m_vote_basis = VoteBasis::kNone;
  ReportSchedule m_report_schedule;
  /// Whether the worker takes tasks, and WorkerExecutor::worker_revision(), as last reported.
  std::pair<bool, std::uint64_t> m_reported_state;
  std::unique_ptr<HttpServer> m_announcements;
  std::unique_ptr<PageHandler> m_metrics_handler;
  std::unique_ptr<HttpServer> m_metrics;
  /// Sent with every command; the endpoint rejects tokens lower than the highest it has seen.
  FencingToken m_fencing_token;
  std::uint64_t m_raised_tokens = 0;
  std::uint64_t m_refused_reports = 0;
  SteadyTime m_next_expiry;
  SteadyTime m_next_entry_discovery;
  std::optional<SteadyTime> m_stop_requested_at;
};

}  // namespace foxtailrudder
