#pragma once

#include <chrono>
#include <cstdint>

#include "dispatch/worker_executor.h"
#include "model/time.h"

namespace foxtailrudder {

/// The fencing token of a sidecar's commands. An endpoint ignores commands with a lower token than
/// the highest it has seen, so a token has to exceed those of all earlier sidecars of the endpoint.
/// It starts at the time of day in milliseconds. The time that the endpoint's own clock shows
/// raises it where the time of day was set back, and each refusal raises it in growing steps until
/// it is accepted. See docs/decisions/0010.
class FencingToken {
 public:
  explicit FencingToken(WallTime started_at);

  /// Takes the endpoint's start time plus the time on its clock, if that is higher.
  void OnStatus(const EndpointStatus& status);

  /// Handles a command that was refused for its token. Returns whether the token was raised: the
  /// refusal of an earlier token says nothing about the present one.
  bool OnRefused(std::uint64_t token);

  std::uint64_t value() const { return m_value; }

 private:
  std::uint64_t m_value;
  std::uint64_t m_next_step;
};

}  // namespace foxtailrudder
