#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "http/server.h"

namespace foxtailrudder::standins {

/// Parses a JSON document; nullopt if it is malformed or not an object.
std::optional<boost::json::object> ParseObject(std::string_view text);

/// Value of the named member, or the fallback if the member is absent or of another type.
bool BoolOr(const boost::json::object& object, std::string_view name, bool fallback);
double NumberOr(const boost::json::object& object, std::string_view name, double fallback);

HttpResponse JsonResponse(const boost::json::value& body, unsigned status = 200);
HttpResponse EmptyResponse(unsigned status);

}  // namespace foxtailrudder::standins
