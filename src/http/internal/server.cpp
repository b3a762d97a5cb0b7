#include "http/server.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <condition_variable>
#include <list>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "http/internal/address.h"
#include "http/internal/message_reader.h"
#include "model/time.h"

namespace foxtailrudder {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using http_internal::MessageStatus;
using http_internal::PeekResult;

using RequestReader = http_internal::MessageReader<true>;

/// After the last response on a connection, received bytes are read and discarded for up to this
/// time: closing a socket with unread bytes resets the connection, which may destroy the response
/// in transit. This matters when a request is rejected before it was read completely.
constexpr std::chrono::milliseconds kLingerTimeout{1000};
constexpr std::chrono::milliseconds kDisconnectCheckPeriod{100};
/// A connection is not closed in favour of a new one until it has been without a complete request
/// for this time.
constexpr std::chrono::milliseconds kMinEvictionAge{50};
constexpr std::size_t kDiscardBufferBytes = 16U << 10U;

/// Problem details response (RFC 9457) to a request that did not reach the handler.
HttpResponse ProblemResponse(unsigned status, const Error& error) {
  HttpResponse response;
  response.status = status;
  response.content_type = "application/problem+json";
  response.body = R"({"type":"about:blank","title":")" + error.detail + R"(","status":)" +
                  std::to_string(status) + R"(,"kind":")" +
                  std::string(ErrorAnswerOf(error.kind).name) + R"(","not_run":true})";
  return response;
}

bool IsOutOfDescriptors(error_code error) {
  return error == asio::error::no_descriptors ||
         error == boost::system::errc::too_many_files_open_in_system;
}

bool MayHaveBody(unsigned status) { return status >= 200 && status != 204 && status != 304; }

enum class SessionState : std::uint8_t { kIdle, kReading, kWaiting, kWriting, kLingering, kClosed };
constexpr std::size_t kSessionStateCount = 6;

struct Session;
using SessionPtr = std::shared_ptr<Session>;
using SessionList = std::list<SessionPtr>;

struct Session {
  explicit Session(asio::io_context& io) : socket(io), timer(io) {}

