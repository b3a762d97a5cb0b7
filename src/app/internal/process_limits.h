#pragma once

#include <cstddef>
#include <string>

#include "config/dispatch_settings.h"
#include "http/server.h"

namespace foxtailrudder {

/// Memory and file descriptors that a process may use, and the parts of them that clients may take.
/// The rest is for the process itself and for its connections to other processes and to the store.
class ProcessLimits {
 public:
  /// Takes what the settings leave open from the machine.
  static ProcessLimits Create(const ClientSettings& settings);

  /// For a server of ordinary clients.
  HttpServerConfig ClientServer(const std::string& address, std::size_t max_body_bytes) const;
  /// For a server of pages, such as the readiness check, with few clients and no bodies.
  HttpServerConfig PageServer(const std::string& address) const;

  /// Memory for the jobs of all clients.
  std::size_t job_bytes() const;

 private:
  ProcessLimits(std::size_t memory_bytes, std::size_t descriptors, const ClientSettings& settings)
      : m_memory_bytes(memory_bytes), m_descriptors(descriptors), m_settings(settings) {}

  std::size_t sockets() const;
  std::size_t page_connections() const;
  std::size_t rejected_connections() const;
  std::size_t client_connections() const;

  std::size_t m_memory_bytes;
  std::size_t m_descriptors;
  ClientSettings m_settings;
};

}  // namespace foxtailrudder
