#pragma once

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace foxtailrudder::msm_phase {

/// Boost.MSM event type of one enumerator.
template <auto kEvent>
struct EventType {};

/// Boost.MSM state of one enumerator. Entering it sets `phase` of the machine.
template <auto kPhase>
struct StateType : boost::msm::front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event&, Machine& machine) {
    machine.phase = kPhase;
  }
};

/// Boost.MSM front end shared by the machines. Ignores events without a transition; the caller
/// counts them.
template <typename Derived, typename Phase>
struct Front : boost::msm::front::state_machine_def<Derived> {
  using no_exception_thrown = int;  // NOLINT(readability-identifier-naming): read by Boost.MSM
  Phase phase{};

  template <typename Event, typename Machine>
  void no_transition(const Event&, Machine&, int) {}
};

template <auto kFrom, auto kEvent, auto kTo>
using Row = boost::msm::front::Row<StateType<kFrom>, EventType<kEvent>, StateType<kTo>,
                                   boost::msm::front::none, boost::msm::front::none>;

template <auto kEvent, typename Machine>
bool ProcessEnumEvent(Machine& machine) {
  return machine.process_event(EventType<kEvent>{}) == boost::msm::back::HANDLED_TRUE;
}

}  // namespace foxtailrudder::msm_phase
