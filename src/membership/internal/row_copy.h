#pragma once

#include <utility>

#include "model/model.h"

namespace foxtailrudder {

/// A cached row. Its version never decreases, whatever the order in which reads complete.
template <typename Row>
class RowCopy {
 public:
  /// Adopts the row if it is newer; returns false otherwise.
  bool Adopt(Row row) {
    if (row.version <= m_row.version) return false;
    m_row = std::move(row);
    return true;
  }

  const Row& row() const { return m_row; }
  Version version() const { return m_row.version; }

 private:
  Row m_row;
};

}  // namespace foxtailrudder
