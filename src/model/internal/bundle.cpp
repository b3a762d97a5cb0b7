#include "model/bundle.h"

#include <algorithm>

namespace foxtailrudder {
namespace {

template <typename Config>
const Config* FindByName(const std::vector<Config>& configs, std::string_view name) {
  const auto found = std::find_if(configs.begin(), configs.end(),
                                  [&](const Config& config) { return config.name == name; });
  return found == configs.end() ? nullptr : &*found;
}

}  // namespace

const ServiceConfig* Bundle::FindService(std::string_view name) const {
  return FindByName(services, name);
}

const TeamConfig* Bundle::FindTeam(std::string_view name) const { return FindByName(teams, name); }

}  // namespace foxtailrudder
