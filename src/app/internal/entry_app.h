#pragma once

#include <memory>
#include <unordered_map>
#include <variant>

#include "app/exit_status.h"
#include "app/internal/address_book.h"
#include "app/internal/entry_commands.h"
#include "app/internal/input_loop.h"
#include "app/internal/metrics_page.h"
#include "app/internal/refusal_counters.h"
#include "app/internal/state_log.h"
#include "config/config.h"
#include "http/http.h"
#include "node/node.h"
#include "observe/observe.h"
#include "store/store.h"
#include "transport/transport.h"

namespace foxtailrudder {

/// Entry process. The network, HTTP and store threads push inputs into one ring; the thread that
/// calls Run() passes them to the EntryNode and performs the outputs.
class EntryApp : private NetworkHandler, private HttpHandler {
 public:
  static std::variant<std::unique_ptr<EntryApp>, Error> Create(const EntrySettings& settings,
                                                               Incarnation incarnation);
  ~EntryApp() override;

  /// Runs until the drain is complete or times out.
  ExitStatus Run();
  /// Starts a drain. Thread-safe.
  void RequestStop();

 private:
  struct HttpCommand {
    EntryCommand command;
    HttpResponder responder;
  };
  struct ClientDisconnected {
    HttpRequestId request;
  };
  struct PeerDisconnected {
    NodeId peer;
  };
  struct StopRequested {};
  using Input = std::variant<Envelope, PeerDisconnected, HttpCommand, ClientDisconnected,
                             StoreResult, StopRequested>;

  struct OpenRequest {
    HttpResponder responder;
    JobKey key;
    SteadyTime received_at;
  };

  EntryApp(const EntrySettings& settings, Member self, std::unique_ptr<EntryNode> node);
  std::optional<Error> Open();

  void OnEnvelope(Envelope envelope) override;
  void OnConnected(NodeRef peer) override;
  void OnDisconnected(NodeRef peer) override;
  void OnRefused(const std::string& remote_address, const Error& reason) override;
  void OnRequest(HttpRequest request, HttpResponder responder) override;
  void OnClientDisconnected(HttpRequestId request) override;

  void Refuse(const HttpResponder& responder, const Error& error);
  void Handle(Input input, Now now, Outbox& out);
  void HandleHttp(HttpCommand http, Now now, Outbox& out);
  void HandlePage(PageKind page, const HttpResponder& responder, Now now);
  void Submit(SubmitCommand command, const HttpResponder& responder, Now now, Outbox& out);
  RequestId AddOpenRequest(const HttpResponder& responder, JobKey key, Now now);
  void FinishRequest(RequestId request, const HttpResponse& response, Now now);
  void Perform(Outbox& out, Now now);
  void PerformOutput(Output output, Now now);
  void LogState(Now now);
  std::string MetricsText(Now now);

  EntrySettings m_settings;
  Member m_self;
  std::unique_ptr<EntryNode> m_node;
  AddressBook m_addresses;
  InputLoop<Input> m_loop;
  RefusalCounters m_http_refusals;
  StateLog m_state_log;
  std::unordered_map<RequestId, OpenRequest> m_open_requests;
  std::unordered_map<HttpRequestId, RequestId> m_request_by_http_id;
  RequestId m_next_request = 1;
  LatencyHistogram m_answer_seconds;
  bool m_stop_requested = false;
  // Declared last, so that their threads, which push into the ring, end before it is destroyed.
  std::unique_ptr<StoreClient> m_store;
  std::unique_ptr<Network> m_network;
  std::unique_ptr<HttpServer> m_http;
};

}  // namespace foxtailrudder
