#include "lifecycle/chart.h"

#include <boost/json.hpp>
#include <boost/system/error_code.hpp>
#include <set>

namespace foxtailrudder {
namespace {

namespace json = boost::json;

/// Reads members of a chart and collects every error with its path.
class ChartReader {
 public:
  void AddError(std::string path, std::string message) {
    m_errors.push_back({std::move(path), std::move(message)});
  }

  /// Returns the index of a name in the list, or adds an error and returns nullopt if it is
  /// unknown.
  std::optional<std::uint8_t> IndexOf(const std::string& name,
                                      std::span<const std::string_view> names,
                                      const std::string& path, const char* kind) {
    for (std::size_t i = 0; i < names.size(); ++i) {
      if (names[i] == name) return static_cast<std::uint8_t>(i);
    }
    AddError(path, std::string("unknown ") + kind + ": " + name);
    return std::nullopt;
  }

  std::optional<std::string> ReadString(const json::object& object, std::string_view member,
                                        const std::string& path, bool required) {
    const json::value* value = object.if_contains(member);
    if (value == nullptr) {
      if (required) AddError(path + "." + std::string(member), "missing");
      return std::nullopt;
    }
    const json::string* text = value->if_string();
    if (text == nullptr || text->empty()) {
      AddError(path + "." + std::string(member), "must be a non-empty string");
      return std::nullopt;
    }
    return std::string(text->data(), text->size());
  }

  const json::array* ReadArray(const json::object& object, std::string_view member) {
    const json::value* value = object.if_contains(member);
    const json::array* array = value != nullptr ? value->if_array() : nullptr;
    if (array == nullptr) AddError("$." + std::string(member), "must be an array");
    return array;
  }

  void RejectUnknownMembers(const json::object& object,
                            std::initializer_list<std::string_view> known,
                            const std::string& path) {
    for (const auto& member : object) {
      const std::string_view name(member.key().data(), member.key().size());
      if (std::find(known.begin(), known.end(), name) == known.end()) {
        AddError(path + "." + std::string(name), "unknown member");
      }
    }
  }

  std::vector<ChartError>& errors() { return m_errors; }

 private:
  std::vector<ChartError> m_errors;
};

std::string TransitionPath(std::size_t index) {
  return "$.transitions[" + std::to_string(index) + "]";
}

}  // namespace

std::span<const ChartTransition> Chart::Find(std::uint8_t state, std::uint8_t event) const {
  return m_transitions[state * m_event_count + event];
}

std::variant<Chart, std::vector<ChartError>> Chart::Parse(
    std::string_view json_text, std::span<const std::string_view> states,
    std::span<const std::string_view> events) {
  ChartReader reader;
  boost::system::error_code parse_error;
  const json::value document = json::parse(json_text, parse_error);
  const json::object* root = parse_error ? nullptr : document.if_object();
  if (root == nullptr) {
    reader.AddError("$", parse_error ? parse_error.message() : "must be an object");
    return std::move(reader.errors());
  }
  reader.RejectUnknownMembers(*root, {"name", "initial", "final", "transitions"}, "$");

  Chart chart;
  chart.m_event_count = events.size();
  chart.m_final.resize(states.size());
  chart.m_transitions.resize(states.size() * events.size());
  chart.m_name = reader.ReadString(*root, "name", "$", true).value_or("");
  std::optional<std::uint8_t> initial;
  if (const auto name = reader.ReadString(*root, "initial", "$", true)) {
    initial = reader.IndexOf(*name, states, "$.initial", "state");
  }
  chart.m_initial = initial.value_or(0);

  if (const json::array* finals = reader.ReadArray(*root, "final")) {
    for (std::size_t i = 0; i < finals->size(); ++i) {
      const std::string path = "$.final[" + std::to_string(i) + "]";
      const json::string* text = (*finals)[i].if_string();
      if (text == nullptr) {
        reader.AddError(path, "must be a string");
        continue;
      }
      const auto state =
          reader.IndexOf(std::string(text->data(), text->size()), states, path, "state");
      if (state) chart.m_final[*state] = true;
    }
  }

  std::vector<std::vector<std::uint8_t>> successors(states.size());
  std::vector<bool> event_used(events.size());
  const json::array* transitions = reader.ReadArray(*root, "transitions");
  for (std::size_t i = 0; transitions != nullptr && i < transitions->size(); ++i) {
    const std::string path = TransitionPath(i);
    const json::object* object = (*transitions)[i].if_object();
    if (object == nullptr) {
      reader.AddError(path, "must be an object");
      continue;
    }
    reader.RejectUnknownMembers(*object, {"from", "event", "to", "guard", "action"}, path);
    const auto read_index = [&](const char* member, auto names, const char* kind) {
      const auto name = reader.ReadString(*object, member, path, true);
      return name ? reader.IndexOf(*name, names, path + "." + member, kind) : std::nullopt;
    };
    const auto from = read_index("from", states, "state");
    const auto event = read_index("event", events, "event");
    const auto to = read_index("to", states, "state");
    ChartTransition transition;
    transition.guard = reader.ReadString(*object, "guard", path, false).value_or("");
    transition.action = reader.ReadString(*object, "action", path, false).value_or("");
    if (event) event_used[*event] = true;
    if (!from || !event || !to) continue;

    transition.to = *to;
    if (chart.m_final[*from]) reader.AddError(path + ".from", "transition out of a final state");
    auto& row = chart.m_transitions[*from * events.size() + *event];
    for (const ChartTransition& earlier : row) {
      if (earlier.guard.empty()) {
        reader.AddError(path, transition.guard.empty()
                                  ? "duplicate unguarded transition"
                                  : "never taken: an earlier transition has no guard");
        break;
      }
      if (earlier.guard == transition.guard) {
        reader.AddError(path + ".guard", "an earlier transition has the same guard");
        break;
      }
    }
    row.push_back(std::move(transition));
    successors[*from].push_back(*to);
  }

  for (std::size_t event = 0; event < events.size(); ++event) {
    if (!event_used[event]) {
      reader.AddError("$.transitions", "event is missing: " + std::string(events[event]));
    }
  }
  if (initial) {
    std::vector<bool> reached(states.size());
    std::vector<std::uint8_t> pending{*initial};
    reached[*initial] = true;
    while (!pending.empty()) {
      const std::uint8_t state = pending.back();
      pending.pop_back();
      for (const std::uint8_t next : successors[state]) {
        if (!reached[next]) pending.push_back(next);
        reached[next] = true;
      }
    }
    for (std::size_t state = 0; state < states.size(); ++state) {
      if (reached[state]) continue;
      reader.AddError("$.transitions",
                      "state is missing or unreachable: " + std::string(states[state]));
    }
  }
  if (!reader.errors().empty()) return std::move(reader.errors());
  return chart;
}

}  // namespace foxtailrudder
