#pragma once

#include <chrono>

namespace foxtailrudder {

/// Period of worker reports to an entry that wants them. Most tasks last 50 ms to a second; ends of
/// runs are told at once, so this bounds how long an entry counts on capacity that others have
/// used.
inline constexpr std::chrono::milliseconds kReportPeriod{100};

/// Period of worker reports to the other entries. They learn from them that the worker exists, and
/// about how much of it is free.
inline constexpr std::chrono::milliseconds kPresencePeriod{1'000};

/// A worker from which nothing was received for this long does not count towards the capacity of
/// the deployment: one missed presence report, and the time to replace a silent connection.
inline constexpr std::chrono::milliseconds kPresenceTimeout{2'600};

/// Duration of a permit. A permit is a sidecar's permission to run the tasks of an entry; each
/// report of the entry renews it, counted from when the sidecar sent the worker report that the
/// entry echoed. Shorter, by the time that a stop takes, than the 1.3 s after which a caller that
/// lost its entry resubmits.
inline constexpr std::chrono::milliseconds kEntryPermitDuration{800};

/// An entry places no tasks on a worker from which it has received nothing for this long: four
/// missed reports.
inline constexpr std::chrono::milliseconds kWorkerReportTimeout{450};

/// Longest run lease that a sidecar requests from its endpoint. The platform allows 1 s; the
/// difference covers clocks that differ by 2% and delayed calls.
inline constexpr std::chrono::milliseconds kMaxRunLease{900};

/// Allowance for an endpoint clock that runs up to 2% slow, and for the time that the endpoint
/// takes to end a run whose lease has expired.
inline constexpr std::chrono::milliseconds kLeaseMargin{120};

/// Time without contact after which all runs of a worker have ended: its sidecar stopped them when
/// the entry's permit expired, or it crashed earlier and the leases of the runs expired.
inline constexpr std::chrono::milliseconds kRunsEndedAfterSilence =
    kEntryPermitDuration + kMaxRunLease + kLeaseMargin;

/// A placement that a worker has not confirmed within this time is withdrawn. Covers several round
/// trips and a report period.
inline constexpr std::chrono::milliseconds kOrderConfirmationTimeout{400};

/// Grace period after the start of an entry, in which it waits for the first worker reports before
/// it refuses jobs for lack of workers.
inline constexpr std::chrono::milliseconds kStartupGracePeriod{2'000};

/// Time within which an entry that has started hears every sidecar and entry that is in contact
/// with others: a connection attempt that fails, the pause after it, and a round of reports.
inline constexpr std::chrono::milliseconds kContactTime{300};

/// The platform starts a process that was lost again after this time at the earliest.
inline constexpr std::chrono::milliseconds kRestartDelay{500};

/// After the start of an entry that hears no process which is older than it: by then the runs of
/// earlier incarnations have ended. Their sidecars were lost with the entry's own earlier
/// incarnation, or it would have heard them, and the leases of the runs have expired.
inline constexpr std::chrono::milliseconds kRunsEndedAfterTotalLoss =
    kMaxRunLease + kLeaseMargin - kRestartDelay;
static_assert(kRunsEndedAfterTotalLoss >= kContactTime);

/// Period in which an entry renews its claims to jobs. Most jobs end before the first renewal.
inline constexpr std::chrono::milliseconds kClaimRenewalPeriod{400};

/// Period in which an entry repeats claims that are undecided or held by another entry.
inline constexpr std::chrono::milliseconds kClaimRetryPeriod{100};

/// An entry relies on a grant for this long after it has sent the claim, then withdraws the tasks
/// of the job.
inline constexpr std::chrono::milliseconds kClaimValidity{1'200};

/// Time without a renewal after which a witness may grant the claim to a job to another entry. By
/// then the runs that the former holder has placed have ended: if the holder is gone, because of
/// its silence; if it has lost contact with the witnesses only, because it withdraws them, or
/// because its permit at a sidecar that no withdrawal reaches expires.
inline constexpr std::chrono::milliseconds kClaimLease{2'250};
static_assert(kClaimLease >= kClaimRenewalPeriod + kRunsEndedAfterSilence);
static_assert(kClaimLease >= kClaimValidity + kEntryPermitDuration + kLeaseMargin);

/// Time after which the claims that an earlier incarnation of a witness has granted need not be
/// known: their holders could not renew them here, and whatever happened to them while they relied
/// on the grants, their runs have ended.
inline constexpr std::chrono::milliseconds kForgottenClaimLease =
    kClaimValidity + kRunsEndedAfterSilence;

/// For this long after an entry was heard last, it counts among those that may hold claims: it may
/// have been lost just before its next report, and its runs end some time later.
inline constexpr std::chrono::milliseconds kHeardEntryRetention{2'500};
inline constexpr std::chrono::milliseconds kMaxEntryReportGap{600};
static_assert(kHeardEntryRetention >= kMaxEntryReportGap + kRunsEndedAfterSilence);

}  // namespace foxtailrudder
