#include "coordination/internal/service_index.h"

namespace foxtailrudder {

bool ServiceIndex::HasEndpoint(const MemberTable& table, std::string_view service) {
  if (table.version() != m_version) {
    m_version = table.version();
    m_services.clear();
    for (const Member& member : table.row().members) {
      if (member.role != NodeRole::kSidecar || member.state != MemberState::kActive) continue;
      if (!member.service.empty()) m_services.insert(member.service);
    }
  }
  return m_services.contains(service);
}

}  // namespace foxtailrudder
