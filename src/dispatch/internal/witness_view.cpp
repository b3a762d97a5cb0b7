#include "dispatch/witness_view.h"

#include <algorithm>
#include <set>
#include <utility>

#include "dispatch/timing.h"

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kWitnesses = 3;

/// Without a list of a settled peer, an entry chooses witnesses when it has heard of no new sidecar
/// for this long. After a start of all processes, the entries find each other and the sidecars
/// report to all of them several times meanwhile.
constexpr milliseconds kQuietTime{300};

/// Time for which former witnesses count: the entries notice a change within a presence period and
/// tell each other within a round of reports.
constexpr milliseconds kFormerMembersTime{2'000};

/// Collects simultaneous changes into one.
constexpr milliseconds kRebuildPeriod{100};

WitnessSet ChooseWitnesses(const std::vector<WitnessInfo>& members, NodeId job) {
  std::vector<std::pair<std::uint64_t, const WitnessInfo*>> ranked;
  ranked.reserve(members.size());
  for (const WitnessInfo& member : members) {
    ranked.emplace_back(MixHash(job, member.sidecar), &member);
  }
  std::ranges::sort(ranked, std::greater<>());
  // One witness in each zone first, so that a zone can be lost.
  WitnessSet chosen;
  std::set<std::string_view> zones;
  for (const bool needs_new_zone : {true, false}) {
    for (auto& [score, member] : ranked) {
      if (chosen.sidecars.size() == kWitnesses) return chosen;
      if (member == nullptr || (needs_new_zone && !zones.insert(member->zone).second)) continue;
      chosen.sidecars.push_back(member->sidecar);
      member = nullptr;
    }
  }
  return chosen;
}

}  // namespace

void WitnessView::ExtendAfterPause(Now now) {
  const auto pause = m_pauses.OnInput(now);
  if (pause == SteadyTime::duration::zero()) return;
  for (auto& [id, sidecar] : m_own) sidecar.last_heard_at += pause;
}

bool WitnessView::OnSidecarHeard(NodeRef ref, const std::string& zone, Now now) {
  ExtendAfterPause(now);
  Sidecar& sidecar = m_own[ref.id];
  const bool is_new = sidecar.ref != ref;
  m_has_changed |= is_new || sidecar.zone != zone;
  sidecar = {ref, zone, now.steady};
  return is_new;
}

void WitnessView::OnPeerList(NodeId entry, std::vector<WitnessInfo> sidecars, std::uint64_t digest,
                             bool is_settled) {
  m_peers[entry] = {std::move(sidecars), digest};
  m_has_changed = true;
  m_knows_settled_peer |= is_settled;
}

void WitnessView::SetLiveEntries(const std::vector<NodeId>& entries) {
  const std::size_t removed = std::erase_if(m_peers, [&entries](const auto& peer) {
    return std::ranges::find(entries, peer.first) == entries.end();
  });
  m_has_changed |= removed > 0;
}

void WitnessView::Settle(Now now) {
  Rebuild(now);
  m_former.clear();
  m_settled = true;
}

void WitnessView::Tick(Now now) {
  ExtendAfterPause(now);
  const std::size_t lost = std::erase_if(m_own, [now](const auto& entry) {
    return now.steady - entry.second.last_heard_at > kPresenceTimeout;
  });
  if (m_own.empty() && lost > 0) {
    // What is heard next is only a part of the deployment at first.
    m_settled = false;
    m_knows_settled_peer = false;
    m_members.clear();
    m_peers.clear();
    m_own_list.clear();
    m_own_digest = 0;
    return;
  }
  if (!m_settled) {
    if (m_has_changed) Rebuild(now);
    const bool is_quiet = !m_members.empty() && now.steady - m_last_member_change_at >= kQuietTime;
    if (is_quiet || (!m_own.empty() && m_knows_settled_peer)) Settle(now);
    return;
  }
  while (!m_former.empty() && now.steady >= m_former.front().valid_until) m_former.pop_front();
  m_has_changed |= lost > 0;
  if (m_has_changed && now.steady >= m_next_rebuild) Rebuild(now);
}

void WitnessView::Rebuild(Now now) {
  m_has_changed = false;
  m_next_rebuild = now.steady + kRebuildPeriod;
  std::map<NodeId, std::string> merged;
  for (const auto& [id, peer] : m_peers) {
    for (const WitnessInfo& info : peer.sidecars) merged[info.sidecar] = info.zone;
  }
  m_own_list.clear();
  std::uint64_t digest = 0;
  for (const auto& [id, sidecar] : m_own) {
    merged[id] = sidecar.zone;
    m_own_list.push_back({id, sidecar.zone});
    digest ^= MixHash(id, NodeIdOf(sidecar.zone));
  }
  // 0 stands for no list.
  m_own_digest = std::max<std::uint64_t>(digest, 1);
  std::vector<WitnessInfo> members;
  members.reserve(merged.size());
  for (auto& [id, zone] : merged) members.push_back({id, std::move(zone)});
  if (members == m_members) return;
  m_last_member_change_at = now.steady;
  m_former.push_back(
      {std::exchange(m_members, std::move(members)), now.steady + kFormerMembersTime});
}

std::vector<WitnessSet> WitnessView::SetsFor(std::string_view job_id, Now now) const {
  std::vector<WitnessSet> sets;
  if (!m_settled) return sets;
  const NodeId job = NodeIdOf(job_id);
  if (!m_members.empty()) sets.push_back(ChooseWitnesses(m_members, job));
  for (const FormerMembers& former : m_former) {
    if (now.steady >= former.valid_until || former.members.empty()) continue;
    WitnessSet set = ChooseWitnesses(former.members, job);
    std::ranges::sort(set.sidecars);
    const bool is_known = std::ranges::any_of(sets, [&set](WitnessSet other) {
      std::ranges::sort(other.sidecars);
      return other == set;
    });
    if (!is_known) sets.push_back(std::move(set));
  }
  return sets;
}

std::optional<NodeRef> WitnessView::Find(NodeId sidecar) const {
  const auto found = m_own.find(sidecar);
  if (found == m_own.end()) return std::nullopt;
  return found->second.ref;
}

std::uint64_t WitnessView::DigestOfPeer(NodeId entry) const {
  const auto found = m_peers.find(entry);
  return found == m_peers.end() ? 0 : found->second.digest;
}

}  // namespace foxtailrudder
