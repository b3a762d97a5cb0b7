#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "model/time.h"

namespace foxtailrudder {

/// Tells which incarnation of the endpoint is the present one: the one that answers calls.
///
/// A status report proves nothing, because it may be delayed or come from another writer. Start
/// times are times of day, which may be set back, so they are only compared for equality. Whoever
/// answers a call was alive after the call was made: an answer to a call made after the present
/// incarnation's last answer comes from that incarnation or from a newer one.
class EndpointIdentity {
 public:
  enum class Answerer : std::uint8_t {
    kPresent,
    /// An incarnation that has replaced the present one, and is the present one from now on.
    kNewer,
    /// Another incarnation than the present one, which may be an earlier one. The answer to a call
    /// made from now on tells.
    kUnknown,
  };

  /// Handles the answer to a call that was addressed to an endpoint id, or to any endpoint if the
  /// id is empty. An endpoint does not answer calls that are addressed to another id.
  Answerer OnAnswer(const std::string& addressed_id, std::chrono::milliseconds born,
                    SteadyTime asked_at, Now now);

  /// Whether the present incarnation has answered to this id, and started at this time.
  bool IsPresent(const std::string& id, std::chrono::milliseconds born) const;

 private:
  struct Incarnation {
    /// Empty if it has only answered calls that were addressed to any endpoint.
    std::string id;
    std::chrono::milliseconds born{0};
  };

  std::optional<Incarnation> m_present;
  SteadyTime m_answered_at;
};

}  // namespace foxtailrudder
