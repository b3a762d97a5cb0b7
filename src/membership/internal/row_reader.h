#pragma once

#include <array>
#include <map>
#include <optional>

#include "model/model.h"

namespace foxtailrudder {

/// Tracks pending reads of the two rows and whether the store answers them.
class RowReader {
 public:
  /// Sends a read of each row.
  void SendRound(Version control_version, Version members_version, std::uint64_t first_operation,
                 SteadyTime now, Outbox& out);

  struct SentRead {
    RowKind row = RowKind::kControl;
    SteadyTime sent_at;
  };

  /// Returns nullopt if the read was not started here.
  std::optional<SentRead> OnResult(std::uint64_t operation, StoreStatus status);

  /// Returns true if the last read of each row succeeded and no read is overdue.
  bool IsStoreReachable(SteadyTime now) const;

  /// Returns true once this incarnation has read both rows.
  bool HasReadBoth() const { return m_last_success[0] && m_last_success[1]; }

  /// Send time of the older of the last successful reads of the two rows.
  std::optional<SteadyTime> ConfirmedAsOf() const;

 private:
  /// A read that takes longer counts as unanswered; the rest of F (kFreshnessBound) is needed to
  /// ask the peers.
  static constexpr std::chrono::milliseconds kReadTimeout{400};
  /// Reads without a result are discarded after this long.
  static constexpr std::chrono::seconds kPendingReadRetention{30};

  std::map<std::uint64_t, SentRead> m_pending;
  std::array<std::optional<SteadyTime>, 2> m_last_success;
  std::array<std::optional<SteadyTime>, 2> m_last_failure;
};

}  // namespace foxtailrudder
