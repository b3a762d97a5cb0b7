#pragma once

#include <cstdint>

#include "model/ids.h"

namespace foxtailrudder {

/// Tells which incarnation of a peer is the present one. Incarnation numbers are times of day,
/// which may be set back, so they are only compared for equality.
///
/// This process numbers its connections when it sends its Hello on them, and a peer sends messages
/// on a connection only after it has received that Hello. An incarnation that sends a message on
/// connection n was therefore started before n was opened, and was alive after that. Of two
/// incarnations, the one whose messages arrive on the connection with the higher number is the
/// newer one, however long the messages of the other were held up.
class PeerLife {
 public:
  /// Whether a connection of the incarnation was opened before the present one had started.
  bool IsFormer(Incarnation incarnation, std::uint64_t connection_number) const {
    return incarnation != m_incarnation && connection_number < m_connection_number;
  }

  /// Handles a message of an incarnation that is not a former one. Returns whether it is the first
  /// message of a newer incarnation.
  bool OnMessage(Incarnation incarnation, std::uint64_t connection_number) {
    const bool is_newer = m_connection_number != 0 && incarnation != m_incarnation;
    m_incarnation = incarnation;
    if (is_newer || connection_number > m_connection_number) {
      m_connection_number = connection_number;
    }
    return is_newer;
  }

  /// The present incarnation; 0 before its first message.
  Incarnation incarnation() const { return m_incarnation; }

 private:
  Incarnation m_incarnation = 0;
  /// Highest number of a connection on which it has sent a message; 0 before the first one.
  std::uint64_t m_connection_number = 0;
};

}  // namespace foxtailrudder
