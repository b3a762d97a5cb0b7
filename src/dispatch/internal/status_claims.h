#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/worker_executor.h"

namespace foxtailrudder {

/// Status reports of incarnations that have not answered a call yet. Each is kept until its
/// incarnation has answered, another one has answered in its place, or the endpoint should have
/// repeated it.
class StatusClaims {
 public:
  /// Replaces an earlier report of the same incarnation.
  void Add(EndpointStatus status, Now now);

  /// Returns the endpoint ids to call now; each is returned again only after OnNoAnswer().
  std::vector<std::string> TakeDue(Now now);

  /// The call to this id got no answer, or one that does not tell the incarnation.
  void OnNoAnswer(const std::string& id, SteadyTime call_again_at);

  /// Removes and returns the report of the incarnation that has answered.
  std::optional<EndpointStatus> TakeConfirmed(const std::string& id,
                                              std::chrono::milliseconds born);

  /// Removes the reports under an id that were received before a call which another incarnation has
  /// answered. Returns how many there were.
  std::size_t Refute(const std::string& id, SteadyTime called_at);

  bool empty() const { return m_claims.empty(); }

 private:
  struct Claim {
    EndpointStatus status;
    SteadyTime received_at;
    SteadyTime expires_at;
    SteadyTime call_at;
  };

  std::vector<Claim> m_claims;
};

}  // namespace foxtailrudder
