#pragma once

#include <sstream>
#include <string>

namespace foxtailrudder::dispatch_test {

/// A configuration document with many routes, each with a host and path of its own, as after a
/// deployment has added its routes. 1,400 routes take about 260 KB.
inline std::string LargeConfiguration(unsigned routes) {
  std::ostringstream text;
  text << R"({"version":16,"routes":[)";
  for (unsigned i = 0; i < routes; ++i) {
    const unsigned number = i * 2'654'435'761U;
    text << (i > 0 ? "," : "") << R"({"name":"r)" << number << R"(","host":"h)" << number
         << R"(.example","path_prefix":"/p)" << number
         << R"(/","service":"show-entry-registry","max_attempts":3,"stretch":1.6,"priority":0,)"
         << R"("target_latency_ms":60,"timeout_ms":1500})";
  }
  text << R"(],"services":[{"name":"show-entry-registry"}],"limits":{}})";
  return text.str();
}

}  // namespace foxtailrudder::dispatch_test
