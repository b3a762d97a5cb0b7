#include "policy/ejection.h"

#include <algorithm>

namespace foxtailrudder {
namespace {

// Weight of the newest outcome in the moving average; about the last 20 outcomes count.
constexpr double kSmoothingFactor = 0.05;

}  // namespace

void EjectionTracker::SetMembers(std::span<const NodeId> members,
                                 std::uint32_t max_ejected_percent) {
  m_max_percent = max_ejected_percent;
  std::map<NodeId, Record> kept;
  m_ejected = 0;
  for (const NodeId id : members) {
    const auto found = m_records.find(id);
    const Record record = found == m_records.end() ? Record{} : found->second;
    if (kept.emplace(id, record).second && record.state == State::kEjected) ++m_ejected;
  }
  m_records = std::move(kept);
}

void EjectionTracker::OnOutcome(NodeId id, bool failed, Now now) {
  const auto found = m_records.find(id);
  if (found == m_records.end()) return;
  Record& record = found->second;
  if (record.state == State::kEjected) {
    // Tasks that started before the ejection say nothing about the present state.
    if (now.steady < record.since) return;
    if (failed) {
      --m_ejected;
      Eject(record, now);
      return;
    }
    --m_ejected;
    record = {.state = State::kRamping, .ejection = record.ejection, .since = now.steady};
    return;
  }
  if (record.state == State::kRamping && now.steady >= record.since + m_ramp) {
    record.state = State::kHealthy;
  }
  record.consecutive_failures = failed ? record.consecutive_failures + 1 : 0;
  record.outcomes = std::min(record.outcomes + 1, kMinOutcomes);
  record.failure_rate += kSmoothingFactor * ((failed ? 1.0 : 0.0) - record.failure_rate);
  const bool high_failure_rate =
      record.outcomes >= kMinOutcomes && record.failure_rate >= kFailureRateThreshold;
  // After a long healthy period the next ejection starts at the base time again.
  if (record.state == State::kHealthy && record.outcomes >= kMinOutcomes && !high_failure_rate &&
      !failed) {
    record.ejection = std::chrono::milliseconds(0);
  }
  if ((record.consecutive_failures >= kConsecutiveFailureThreshold || high_failure_rate) &&
      MayEject()) {
    Eject(record, now);
  }
}

bool EjectionTracker::IsEjected(NodeId id, Now now) const {
  const auto found = m_records.find(id);
  if (found == m_records.end()) return false;
  return found->second.state == State::kEjected && now.steady < found->second.since;
}

double EjectionTracker::Weight(NodeId id, Now now) const {
  const auto found = m_records.find(id);
  if (found == m_records.end()) return 1.0;
  const Record& record = found->second;
  if (record.state == State::kHealthy) return 1.0;
  if (record.state == State::kEjected) return 0.0;
  if (m_ramp.count() <= 0) return 1.0;
  const std::chrono::duration<double> passed = now.steady - record.since;
  return std::clamp(passed / std::chrono::duration<double>(m_ramp), 0.0, 1.0);
}

void EjectionTracker::Eject(Record& record, Now now) {
  const auto next = std::clamp(record.ejection * 2, kBaseEjectionTime, kMaxEjectionTime);
  record = {.state = State::kEjected, .ejection = next, .since = now.steady + next};
  ++m_ejected;
  ++m_ejections;
}

bool EjectionTracker::MayEject() const {
  const std::uint64_t members = m_records.size();
  std::uint64_t limit = members * m_max_percent / 100;
  // 33 percent of three members would round down to zero.
  if (limit == 0 && m_max_percent > 0 && members >= 3) limit = 1;
  return m_ejected < limit;
}

}  // namespace foxtailrudder
