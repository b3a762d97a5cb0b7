#pragma once

#include <map>
#include <optional>

#include "coordination/internal/ref_less.h"
#include "model/model.h"

namespace foxtailrudder {

/// Records submissions that were refused without a claim, so that a late duplicate of the message
/// does not run the job after its caller was told "not run". Entries are kept until the deadline of
/// the job, after which a duplicate is refused anyway.
class RefusalLog {
 public:
  void Add(const SubmissionId& submission, ErrorKind kind, WallTime deadline);
  std::optional<ErrorKind> Find(const SubmissionId& submission) const;
  void DropExpired(WallTime now);

 private:
  std::map<SubmissionId, ErrorKind, RefLess> m_kinds;
  std::multimap<WallTime, SubmissionId> m_deadlines;
};

}  // namespace foxtailrudder
