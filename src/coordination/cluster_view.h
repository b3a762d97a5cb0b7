#pragma once

#include "membership/membership.h"
#include "model/model.h"

namespace foxtailrudder {

/// The agreed cluster state at the time of an input, as passed to the coordination code.
struct ClusterView {
  NodeRef self;
  const MemberTable& table;
  const Placement& placement;
  const ControlRow& control;
  const Bundle& bundle;
};

}  // namespace foxtailrudder
