#include "dispatch/heard_entries.h"

#include "dispatch/timing.h"

namespace foxtailrudder {

std::uint64_t EntryDigest(NodeRef entry) { return MixHash(entry.id, entry.incarnation); }

void HeardEntries::OnHeard(NodeRef entry, Now now) {
  const auto [found, is_new] = m_last_heard_at.insert_or_assign(entry, now.steady);
  if (!is_new) return;
  std::erase_if(m_last_heard_at, [now](const auto& heard) {
    return now.steady - heard.second > kHeardEntryRetention;
  });
}

bool HeardEntries::Contains(NodeRef entry, Now now) const {
  const auto found = m_last_heard_at.find(entry);
  return found != m_last_heard_at.end() && now.steady - found->second <= kHeardEntryRetention;
}

std::uint64_t HeardEntries::Digest(Now now) const {
  std::uint64_t digest = 0;
  for (const auto& [entry, last_heard_at] : m_last_heard_at) {
    if (now.steady - last_heard_at <= kHeardEntryRetention) digest ^= EntryDigest(entry);
  }
  return digest;
}

}  // namespace foxtailrudder
