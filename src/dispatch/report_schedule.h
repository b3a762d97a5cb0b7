#pragma once

#include <chrono>
#include <map>

#include "model/ids.h"
#include "model/time.h"
#include "policy/policy.h"

namespace foxtailrudder {

/// Decides when a sidecar reports to each entry: every report period to the entries that want
/// reports or have tasks here, every presence period to the others. This bounds the reports of a
/// sidecar by the entries that use it, and those of an entry by the workers that it uses.
class ReportSchedule {
 public:
  /// Presence reports vary in time, so that the sidecars do not all report to an entry at once.
  explicit ReportSchedule(Random random) : m_random(random) {}

  /// Handles whether an entry wants reports. Returns true if it has just begun to: a report is due
  /// at once, because the entry places no tasks here before it.
  bool SetWanted(NodeId entry, bool wanted);

  /// Returns true if a report to the entry is due, and counts it as sent. `has_work` tells whether
  /// the entry has tasks or unacknowledged task ends here.
  bool TakeDue(NodeId entry, bool has_work, Now now);

  /// Makes a report to each entry due.
  void MakeAllDue();

  /// Time within which the next report to the entry is sent.
  std::chrono::milliseconds PeriodOf(NodeId entry, Now now) const;

 private:
  struct EntryState {
    bool is_wanted = false;
    bool has_work = false;
    /// Until then the entry is treated as one that wants reports: a process that has just started
    /// or been discovered needs to be reached soon.
    SteadyTime new_until;
    SteadyTime last_sent_at;
    SteadyTime presence_due_at;
  };

  static bool IsFrequent(const EntryState& entry, Now now);

  Random m_random;
  std::map<NodeId, EntryState> m_entries;
};

}  // namespace foxtailrudder
