#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "http/message.h"
#include "model/error_kind.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace foxtailrudder {

struct HttpRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  std::string remote_address;
};

struct HttpResponse {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body = {};
  HttpHeaders headers = {};
};

/// Names one request of a server; unique while the server lives.
using HttpRequestId = std::uint64_t;

/// Answers one request, from any thread and at any time. Copies answer the same request; the first
/// answer counts. Safe to use after the client or the server has gone.
class HttpResponder {
 public:
  HttpRequestId id() const;

  /// False if the request was answered before.
  bool Respond(HttpResponse response) const;

  class State;
  explicit HttpResponder(std::shared_ptr<State> state) : m_state(std::move(state)) {}

 private:
  std::shared_ptr<State> m_state;
};

struct HttpServerConfig {
  /// "127.0.0.1:8080"; port 0 takes any free port (see HttpServer::address).
  std::string address;
  std::size_t max_body_bytes = 8U << 20U;
  std::size_t max_header_bytes = 16U << 10U;
  std::size_t max_connections = 4096;
  /// From the first byte of a request to its last, and for writing an answer.
  std::chrono::milliseconds read_timeout{5000};
  /// For a connection between requests.
  std::chrono::milliseconds idle_timeout{60'000};
  /// Loop that performs all I/O and calls; it must outlive this object, whose methods are then
  /// called on the loop's thread only. Null: an own I/O thread.
  boost::asio::io_context* loop = nullptr;
};

/// Called on the I/O thread; must return soon and must not call HttpServer::Stop.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  virtual void OnRequest(HttpRequest request, HttpResponder responder) = 0;
  /// The client closed before its request was answered. An answer given later is discarded.
  virtual void OnClientGone(HttpRequestId request) = 0;
  /// A request that never reached OnRequest: over a limit, malformed, cut off or too slow; or a
  /// connection over the limit.
  virtual void OnRequestRefused(const Error& /*reason*/, const std::string& /*remote_address*/) {}
};

struct HttpServerCounters {
  std::uint64_t requests = 0;
  std::uint64_t connections_open = 0;
  /// Connections refused at max_connections.
  std::uint64_t connections_refused = 0;
  /// Requests over a limit, malformed, cut off or timed out.
  std::uint64_t requests_refused = 0;
  std::uint64_t clients_gone = 0;
};

/// HTTP/1.1 server on an own I/O thread.
class HttpServer {
 public:
  static std::variant<std::unique_ptr<HttpServer>, Error> Create(HttpServerConfig config,
                                                                 HttpHandler& handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Stops accepting and closes each connection once its request in progress is answered.
  void BeginStop();

  /// Closes each connection after its next answer, and goes on accepting.
  void CloseAfterAnswers();

  /// BeginStop, then waits for the requests in progress for at most the grace time, closes what is
  /// left and ends the I/O thread. No callback runs after it returns.
  void Stop(std::chrono::milliseconds grace = std::chrono::seconds(30));

  /// The bound address, with the real port.
  const std::string& address() const;

  HttpServerCounters counters() const;

 private:
  class Impl;
  friend class HttpResponder;
  explicit HttpServer(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
