#include "app/internal/announcement.h"

#include <algorithm>
#include <boost/json.hpp>

namespace foxtailrudder {
namespace {

namespace json = boost::json;

// Upper limit for both slots and connections of an endpoint.
constexpr std::int64_t kMaxEndpointSlots = 4096;

Error Fault(std::string_view key, std::string_view message) {
  return {ErrorKind::kMalformedRequest, "/" + std::string(key) + ": " + std::string(message)};
}

std::optional<Error> ReadString(const json::object& object, std::string_view key,
                                std::string& field) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string() || value->as_string().empty()) {
    return Fault(key, "must be a non-empty string");
  }
  field = std::string(value->as_string());
  return std::nullopt;
}

std::optional<Error> ReadCount(const json::object& object, std::string_view key,
                               std::uint32_t& field) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_int64() || value->as_int64() < 1 ||
      value->as_int64() > kMaxEndpointSlots) {
    return Fault(key, "must be a whole number from 1 to 4096");
  }
  field = static_cast<std::uint32_t>(value->as_int64());
  return std::nullopt;
}

std::optional<Error> CheckKeys(const json::object& object) {
  static constexpr std::string_view kKnown[] = {"service", "slots", "connections", "address",
                                                "worker",  "rack",  "leaving"};
  for (const auto& member : object) {
    const std::string_view key(member.key().data(), member.key().size());
    if (std::find(std::begin(kKnown), std::end(kKnown), key) == std::end(kKnown)) {
      return Fault(key, "unknown member");
    }
  }
  return std::nullopt;
}

}  // namespace

std::variant<Announcement, Error> ParseAnnouncement(std::string_view body) {
  json::error_code error;
  const json::value value = json::parse(json::string_view(body.data(), body.size()), error);
  if (error || !value.is_object()) {
    return Error{ErrorKind::kMalformedRequest, "the body must be a JSON object"};
  }
  const json::object& object = value.as_object();
  Announcement announcement;
  EndpointInfo& endpoint = announcement.endpoint;
  if (auto fault = CheckKeys(object)) return std::move(*fault);
  if (auto fault = ReadString(object, "service", endpoint.service)) return std::move(*fault);
  if (auto fault = ReadString(object, "address", endpoint.address)) return std::move(*fault);
  if (auto fault = ReadString(object, "worker", endpoint.worker)) return std::move(*fault);
  if (auto fault = ReadString(object, "rack", endpoint.rack)) return std::move(*fault);
  if (auto fault = ReadCount(object, "slots", endpoint.slots)) return std::move(*fault);
  if (auto fault = ReadCount(object, "connections", endpoint.connections)) return std::move(*fault);
  // Each running task needs its own connection, so the smaller number limits the slots.
  endpoint.slots = std::min(endpoint.slots, endpoint.connections);
  if (const json::value* leaving = object.if_contains("leaving")) {
    if (!leaving->is_bool()) return Fault("leaving", "must be true or false");
    announcement.leaving = leaving->as_bool();
  }
  return announcement;
}

}  // namespace foxtailrudder
