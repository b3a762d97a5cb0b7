#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "config/fault.h"
#include "model/outputs.h"
#include "model/rows.h"

namespace foxtailrudder {

// JSON encoding of the rows in the table service. Unknown members are ignored, so that a later
// release can add members while both releases run. A change of meaning needs a new format number.

std::string EncodeControlRow(const ControlRow& row);
std::variant<ControlRow, Faults> DecodeControlRow(std::string_view json);

std::string EncodeMembersRow(const MembersRow& row);
std::variant<MembersRow, Faults> DecodeMembersRow(std::string_view json);

std::string EncodeDurableClaim(const DurableClaim& claim);
std::variant<DurableClaim, Faults> DecodeDurableClaim(std::string_view json);

}  // namespace foxtailrudder
