#pragma once

#include <array>
#include <atomic>
#include <cstdint>

#include "model/model.h"

namespace foxtailrudder {

/// Refusals made on the HTTP thread, before a request reaches the decision code and its counters.
/// Thread-safe.
class RefusalCounters {
 public:
  void Add(ErrorKind reason) {
    m_counts[static_cast<std::size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
  }
  std::uint64_t Get(ErrorKind reason) const {
    return m_counts[static_cast<std::size_t>(reason)].load(std::memory_order_relaxed);
  }

 private:
  std::array<std::atomic<std::uint64_t>, kErrorKindCount> m_counts{};
};

}  // namespace foxtailrudder
