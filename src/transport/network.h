#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "model/error_kind.h"
#include "model/ids.h"
#include "model/messages.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace foxtailrudder {

struct NetworkConfig {
  NodeRef self;
  std::string region;
  /// "127.0.0.1:7101"; port 0 takes any free port (see Network::listen_address).
  std::string listen_address;
  std::size_t max_connections = 4096;
  /// Limit of unsent bytes, applied to each peer and to the queue from the callers of Send to the
  /// I/O thread. A message that would exceed it is dropped and counted.
  std::size_t max_peer_queue_bytes = 64U << 20U;
  std::chrono::milliseconds hello_timeout{1000};
  std::chrono::milliseconds connect_timeout{1000};
  /// Delay before the next connection attempt after a failed one; doubled with each failure up to
  /// max_backoff, with jitter.
  std::chrono::milliseconds min_backoff{20};
  std::chrono::milliseconds max_backoff{500};
  /// Event loop that performs all I/O and runs the callbacks. It must outlive this object, whose
  /// methods may then be called only on the loop's thread. If null, the object starts its own I/O
  /// thread.
  boost::asio::io_context* loop = nullptr;
};

/// Callbacks of Network, called on the I/O thread. They must not block or call Network::Stop.
class NetworkHandler {
 public:
  virtual ~NetworkHandler() = default;

  virtual void OnEnvelope(Envelope envelope) = 0;
  /// The first connection to this incarnation of a peer was made, or another connection to it
  /// remains open after OnDisconnected.
  virtual void OnConnected(NodeRef peer) = 0;
  /// A connection to the peer was closed or could not be made, so messages sent to it may be lost.
  /// The incarnation is 0 if no Hello was received.
  virtual void OnDisconnected(NodeRef peer) = 0;
  /// A connection was refused at the connection limit, or closed because of a protocol error. For
  /// logging only.
  virtual void OnRefused(const std::string& remote_address, const Error& reason) {
    static_cast<void>(remote_address);
    static_cast<void>(reason);
  }
};

struct MessageTraffic {
  std::uint64_t messages = 0;
  /// Size of the frames, without the headers of TCP and IP.
  std::uint64_t bytes = 0;
};

/// Traffic by type of message, indexed like the alternatives of Message.
using TrafficByType = std::array<MessageTraffic, std::variant_size_v<Message>>;

struct NetworkCounters {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
  /// Messages dropped because the peer's queue was full, its address was unknown, a connection
  /// attempt failed or a connection was closed.
  std::uint64_t dropped_messages = 0;
  std::uint64_t connections_made = 0;
  std::uint64_t connections_accepted = 0;
  std::uint64_t connections_refused = 0;
  std::uint64_t connections_open = 0;
  std::uint64_t connect_failures = 0;
  std::uint64_t refused_hellos = 0;
  /// Connections closed because their peer had restarted since they were opened.
  std::uint64_t former_connections = 0;
  std::uint64_t malformed_frames = 0;
  /// Bytes that wait to be written, for all peers. Not a counter.
  std::uint64_t queued_bytes = 0;
  /// Messages passed to Send, dropped ones included.
  TrafficByType sent_by_type;
  TrafficByType received_by_type;
};

/// Manages the TCP connections to the other processes on an I/O thread.
///
/// Connections are made on demand and used in both directions. A message is written at most once;
/// unsent messages of a closed connection are dropped. After the first message of a new incarnation
/// of a peer, no message of an earlier one is delivered, whatever their incarnation numbers are.
/// Thread-safe, unless NetworkConfig::loop is set.
class Network {
 public:
  static std::variant<std::unique_ptr<Network>, Error> Create(NetworkConfig config,
                                                              NetworkHandler& handler);
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;
  ~Network();

  /// Sets the address of a node. Needed only for nodes that do not connect to this process.
  void SetAddress(NodeId node, std::string address);

  /// Encodes the message on the calling thread and queues it for the node in Envelope::to.
  void Send(const Envelope& envelope);

  /// Closes all connections to a peer that no longer responds on them, so that the next message
  /// opens a new one.
  void Disconnect(NodeId node);

  /// Closes all connections and ends the I/O thread. No callback runs after it returns.
  void Stop();

  /// The bound address with the actual port.
  const std::string& listen_address() const;

  NetworkCounters counters() const;

 private:
  class Impl;
  explicit Network(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