  tcp::socket socket;
  asio::steady_timer timer;
  beast::flat_buffer buffer;
  std::optional<RequestReader> reader;
  /// Counted memory of the buffer and of the request that is being read.
  std::size_t held_bytes = 0;
  http::response<http::string_body> response;
  std::string remote;
  SessionState state = SessionState::kIdle;
  SteadyTime state_since;
  /// In the list of the sessions in this state.
  SessionList::iterator position;
  HttpRequestId request = 0;
  unsigned version = 11;
  bool keep_alive = true;
  bool head_request = false;
  bool timed_out = false;
  bool rejected = false;
};

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  Impl(HttpServerConfig config, HttpHandler& handler)
      : m_config(std::move(config)),
        m_handler(handler),
        m_owned_io(m_config.loop == nullptr ? std::make_unique<asio::io_context>(1) : nullptr),
        m_io(m_config.loop == nullptr ? *m_owned_io : *m_config.loop),
        m_work_guard(asio::make_work_guard(m_io)),
        m_acceptor(m_io),
        m_accept_timer(m_io) {}

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::optional<Error> Start() {
    const auto endpoint = http_internal::ParseAddress(m_config.address);
    if (!endpoint) {
      return Error{ErrorKind::kMalformedRequest,
                   "address \"" + m_config.address + "\" is not IP:PORT"};
    }
    error_code error;
    m_acceptor.open(endpoint->protocol(), error);
    if (!error) {
      m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
      m_acceptor.bind(*endpoint, error);
    }
    if (!error) {
      m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return Error{ErrorKind::kInternal, "listen on " + m_config.address + ": " + error.message()};
    }
    m_address = http_internal::AddressText(m_acceptor.local_endpoint(error));
    Accept();
    if (m_owned_io) {
      m_thread = std::thread([this] { m_io.run(); });
    }
    return std::nullopt;
  }

  void DisableKeepAlive() {
    asio::post(m_io, [this] { m_keep_alive_disabled = true; });
  }

  void BeginStop() {
    asio::post(m_io, [this] {
      if (std::exchange(m_stopping, true)) {
        return;
      }
      error_code ignored;
      m_acceptor.close(ignored);
      m_accept_timer.cancel();
      const auto sessions = SessionsIn(SessionState::kIdle);
      for (const SessionPtr& session : sessions) {
        Close(session);
      }
      SignalIfDrained();
    });
  }

  void Stop(std::chrono::milliseconds grace) {
    if (!m_owned_io) {
      m_stopping = true;
      error_code ignored;
      m_acceptor.close(ignored);
      m_accept_timer.cancel();
      CloseSessions();
      return;
    }
    if (!m_thread.joinable()) {
      return;
    }
    BeginStop();
    {
      std::unique_lock lock(m_drained_mutex);
      m_drained_condition.wait_for(lock, grace, [this] { return m_drained; });
    }
    asio::post(m_io, [this] { CloseSessions(); });
    m_thread.join();
  }

  /// Thread-safe.
  void Respond(const SessionPtr& session, HttpRequestId request, HttpResponse response) {
    asio::post(m_io, [this, session, request, response = std::move(response)]() mutable {
      if (session->state == SessionState::kWaiting && session->request == request) {
        Write(session, std::move(response));
      }
    });
  }

  const std::string& address() const { return m_address; }

  HttpServerCounters counters() const {
    HttpServerCounters counters;
    counters.requests = m_requests;
    counters.connections_open = m_open_connections;
    counters.connections_refused = m_refused_connections;
    counters.connections_evicted = m_evicted_connections;
    counters.requests_refused = m_refused_requests;
    counters.requests_evicted = m_evicted_requests;
    counters.held_bytes = m_held_bytes;
    counters.clients_disconnected = m_clients_disconnected;
    counters.received_bytes = m_received_bytes;
    counters.sent_bytes = m_sent_bytes;
    return counters;
  }

 private:
  void CloseSessions() {
    m_closing_sessions = true;
    for (const SessionList& list : m_sessions) {
      const auto sessions = list;
      for (const SessionPtr& session : sessions) {
        Close(session);
      }
    }
    m_work_guard.reset();
  }

  void Accept() {
    auto session = std::make_shared<Session>(m_io);
    m_acceptor.async_accept(session->socket, [this, session](error_code error) {
      if (m_stopping) {
        return;
      }
      if (error) {
        if (IsOutOfDescriptors(error) && EvictConnection()) {
          Accept();
          return;
        }
        // The delay avoids a busy loop.
        m_accept_timer.expires_after(std::chrono::milliseconds(50));
        m_accept_timer.async_wait([this](error_code cancelled) {
          if (!cancelled) {
            Accept();
          }
        });
        return;
      }
      Admit(session);
      Accept();
    });
  }

  void Admit(const SessionPtr& session) {
    error_code ignored;
    session->socket.set_option(tcp::no_delay(true), ignored);
    session->socket.set_option(asio::socket_base::keep_alive(true), ignored);
    session->remote = http_internal::AddressText(session->socket.remote_endpoint(ignored));
    if (CanAdmit()) {
      AddSession(session);
      WaitForRequest(session);
      return;
    }
    ++m_refused_connections;
    const Error error{ErrorKind::kNoCapacity, "Too many connections"};
    m_handler.OnRequestRefused(error, session->remote);
    if (m_rejected_sessions < m_config.max_rejected_connections) {
      ++m_rejected_sessions;
      session->rejected = true;
      AddSession(session);
      session->keep_alive = false;
      Write(session, ProblemResponse(503, error));
    }
  }

  bool CanAdmit() {
    return m_open_connections - m_rejected_sessions < m_config.max_connections || EvictConnection();
  }

  /// Closes the connection that makes the least use of its place, so that a new one can have it:
  /// one that is being closed anyway, else the one that has been idle longest, else the one whose
  /// request has been incomplete longest. Returns false if there is none.
  bool EvictConnection() {
    for (const SessionState state :
         {SessionState::kLingering, SessionState::kIdle, SessionState::kReading}) {
      for (const SessionPtr& session : SessionsIn(state)) {
        // Has no place among the admitted ones.
        if (session->rejected) continue;
        // Its request may have arrived, and this thread has not got to it yet. The others in the
        // list are younger.
        if (state != SessionState::kLingering &&
            std::chrono::steady_clock::now() - session->state_since < kMinEvictionAge) {
          break;
        }
        const SessionPtr evicted = session;
        if (state == SessionState::kReading) {
          CountRefusal(evicted, {ErrorKind::kNoCapacity, "Too many connections"});
        }
        if (state != SessionState::kLingering) {
          ++m_evicted_connections;
        }
        Close(evicted);
        return true;
      }
    }
    return false;
  }

  SessionList& SessionsIn(SessionState state) {
    return m_sessions.at(static_cast<std::size_t>(state));
  }

  void AddSession(const SessionPtr& session) {
    SessionList& list = SessionsIn(session->state);
    session->position = list.insert(list.end(), session);
    session->state_since = std::chrono::steady_clock::now();
    ++m_open_connections;
  }

  void SetState(const SessionPtr& session, SessionState state) {
    SessionList& target = SessionsIn(state);
    target.splice(target.end(), SessionsIn(session->state), session->position);
    session->state = state;
    session->state_since = std::chrono::steady_clock::now();
  }

  /// Closes a session. Idempotent. If its request awaits a response, reports that the client has
  /// disconnected, unless the server itself closes all sessions.
  void Close(const SessionPtr& session) {
    const SessionState before = session->state;
    if (before == SessionState::kClosed) {
      return;
    }
    SessionsIn(before).erase(session->position);
    --m_open_connections;
    session->state = SessionState::kClosed;
    error_code ignored;
    session->timer.cancel();
    session->socket.close(ignored);
    ReleaseRequest(session);
    if (session->rejected) {
      --m_rejected_sessions;
    }
    if (before == SessionState::kWaiting && !m_closing_sessions) {
      ++m_clients_disconnected;
      m_handler.OnClientDisconnected(session->request);
    }
    SignalIfDrained();
  }

  void SignalIfDrained() {
    if (m_stopping && m_open_connections == 0) {
      const std::lock_guard lock(m_drained_mutex);
      m_drained = true;
      m_drained_condition.notify_all();
    }
  }

  void SetTimer(const SessionPtr& session, std::chrono::milliseconds timeout) {
    session->timer.expires_after(timeout);
    session->timer.async_wait([this, session, state = session->state](error_code error) {
      if (error || session->state != state) {
        return;
      }
      if (state == SessionState::kReading) {
        // The next completion sends a 408 response. A read that has already completed is not
        // cancelled any more.
        session->timed_out = true;
        error_code ignored;
        session->socket.cancel(ignored);
      } else {
        Close(session);
      }
    });
  }

  void WaitForRequest(const SessionPtr& session) {
    if (m_stopping) {
      Close(session);
      return;
    }
    if (session->buffer.size() > 0) {
      ReadHeader(session);
      return;
    }
    // A buffer that has grown would stay as large for the life of the connection.
    ReleaseRequest(session);
    SetState(session, SessionState::kIdle);
    SetTimer(session, m_config.idle_timeout);
    session->socket.async_wait(tcp::socket::wait_read, [this, session](error_code error) {
      if (session->state != SessionState::kIdle) {
        return;
      }
      if (error) {
        Close(session);
        return;
      }
      ReadHeader(session);
    });
  }

  void ReadHeader(const SessionPtr& session) {
    SetState(session, SessionState::kReading);
    session->timed_out = false;
    SetTimer(session, m_config.read_timeout);
    session->reader.emplace(http_internal::MessageLimits{
        m_config.max_header_bytes, m_config.max_header_fields, m_config.max_body_bytes});
    Parse(session);
  }

  /// Reads one piece at a time, so that each is checked against all limits.
  void ReadSome(const SessionPtr& session) {
    session->socket.async_read_some(session->buffer.prepare(session->reader->NextReadSize()),
                                    [this, session](error_code error, std::size_t size) {
                                      if (session->state != SessionState::kReading) {
                                        return;
                                      }
                                      m_received_bytes += size;
                                      session->buffer.commit(size);
                                      if (session->timed_out) {
                                        RefuseLate(session);
                                      } else if (error) {
                                        OnReadError(session);
                                      } else {
                                        Parse(session);
                                      }
                                    });
  }

  void Parse(const SessionPtr& session) {
    MessageStatus status = session->reader->Parse(session->buffer);
    if (status == MessageStatus::kHeaderComplete) {
      const auto& header = session->reader->message();
      if (beast::iequals(header[http::field::expect], "100-continue")) {
        if (CountHeldBytes(session)) {
          SendContinue(session);
        }
        return;
      }
      status = session->reader->Parse(session->buffer);
    }
    switch (status) {
      case MessageStatus::kHeaderComplete:
      case MessageStatus::kIncomplete:
        if (CountHeldBytes(session)) {
          ReadSome(session);
        }
        break;
      case MessageStatus::kComplete:
        Dispatch(session);
        break;
      case MessageStatus::kHeaderTooLarge:
        Refuse(session, 431, {ErrorKind::kMalformedRequest, "Request header fields too large"});
        break;
      case MessageStatus::kTooManyFields:
        Refuse(session, 431, {ErrorKind::kMalformedRequest, "Too many request header fields"});
        break;
      case MessageStatus::kBodyTooLarge:
        Refuse(session, 413, {ErrorKind::kBodyTooLarge, "Request body too large"});
        break;
      case MessageStatus::kMalformed:
        Refuse(session, 400, {ErrorKind::kMalformedRequest, "Malformed HTTP request"});
        break;
    }
  }

  void SendContinue(const SessionPtr& session) {
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(session->socket, asio::buffer(kContinue),
                      [this, session](error_code error, std::size_t /*size*/) {
                        if (session->state != SessionState::kReading) {
                          return;
                        }
                        if (session->timed_out) {
                          RefuseLate(session);
                        } else if (error) {
                          OnReadError(session);
                        } else {
                          Parse(session);
                        }
                      });
  }

  void RefuseLate(const SessionPtr& session) {
    Refuse(session, 408, {ErrorKind::kMalformedRequest, "Request not received in time"});
  }

  /// The client has closed or reset the connection.
  void OnReadError(const SessionPtr& session) {
    // Without a byte of a request, the client has closed an idle connection.
    if (session->reader->has_started()) {
      CountRefusal(session, {ErrorKind::kMalformedRequest,
                             "Connection closed before the request was complete"});
    }
    Close(session);
  }

  /// Updates the counted memory of a session whose request is being read. While all of them hold
  /// more than the limit, refuses the request that holds most: an ordinary one is small, and its
  /// client does not pay for others. Returns false if that is the request of this session.
  bool CountHeldBytes(const SessionPtr& session) {
    SetHeldBytes(session, session->buffer.capacity() + session->reader->held_bytes());
    while (m_held_bytes > m_config.max_held_bytes) {
      const SessionList& reading = SessionsIn(SessionState::kReading);
      const SessionPtr largest = *std::ranges::max_element(
          reading, {}, [](const SessionPtr& other) { return other->held_bytes; });
      ++m_evicted_requests;
      const Error error{ErrorKind::kNoCapacity, "No memory left for unfinished requests"};
      CountRefusal(largest, error);
      error_code ignored;
      largest->socket.cancel(ignored);
      HttpResponse response = ProblemResponse(503, error);
      response.headers.Add("Retry-After", "1");
      largest->keep_alive = false;
      Write(largest, std::move(response));
      if (largest == session) {
        return false;
      }
    }
    return true;
  }

  void SetHeldBytes(const SessionPtr& session, std::size_t bytes) {
    m_held_bytes += bytes;
    m_held_bytes -= std::exchange(session->held_bytes, bytes);
  }

  /// Frees the memory of a request that is answered or given up.
  void ReleaseRequest(const SessionPtr& session) {
    session->reader.reset();
    session->buffer.clear();
    session->buffer.shrink_to_fit();
    SetHeldBytes(session, 0);
  }

  void CountRefusal(const SessionPtr& session, const Error& error) {
    ++m_refused_requests;
    m_handler.OnRequestRefused(error, session->remote);
  }

  void Refuse(const SessionPtr& session, unsigned status, const Error& error) {
    session->keep_alive = false;
    CountRefusal(session, error);
    Write(session, ProblemResponse(status, error));
  }

  void Dispatch(const SessionPtr& session) {
    auto message = session->reader->Release();
    session->reader.reset();
    // May hold the beginning of the next request.
    session->buffer.shrink_to_fit();
    SetHeldBytes(session, session->buffer.capacity());
    session->version = message.version();
    session->keep_alive = message.keep_alive();
    session->head_request = message.method() == http::verb::head;
    session->request = ++m_last_request;
    SetState(session, SessionState::kWaiting);
    session->timer.cancel();
    ++m_requests;

    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
      request.headers.Add(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    request.remote_address = session->remote;
    WatchForDisconnect(session, session->request);
    m_handler.OnRequest(std::move(request), MakeResponder(session));
  }

  HttpResponder MakeResponder(const SessionPtr& session);

  /// Detects that the client closes the connection while its request awaits a response.
  void WatchForDisconnect(const SessionPtr& session, HttpRequestId request) {
    session->socket.async_wait(tcp::socket::wait_read, [this, session, request](error_code error) {
      if (session->state != SessionState::kWaiting || session->request != request ||
          error == asio::error::operation_aborted) {
        return;
      }
      const PeekResult peeked = http_internal::Peek(session->socket);
      if (error || peeked == PeekResult::kClosed) {
        Close(session);
      } else if (peeked == PeekResult::kNothing) {
        WatchForDisconnect(session, request);
      } else {
        CheckForDisconnect(session, request);
      }
    });
  }

  /// Looks for a close behind bytes that stay unread until the response, for which no event tells.
  void CheckForDisconnect(const SessionPtr& session, HttpRequestId request) {
    session->timer.expires_after(kDisconnectCheckPeriod);
    session->timer.async_wait([this, session, request](error_code error) {
      if (error || session->state != SessionState::kWaiting || session->request != request) {
        return;
      }
      if (http_internal::IsClosedByPeer(session->socket)) {
        Close(session);
      } else {
        CheckForDisconnect(session, request);
      }
    });
  }

  void Write(const SessionPtr& session, HttpResponse response) {
    if (session->state == SessionState::kWaiting) {
      error_code ignored;
      session->socket.cancel(ignored);
    }
    SetState(session, SessionState::kWriting);
    SetTimer(session, m_config.read_timeout);
    const bool keep_alive = session->keep_alive && !m_stopping && !m_keep_alive_disabled;
    if (!keep_alive) {
      ReleaseRequest(session);
    }
    const unsigned status =
        response.status >= 200 && response.status <= 599 ? response.status : 500;

    auto& message = session->response;
    message = {};
    message.version(session->version);
    message.result(status);
    message.set(http::field::server, "foxtailrudder");
    for (const auto& [name, value] : response.headers.fields()) {
      message.insert(name, value);
    }
    if (MayHaveBody(status)) {
      message.set(http::field::content_type, response.content_type);
      message.content_length(response.body.size());
      if (!session->head_request) {
        message.body() = std::move(response.body);
      }
    }
    message.keep_alive(keep_alive);
    http::async_write(session->socket, message,
                      [this, session, keep_alive](error_code error, std::size_t size) {
                        m_sent_bytes += size;
                        session->response = {};
                        if (session->state != SessionState::kWriting) {
                          return;
                        }
                        if (error) {
                          Close(session);
                        } else if (keep_alive) {
                          WaitForRequest(session);
                        } else {
                          Linger(session);
                        }
                      });
  }

  void Linger(const SessionPtr& session) {
    error_code error;
    session->socket.shutdown(tcp::socket::shutdown_send, error);
    SetState(session, SessionState::kLingering);
    SetTimer(session, kLingerTimeout);
    Discard(session);
  }

  void Discard(const SessionPtr& session) {
    session->socket.async_read_some(asio::buffer(m_discard_buffer),
                                    [this, session](error_code error, std::size_t /*size*/) {
                                      if (session->state != SessionState::kLingering) {
                                        return;
                                      }
                                      if (error) {
                                        Close(session);
                                      } else {
                                        Discard(session);
                                      }
                                    });
  }

  const HttpServerConfig m_config;
  HttpHandler& m_handler;
  const std::unique_ptr<asio::io_context> m_owned_io;
  asio::io_context& m_io;
  asio::executor_work_guard<asio::io_context::executor_type> m_work_guard;
  tcp::acceptor m_acceptor;
  asio::steady_timer m_accept_timer;
  std::string m_address;

  std::atomic<std::uint64_t> m_requests{0};
  std::atomic<std::uint64_t> m_open_connections{0};
  std::atomic<std::uint64_t> m_refused_connections{0};
  std::atomic<std::uint64_t> m_evicted_connections{0};
  std::atomic<std::uint64_t> m_refused_requests{0};
  std::atomic<std::uint64_t> m_evicted_requests{0};
  std::atomic<std::uint64_t> m_held_bytes{0};
  std::atomic<std::uint64_t> m_clients_disconnected{0};
  std::atomic<std::uint64_t> m_received_bytes{0};
  std::atomic<std::uint64_t> m_sent_bytes{0};

  // Accessed only on the I/O thread.
  /// By state, each in the order in which the sessions have entered it.
  std::array<SessionList, kSessionStateCount> m_sessions;
  std::size_t m_rejected_sessions = 0;
  HttpRequestId m_last_request = 0;
  bool m_stopping = false;
  bool m_closing_sessions = false;
  bool m_keep_alive_disabled = false;
  /// Receives the discarded bytes of all lingering sessions.
  std::array<char, kDiscardBufferBytes> m_discard_buffer{};

  std::mutex m_drained_mutex;
  std::condition_variable m_drained_condition;
  bool m_drained = false;

  std::thread m_thread;
};

