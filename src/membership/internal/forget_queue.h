#pragma once

#include <set>
#include <vector>

#include "membership/internal/entry_state.h"
#include "membership/internal/last_contact_times.h"

namespace foxtailrudder {

/// Operators' requests to forget entries, that is, to remove entries known to be permanently gone.
/// While a request is pending, its entry is not counted towards the majority for member row
/// changes.
class ForgetQueue {
 public:
  ForgetQueue(const EntryState* state, const LastContactTimes* contacts)
      : m_state(state), m_contacts(contacts) {}

  void Add(RequestId request, const std::string& change_id, const std::string& name,
           SteadyTime now);
  /// Answers requests that are complete, refused or timed out.
  void Tick(SteadyTime now, Outbox& out);

  /// Entries to be removed by accepted requests.
  std::set<NodeId> Forgotten() const;

 private:
  struct Item {
    RequestId request = 0;
    std::string change_id;
    std::string name;
    NodeId entry = 0;
    SteadyTime deadline;
    bool accepted = false;
  };

  /// Returns nullopt while the request is pending.
  std::optional<std::variant<ChangeApplied, Error>> Evaluate(Item& item, SteadyTime now) const;
  bool HasTombstone(NodeId entry) const;

  const EntryState* m_state;
  const LastContactTimes* m_contacts;
  std::vector<Item> m_items;
};

}  // namespace foxtailrudder
