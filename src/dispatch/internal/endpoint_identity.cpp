#include "dispatch/internal/endpoint_identity.h"

namespace foxtailrudder {

EndpointIdentity::Answerer EndpointIdentity::OnAnswer(const std::string& addressed_id,
                                                      std::chrono::milliseconds born,
                                                      SteadyTime asked_at, Now now) {
  const bool is_present =
      m_present && m_present->born == born &&
      (addressed_id.empty() || m_present->id.empty() || m_present->id == addressed_id);
  if (!is_present && m_present && asked_at < m_answered_at) return Answerer::kUnknown;
  m_answered_at = now.steady;
  if (!is_present) {
    m_present = {addressed_id, born};
    return Answerer::kNewer;
  }
  if (!addressed_id.empty()) m_present->id = addressed_id;
  return Answerer::kPresent;
}

bool EndpointIdentity::IsPresent(const std::string& id, std::chrono::milliseconds born) const {
  return m_present && m_present->id == id && m_present->born == born;
}

}  // namespace foxtailrudder
