#include "coordination/internal/endpoint_lifecycle.h"

namespace foxtailrudder {

EndpointLifecycle::Machine EndpointLifecycle::CreateMachine() {
  Machine::Bindings bindings;
  bindings.guards["is_announced"] = [](const Context& context) { return context.announced; };
  bindings.guards["has_running_tasks"] = [](const Context& context) { return context.running > 0; };
  return CreateBuiltInMachine<Machine>("endpoint", kEndpointStateNames, kEndpointEventNames,
                                       bindings);
}

EndpointLifecycle::EndpointLifecycle(Counters* counters)
    : m_machine(CreateMachine()), m_state(m_machine.initial()), m_counters(counters) {}

void EndpointLifecycle::Fire(EndpointEvent event) {
  if (!m_machine.Fire(m_state, event, m_context)) m_counters->Add(CounterId::kTransitionsIgnored);
}

void EndpointLifecycle::SetEndpoint(std::optional<EndpointInfo> endpoint) {
  const bool was_announced = m_context.announced;
  m_context.announced = endpoint.has_value();
  if (endpoint) m_info = std::move(*endpoint);
  if (m_context.announced) {
    Fire(EndpointEvent::kAnnounce);
  } else if (was_announced) {
    Fire(EndpointEvent::kLapse);
  }
}

void EndpointLifecycle::SetLeaving(bool leaving) {
  if (leaving == m_leaving) return;
  m_leaving = leaving;
  Fire(leaving ? EndpointEvent::kLeave : EndpointEvent::kStay);
}

void EndpointLifecycle::OnTaskEnded() {
  if (m_context.running > 0) --m_context.running;
  if (m_context.running == 0 && m_state == EndpointState::kLeaving) Fire(EndpointEvent::kIdle);
}

std::optional<ErrorKind> EndpointLifecycle::RefusalFor(std::string_view service) const {
  switch (m_state) {
    case EndpointState::kAbsent:
      return ErrorKind::kEndpointUnavailable;
    case EndpointState::kLeaving:
    case EndpointState::kDrained:
      return ErrorKind::kEndpointLeaving;
    case EndpointState::kAnnounced:
      break;
  }
  if (m_info.service != service) return ErrorKind::kEndpointUnavailable;
  return std::nullopt;
}

std::uint32_t EndpointLifecycle::free_slots() const {
  if (m_state != EndpointState::kAnnounced || m_info.slots <= m_context.running) return 0;
  return m_info.slots - m_context.running;
}

}  // namespace foxtailrudder
