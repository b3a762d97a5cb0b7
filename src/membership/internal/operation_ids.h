#pragma once

#include <cstdint>

namespace foxtailrudder {

/// Allocates ids for the store operations of this module. The top bit separates them from the ids
/// of the other modules of an entry, which receive the same results.
class OperationIds {
 public:
  std::uint64_t Take(std::uint64_t count = 1) {
    const std::uint64_t first = m_next;
    m_next += count;
    return first;
  }

 private:
  std::uint64_t m_next = (std::uint64_t{1} << 63) + 1;
};

}  // namespace foxtailrudder
