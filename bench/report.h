#pragma once

#include <boost/json.hpp>
#include <string>

#include "bench/scenario.h"

namespace foxtailrudder::bench {

boost::json::object ToJson(const ScenarioResult& result);
std::string ToTable(const ScenarioResult& result);

/// Writes DIR/NAME.json and, with gnuplot, DIR/NAME.svg: each job's response time over the ideal,
/// plotted by arrival time. Returns false if the JSON cannot be written or gnuplot not be started.
bool WriteResultFiles(const ScenarioResult& result, const std::string& directory,
                      const std::string& name);

}  // namespace foxtailrudder::bench
