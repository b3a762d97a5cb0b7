#pragma once

#include <optional>
#include <variant>

#include "model/model.h"

namespace foxtailrudder {

/// State of a zone; zones not named in the row are in.
ZoneState ZoneStateOf(const ControlRow& row, std::string_view zone);

/// Returns true if an operator has set the sidecar to drain.
bool IsDrainedByOperator(const ControlRow& row, NodeId sidecar);

/// Returns the change as applied if the row still records its id.
std::optional<ChangeApplied> FindApplied(const ControlRow& row, std::string_view change_id);

/// Returns the next version of the row with the change applied, or the error that prevents it.
std::variant<ControlRow, Error> ApplyChange(const ControlRow& row, const OperatorChange& change,
                                            WallTime now);

}  // namespace foxtailrudder
