#pragma once

#include <chrono>
#include <optional>

#include "model/ids.h"
#include "model/time.h"
#include "policy/policy.h"

namespace foxtailrudder {

/// Range of the delay between the first sign that a peer holds newer documents and the request for
/// them. Processes draw from it at random, so that a change does not make all of them ask at once.
struct DocumentRequestDelay {
  std::chrono::milliseconds min{0};
  std::chrono::milliseconds max{0};
};

/// Decides when this process asks a peer for newer documents. Peers tell the newest version that
/// they hold with each report; documents are sent on request only, by one peer at a time.
class DocumentSync {
 public:
  explicit DocumentSync(Random random) : m_random(random) {}

  /// Handles a peer's newest version. Returns true if the caller has to request the documents after
  /// `own` from this peer now. `delay` applies from the first report of a version above `own`.
  bool OnPeerVersion(Version theirs, Version own, DocumentRequestDelay delay, Now now);

 private:
  Random m_random;
  /// When the next request is due; set while a peer is known to hold newer documents.
  std::optional<SteadyTime> m_request_at;
  /// Highest version that a peer has reported.
  Version m_newest_known = 0;
};

}  // namespace foxtailrudder
