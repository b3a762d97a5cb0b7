#include "dispatch/internal/endpoint_fit.h"

#include <algorithm>

namespace foxtailrudder {

bool Fits(const Resources& demand, const Resources& capacity) {
  return demand.cpu_millicores <= capacity.cpu_millicores &&
         demand.memory_mib <= capacity.memory_mib && demand.gpus <= capacity.gpus;
}

bool MeetsNeeds(const EndpointStatus& endpoint, const EndpointNeeds& needs) {
  if (!needs.service.empty() && needs.service != endpoint.service) return false;
  const bool has_label =
      needs.required_label.empty() ||
      std::ranges::find(endpoint.labels, needs.required_label) != endpoint.labels.end();
  return has_label && Fits(needs.demand, endpoint.capacity);
}

}  // namespace foxtailrudder
