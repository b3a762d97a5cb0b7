#include "membership/internal/forget_queue.h"

#include <algorithm>

namespace foxtailrudder {
namespace {

constexpr std::chrono::seconds kRequestTimeout{10};

}  // namespace

void ForgetQueue::Add(RequestId request, const std::string& change_id, const std::string& name,
                      SteadyTime now) {
  m_items.push_back({request, change_id, name, NodeIdOf(name), now + kRequestTimeout, false});
}

void ForgetQueue::Tick(SteadyTime now, Outbox& out) {
  std::erase_if(m_items, [&](Item& item) {
    auto outcome = Evaluate(item, now);
    if (outcome) out.Add(AnswerOperator{item.request, std::move(*outcome)});
    return outcome.has_value();
  });
}

std::optional<std::variant<ChangeApplied, Error>> ForgetQueue::Evaluate(Item& item,
                                                                        SteadyTime now) const {
  if (now >= item.deadline) {
    // A write in flight may still take effect.
    return Error{
        ErrorKind::kOutcomeUnknown,
        "timed out: no majority of the other entries promised, or the store did not answer; "
        "repeat the change"};
  }
  if (!m_state->reader.HasReadBoth()) return std::nullopt;
  const Member* listed = m_state->table.Find(item.entry);
  if (listed == nullptr) {
    if (item.accepted || HasTombstone(item.entry)) {
      return ChangeApplied{item.change_id, m_state->control.version(), 0};
    }
    return Error{ErrorKind::kNotFound, "no entry " + item.name + " is listed"};
  }
  if (listed->role != NodeRole::kEntry) {
    return Error{ErrorKind::kNotFound, item.name + " is not an entry"};
  }
  const NodeRef node{listed->id, listed->incarnation};
  const bool alive = node == m_state->self() || !m_contacts->IsSilent(node, kStalenessBound, now);
  if (alive) {
    return Error{ErrorKind::kVersionConflict, "entry " + item.name + " was heard within the last " +
                                                  std::to_string(kStalenessBound.count()) + " ms"};
  }
  item.accepted = true;
  return std::nullopt;
}

bool ForgetQueue::HasTombstone(NodeId entry) const {
  const auto& tombstones = m_state->table.row().tombstones;
  return std::ranges::find(tombstones, entry, &Tombstone::id) != tombstones.end();
}

std::set<NodeId> ForgetQueue::Forgotten() const {
  std::set<NodeId> entries;
  for (const Item& item : m_items) {
    if (item.accepted) entries.insert(item.entry);
  }
  return entries;
}

}  // namespace foxtailrudder
