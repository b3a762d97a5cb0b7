#include "membership/internal/table_history.h"

#include <algorithm>
#include <utility>

namespace foxtailrudder {

void TableHistory::Add(MemberTable table) {
  if (table.version() == 0) return;
  m_tables.push_back(std::move(table));
  if (m_tables.size() > kMaxTables) m_tables.pop_front();
}

const MemberTable* TableHistory::Find(Version version) const {
  const auto found = std::ranges::find(m_tables, version, &MemberTable::version);
  return found == m_tables.end() ? nullptr : &*found;
}

}  // namespace foxtailrudder
