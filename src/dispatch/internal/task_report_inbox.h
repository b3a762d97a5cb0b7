#pragma once

#include <cstdint>
#include <set>

namespace foxtailrudder {

/// Which task ends of one sidecar an entry has received. Ends may arrive with gaps, because a lost
/// one is sent again after later ones; only those without a gap before them are acknowledged.
class TaskReportInbox {
 public:
  /// Ends up to this sequence need not arrive: they were acknowledged before.
  void SkipTo(std::uint64_t acknowledged);

  /// Returns false if the end has been received before.
  bool Receive(std::uint64_t sequence);

  /// All ends up to this sequence have been received.
  std::uint64_t acknowledged() const { return m_acknowledged; }

 private:
  void Advance();

  std::uint64_t m_acknowledged = 0;
  /// Received ends after a gap.
  std::set<std::uint64_t> m_ahead;
};

}  // namespace foxtailrudder
