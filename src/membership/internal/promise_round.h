#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "membership/internal/promise_book.h"
#include "membership/member_table.h"
#include "membership/timing.h"

namespace foxtailrudder {

/// Collects the promises for one conditional write. The write needs a majority of the listed
/// entries.
class PromiseRound {
 public:
  /// Sends the request to every other listed entry and records this entry's own promise in `book`.
  void Start(const PromiseRequest& request, const MemberTable& table, NodeId self,
             PromiseBook& book, SteadyTime now, Outbox& out);
  /// Resends the request to entries that have not promised.
  void ResendPending(const MemberTable& table, SteadyTime now, Outbox& out);
  void OnReply(NodeRef from, const PromiseReply& reply, const MemberTable& table);
  void Stop() { m_request.reset(); }

  bool active() const { return m_request.has_value(); }
  /// True if a peer refused, because it knows a newer row or has promised a change of the other
  /// row, or if this entry itself refused.
  bool refused() const { return m_refused; }
  /// Returns true if a majority of the currently listed entries has promised and the write window
  /// is still open. Entries in `forgotten` are not counted.
  bool MayWrite(const MemberTable& table, SteadyTime now,
                const std::set<NodeId>& forgotten = {}) const;
  bool IsFor(Version version) const { return m_request && m_request->new_version == version; }
  bool IsExpired(SteadyTime now) const { return now - m_started_at > kWriteWindow; }

 private:
  bool HasPromised(NodeRef entry) const;

  static constexpr std::chrono::milliseconds kRepeatAfter{200};

  std::optional<PromiseRequest> m_request;
  NodeId m_self = 0;
  bool m_refused = false;
  SteadyTime m_started_at;
  SteadyTime m_asked_at;
  std::map<NodeId, Incarnation> m_promised;
};

}  // namespace foxtailrudder
