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

/// Identifies a request; unique during the lifetime of the server.
using HttpRequestId = std::uint64_t;

/// Sends the response to one request, from any thread and at any time. All copies refer to the same
/// request, and only the first response is sent. If all copies are destroyed without a response,
/// the client gets status 500. Safe to use after the client has disconnected or the server was
/// destroyed.
class HttpResponder {
 public:
  HttpRequestId id() const;

  /// Returns false if a response was given before.
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
  /// Of the start line and the header fields; also of the header of a chunk, and of the trailer.
  std::size_t max_header_bytes = 16U << 10U;
  std::size_t max_header_fields = 100;
  /// Limit of the memory of all unfinished requests together. Over it, the largest is refused.
  std::size_t max_held_bytes = 64U << 20U;
  /// At the limit, a new connection takes the place of one without a complete request, if there is
  /// one.
  std::size_t max_connections = 4096;
  /// Maximum number of connections over the limit that are sent a 503 response at the same time.
  /// Further ones are closed without a response.
  std::size_t max_rejected_connections = 64;
  /// Limit for receiving a request, from its first byte to its last, and for writing a response.
  std::chrono::milliseconds read_timeout{5000};
  /// A connection without a request is closed after this time.
  std::chrono::milliseconds idle_timeout{60'000};
  /// Event loop that performs all I/O and runs the callbacks. It must outlive this object, whose
  /// methods may then be called only on the loop's thread. If null, the object starts its own I/O
  /// thread.
  boost::asio::io_context* loop = nullptr;
};

/// Callbacks of HttpServer, called on the I/O thread. They must not block or call HttpServer::Stop.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  virtual void OnRequest(HttpRequest request, HttpResponder responder) = 0;
  /// The client closed the connection before the response. A later response is discarded.
  virtual void OnClientDisconnected(HttpRequestId request) = 0;
  /// A request was rejected before OnRequest because it exceeded a limit, was malformed, incomplete
  /// or too slow, or a connection was rejected at the connection limit.
  virtual void OnRequestRefused(const Error& /*reason*/, const std::string& /*remote_address*/) {}
};

struct HttpServerCounters {
  std::uint64_t requests = 0;
  std::uint64_t connections_open = 0;
  /// Connections rejected because max_connections was reached.
  std::uint64_t connections_refused = 0;
  /// Connections without a complete request that were closed in favour of new ones.
  std::uint64_t connections_evicted = 0;
  /// Requests that exceeded a limit, were malformed or incomplete, or timed out.
  std::uint64_t requests_refused = 0;
  /// Of these, the ones refused because unfinished requests held max_held_bytes.
  std::uint64_t requests_evicted = 0;
  /// Memory of the unfinished requests.
  std::uint64_t held_bytes = 0;
  std::uint64_t clients_disconnected = 0;
  /// Bytes of complete requests and of responses, without the headers of TCP and IP.
  std::uint64_t received_bytes = 0;
  std::uint64_t sent_bytes = 0;
};

/// HTTP/1.1 server with an I/O thread.
class HttpServer {
 public:
  static std::variant<std::unique_ptr<HttpServer>, Error> Create(HttpServerConfig config,
                                                                 HttpHandler& handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Stops accepting connections and closes each open one after the response to its request in
  /// progress.
  void BeginStop();

  /// Closes each connection after its next response, but still accepts new ones.
  void DisableKeepAlive();

  /// Calls BeginStop, waits up to the grace period for the requests in progress, then closes the
  /// remaining connections and ends the I/O thread. With HttpServerConfig::loop set, closes all
  /// connections at once. No callback runs after it returns.
  void Stop(std::chrono::milliseconds grace = std::chrono::seconds(30));

  /// The bound address with the actual port.
  const std::string& address() const;

  HttpServerCounters counters() const;

 private:
  class Impl;
  friend class HttpResponder;
  explicit HttpServer(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
