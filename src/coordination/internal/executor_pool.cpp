#include "coordination/internal/executor_pool.h"

#include <algorithm>
#include <cmath>

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

// With a lower probability of a free slot, too many dispatches would be refused.
constexpr double kMinFreeProbability = 0.95;
// Even a new report may be outdated by one message in flight.
constexpr double kMinDeviation = 0.05;
// Prevents a division by zero in the age of a report if tasks finish immediately.
constexpr std::chrono::duration<double> kMinOpenTime{0.001};
constexpr double kMovingAverageGain = 0.05;
// Pause after a refusal with kNoFreeSlot; doubles with each consecutive refusal.
constexpr milliseconds kNoFreeSlotBackoff{20};
constexpr milliseconds kMaxNoFreeSlotBackoff{320};
// Pause after a refusal whose reason does not end with the next finished task.
constexpr milliseconds kUnavailableBackoff{250};
// While no executor is estimated to have a free slot, one probe dispatch is sent after this delay,
// which doubles up to the maximum. Without probes, a coordinator whose executors are filled by
// other coordinators would get no slots.
constexpr milliseconds kProbeDelay{25};
constexpr milliseconds kMaxProbeDelay{400};

}  // namespace

ExecutorPool::ExecutorPool(ChoiceKind choice, bool spread, std::uint64_t seed)
    : m_spread(spread), m_most_likely_free_only(choice == ChoiceKind::kTwoChoices), m_random(seed) {
  switch (choice) {
    case ChoiceKind::kTwoChoices:
      m_choice = TwoChoices();
      break;
    case ChoiceKind::kLeastOutstanding:
      m_choice = LeastOutstanding();
      break;
    case ChoiceKind::kRoundRobin:
      m_choice = RoundRobin();
      break;
    case ChoiceKind::kRandom:
      m_choice = RandomChoice();
      break;
  }
}

void ExecutorPool::OnView(const ClusterView& view, Now now) {
  const Member* self = view.table.Find(view.self.id);
  decltype(m_members) members;
  for (const Member& listed : view.table.row().members) {
    if (listed.role != NodeRole::kSidecar) continue;
    const NodeRef ref{listed.id, listed.incarnation};
    auto known = m_members.find(ref);
    auto member =
        known != m_members.end() ? std::move(known->second) : std::make_unique<PoolMember>();
    member->ref = ref;
    member->service = listed.service;
    member->zone = listed.zone;
    member->rack = listed.rack;
    member->slots = listed.slots;
    member->is_self = listed.id == view.self.id;
    member->shares_zone = self != nullptr && self->zone == listed.zone;
    member->shares_rack = member->shares_zone && self->rack == listed.rack;
    member->available = listed.state == MemberState::kActive;
    member->zone_returned_at = {};
    for (const ZoneRecord& zone : view.control.zones) {
      if (zone.zone != listed.zone) continue;
      member->zone_returned_at = zone.returned_at;
      if (zone.state == ZoneState::kOut) member->available = false;
    }
    for (const DrainRecord& drain : view.control.drains) {
      if (drain.id == listed.id) member->available = false;
    }
    members.emplace(ref, std::move(member));
  }
  m_members = std::move(members);
  std::vector<NodeId> ids;
  ids.reserve(m_members.size());
  for (const auto& [ref, member] : m_members) ids.push_back(ref.id);
  m_ejection.SetMembers(ids, view.bundle.limits.max_ejected_percent);
  m_ejection.SetRamp(view.bundle.limits.return_ramp);
  Refresh(view, now);
}

void ExecutorPool::Refresh(const ClusterView& view, Now now) {
  for (auto& [ref, member] : m_members) {
    member->ejected = m_ejection.IsEjected(ref.id, now);
    member->weight = m_ejection.Weight(ref.id, now);
    member->weight *=
        ZoneRampWeight(member->zone_returned_at, view.bundle.limits.return_ramp, now.wall);
  }
}

PoolMember* ExecutorPool::Find(NodeRef ref) {
  const auto found = m_members.find(ref);
  return found == m_members.end() ? nullptr : found->second.get();
}

PoolMember* ExecutorPool::FindById(NodeId id) {
  const auto found = m_members.lower_bound({id, 0});
  if (found == m_members.end() || found->first.id != id) return nullptr;
  return found->second.get();
}

