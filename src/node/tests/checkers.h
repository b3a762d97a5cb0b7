#pragma once

#include <string>
#include <vector>

#include "node/tests/history.h"

namespace foxtailrudder::testing {

/// One violated invariant, by its number in docs/design.md; 0 stands for liveness.
struct Violation {
  int invariant = 0;
  std::string detail;
};

/// Checks a history against every invariant and returns all violations.
std::vector<Violation> CheckHistory(const History& history);

/// Formats the violations as text, one per line.
std::string Describe(const std::vector<Violation>& violations);

}  // namespace foxtailrudder::testing
