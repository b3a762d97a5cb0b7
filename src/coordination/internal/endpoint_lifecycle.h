#pragma once

#include <optional>

#include "lifecycle/lifecycle.h"
#include "membership/sidecar_membership.h"
#include "model/model.h"

namespace foxtailrudder {

/// Lifecycle of the endpoint of one sidecar (statechart `endpoint`), and its slots.
class EndpointLifecycle {
 public:
  explicit EndpointLifecycle(Counters* counters);

  void SetEndpoint(std::optional<EndpointInfo> endpoint);
  void SetLeaving(bool leaving);
  void OnTaskStarted() { ++m_context.running; }
  void OnTaskEnded();

  /// Why no task of the service may start; nullopt if one may.
  std::optional<ErrorKind> RefusalFor(std::string_view service) const;

  EndpointState state() const { return m_state; }
  std::uint32_t running() const { return m_context.running; }
  /// Free slots as reported to coordinators: 0 unless the endpoint accepts new tasks.
  std::uint32_t free_slots() const;

 private:
  struct Context {
    bool announced = false;
    std::uint32_t running = 0;
  };
  using Machine = ChartMachine<EndpointState, EndpointEvent, Context>;

  static Machine CreateMachine();
  void Fire(EndpointEvent event);

  Machine m_machine;
  EndpointState m_state;
  Context m_context;
  EndpointInfo m_info;
  bool m_leaving = false;
  Counters* m_counters;
};

}  // namespace foxtailrudder
