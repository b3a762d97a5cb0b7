#pragma once

#include <optional>
#include <string_view>

#include "coordination/cluster_view.h"
#include "model/model.h"

namespace foxtailrudder {

/// Checks that the team is configured and that its home region, if any, is `region`. Returns
/// nullopt if the team is accepted.
std::optional<Error> CheckTeam(std::string_view team, const Bundle& bundle,
                               std::string_view region);
/// Checks the job against the limits and the service configuration of the bundle. Returns nullopt
/// if the job is accepted.
std::optional<Error> CheckRequest(const JobSpec& job, const Bundle& bundle, Now now);

}  // namespace foxtailrudder
