#include "http/message.h"

#include <boost/beast/core/string.hpp>

namespace foxtailrudder {

const std::string* HttpHeaders::Find(std::string_view name) const {
  for (const auto& [field, value] : m_fields) {
    if (boost::beast::iequals({field.data(), field.size()}, {name.data(), name.size()})) {
      return &value;
    }
  }
  return nullptr;
}

}  // namespace foxtailrudder
