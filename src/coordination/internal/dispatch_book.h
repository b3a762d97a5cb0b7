#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "coordination/internal/claim.h"
#include "coordination/internal/ref_less.h"

namespace foxtailrudder {

struct OpenDispatch {
  ClaimId claim = 0;
  std::uint32_t index = 0;
};

/// Unanswered dispatches of this coordinator by executor incarnation. Assigns their sequence
/// numbers.
class DispatchBook {
 public:
  /// Returns the sequence number of the new dispatch.
  std::uint64_t Open(NodeRef executor, OpenDispatch dispatch);
  /// Null if the dispatch is not open (duplicate or late message, or another coordinator's sequence
  /// number).
  const OpenDispatch* Find(NodeRef executor, std::uint64_t sequence) const;
  /// Removes and returns the dispatch; nullopt if it is not open.
  std::optional<OpenDispatch> Close(NodeRef executor, std::uint64_t sequence);

  struct LocatedDispatch {
    NodeRef executor;
    std::uint64_t sequence = 0;
    OpenDispatch dispatch;
  };
  /// Open dispatches to any incarnation of the node.
  std::vector<LocatedDispatch> OpenAt(NodeId executor) const;
  std::vector<NodeRef> Executors() const;
  /// Removes an incarnation that no longer exists.
  void Forget(NodeRef executor) { m_channels.erase(executor); }

  std::size_t open() const { return m_open; }

 private:
  struct Channel {
    std::uint64_t last_sequence = 0;
    std::unordered_map<std::uint64_t, OpenDispatch> open;
  };
  std::map<NodeRef, Channel, RefLess> m_channels;
  std::size_t m_open = 0;
};

}  // namespace foxtailrudder
