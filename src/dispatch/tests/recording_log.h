#pragma once

#include <string>
#include <vector>

#include "model/decision_log.h"

namespace foxtailrudder {

/// Stores the names of the recorded events.
class RecordingLog : public DecisionLog {
 public:
  void Record(DecisionClass /*kind*/, std::string_view event, std::string_view /*job*/,
              std::initializer_list<LogField> /*fields*/) override {
    events.emplace_back(event);
  }

  std::vector<std::string> events;
};

}  // namespace foxtailrudder
