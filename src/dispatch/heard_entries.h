#pragma once

#include <cstdint>
#include <map>

#include "model/ids.h"
#include "model/time.h"

namespace foxtailrudder {

/// Digest of one incarnation of an entry; the digest of several is the exclusive or of theirs.
std::uint64_t EntryDigest(NodeRef entry);

/// The incarnations of entries that were heard within kHeardEntryRetention, also those that are
/// silent or have been replaced since.
class HeardEntries {
 public:
  void OnHeard(NodeRef entry, Now now);

  bool Contains(NodeRef entry, Now now) const;
  /// The same at all processes that have heard the same incarnations.
  std::uint64_t Digest(Now now) const;

 private:
  std::map<NodeRef, SteadyTime> m_last_heard_at;
};

}  // namespace foxtailrudder
