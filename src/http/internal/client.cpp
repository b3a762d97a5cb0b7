#include "http/client.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "http/internal/address.h"
#include "http/internal/message_reader.h"

namespace foxtailrudder {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using http_internal::MessageStatus;
using http_internal::PeekResult;

using ResponseReader = http_internal::MessageReader<false>;

constexpr std::size_t kMaxResponseHeaderBytes = 64U << 10U;
constexpr std::size_t kMaxResponseHeaderFields = 1'000;

struct Connection {
  explicit Connection(asio::io_context& io) : socket(io), timer(io) {}

  tcp::socket socket;
  /// Limits the time to connect, then the time that the connection is idle.
  asio::steady_timer timer;
  std::string address;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  std::optional<ResponseReader> reader;
  /// Incremented whenever the connection changes between idle and used, so that the handlers of an
  /// earlier wait can tell that they are outdated.
  std::uint64_t generation = 0;
  bool idle = false;
  bool closed = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

struct Call {
  explicit Call(asio::io_context& io) : timer(io) {}

  HttpCallId id = 0;
  HttpClientRequest request;
  std::function<void(HttpClientResult)> done;
  asio::steady_timer timer;
  ConnectionPtr connection;
  bool sent = false;
  bool finished = false;
};

using CallPtr = std::shared_ptr<Call>;

struct Pool {
  /// Connections without a request, the most recently used last.
  std::vector<ConnectionPtr> idle;
  std::size_t open_connections = 0;
  std::deque<CallPtr> waiting;
};

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(HttpClientConfig config)
      : m_config(config),
        m_owned_io(m_config.loop == nullptr ? std::make_unique<asio::io_context>(1) : nullptr),
        m_io(m_config.loop == nullptr ? *m_owned_io : *m_config.loop),
        m_work_guard(asio::make_work_guard(m_io)) {
    if (m_owned_io) {
      m_thread = std::thread([this] { m_io.run(); });
    }
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() { Stop(); }

  HttpCallId Request(HttpClientRequest request, std::function<void(HttpClientResult)> done) {
    auto call = std::make_shared<Call>(m_io);
    call->request = std::move(request);
    call->done = std::move(done);
    {
      const std::lock_guard lock(m_mutex);
      call->id = ++m_last_call;
      if (!m_stopped) {
        asio::post(m_io, [this, call] { Start(call); });
        return call->id;
      }
    }
    call->done(HttpClientError{HttpClientErrorKind::kRefused, false, "client is stopped"});
    return call->id;
  }

  void Abort(HttpCallId id) {
    const std::lock_guard lock(m_mutex);
    if (m_stopped) {
      return;
    }
    asio::post(m_io, [this, id] {
      const auto found = m_calls.find(id);
      if (found != m_calls.end()) {
        Fail(CallPtr(found->second), HttpClientErrorKind::kAborted, "aborted");
      }
    });
  }

  void Stop() {
    {
      const std::lock_guard lock(m_mutex);
      if (m_stopped) {
        return;
      }
      m_stopped = true;
      if (m_owned_io) {
        asio::post(m_io, [this] { AbortAll(); });
      }
    }
    if (m_owned_io) {
      m_thread.join();
    } else {
      AbortAll();
    }
  }

 private:
  void AbortAll() {
    m_aborting = true;
    const auto calls = m_calls;
    for (const auto& [id, call] : calls) {
      Fail(call, HttpClientErrorKind::kAborted, "client is stopped");
    }
    for (auto& [address, pool] : m_pools) {
      for (const ConnectionPtr& connection : std::exchange(pool.idle, {})) {
        Close(connection);
      }
    }
    m_work_guard.reset();
  }

  void Start(const CallPtr& call) {
    m_calls.emplace(call->id, call);
    const SteadyTime deadline = std::min(call->request.deadline, call->request.first_byte_deadline);
    if (deadline <= std::chrono::steady_clock::now()) {
      Fail(call, HttpClientErrorKind::kDeadline, "deadline passed before the request was started");
      return;
    }
    SetDeadline(call, deadline);
    Pool& pool = m_pools[call->request.address];
    if (!AssignConnection(pool, call)) {
      if (pool.waiting.size() >= m_config.max_waiting_per_address) {
        Fail(call, HttpClientErrorKind::kRefused, "too many requests are waiting for a connection");
      } else {
        pool.waiting.push_back(call);
      }
    }
  }

  /// Replaces the time at which the call fails.
  void SetDeadline(const CallPtr& call, SteadyTime deadline) {
    if (deadline == SteadyTime::max()) {
      call->timer.cancel();
      return;
    }
    call->timer.expires_at(deadline);
    call->timer.async_wait([this, call](error_code error) {
      if (!error) {
        Fail(call, HttpClientErrorKind::kDeadline, "no complete response by the deadline");
      }
    });
  }

  void OnProgress(const CallPtr& call) {
    const HttpClientRequest& request = call->request;
    if (request.max_silence.count() > 0) {
      SetDeadline(
          call, std::min(request.deadline, std::chrono::steady_clock::now() + request.max_silence));
    } else if (request.first_byte_deadline < request.deadline) {
      SetDeadline(call, request.deadline);
    }
  }

  /// Assigns an idle connection of the pool to a call, or opens a new one. Returns false if the
  /// pool is at its connection limit.
  bool AssignConnection(Pool& pool, const CallPtr& call) {
    while (!pool.idle.empty()) {
      const ConnectionPtr connection = std::move(pool.idle.back());
      pool.idle.pop_back();
      connection->idle = false;
      ++connection->generation;
      error_code ignored;
      connection->timer.cancel();
      connection->socket.cancel(ignored);
      // The server may have closed the connection while it was idle.
      if (http_internal::Peek(connection->socket) == PeekResult::kNothing) {
        call->connection = connection;
        Write(call);
        return true;
      }
      Close(connection);
    }
    if (pool.open_connections >= m_config.max_connections_per_address) {
      return false;
    }
    Connect(pool, call);
    return true;
  }

  void Connect(Pool& pool, const CallPtr& call) {
    const auto endpoint = http_internal::ParseAddress(call->request.address);
    if (!endpoint) {
      Fail(call, HttpClientErrorKind::kConnectFailed,
           "address \"" + call->request.address + "\" is not IP:PORT");
      return;
    }
    auto connection = std::make_shared<Connection>(m_io);
    connection->address = call->request.address;
    call->connection = connection;
    ++pool.open_connections;
    connection->timer.expires_after(m_config.connect_timeout);
    connection->timer.async_wait(
        [this, call, connection, generation = connection->generation](error_code error) {
          if (!error && connection->generation == generation) {
            Fail(call, HttpClientErrorKind::kConnectFailed, "connection attempt timed out");
          }
        });
    connection->socket.async_connect(*endpoint, [this, call, connection](error_code error) {
      if (call->finished) {
        return;
      }
      if (error) {
        Fail(call,
             error == asio::error::connection_refused ? HttpClientErrorKind::kConnectionRefused
                                                      : HttpClientErrorKind::kConnectFailed,
             error.message());
        return;
      }
      ++connection->generation;
      connection->timer.cancel();
      error_code ignored;
      connection->socket.set_option(tcp::no_delay(true), ignored);
      connection->socket.set_option(asio::socket_base::keep_alive(true), ignored);
      Write(call);
    });
  }

  void Write(const CallPtr& call) {
    const ConnectionPtr connection = call->connection;
    auto& request = connection->request;
    request = {};
    request.version(11);
    request.method_string(call->request.method);
    request.target(call->request.target);
    if (call->request.headers.Find("Host") == nullptr) {
      request.set(http::field::host, call->request.address);
    }
    for (const auto& [name, value] : call->request.headers.fields()) {
      request.insert(name, value);
    }
    request.body() = std::move(call->request.body);
    if (!request.body().empty() || call->request.method != "GET") {
      request.content_length(request.body().size());
    }
    if (call->request.may_write && !call->request.may_write()) {
      call->connection = nullptr;
      Fail(call, HttpClientErrorKind::kNotAllowed,
           "may_write did not allow the request to be written");
      ReturnToPool(connection);
      return;
    }
    // Asio tries to send within this call, so nothing delays the write after the check.
    call->sent = true;
    http::async_write(connection->socket, request,
                      [this, call, connection](error_code error, std::size_t /*size*/) {
                        // The write operation refers to the request, which connection owns.
                        static_cast<void>(connection);
                        if (call->finished) {
                          return;
                        }
                        if (error) {
                          Fail(call, HttpClientErrorKind::kClosed, error.message());
                          return;
                        }
                        Read(call);
                      });
  }

  void Read(const CallPtr& call) {
    const ConnectionPtr connection = call->connection;
    connection->reader.emplace(http_internal::MessageLimits{
        kMaxResponseHeaderBytes, kMaxResponseHeaderFields, m_config.max_response_bytes});
    if (call->request.method == "HEAD") {
      connection->reader->SkipBody();
    }
    ReadSome(call);
  }

  void ReadSome(const CallPtr& call) {
    const ConnectionPtr connection = call->connection;
    connection->socket.async_read_some(
        connection->buffer.prepare(connection->reader->NextReadSize()),
        [this, call, connection](error_code error, std::size_t size) {
          if (call->finished) {
            return;
          }
          if (error) {
            if (error == asio::error::eof && connection->reader->ParseEnd()) {
              Complete(call, connection);
            } else {
              Fail(call, HttpClientErrorKind::kClosed, error.message());
            }
            return;
          }
          connection->buffer.commit(size);
          Parse(call);
        });
  }

  void Parse(const CallPtr& call) {
    const ConnectionPtr connection = call->connection;
    MessageStatus status = connection->reader->Parse(connection->buffer);
    if (status == MessageStatus::kHeaderComplete) {
      status = connection->reader->Parse(connection->buffer);
    }
    switch (status) {
      case MessageStatus::kHeaderComplete:
      case MessageStatus::kIncomplete:
        OnProgress(call);
        ReadSome(call);
        break;
      case MessageStatus::kComplete:
        Complete(call, connection);
        break;
      case MessageStatus::kHeaderTooLarge:
      case MessageStatus::kTooManyFields:
      case MessageStatus::kBodyTooLarge:
        Fail(call, HttpClientErrorKind::kMalformedResponse, "response over a limit");
        break;
      case MessageStatus::kMalformed:
        Fail(call, HttpClientErrorKind::kMalformedResponse, "malformed response");
        break;
    }
  }

  void Complete(const CallPtr& call, const ConnectionPtr& connection) {
    auto message = connection->reader->Release();
    connection->reader.reset();
    HttpClientResponse response;
    response.status = message.result_int();
    for (const auto& field : message) {
      response.headers.Add(std::string(field.name_string()), std::string(field.value()));
    }
    response.body = std::move(message.body());
    call->connection = nullptr;
    if (message.keep_alive() && connection->buffer.size() == 0) {
      // A buffer that has grown would stay as large for the life of the connection.
      connection->buffer.shrink_to_fit();
      ReturnToPool(connection);
    } else {
      Close(connection);
    }
    Finish(call, std::move(response));
  }

  void Fail(const CallPtr& call, HttpClientErrorKind kind, std::string detail) {
    if (call->finished) {
      return;
    }
    if (const ConnectionPtr connection = std::exchange(call->connection, nullptr)) {
      // A response may still arrive, so the connection cannot be reused.
      Close(connection);
    }
    const auto pool = m_pools.find(call->request.address);
    if (pool != m_pools.end()) {
      std::erase(pool->second.waiting, call);
    }
    Finish(call, HttpClientError{kind, call->sent, std::move(detail)});
  }

  void Finish(const CallPtr& call, HttpClientResult result) {
    call->finished = true;
    call->timer.cancel();
    m_calls.erase(call->id);
    const auto done = std::exchange(call->done, nullptr);
    done(std::move(result));
  }

  /// Returns a connection to its pool and starts the next waiting call.
  void ReturnToPool(const ConnectionPtr& connection) {
    Pool& pool = m_pools[connection->address];
    if (m_aborting) {
      Close(connection);
      return;
    }
    connection->idle = true;
    ++connection->generation;
    pool.idle.push_back(connection);
    const auto close_if_idle = [this, connection,
                                generation = connection->generation](error_code error) {
      if (error != asio::error::operation_aborted && connection->idle &&
          connection->generation == generation) {
        std::erase(m_pools[connection->address].idle, connection);
        Close(connection);
      }
    };
    connection->timer.expires_after(m_config.idle_timeout);
    connection->timer.async_wait(close_if_idle);
    // An idle connection becomes readable when the server closes it.
    connection->socket.async_wait(tcp::socket::wait_read, close_if_idle);
    ServeWaiting(connection->address);
  }

  void Close(const ConnectionPtr& connection) {
    if (std::exchange(connection->closed, true)) {
      return;
    }
    ++connection->generation;
    error_code ignored;
    connection->timer.cancel();
    connection->socket.close(ignored);
    --m_pools[connection->address].open_connections;
    if (!m_aborting) {
      // Posted, because the caller may be iterating over the same pool.
      asio::post(m_io, [this, address = connection->address] { ServeWaiting(address); });
    }
  }

  void ServeWaiting(const std::string& address) {
    const auto found = m_pools.find(address);
    if (found == m_pools.end()) {
      return;
    }
    Pool& pool = found->second;
    while (!pool.waiting.empty()) {
      const CallPtr call = pool.waiting.front();
      pool.waiting.pop_front();
      if (!call->finished && !AssignConnection(pool, call)) {
        pool.waiting.push_front(call);
        return;
      }
    }
    if (pool.open_connections == 0 && pool.idle.empty()) {
      m_pools.erase(found);
    }
  }

  const HttpClientConfig m_config;
  const std::unique_ptr<asio::io_context> m_owned_io;
  asio::io_context& m_io;
  asio::executor_work_guard<asio::io_context::executor_type> m_work_guard;

  std::mutex m_mutex;
  HttpCallId m_last_call = 0;
  bool m_stopped = false;

  // Accessed only on the I/O thread.
  std::unordered_map<HttpCallId, CallPtr> m_calls;
  std::unordered_map<std::string, Pool> m_pools;
  bool m_aborting = false;

  std::thread m_thread;
};

HttpClient::HttpClient(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}
HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient> HttpClient::Create(HttpClientConfig config) {
  return std::unique_ptr<HttpClient>(new HttpClient(std::make_unique<Impl>(config)));
}

HttpCallId HttpClient::Request(HttpClientRequest request,
                               std::function<void(HttpClientResult)> done) {
  return m_impl->Request(std::move(request), std::move(done));
}

void HttpClient::Abort(HttpCallId call) { m_impl->Abort(call); }

void HttpClient::Stop() { m_impl->Stop(); }

}  // namespace foxtailrudder
