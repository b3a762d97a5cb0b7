#pragma once

#include <string>
#include <variant>

#include "model/dispatch_messages.h"
#include "model/error_kind.h"

namespace foxtailrudder {

/// Compresses the text of a large document. Documents that are small or compressed already are left
/// as they are.
void CompressText(StateDocument& document);

/// Text of a document. Fails if the compressed text is damaged or expands beyond 16 MiB.
std::variant<std::string, Error> TextOf(const StateDocument& document);

}  // namespace foxtailrudder
