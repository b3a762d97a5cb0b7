#pragma once

#include <string>

#include "dispatch/worker_executor.h"

namespace foxtailrudder {

/// Whether a task's demand fits into a capacity, or what is left of it.
bool Fits(const Resources& demand, const Resources& capacity);

/// What a task needs of the endpoint that runs it.
struct EndpointNeeds {
  /// Empty for any.
  std::string service;
  /// Empty for none.
  std::string required_label;
  Resources demand;
};

/// Whether the endpoint is of the kind that the task needs, and has enough capacity when nothing
/// else runs there.
bool MeetsNeeds(const EndpointStatus& endpoint, const EndpointNeeds& needs);

}  // namespace foxtailrudder
