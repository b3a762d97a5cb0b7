#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "lifecycle/chart.h"

namespace foxtailrudder {

/// State machine that interprets a chart and is shared by many objects, each of which stores only
/// its state. Guards and actions are bound by name on creation; a name without a binding is an
/// error.
template <typename State, typename Event, typename Context>
class ChartMachine {
 public:
  using Guard = bool (*)(const Context&);
  using Action = void (*)(Context&);

  struct Bindings {
    std::map<std::string, Guard, std::less<>> guards;
    std::map<std::string, Action, std::less<>> actions;
  };

  static std::variant<ChartMachine, std::vector<ChartError>> Create(const Chart& chart,
                                                                    const Bindings& bindings);

  State initial() const { return m_initial; }

  /// Takes the first enabled transition: changes `state`, then runs the action. Returns false and
  /// changes nothing if there is none; the caller then counts the event as ignored.
  bool Fire(State& state, Event event, Context& context) const {
    const auto& transitions = m_transitions[static_cast<std::size_t>(state) * m_event_count +
                                            static_cast<std::size_t>(event)];
    for (const Transition& transition : transitions) {
      if (transition.guard != nullptr && !transition.guard(context)) continue;
      state = transition.to;
      if (transition.action != nullptr) transition.action(context);
      return true;
    }
    return false;
  }

 private:
  struct Transition {
    State to;
    Guard guard = nullptr;
    Action action = nullptr;
  };

  State m_initial{};
  std::size_t m_event_count = 0;
  std::vector<std::vector<Transition>> m_transitions;
};

template <typename State, typename Event, typename Context>
std::variant<ChartMachine<State, Event, Context>, std::vector<ChartError>>
ChartMachine<State, Event, Context>::Create(const Chart& chart, const Bindings& bindings) {
  ChartMachine machine;
  std::vector<ChartError> errors;
  machine.m_initial = static_cast<State>(chart.initial());
  machine.m_event_count = chart.event_count();
  machine.m_transitions.resize(chart.state_count() * chart.event_count());

  const auto bind = [&](const auto& table, const std::string& name, const char* kind) {
    using Function = typename std::remove_cvref_t<decltype(table)>::mapped_type;
    if (name.empty()) return Function{nullptr};
    const auto found = table.find(name);
    if (found != table.end()) return found->second;
    std::string message = kind;
    message.append(" is not bound: ").append(name);
    errors.push_back({chart.name(), std::move(message)});
    return Function{nullptr};
  };

  for (std::size_t state = 0; state < chart.state_count(); ++state) {
    for (std::size_t event = 0; event < chart.event_count(); ++event) {
      auto& transitions = machine.m_transitions[state * chart.event_count() + event];
      for (const ChartTransition& transition :
           chart.Find(static_cast<std::uint8_t>(state), static_cast<std::uint8_t>(event))) {
        transitions.push_back({static_cast<State>(transition.to),
                               bind(bindings.guards, transition.guard, "guard"),
                               bind(bindings.actions, transition.action, "action")});
      }
    }
  }
  if (!errors.empty()) return errors;
  return machine;
}

}  // namespace foxtailrudder
