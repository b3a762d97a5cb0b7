#include "node/internal/envelope_check.h"

namespace foxtailrudder {

bool IsAddressedTo(NodeRef self, const Envelope& envelope, Counters& counters, Outbox& out) {
  if (envelope.to.id != self.id) {
    counters.Add(CounterId::kMessagesStale);
    return false;
  }
  if (envelope.to.incarnation == 0 || envelope.to.incarnation == self.incarnation) return true;

  counters.AddRefusal(ErrorKind::kUnknownIncarnation);
  if (!std::holds_alternative<WrongIncarnation>(envelope.message)) {
    out.Send(envelope.from, WrongIncarnation{envelope.to.incarnation});
  }
  return false;
}

}  // namespace foxtailrudder