double ExecutorPool::EstimatedFree(const PoolMember& member, const ServiceLoad& load,
                                   Now now) const {
  const double max_free = member.slots - member.outstanding;
  if (!member.has_report) return max_free;
  const double expected = load.mean_free_share * member.slots;
  const double confidence = ReportConfidence(member, load, now);
  // Each finished task brings a report, so every task sent since the last one still occupies a
  // slot, however old the report is.
  const double estimate =
      confidence * member.reported_free + (1.0 - confidence) * expected - member.sent_since_report;
  return std::clamp(estimate, 0.0, max_free);
}

double ExecutorPool::ReportConfidence(const PoolMember& member, const ServiceLoad& load, Now now) {
  // The number of free slots loses its correlation with the reported one at the rate at which tasks
  // finish.
  const std::chrono::duration<double> age = now.steady - member.reported_at;
  return std::exp(-(age / std::max(load.mean_open_time, kMinOpenTime)));
}

double ExecutorPool::FreeProbability(const PoolMember& member, const ServiceLoad& load,
                                     double estimate, Now now) {
  const double confidence = member.has_report ? ReportConfidence(member, load, now) : 0.0;
  const double busy_share = 1.0 - load.mean_free_share;
  const double variance =
      member.slots * busy_share * load.mean_free_share * (1.0 - confidence * confidence);
  const double deviation = std::max(kMinDeviation, std::sqrt(variance));
  return 0.5 * std::erfc((0.5 - estimate) / (deviation * std::sqrt(2.0)));
}

void ExecutorPool::KeepMostLikelyFree() {
  const double best = *std::max_element(m_free_probabilities.begin(), m_free_probabilities.end());
  std::size_t kept = 0;
  for (std::size_t i = 0; i < m_candidates.size(); ++i) {
    if (m_free_probabilities[i] < best) continue;
    m_candidates[kept] = m_candidates[i];
    m_candidate_loads[kept] = m_candidate_loads[i];
    ++kept;
  }
  m_candidates.resize(kept);
  m_candidate_loads.resize(kept);
}

void ExecutorPool::AddOpenTime(PoolMember& member) {
  if (member.outstanding > 0) {
    member.open_time +=
        member.outstanding * std::chrono::duration<double>(m_now - member.open_time_updated_at);
  }
  member.open_time_updated_at = m_now;
}

ExecutorLoad ExecutorPool::LoadOf(const PoolMember& member, double estimated_free) const {
  const auto free = static_cast<std::uint32_t>(std::max(1.0, std::round(estimated_free)));
  // While an executor ramps up, its weight limits the dispatches of each coordinator, so only its
  // own dispatches count as load. If the slots used by others counted too, a busy executor would
  // never get its first task.
  if (member.weight < 1.0) {
    return {member.ref.id, member.slots, member.outstanding,
            member.zone,   member.rack,  member.weight};
  }
  return {member.ref.id, member.slots, member.slots - std::min(free, member.slots),
          member.zone,   member.rack,  member.weight};
}

bool ExecutorPool::CollectCandidates(const std::vector<PoolMember*>& members, Now now) {
  m_now = now.steady;
  m_candidates.clear();
  m_candidate_loads.clear();
  m_free_probabilities.clear();
  if (members.empty()) return false;
  ServiceLoad& load = m_loads[members.front()->service];
  // A coordinator uses its own executor only if no other is available: otherwise the loss of one
  // process would lose both the claim and the start record.
  const bool has_alternative = std::any_of(members.begin(), members.end(), [](const auto* member) {
    return !member->is_self && member->available;
  });
  const auto is_usable = [&](const PoolMember& member) {
    return member.available && !member.ejected && member.outstanding < member.slots &&
           member.backoff_until <= now.steady && !(member.is_self && has_alternative);
  };
  for (PoolMember* member : members) {
    if (!is_usable(*member)) continue;
    const double estimate = EstimatedFree(*member, load, now);
    const double probability = FreeProbability(*member, load, estimate, now);
    if (probability < kMinFreeProbability) continue;
    const ExecutorLoad member_load = LoadOf(*member, estimate);
    if (!HasFreeSlot(member_load)) continue;
    m_candidates.push_back(member);
    m_candidate_loads.push_back(member_load);
    m_free_probabilities.push_back(probability);
  }
  if (!m_candidates.empty()) {
    if (m_most_likely_free_only) KeepMostLikelyFree();
    return true;
  }

  if (now.steady < load.next_probe) return false;
  for (PoolMember* member : members) {
    if (!is_usable(*member)) continue;
    m_candidates.push_back(member);
    m_candidate_loads.push_back(LoadOf(*member, member->slots));
    const double estimate = EstimatedFree(*member, load, now);
    m_free_probabilities.push_back(FreeProbability(*member, load, estimate, now));
  }
  if (m_candidates.empty()) return false;
  if (m_most_likely_free_only) KeepMostLikelyFree();
  load.probe_delay = std::clamp(load.probe_delay * 2, kProbeDelay, kMaxProbeDelay);
  load.next_probe = now.steady + load.probe_delay;
  return true;
}

