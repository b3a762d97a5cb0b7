#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "model/dispatch_messages.h"
#include "model/time.h"

namespace foxtailrudder {

/// Task ends that one entry has not acknowledged. Each is sent once, and again only when it is
/// known to be missing: the traffic must not grow with the time that an acknowledgement takes.
class TaskReportOutbox {
 public:
  /// Adds an end; its sequence is assigned here.
  void Add(TaskReport report);

  /// Takes the entry's acknowledgement of all ends up to a sequence. The entry gave it when it had
  /// received what was sent here before `echoed`, so earlier ends that it does not cover are lost.
  void OnAcknowledged(std::uint64_t sequence, SteadyTime echoed);

  /// Makes all ends due: those sent on an earlier connection may be lost.
  void OnConnected();

  bool HasUnsent() const { return m_has_unsent; }

  /// Returns the ends to send and counts them as sent.
  std::vector<TaskReport> TakeUnsent(Now now);

  /// Whether an end of the order awaits its acknowledgement.
  bool Contains(OrderId order) const;

  bool empty() const { return m_ends.empty(); }
  /// All ends up to this sequence have been acknowledged.
  std::uint64_t acknowledged() const { return m_acknowledged; }

 private:
  struct UnacknowledgedEnd {
    TaskReport report;
    std::optional<SteadyTime> sent_at;
  };

  std::deque<UnacknowledgedEnd> m_ends;
  std::uint64_t m_last_sequence = 0;
  std::uint64_t m_acknowledged = 0;
  bool m_has_unsent = false;
};

}  // namespace foxtailrudder
