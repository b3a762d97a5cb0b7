#pragma once

#include <set>
#include <string>

#include "membership/member_table.h"

namespace foxtailrudder {

/// Services with at least one active sidecar in the member table. Recomputed when the version of
/// the table changes.
class ServiceIndex {
 public:
  bool HasEndpoint(const MemberTable& table, std::string_view service);

 private:
  Version m_version = 0;
  std::set<std::string, std::less<>> m_services;
};

}  // namespace foxtailrudder
