#include "dispatch/document_sync.h"

#include <algorithm>

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

/// A request is repeated, to whichever peer reports next, if the documents have not arrived by
/// then. A large document takes about a second on a slow link.
constexpr milliseconds kRequestTimeout{1'500};

}  // namespace

bool DocumentSync::OnPeerVersion(Version theirs, Version own, DocumentRequestDelay delay, Now now) {
  m_newest_known = std::max(m_newest_known, theirs);
  if (own >= m_newest_known) m_request_at.reset();
  if (theirs <= own) return false;
  if (!m_request_at) {
    const double range = static_cast<double>((delay.max - delay.min).count());
    m_request_at =
        now.steady + delay.min + milliseconds(static_cast<std::int64_t>(m_random.Unit() * range));
  }
  if (now.steady < *m_request_at) return false;
  m_request_at = now.steady + kRequestTimeout;
  return true;
}

}  // namespace foxtailrudder
