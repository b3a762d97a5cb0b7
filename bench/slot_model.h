#pragma once

#include <vector>

#include "bench/workload.h"

namespace foxtailrudder::bench {

/// Slots that start no task within [begin, end). Tasks already running at `begin` finish.
struct SlotOutage {
  std::uint32_t slots = 0;
  Milliseconds begin{0};
  Milliseconds end{0};
};

/// Upper reference for the completed work: the work of the jobs that an ideal
/// first-come-first-served dispatcher without any delay completes by `until`.
Milliseconds PossibleWork(const std::vector<JobArrival>& arrivals, std::uint32_t slots,
                          const SlotOutage& outage, Milliseconds until);

}  // namespace foxtailrudder::bench
