#pragma once

#include <string_view>
#include <variant>

#include "membership/membership.h"
#include "model/model.h"

namespace foxtailrudder {

/// Body of an endpoint's POST to /v1/announce.
struct Announcement {
  EndpointInfo endpoint;
  /// The endpoint is leaving and must get no new tasks.
  bool leaving = false;
};

std::variant<Announcement, Error> ParseAnnouncement(std::string_view body);

}  // namespace foxtailrudder
