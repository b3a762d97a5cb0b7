#pragma once

#include <optional>

#include "dispatch/heard_entries.h"
#include "dispatch/pause_detector.h"
#include "dispatch/timing.h"
#include "model/messages.h"

namespace foxtailrudder {

/// What an entry knows of the incarnations of entries that may hold claims. Sidecars that have
/// started recently vote by it, since they have forgotten the claims that they granted before.
class ClaimantCensus {
 public:
  explicit ClaimantCensus(NodeRef self) : m_self(self) {}

  /// Called with each input, before the other functions.
  void OnInput(Now now);
  void OnEntryHeard(NodeRef entry, bool started_recently, Now now);
  void OnSidecarHeard(bool started_recently);

  /// Sets the members of a report that tell other processes about it.
  void AddTo(EntryReport& report, bool to_sidecar_that_started_recently, Now now) const;

  /// Before that time the runs of earlier incarnations may be left, and no claim is granted.
  SteadyTime claims_from(Now now) const;

 private:
  bool HasStartedRecently(Now now) const;
  /// This entry has started recently and hears no process that is older.
  bool FollowsTotalLoss(Now now) const;
  ClaimantKnowledge KnowledgeAt(Now now) const;

  const NodeRef m_self;
  HeardEntries m_entries;
  PauseDetector m_pauses;
  std::optional<SteadyTime> m_started_at;
  /// This entry may not have heard some that were lost before.
  SteadyTime m_complete_from;
  bool m_hears_older_process = false;
};

}  // namespace foxtailrudder
