#pragma once

#include <tuple>

#include "model/model.h"

namespace foxtailrudder {

/// Orders ids by their fields, for use in maps. Their defaulted operator<=> is not used, because
/// clang-tidy 14 takes the literal 0 of the rewritten comparison for a null pointer and reports it
/// in the header of the id.
struct RefLess {
  bool operator()(const NodeRef& left, const NodeRef& right) const {
    return std::tie(left.id, left.incarnation) < std::tie(right.id, right.incarnation);
  }
  bool operator()(const SubmissionId& left, const SubmissionId& right) const {
    if (left.entry != right.entry) return (*this)(left.entry, right.entry);
    return left.request < right.request;
  }
  bool operator()(const JobKey& left, const JobKey& right) const {
    return std::tie(left.team, left.idempotency_key) < std::tie(right.team, right.idempotency_key);
  }
};

}  // namespace foxtailrudder
