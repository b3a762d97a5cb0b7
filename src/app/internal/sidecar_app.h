#pragma once

#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>

#include "app/exit_status.h"
#include "app/internal/address_book.h"
#include "app/internal/announcement.h"
#include "app/internal/endpoint_client.h"
#include "app/internal/input_loop.h"
#include "app/internal/metrics_page.h"
#include "app/internal/refusal_counters.h"
#include "app/internal/state_log.h"
#include "config/config.h"
#include "http/http.h"
#include "node/node.h"
#include "observe/observe.h"
#include "transport/transport.h"

namespace foxtailrudder {

/// Sidecar process. The network, announcement and endpoint threads push inputs into one ring; the
/// thread that calls Run() passes them to the SidecarNode and performs the outputs.
class SidecarApp : private NetworkHandler, private HttpHandler {
 public:
  static std::variant<std::unique_ptr<SidecarApp>, Error> Create(const SidecarSettings& settings,
                                                                 Incarnation incarnation);
  ~SidecarApp() override;

  /// Runs until the drain is complete or times out.
  ExitStatus Run();
  /// Starts a drain. Thread-safe.
  void RequestStop();

 private:
  struct AnnounceRequest {
    Announcement announcement;
    HttpResponder responder;
  };
  enum class Page : std::uint8_t { kReady, kMetrics };
  struct PageRequest {
    Page page;
    HttpResponder responder;
  };
  struct PeerDisconnected {
    NodeId peer;
  };
  struct StopRequested {};
  using Input = std::variant<Envelope, PeerDisconnected, AnnounceRequest, PageRequest,
                             EndpointTaskReport, StopRequested>;

  SidecarApp(const SidecarSettings& settings, Member self, std::unique_ptr<SidecarNode> node);
  std::optional<Error> Open();

  void OnEnvelope(Envelope envelope) override;
  void OnConnected(NodeRef peer) override;
  void OnDisconnected(NodeRef peer) override;
  void OnRefused(const std::string& remote_address, const Error& reason) override;
  void OnRequest(HttpRequest request, HttpResponder responder) override;
  void OnClientDisconnected(HttpRequestId request) override;

  void Refuse(const HttpResponder& responder, const Error& error);
  void PushReport(EndpointTaskReport report);
  void Handle(Input input, Now now, Outbox& out);
  void HandleAnnouncement(const AnnounceRequest& call, Now now);
  void HandleReport(EndpointTaskReport report, Now now, Outbox& out);
  void HandlePage(const PageRequest& call, Now now);
  void ExpireAnnouncement(Now now);
  void Perform(Outbox& out, Now now);
  void LogState(Now now);
  std::string MetricsText(Now now);

  SidecarSettings m_settings;
  Member m_self;
  std::unique_ptr<SidecarNode> m_node;
  AddressBook m_addresses;
  InputLoop<Input> m_loop;
  RefusalCounters m_http_refusals;
  StateLog m_state_log;
  std::optional<EndpointInfo> m_endpoint;
  bool m_endpoint_leaving = false;
  SteadyTime m_announcement_expires_at{};
  std::unordered_map<TaskRef, SteadyTime> m_started_at;
  LatencyHistogram m_task_seconds;
  bool m_stop_requested = false;
  // Declared last, so that their threads, which push into the ring, end before it is destroyed.
  std::unique_ptr<EndpointClient> m_endpoint_client;
  std::unique_ptr<Network> m_network;
  std::unique_ptr<HttpServer> m_http;
};

}  // namespace foxtailrudder
