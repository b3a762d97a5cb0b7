#include "app/internal/process_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace foxtailrudder {
namespace {

constexpr std::size_t kMegabyte = 1U << 20U;

/// Each of the parts of the memory that clients may take. Two of them leave half of it to the
/// process.
constexpr std::size_t kMemoryPart = 4;
constexpr std::size_t kMaxMemoryPartBytes = 256 * kMegabyte;
constexpr std::size_t kMaxClientConnections = 4'096;

constexpr std::size_t kPageBodyBytes = 16U << 10U;
constexpr std::size_t kPageHeldBytes = 2 * kMegabyte;
constexpr std::size_t kPageRejectedConnections = 4;

std::size_t MachineMemoryBytes() {
  const auto pages = static_cast<std::size_t>(std::max(0L, ::sysconf(_SC_PHYS_PAGES)));
  std::size_t bytes = pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  rlimit limit{};
  if (::getrlimit(RLIMIT_AS, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    bytes = std::min<std::size_t>(bytes, limit.rlim_cur);
  }
  return bytes;
}

std::size_t MachineDescriptors() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return kMaxClientConnections;
  return static_cast<std::size_t>(limit.rlim_cur);
}

}  // namespace

ProcessLimits ProcessLimits::Create(const ClientSettings& settings) {
  return {
      settings.memory_limit_mb > 0 ? settings.memory_limit_mb * kMegabyte : MachineMemoryBytes(),
      settings.max_descriptors > 0 ? settings.max_descriptors : MachineDescriptors(), settings};
}

HttpServerConfig ProcessLimits::ClientServer(const std::string& address,
                                             std::size_t max_body_bytes) const {
  HttpServerConfig config;
  config.address = address;
  config.max_body_bytes = max_body_bytes;
  config.max_header_fields = m_settings.max_header_fields;
  config.max_held_bytes = std::min(m_memory_bytes / kMemoryPart, kMaxMemoryPartBytes);
  config.max_connections = client_connections();
  config.max_rejected_connections = rejected_connections();
  config.read_timeout = m_settings.slow_client_timeout;
  config.idle_timeout = m_settings.idle_client_timeout;
  return config;
}

HttpServerConfig ProcessLimits::PageServer(const std::string& address) const {
  HttpServerConfig config = ClientServer(address, kPageBodyBytes);
  config.max_held_bytes = std::min(config.max_held_bytes, kPageHeldBytes);
  config.max_connections = page_connections();
  config.max_rejected_connections = kPageRejectedConnections;
  return config;
}

std::size_t ProcessLimits::job_bytes() const {
  return std::min(m_memory_bytes / kMemoryPart, kMaxMemoryPartBytes);
}

/// Some descriptors are left for files.
std::size_t ProcessLimits::sockets() const {
  constexpr std::size_t kMaxFiles = 200;
  return m_descriptors - std::min(kMaxFiles, m_descriptors / 8);
}

std::size_t ProcessLimits::page_connections() const {
  return std::clamp<std::size_t>(sockets() / 16, 8, 32);
}

std::size_t ProcessLimits::rejected_connections() const {
  return std::clamp<std::size_t>(sockets() / 32, 2, 64);
}

/// An eighth is left for the connections to other processes and to the store.
std::size_t ProcessLimits::client_connections() const {
  const std::size_t others =
      sockets() / 8 + rejected_connections() + 2 * (page_connections() + kPageRejectedConnections);
  const std::size_t left = sockets() > others ? sockets() - others : 1;
  return std::min(left, kMaxClientConnections);
}

}  // namespace foxtailrudder
