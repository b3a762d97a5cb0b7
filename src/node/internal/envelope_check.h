#pragma once

#include "model/model.h"

namespace foxtailrudder {

/// Returns true if the envelope is addressed to this incarnation of this node. A message for
/// another incarnation is answered with WrongIncarnation; one for another node (after an address
/// was reused) is dropped. Both are counted.
bool IsAddressedTo(NodeRef self, const Envelope& envelope, Counters& counters, Outbox& out);

}  // namespace foxtailrudder