PoolMember* ExecutorPool::Choose() {
  const auto chosen = std::visit(
      [&](auto& choice) {
        return choice.Choose(std::span<const ExecutorLoad>(m_candidate_loads), m_random);
      },
      m_choice);
  return chosen ? m_candidates[*chosen] : nullptr;
}

std::vector<PoolMember*> ExecutorPool::ApplySpreadRule(std::vector<PoolMember*> members,
                                                       EntryPlace place) const {
  if (!m_spread || place == EntryPlace::kOtherZone) return members;
  const auto remove_if_alternative = [&](bool PoolMember::*shares) {
    const bool has_alternative = std::ranges::any_of(
        members, [&](const PoolMember* member) { return member->available && !(member->*shares); });
    if (!has_alternative) return false;
    std::erase_if(members, [&](const PoolMember* member) { return member->*shares; });
    return true;
  };
  if (remove_if_alternative(&PoolMember::shares_zone)) return members;
  if (place == EntryPlace::kSameRack) remove_if_alternative(&PoolMember::shares_rack);
  return members;
}

void ExecutorPool::OnSent(PoolMember& member) {
  AddOpenTime(member);
  ++member.outstanding;
  ++member.sent_since_report;
}

void ExecutorPool::RecordReport(PoolMember& member, std::uint32_t free_slots, Now now) {
  ServiceLoad& load = m_loads[member.service];
  const double share = member.slots == 0 ? 0.0 : static_cast<double>(free_slots) / member.slots;
  load.mean_free_share += kMovingAverageGain * (std::min(1.0, share) - load.mean_free_share);
  member.has_report = true;
  member.reported_free = free_slots;
  member.sent_since_report = 0;
  member.reported_at = now.steady;
}

void ExecutorPool::OnFinished(PoolMember& member, std::uint32_t free_slots, bool failed, Now now) {
  m_now = now.steady;
  OnClosed(member);
  RecordReport(member, free_slots, now);
  ServiceLoad& load = m_loads[member.service];
  // Little's law: the mean open time is the total open time per finished task.
  load.mean_open_time += kMovingAverageGain * (member.open_time - load.mean_open_time);
  member.open_time = {};
  member.consecutive_refusals = 0;
  member.backoff_until = {};
  load.probe_delay = milliseconds{0};
  m_ejection.OnOutcome(member.ref.id, failed, now);
}

void ExecutorPool::OnRefused(PoolMember& member, ErrorKind reason, std::uint32_t free_slots,
                             Now now) {
  OnClosed(member);
  // Slots that are free but unusable count as occupied: otherwise an executor that refuses every
  // dispatch would appear the most likely to have a free slot.
  RecordReport(member, reason == ErrorKind::kNoFreeSlot ? free_slots : 0, now);
  if (reason == ErrorKind::kStaleDispatch || reason == ErrorKind::kStartDeadlinePassed) return;
  const auto doublings = std::min<std::uint32_t>(member.consecutive_refusals++, 8);
  const milliseconds pause =
      reason == ErrorKind::kNoFreeSlot
          ? std::min(kNoFreeSlotBackoff * (1 << doublings), kMaxNoFreeSlotBackoff)
          : kUnavailableBackoff;
  member.backoff_until = now.steady + pause;
}

void ExecutorPool::OnClosed(PoolMember& member) {
  AddOpenTime(member);
  if (member.outstanding > 0) --member.outstanding;
}

}  // namespace foxtailrudder
