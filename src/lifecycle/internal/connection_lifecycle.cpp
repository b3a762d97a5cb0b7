#include "lifecycle/connection_lifecycle.h"

#include "lifecycle/internal/msm_phase.h"

namespace foxtailrudder {
namespace {

struct Front : msm_phase::Front<Front, ConnectionPhase> {
  // Boost.MSM requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  using initial_state = msm_phase::StateType<ConnectionPhase::kConnecting>;
  using transition_table = boost::mpl::vector<
      msm_phase::Row<ConnectionPhase::kConnecting, ConnectionEvent::kConnected,
                     ConnectionPhase::kGreeting>,
      msm_phase::Row<ConnectionPhase::kGreeting, ConnectionEvent::kGreeted, ConnectionPhase::kOpen>,
      msm_phase::Row<ConnectionPhase::kConnecting, ConnectionEvent::kClose,
                     ConnectionPhase::kClosed>,
      msm_phase::Row<ConnectionPhase::kGreeting, ConnectionEvent::kClose, ConnectionPhase::kClosed>,
      msm_phase::Row<ConnectionPhase::kOpen, ConnectionEvent::kClose, ConnectionPhase::kClosing>,
      msm_phase::Row<ConnectionPhase::kClosing, ConnectionEvent::kFlushed,
                     ConnectionPhase::kClosed>,
      msm_phase::Row<ConnectionPhase::kConnecting, ConnectionEvent::kFailed,
                     ConnectionPhase::kClosed>,
      msm_phase::Row<ConnectionPhase::kGreeting, ConnectionEvent::kFailed,
                     ConnectionPhase::kClosed>,
      msm_phase::Row<ConnectionPhase::kOpen, ConnectionEvent::kFailed, ConnectionPhase::kClosed>,
      msm_phase::Row<ConnectionPhase::kClosing, ConnectionEvent::kFailed,
                     ConnectionPhase::kClosed>>;
  // NOLINTEND(readability-identifier-naming)
};

}  // namespace

class ConnectionLifecycle::Impl {
 public:
  boost::msm::back::state_machine<Front> machine;
};

ConnectionLifecycle::ConnectionLifecycle() : m_impl(std::make_unique<Impl>()) {
  m_impl->machine.start();
}
ConnectionLifecycle::ConnectionLifecycle(ConnectionLifecycle&&) noexcept = default;
ConnectionLifecycle& ConnectionLifecycle::operator=(ConnectionLifecycle&&) noexcept = default;
ConnectionLifecycle::~ConnectionLifecycle() = default;

bool ConnectionLifecycle::Fire(ConnectionEvent event) {
  switch (event) {
    case ConnectionEvent::kConnected:
      return msm_phase::ProcessEnumEvent<ConnectionEvent::kConnected>(m_impl->machine);
    case ConnectionEvent::kGreeted:
      return msm_phase::ProcessEnumEvent<ConnectionEvent::kGreeted>(m_impl->machine);
    case ConnectionEvent::kClose:
      return msm_phase::ProcessEnumEvent<ConnectionEvent::kClose>(m_impl->machine);
    case ConnectionEvent::kFlushed:
      return msm_phase::ProcessEnumEvent<ConnectionEvent::kFlushed>(m_impl->machine);
    case ConnectionEvent::kFailed:
      return msm_phase::ProcessEnumEvent<ConnectionEvent::kFailed>(m_impl->machine);
  }
  return false;
}

ConnectionPhase ConnectionLifecycle::phase() const { return m_impl->machine.phase; }

std::string_view ConnectionLifecycle::phase_name() const {
  switch (phase()) {
    case ConnectionPhase::kConnecting:
      return "connecting";
    case ConnectionPhase::kGreeting:
      return "greeting";
    case ConnectionPhase::kOpen:
      return "open";
    case ConnectionPhase::kClosing:
      return "closing";
    case ConnectionPhase::kClosed:
      return "closed";
  }
  return "unknown";
}

}  // namespace foxtailrudder
