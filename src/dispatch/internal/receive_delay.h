#pragma once

#include <chrono>
#include <map>

#include "model/ids.h"
#include "model/time.h"

namespace foxtailrudder {

/// Estimates how long messages wait before this process handles them, in its link, its sockets or
/// for its processor. The send times are on the senders' clocks, so each delay is measured against
/// the smallest that the same sender has shown lately.
class ReceiveDelay {
 public:
  void OnMessage(NodeRef sender, SteadyTime sent_at, Now now);

  void Forget(NodeId sender) { m_senders.erase(sender); }

  /// Updates the estimate from the latest messages.
  void Refresh(Now now);

  /// Median over the senders: what delays a few of them, such as a cut that has healed, is not a
  /// queue here.
  std::chrono::milliseconds estimate() const { return m_estimate; }

 private:
  struct Sender {
    Incarnation incarnation = 0;
    /// The smallest differences between receipt and sending in this period and in the one before.
    SteadyTime::duration smallest{0};
    SteadyTime::duration smallest_before{0};
    SteadyTime period_end;
    /// Of the last message.
    SteadyTime::duration delay{0};
    SteadyTime received_at;
  };

  std::map<NodeId, Sender> m_senders;
  std::chrono::milliseconds m_estimate{0};
};

}  // namespace foxtailrudder
