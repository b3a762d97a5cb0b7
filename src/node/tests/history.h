#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/model.h"

namespace foxtailrudder::testing {

/// A caller's request reached an entry.
struct SubmittedEvent {
  SteadyTime at;
  RequestId request = 0;
  JobSpec job;
  /// The entry was lost before it answered; the caller retries with a new request.
  bool connection_lost = false;
};

/// A task started on an endpoint.
struct StartedEvent {
  SteadyTime at;
  TaskRef task;
  std::string payload;
  std::string zone;
  NodeRef sidecar;
};

/// A caller was answered.
struct AnsweredEvent {
  SteadyTime at;
  RequestId request = 0;
  JobAnswer answer;
};

/// The store accepted a new state of a zone.
struct ZoneStateEvent {
  SteadyTime at;
  std::string zone;
  ZoneState state = ZoneState::kIn;
};

/// An endpoint asked to leave.
struct LeavingEvent {
  SteadyTime at;
  NodeId sidecar = 0;
};

/// The store accepted a bundle.
struct BundleEvent {
  SteadyTime at;
  Version bundle_version = 0;
};

/// The bundle version that a process used at a sampling time.
struct BundleSample {
  SteadyTime at;
  NodeRef node;
  Version bundle_version = 0;
  /// The sidecar held a valid decide permit, or the entry was fresh and could grant permits.
  bool acting = true;
  /// The process and the store have been free of network and store faults and freezes for longer
  /// than kInForceLimit.
  bool reachable = true;
};

/// Externally observable events of one run.
struct History {
  std::vector<SubmittedEvent> submitted;
  std::vector<StartedEvent> started;
  std::vector<AnsweredEvent> answered;
  std::vector<ZoneStateEvent> zones;
  std::vector<LeavingEvent> leaving;
  std::vector<BundleEvent> bundles;
  std::vector<BundleSample> bundle_samples;
  /// True if the run has planned stops and no faults, so that no answer may be lost.
  bool planned_stops_only = false;
  /// True if every fault ended before the end of the run, so that every request must be answered.
  bool all_faults_ended = true;
};

}  // namespace foxtailrudder::testing
