#pragma once

#include "membership/membership.h"
#include "transport/transport.h"

namespace foxtailrudder {

/// Updates the network's address of each listed member when the member table changes.
class AddressBook {
 public:
  void Update(const MemberTable& table, Network& network) {
    if (table.version() == m_version) return;
    m_version = table.version();
    for (const Member& member : table.row().members) network.SetAddress(member.id, member.address);
  }

 private:
  Version m_version = 0;
};

}  // namespace foxtailrudder
