#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "model/error_kind.h"

namespace foxtailrudder::standins {

/// Faults to inject into the platform's store; can be changed while it runs.
struct PlatformFaults {
  /// Every request is answered with status 503 and has no effect.
  bool down = false;
  /// Delay before a request takes effect.
  std::uint32_t slow_ms = 0;
  /// Number of upcoming writes that take effect but are never answered.
  std::uint32_t lose_write_replies = 0;
  /// Probability that a request is answered with status 503 and has no effect.
  double error_rate = 0;
};

struct PlatformStats {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t refused = 0;
  std::uint64_t lost_replies = 0;
};

/// In-memory implementation of the platform's table service and object store (docs/platform.md).
class PlatformStandin {
 public:
  static std::variant<std::unique_ptr<PlatformStandin>, Error> Create(const std::string& address,
                                                                      std::uint64_t seed);
  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;
  ~PlatformStandin();

  const std::string& address() const;
  void SetFaults(const PlatformFaults& faults);
  PlatformStats stats() const;

 private:
  class Impl;
  explicit PlatformStandin(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder::standins
