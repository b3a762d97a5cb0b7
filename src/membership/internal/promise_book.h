#pragma once

#include <map>
#include <string>
#include <utility>

#include "model/model.h"

namespace foxtailrudder {

/// Records the promises given by this entry. A promise binds the entry to confirm no rows until it
/// has read the promised change.
class PromiseBook {
 public:
  /// Returns false if the promise is refused. Changes of the member row are refused while a change
  /// of the control row is promised, because the entries against which the latter's majority was
  /// counted must not change twice before it is written.
  bool Promise(const PromiseRequest& request, SteadyTime now);

  /// Handles a read sent at `sent_at` that showed this version of the row. A change that is missing
  /// from a read sent kPromisedWriteSettleTime after the promise will not be written. Without a
  /// read, a promise holds for as long as the store is unreachable.
  void OnRead(RowKind row, Version version, SteadyTime sent_at);

  bool empty() const { return m_promises.empty(); }

 private:
  struct Given {
    Version new_version = 0;
    SteadyTime at;
  };
  std::map<std::pair<RowKind, std::string>, Given> m_promises;
};

}  // namespace foxtailrudder