class HttpResponder::State {
 public:
  State(HttpRequestId id, std::weak_ptr<HttpServer::Impl> server, std::weak_ptr<Session> session)
      : m_id(id), m_server(std::move(server)), m_session(std::move(session)) {}
  State(const State&) = delete;
  State& operator=(const State&) = delete;
  /// Ensures that the client gets a response if the handler drops the request.
  ~State() { Respond({.status = 500, .content_type = "text/plain", .body = {}, .headers = {}}); }

  HttpRequestId id() const { return m_id; }

  bool Respond(HttpResponse response) {
    if (m_responded.exchange(true)) {
      return false;
    }
    const auto server = m_server.lock();
    const auto session = m_session.lock();
    if (server && session) {
      server->Respond(session, m_id, std::move(response));
    }
    return true;
  }

 private:
  const HttpRequestId m_id;
  const std::weak_ptr<HttpServer::Impl> m_server;
  const std::weak_ptr<Session> m_session;
  std::atomic<bool> m_responded{false};
};

HttpResponder HttpServer::Impl::MakeResponder(const SessionPtr& session) {
  return HttpResponder(
      std::make_shared<HttpResponder::State>(session->request, weak_from_this(), session));
}

HttpRequestId HttpResponder::id() const { return m_state->id(); }

bool HttpResponder::Respond(HttpResponse response) const {
  return m_state->Respond(std::move(response));
}

HttpServer::HttpServer(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}
HttpServer::~HttpServer() { Stop(std::chrono::milliseconds(0)); }

std::variant<std::unique_ptr<HttpServer>, Error> HttpServer::Create(HttpServerConfig config,
                                                                    HttpHandler& handler) {
  auto impl = std::make_shared<Impl>(std::move(config), handler);
  if (auto error = impl->Start()) {
    return std::move(*error);
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

void HttpServer::DisableKeepAlive() { m_impl->DisableKeepAlive(); }
void HttpServer::BeginStop() { m_impl->BeginStop(); }
void HttpServer::Stop(std::chrono::milliseconds grace) { m_impl->Stop(grace); }
const std::string& HttpServer::address() const { return m_impl->address(); }
HttpServerCounters HttpServer::counters() const { return m_impl->counters(); }

}  // namespace foxtailrudder
