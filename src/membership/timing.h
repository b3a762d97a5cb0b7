#pragma once

#include <chrono>

namespace foxtailrudder {

/// Period of the sidecars' heartbeats, of an entry's store reads and of the status messages between
/// entries.
inline constexpr std::chrono::milliseconds kHeartbeatPeriod{500};

/// P: duration of a permit, counted from the sending of its heartbeat.
inline constexpr std::chrono::milliseconds kPermitDuration{1500};

/// F: maximum age of the last confirmation that an entry's rows are current, counted from the start
/// of the read or request, for the entry to grant permits.
inline constexpr std::chrono::milliseconds kFreshnessBound{1200};

/// Upper bound of the difference between the clock rates of two machines.
inline constexpr int kClockRateMarginPercent = 5;

/// Staleness bound: F + P plus the clock-rate margin. Once a version has been accepted, no process
/// acts on an older one after this time.
inline constexpr std::chrono::milliseconds kStalenessBound{(kFreshnessBound + kPermitDuration) *
                                                           (100 + kClockRateMarginPercent) / 100};

/// Required upper bound of the time from the acceptance of a zone take-out until it is in force.
inline constexpr std::chrono::milliseconds kInForceLimit{4000};
static_assert(kStalenessBound + kHeartbeatPeriod < kInForceLimit);

/// A conditional write is sent within this time of its first promise request, or not at all.
inline constexpr std::chrono::milliseconds kWriteWindow{1500};

/// Timeout of a store write in the store client.
inline constexpr std::chrono::milliseconds kStoreWriteTimeout{2000};

/// Time after a promise by which its write has either taken effect or never will. The write is sent
/// within kWriteWindow and times out after kStoreWriteTimeout; the remainder covers a store that
/// still executes a request after its client has timed out. Ends promises whose change does not
/// appear in reads, and the time for which a restarted entry, whose promises are lost, confirms
/// nothing.
inline constexpr std::chrono::milliseconds kPromisedWriteSettleTime{15'000};
static_assert((kWriteWindow + kStoreWriteTimeout) * (100 + kClockRateMarginPercent) / 100 +
                  std::chrono::seconds(10) <=
              kPromisedWriteSettleTime);

/// A member is removed from the row as lost if no entry has received a heartbeat or status from it
/// for this long.
inline constexpr std::chrono::milliseconds kMemberLossTimeout{3000};

}  // namespace foxtailrudder
