#include "transport/network.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "transport/codec.h"
#include "transport/frame.h"
#include "transport/internal/peer_life.h"

namespace foxtailrudder {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using Frame = std::vector<std::uint8_t>;

/// Each connection has its own read buffer, and a sidecar may be connected to every other member of
/// its region. Larger frames are received in several reads.
constexpr std::size_t kReadBufferBytes = 4U << 10U;
/// A Hello contains only a region name and numbers.
constexpr std::size_t kMaxHelloBytes = 4096;
/// Maximum number of frames written with one system call.
constexpr std::size_t kMaxFramesPerWrite = 64;
/// A peer that disappears without a FIN is detected after idle + count * interval = 11 s.
constexpr int kKeepAliveIdleSeconds = 5;
constexpr int kKeepAliveIntervalSeconds = 2;
constexpr int kKeepAliveCount = 3;
constexpr int kTcpUserTimeoutMs = 10'000;

std::optional<tcp::endpoint> ParseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

std::string AddressText(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void SetSocketOptions(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int fd = socket.native_handle();
  const auto set = [fd](int option, int value) {
    ::setsockopt(fd, IPPROTO_TCP, option, &value, sizeof(value));
  };
  set(TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  set(TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  set(TCP_KEEPCNT, kKeepAliveCount);
  set(TCP_USER_TIMEOUT, kTcpUserTimeoutMs);
}

struct AtomicTraffic {
  std::atomic<std::uint64_t> messages{0};
  std::atomic<std::uint64_t> bytes{0};

  void Add(std::size_t size) {
    ++messages;
    bytes += size;
  }
};

using AtomicTrafficByType = std::array<AtomicTraffic, std::variant_size_v<Message>>;

TrafficByType ToTraffic(const AtomicTrafficByType& counted) {
  TrafficByType traffic;
  for (std::size_t i = 0; i < counted.size(); ++i) {
    traffic[i] = {counted[i].messages, counted[i].bytes};
  }
  return traffic;
}

struct AtomicCounters {
  std::atomic<std::uint64_t> sent_messages{0};
  std::atomic<std::uint64_t> sent_bytes{0};
  std::atomic<std::uint64_t> received_messages{0};
  std::atomic<std::uint64_t> received_bytes{0};
  std::atomic<std::uint64_t> dropped_messages{0};
  std::atomic<std::uint64_t> connections_made{0};
  std::atomic<std::uint64_t> connections_accepted{0};
  std::atomic<std::uint64_t> connections_refused{0};
  std::atomic<std::uint64_t> connections_open{0};
  std::atomic<std::uint64_t> connect_failures{0};
  std::atomic<std::uint64_t> refused_hellos{0};
  std::atomic<std::uint64_t> former_connections{0};
  std::atomic<std::uint64_t> malformed_frames{0};
  std::atomic<std::uint64_t> queued_bytes{0};
  AtomicTrafficByType sent_by_type;
  AtomicTrafficByType received_by_type;
};

struct Connection {
  explicit Connection(asio::io_context& io) : socket(io), timer(io) {}

  tcp::socket socket;
  /// Limits the time to connect, then the time until the peer's Hello is received.
  asio::steady_timer timer;
  std::string remote;
  /// Node that this process connects to; 0 for an accepted connection.
  NodeId dialled_node = 0;
  /// Increases with each Hello that this process sends; see PeerLife.
  std::uint64_t number = 0;
  std::optional<NodeRef> peer;
  FrameDecoder decoder{kMaxHelloBytes};
  std::vector<std::uint8_t> read_buffer = std::vector<std::uint8_t>(kReadBufferBytes);
  std::deque<Frame> unsent;
  /// Frames of the write that is in progress.
  std::vector<Frame> writing;
  std::size_t queued_bytes = 0;
  bool closed = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

struct Peer {
  std::string address;
  /// Messages queued until a connection is open.
  std::vector<Frame> waiting;
  std::size_t waiting_bytes = 0;
  /// Connections on which a Hello was received, newest last.
  std::vector<ConnectionPtr> connections;
  PeerLife life;
  bool dialling = false;
  std::chrono::milliseconds backoff{0};
  Clock::time_point next_attempt;
};

}  // namespace

class Network::Impl {
 public:
  Impl(NetworkConfig config, NetworkHandler& handler)
      : m_config(std::move(config)),
        m_handler(handler),
        m_owned_io(m_config.loop == nullptr ? std::make_unique<asio::io_context>(1) : nullptr),
        m_io(m_config.loop == nullptr ? *m_owned_io : *m_config.loop),
        m_work_guard(asio::make_work_guard(m_io)),
        m_acceptor(m_io),
        m_accept_timer(m_io) {}

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() { Stop(); }

  std::optional<Error> Start() {
    const auto endpoint = ParseAddress(m_config.listen_address);
    if (!endpoint) {
      return Error{ErrorKind::kMalformedRequest,
                   "listen address \"" + m_config.listen_address + "\" is not IP:PORT"};
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
      return Error{ErrorKind::kInternal,
                   "listen on " + m_config.listen_address + ": " + error.message()};
    }
    m_listen_address = AddressText(m_acceptor.local_endpoint(error));
    m_hello =
        std::get<Frame>(MakeFrame(EncodeHello({kProtocolVersion, m_config.self, m_config.region})));
    Accept();
    if (m_owned_io) {
      m_thread = std::thread([this] { m_io.run(); });
    }
    return std::nullopt;
  }

  void SetAddress(NodeId node, std::string address) {
    asio::post(m_io, [this, node, address = std::move(address)]() mutable {
      Peer& peer = m_peers[node];
      if (peer.address != address) {
        peer.address = std::move(address);
        peer.backoff = {};
        peer.next_attempt = {};
      }
    });
  }

  void Send(const Envelope& envelope) {
    auto frame = MakeFrame(Encode(envelope));
    if (std::holds_alternative<Error>(frame)) {
      ++m_counters.dropped_messages;
      return;
    }
    bool post = false;
    {
      const std::lock_guard lock(m_mutex);
      const std::size_t size = std::get<Frame>(frame).size();
      m_counters.sent_by_type[envelope.message.index()].Add(size);
      if (m_outgoing_bytes + size > m_config.max_peer_queue_bytes) {
        ++m_counters.dropped_messages;
        return;
      }
      m_outgoing_bytes += size;
      m_outgoing.emplace_back(envelope.to.id, std::move(std::get<Frame>(frame)));
      post = !std::exchange(m_routing_posted, true);
    }
    // The I/O thread is woken once for all messages that are queued before it runs.
    if (post) {
      asio::post(m_io, [this] { RouteOutgoing(); });
    }
  }

  void Disconnect(NodeId node) {
    asio::post(m_io, [this, node] {
      const auto connections = m_peers[node].connections;
      for (const ConnectionPtr& connection : connections) {
        Close(connection);
      }
    });
  }

  void Stop() {
    if (!m_owned_io) {
      CloseAll();
      return;
    }
    if (!m_thread.joinable()) {
      return;
    }
    asio::post(m_io, [this] { CloseAll(); });
    m_thread.join();
  }

  const std::string& listen_address() const { return m_listen_address; }

  NetworkCounters counters() const {
    return {m_counters.sent_messages,           m_counters.sent_bytes,
            m_counters.received_messages,       m_counters.received_bytes,
            m_counters.dropped_messages,        m_counters.connections_made,
            m_counters.connections_accepted,    m_counters.connections_refused,
            m_counters.connections_open,        m_counters.connect_failures,
            m_counters.refused_hellos,          m_counters.former_connections,
            m_counters.malformed_frames,        m_counters.queued_bytes,
            ToTraffic(m_counters.sent_by_type), ToTraffic(m_counters.received_by_type)};
  }

 private:
  void CloseAll() {
    m_stopping = true;
    error_code ignored;
    m_acceptor.close(ignored);
    m_accept_timer.cancel();
    for (const ConnectionPtr& connection : std::exchange(m_connections, {})) {
      CloseSocket(*connection);
    }
    for (auto& [timer, unused] : m_retry_timers) {
      timer->cancel();
    }
    m_work_guard.reset();
  }

  void Accept() {
    auto connection = std::make_shared<Connection>(m_io);
    m_acceptor.async_accept(connection->socket, [this, connection](error_code error) {
      if (m_stopping) {
        return;
      }
      if (error) {
        // For example, no file descriptors are left. The delay avoids a busy loop.
        m_accept_timer.expires_after(std::chrono::milliseconds(50));
        m_accept_timer.async_wait([this](error_code cancelled) {
          if (!cancelled) {
            Accept();
          }
        });
        return;
      }
      error_code ignored;
      connection->remote = AddressText(connection->socket.remote_endpoint(ignored));
      if (m_connections.size() >= m_config.max_connections) {
        ++m_counters.connections_refused;
        connection->socket.close(ignored);
        m_handler.OnRefused(connection->remote,
                            {ErrorKind::kQueueFull, "connection limit reached"});
      } else {
        ++m_counters.connections_accepted;
        StartHandshake(connection);
      }
      Accept();
    });
  }

  void RouteOutgoing() {
    std::vector<std::pair<NodeId, Frame>> outgoing;
    {
      const std::lock_guard lock(m_mutex);
      outgoing.swap(m_outgoing);
      m_outgoing_bytes = 0;
      m_routing_posted = false;
    }
    if (m_stopping) {
      m_counters.dropped_messages += outgoing.size();
      return;
    }
    for (auto& [node, frame] : outgoing) {
      Route(node, std::move(frame));
    }
  }

  void Route(NodeId node, Frame frame) {
    if (node == m_config.self.id) {
      auto envelope = Decode(std::span(frame).subspan(kFramePrefixBytes));
      if (auto* decoded = std::get_if<Envelope>(&envelope)) {
        m_handler.OnEnvelope(std::move(*decoded));
      }
      return;
    }
    Peer& peer = m_peers[node];
    if (!peer.connections.empty()) {
      Enqueue(peer.connections.back(), std::move(frame));
      return;
    }
    if (peer.address.empty() || peer.waiting_bytes + frame.size() > m_config.max_peer_queue_bytes) {
      ++m_counters.dropped_messages;
      return;
    }
    peer.waiting_bytes += frame.size();
    peer.waiting.push_back(std::move(frame));
    if (!peer.dialling) {
      peer.dialling = true;
      ScheduleDial(node, peer.next_attempt);
    }
  }

  void ScheduleDial(NodeId node, Clock::time_point when) {
    if (when <= Clock::now()) {
      Dial(node);
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_io, when);
    m_retry_timers.emplace(timer, node);
    timer->async_wait([this, timer, node](error_code error) {
      m_retry_timers.erase(timer);
      if (!error && !m_stopping) {
        Dial(node);
      }
    });
  }

  void Dial(NodeId node) {
    Peer& peer = m_peers[node];
    if (peer.waiting.empty()) {
      // The peer has connected to this process in the meantime.
      peer.dialling = false;
      return;
    }
    const auto endpoint = ParseAddress(peer.address);
    if (!endpoint || m_connections.size() >= m_config.max_connections) {
      ++m_counters.connections_refused;
      OnDialFailed(node);
      return;
    }
    auto connection = std::make_shared<Connection>(m_io);
    connection->dialled_node = node;
    connection->remote = peer.address;
    m_connections.push_back(connection);
    m_counters.connections_open = m_connections.size();
    connection->timer.expires_after(m_config.connect_timeout);
    connection->timer.async_wait([this, connection](error_code error) {
      if (!error) {
        Close(connection);
      }
    });
    connection->socket.async_connect(*endpoint, [this, connection](error_code error) {
      if (connection->closed) {
        return;
      }
      if (error) {
        Close(connection);
        return;
      }
      ++m_counters.connections_made;
      m_connections.erase(std::ranges::find(m_connections, connection));
      StartHandshake(connection);
    });
  }

  /// Starts the Hello exchange on a connected socket.
  void StartHandshake(const ConnectionPtr& connection) {
    m_connections.push_back(connection);
    m_counters.connections_open = m_connections.size();
    connection->number = ++m_last_connection_number;
    SetSocketOptions(connection->socket);
    connection->timer.expires_after(m_config.hello_timeout);
    connection->timer.async_wait([this, connection](error_code error) {
      if (!error && !connection->peer) {
        Refuse(connection, {ErrorKind::kProtocolMismatch, "no Hello received before the timeout"});
      }
    });
    connection->unsent.push_back(m_hello);
    connection->queued_bytes += m_hello.size();
    m_counters.queued_bytes += m_hello.size();
    Write(connection);
    Read(connection);
  }

  void Read(const ConnectionPtr& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->read_buffer),
        [this, connection](error_code error, std::size_t size) {
          if (connection->closed) {
            return;
          }
          if (error) {
            Close(connection);
            return;
          }
          m_counters.received_bytes += size;
          connection->decoder.Feed(std::span(connection->read_buffer).first(size));
          if (ProcessFrames(connection)) {
            Read(connection);
          }
        });
  }

  /// Returns false if the connection was closed.
  bool ProcessFrames(const ConnectionPtr& connection) {
    while (!connection->closed) {
      auto next = connection->decoder.Next();
      if (const auto* error = std::get_if<Error>(&next)) {
        ++m_counters.malformed_frames;
        Refuse(connection, *error);
        return false;
      }
      const auto& payload = std::get<0>(next);
      if (!payload) {
        return true;
      }
      if (connection->peer) {
        ProcessMessage(connection, *payload);
      } else {
        ProcessHello(connection, *payload);
      }
    }
    return false;
  }

  void ProcessMessage(const ConnectionPtr& connection, const Frame& payload) {
    auto decoded = Decode(payload);
    if (const auto* error = std::get_if<Error>(&decoded)) {
      ++m_counters.malformed_frames;
      Refuse(connection, *error);
      return;
    }
    auto& envelope = std::get<Envelope>(decoded);
    if (envelope.from != *connection->peer || envelope.to.id != m_config.self.id) {
      ++m_counters.malformed_frames;
      Refuse(connection, {ErrorKind::kMalformedFrame,
                          "message sender or receiver does not match the connection"});
      return;
    }
    ++m_counters.received_messages;
    m_counters.received_by_type[envelope.message.index()].Add(payload.size() + kFramePrefixBytes);
    Peer& peer = m_peers[envelope.from.id];
    if (peer.life.OnMessage(envelope.from.incarnation, connection->number)) {
      CloseFormerConnections(peer);
    }
    m_handler.OnEnvelope(std::move(envelope));
  }

  /// Closes the connections of the earlier incarnations of a peer. What they still deliver was sent
  /// before the present incarnation started.
  void CloseFormerConnections(const Peer& peer) {
    for (const ConnectionPtr& connection : std::vector<ConnectionPtr>(peer.connections)) {
      if (peer.life.IsFormer(connection->peer->incarnation, connection->number)) {
        RefuseFormer(connection, *connection->peer, peer);
      }
    }
  }

  void RefuseFormer(const ConnectionPtr& connection, NodeRef former, const Peer& peer) {
    ++m_counters.former_connections;
    Refuse(connection, {ErrorKind::kUnknownIncarnation,
                        "node " + std::to_string(former.id) + " has restarted: incarnation " +
                            std::to_string(former.incarnation) + " was followed by " +
                            std::to_string(peer.life.incarnation())});
  }

  void ProcessHello(const ConnectionPtr& connection, const Frame& payload) {
    const auto decoded = DecodeHello(payload);
    if (const auto* error = std::get_if<Error>(&decoded)) {
      ++m_counters.malformed_frames;
      Refuse(connection, *error);
      return;
    }
    const auto& hello = std::get<Hello>(decoded);
    std::string mismatch;
    if (hello.protocol_version != kProtocolVersion) {
      mismatch = "protocol version " + std::to_string(hello.protocol_version) + ", expected " +
                 std::to_string(kProtocolVersion);
    } else if (hello.region != m_config.region) {
      mismatch = "region \"" + hello.region + "\", expected \"" + m_config.region + "\"";
    } else if (hello.node.id == 0 || hello.node.id == m_config.self.id) {
      mismatch = "node id " + std::to_string(hello.node.id) + " is zero or this node's own";
    } else if (connection->dialled_node != 0 && connection->dialled_node != hello.node.id) {
      mismatch = "node id " + std::to_string(hello.node.id) + ", expected " +
                 std::to_string(connection->dialled_node);
    }
    if (!mismatch.empty()) {
      ++m_counters.refused_hellos;
      Refuse(connection, {ErrorKind::kProtocolMismatch, std::move(mismatch)});
      return;
    }
    Peer& peer = m_peers[hello.node.id];
    if (peer.life.IsFormer(hello.node.incarnation, connection->number)) {
      RefuseFormer(connection, hello.node, peer);
      return;
    }
    connection->timer.cancel();
    connection->decoder.set_max_frame_bytes(kMaxFrameBytes);
    connection->peer = hello.node;

    const bool known = std::ranges::any_of(
        peer.connections, [&](const ConnectionPtr& other) { return other->peer == hello.node; });
    peer.connections.push_back(connection);
    peer.backoff = {};
    peer.next_attempt = {};
    if (connection->dialled_node != 0) {
      peer.dialling = false;
    }
    peer.waiting_bytes = 0;
    for (Frame& frame : std::exchange(peer.waiting, {})) {
      Enqueue(connection, std::move(frame));
    }
    if (!known) {
      m_handler.OnConnected(hello.node);
    }
  }

  void Enqueue(const ConnectionPtr& connection, Frame frame) {
    if (connection->queued_bytes + frame.size() > m_config.max_peer_queue_bytes) {
      ++m_counters.dropped_messages;
      return;
    }
    connection->queued_bytes += frame.size();
    m_counters.queued_bytes += frame.size();
    connection->unsent.push_back(std::move(frame));
    if (!connection->writing.empty() || connection->unsent.size() > 1) {
      return;
    }
    // Posted, so that messages routed in the same handler are written with one system call.
    asio::post(m_io, [this, connection] { Write(connection); });
  }

  void Write(const ConnectionPtr& connection) {
    if (connection->closed || !connection->writing.empty() || connection->unsent.empty()) {
      return;
    }
    std::vector<asio::const_buffer> buffers;
    while (!connection->unsent.empty() && connection->writing.size() < kMaxFramesPerWrite) {
      connection->writing.push_back(std::move(connection->unsent.front()));
      connection->unsent.pop_front();
    }
    buffers.reserve(connection->writing.size());
    for (const Frame& frame : connection->writing) {
      buffers.emplace_back(asio::buffer(frame));
    }
    asio::async_write(connection->socket, buffers,
                      [this, connection](error_code error, std::size_t size) {
                        m_counters.sent_bytes += size;
                        if (connection->closed) {
                          return;
                        }
                        if (error) {
                          Close(connection);
                          return;
                        }
                        m_counters.sent_messages += connection->writing.size();
                        connection->queued_bytes -= size;
                        m_counters.queued_bytes -= size;
                        connection->writing.clear();
                        Write(connection);
                      });
  }

  void Refuse(const ConnectionPtr& connection, const Error& reason) {
    m_handler.OnRefused(connection->remote, reason);
    Close(connection);
  }

  static void CloseSocket(Connection& connection) {
    connection.closed = true;
    connection.timer.cancel();
    error_code ignored;
    connection.socket.close(ignored);
  }

  /// Closes a connection and reports to the handler that messages may be lost. Idempotent.
  void Close(const ConnectionPtr& connection) {
    if (connection->closed || m_stopping) {
      return;
    }
    CloseSocket(*connection);
    m_counters.queued_bytes -= connection->queued_bytes;
    std::erase(m_connections, connection);
    m_counters.connections_open = m_connections.size();
    if (!connection->peer) {
      if (connection->dialled_node != 0) {
        OnDialFailed(connection->dialled_node);
      }
      return;
    }
    m_counters.dropped_messages += connection->unsent.size() + connection->writing.size();
    const NodeRef node = *connection->peer;
    Peer& peer = m_peers[node.id];
    std::erase(peer.connections, connection);
    m_handler.OnDisconnected(node);
    if (std::ranges::any_of(peer.connections,
                            [&](const ConnectionPtr& other) { return other->peer == node; })) {
      m_handler.OnConnected(node);
    }
  }

  void OnDialFailed(NodeId node) {
    ++m_counters.connect_failures;
    Peer& peer = m_peers[node];
    peer.dialling = false;
    peer.backoff = std::clamp(peer.backoff * 2, m_config.min_backoff, m_config.max_backoff);
    // The delay is between half of the backoff and all of it.
    m_jitter_state = MixHash(m_jitter_state, m_config.self.id);
    const auto half = peer.backoff.count() / 2;
    const auto jitter =
        static_cast<std::int64_t>(m_jitter_state % static_cast<std::uint64_t>(half + 1));
    peer.next_attempt = Clock::now() + std::chrono::milliseconds(half + jitter);
    m_counters.dropped_messages += peer.waiting.size();
    peer.waiting.clear();
    peer.waiting_bytes = 0;
    if (peer.connections.empty()) {
      m_handler.OnDisconnected({node, 0});
    }
  }

  const NetworkConfig m_config;
  NetworkHandler& m_handler;
  const std::unique_ptr<asio::io_context> m_owned_io;
  asio::io_context& m_io;
  asio::executor_work_guard<asio::io_context::executor_type> m_work_guard;
  tcp::acceptor m_acceptor;
  asio::steady_timer m_accept_timer;
  std::string m_listen_address;
  Frame m_hello;
  AtomicCounters m_counters;

  std::mutex m_mutex;
  std::vector<std::pair<NodeId, Frame>> m_outgoing;
  std::size_t m_outgoing_bytes = 0;
  bool m_routing_posted = false;

  // Accessed only on the I/O thread.
  std::unordered_map<NodeId, Peer> m_peers;
  std::vector<ConnectionPtr> m_connections;
  std::uint64_t m_last_connection_number = 0;
  std::unordered_map<std::shared_ptr<asio::steady_timer>, NodeId> m_retry_timers;
  std::uint64_t m_jitter_state = 1;
  bool m_stopping = false;

  std::thread m_thread;
};

Network::Network(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}
Network::~Network() = default;

std::variant<std::unique_ptr<Network>, Error> Network::Create(NetworkConfig config,
                                                              NetworkHandler& handler) {
  auto impl = std::make_unique<Impl>(std::move(config), handler);
  if (auto error = impl->Start()) {
    return std::move(*error);
  }
  return std::unique_ptr<Network>(new Network(std::move(impl)));
}

void Network::SetAddress(NodeId node, std::string address) {
  m_impl->SetAddress(node, std::move(address));
}

void Network::Send(const Envelope& envelope) { m_impl->Send(envelope); }

void Network::Disconnect(NodeId node) { m_impl->Disconnect(node); }

void Network::Stop() { m_impl->Stop(); }

const std::string& Network::listen_address() const { return m_impl->listen_address(); }

NetworkCounters Network::counters() const { return m_impl->counters(); }

}  // namespace foxtailrudder
