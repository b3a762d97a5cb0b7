#include "membership/internal/promise_book.h"

#include <algorithm>

#include "membership/timing.h"

namespace foxtailrudder {

bool PromiseBook::Promise(const PromiseRequest& request, SteadyTime now) {
  const auto is_control = [](const auto& promise) {
    return promise.first.first == RowKind::kControl;
  };
  if (request.row == RowKind::kMembers && std::ranges::any_of(m_promises, is_control)) return false;
  Given& given = m_promises[{request.row, request.change_id}];
  given.new_version = std::max(given.new_version, request.new_version);
  given.at = now;
  return true;
}

void PromiseBook::OnRead(RowKind row, Version version, SteadyTime sent_at) {
  std::erase_if(m_promises, [&](const auto& promise) {
    if (promise.first.first != row) return false;
    // At new_version or later, the row contains either the promised change or the one that won the
    // conflict.
    const Given& given = promise.second;
    return version >= given.new_version || sent_at - given.at >= kPromisedWriteSettleTime;
  });
}

}  // namespace foxtailrudder
