#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace foxtailrudder {

enum class ConnectionPhase : std::uint8_t { kConnecting, kGreeting, kOpen, kClosing, kClosed };

enum class ConnectionEvent : std::uint8_t {
  /// The TCP connection is established, and Hello has been sent.
  kConnected,
  /// A Hello of the same protocol version arrived.
  kGreeted,
  /// A graceful close began: queued messages are still written.
  kClose,
  /// All queued messages are written.
  kFlushed,
  /// The connect, the Hello exchange, a read or a write failed.
  kFailed,
};

/// Life cycle of one connection between two processes.
class ConnectionLifecycle {
 public:
  ConnectionLifecycle();
  ConnectionLifecycle(ConnectionLifecycle&&) noexcept;
  ConnectionLifecycle& operator=(ConnectionLifecycle&&) noexcept;
  ~ConnectionLifecycle();

  /// Returns false and changes nothing if the event is not accepted in the current phase.
  bool Fire(ConnectionEvent event);

  ConnectionPhase phase() const;
  /// Name of the phase in snake_case, for logs.
  std::string_view phase_name() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
