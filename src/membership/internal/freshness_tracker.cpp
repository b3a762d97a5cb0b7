#include "membership/internal/freshness_tracker.h"

namespace foxtailrudder {
namespace {

/// Two requests fit into F (kFreshnessBound), so one lost reply does not end the freshness.
constexpr std::chrono::milliseconds kConfirmationInterval{400};

}  // namespace

void FreshnessTracker::Tick(SteadyTime now, Outbox& out) {
  if (m_state->config.outage_mode != OutageMode::kConfirmByQuorum) return;
  if (!m_state->reader.HasReadBoth() || m_state->reader.IsStoreReachable(now)) return;
  const auto asked_at = m_confirmation.AskedAt();
  if (asked_at && now - *asked_at < kConfirmationInterval) return;
  m_confirmation.Ask(m_state->table, m_state->control.version(), m_state->config.self.id,
                     MayConfirm(), now, out);
  if (m_state->counters != nullptr) m_state->counters->Add(CounterId::kConfirmationsAsked);
}

ConfirmReply FreshnessTracker::Answer(const ConfirmRequest& request) const {
  const bool current = request.control_version >= m_state->control.version() &&
                       request.members_version >= m_state->table.version();
  const bool confirmed = current && MayConfirm();
  if (confirmed && m_state->counters != nullptr) {
    m_state->counters->Add(CounterId::kConfirmationsGiven);
  }
  return {request.question, confirmed};
}

bool FreshnessTracker::MayConfirm() const {
  const auto read_as_of = m_state->reader.ConfirmedAsOf();
  if (!read_as_of || !m_state->promises.empty()) return false;
  return !m_state->had_previous_incarnation ||
         *read_as_of >= m_state->started_at + kPromisedWriteSettleTime;
}

bool FreshnessTracker::IsFresh(SteadyTime now) const {
  // The control row names a bundle whose text has not been read, so this entry would use an older
  // one.
  if (m_state->bundle.version() < m_state->control.row().bundle.bundle_version) return false;
  const auto read_as_of = m_state->reader.ConfirmedAsOf();
  if (!read_as_of) return false;
  if (now < *read_as_of + kFreshnessBound) return true;
  if (m_state->config.outage_mode == OutageMode::kUnchecked) {
    return !m_state->reader.IsStoreReachable(now);
  }
  const auto confirmed_as_of = m_confirmation.ConfirmedAsOf();
  return confirmed_as_of && now < *confirmed_as_of + kFreshnessBound;
}

}  // namespace foxtailrudder
