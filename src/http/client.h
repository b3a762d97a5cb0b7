#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "http/message.h"
#include "model/time.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace foxtailrudder {

struct HttpClientRequest {
  /// "127.0.0.1:8080".
  std::string address;
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers = {};
  std::string body = {};
  /// The request fails with kDeadline if the response is not complete by then.
  SteadyTime deadline = SteadyTime::max();
  /// The request fails with kDeadline if no byte of the response has arrived by then.
  SteadyTime first_byte_deadline = SteadyTime::max();
  /// If not 0, the request fails with kDeadline once a started response has made no progress for
  /// this long.
  std::chrono::milliseconds max_silence{0};
  /// If set, called on the I/O thread immediately before the request is written. If it returns
  /// false, the request fails with kNotAllowed.
  std::function<bool()> may_write = {};
};

struct HttpClientResponse {
  unsigned status = 0;
  HttpHeaders headers;
  std::string body;
};

enum class HttpClientErrorKind : std::uint8_t {
  /// may_write returned false.
  kNotAllowed,
  kConnectFailed,
  /// The peer refused the connection: no process listens at the address.
  kConnectionRefused,
  kDeadline,
  kAborted,
  /// The connection was closed before the response was complete.
  kClosed,
  kMalformedResponse,
  /// Too many requests are waiting for a connection to this address, or the client is stopped.
  kRefused,
};

struct HttpClientError {
  HttpClientErrorKind kind = HttpClientErrorKind::kRefused;
  /// False only if no byte of the request was written.
  bool sent = false;
  std::string detail;
};

using HttpClientResult = std::variant<HttpClientResponse, HttpClientError>;

/// Identifies a request of one client, for Abort.
using HttpCallId = std::uint64_t;

struct HttpClientConfig {
  std::size_t max_connections_per_address = 64;
  /// Limit of requests that wait for a connection to one address.
  std::size_t max_waiting_per_address = 4096;
  std::size_t max_response_bytes = 16U << 20U;
  std::chrono::milliseconds connect_timeout{1000};
  /// Idle connections are closed after this time.
  std::chrono::milliseconds idle_timeout{30'000};
  /// Event loop that performs all I/O and runs the callbacks. It must outlive this object, whose
  /// methods may then be called only on the loop's thread. If null, the object starts its own I/O
  /// thread.
  boost::asio::io_context* loop = nullptr;
};

/// HTTP/1.1 client with keep-alive connections and an I/O thread. Thread-safe, unless
/// HttpClientConfig::loop is set. A request is written at most once; it is never retried.
class HttpClient {
 public:
  static std::unique_ptr<HttpClient> Create(HttpClientConfig config);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /// Starts a request. Calls done exactly once: on the I/O thread, or on the calling thread if the
  /// client is stopped.
  HttpCallId Request(HttpClientRequest request, std::function<void(HttpClientResult)> done);

  /// Ends a request with kAborted and closes its connection. Has no effect if it has already ended.
  void Abort(HttpCallId call);

  /// Ends all requests with kAborted and stops the I/O thread. Must not be called from done.
  void Stop();

 private:
  class Impl;
  explicit HttpClient(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
