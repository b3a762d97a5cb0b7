#include "standins/json_support.h"

#include <boost/json.hpp>
#include <utility>

namespace foxtailrudder::standins {

namespace json = boost::json;

std::optional<json::object> ParseObject(std::string_view text) {
  boost::system::error_code error;
  json::value document = json::parse({text.data(), text.size()}, error);
  if (error || !document.is_object()) {
    return std::nullopt;
  }
  return std::move(document.get_object());
}

bool BoolOr(const json::object& object, std::string_view name, bool fallback) {
  const auto* value = object.if_contains({name.data(), name.size()});
  return value != nullptr && value->is_bool() ? value->get_bool() : fallback;
}

double NumberOr(const json::object& object, std::string_view name, double fallback) {
  const auto* value = object.if_contains({name.data(), name.size()});
  if (value == nullptr || !value->is_number()) {
    return fallback;
  }
  boost::system::error_code error;
  const auto number = value->to_number<double>(error);
  return error ? fallback : number;
}

HttpResponse JsonResponse(const json::value& body, unsigned status) {
  HttpResponse response;
  response.status = status;
  response.body = json::serialize(body);
  return response;
}

HttpResponse EmptyResponse(unsigned status) {
  HttpResponse response;
  response.status = status;
  return response;
}

}  // namespace foxtailrudder::standins
