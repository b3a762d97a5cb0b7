#pragma once

#include <deque>

#include "membership/member_table.h"

namespace foxtailrudder {

/// The most recent member tables, from which the deltas for sidecars are computed.
class TableHistory {
 public:
  void Add(MemberTable table);

  /// Returns null if the version is not available.
  const MemberTable* Find(Version version) const;

 private:
  /// A sidecar that misses heartbeats for a few seconds is at most this many versions behind; a
  /// sidecar further behind gets a full copy. At 2,100 members a table takes about 1 MB.
  static constexpr std::size_t kMaxTables = 8;

  std::deque<MemberTable> m_tables;
};

}  // namespace foxtailrudder
