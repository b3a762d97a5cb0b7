#include "coordination/internal/dispatch_book.h"

namespace foxtailrudder {

std::uint64_t DispatchBook::Open(NodeRef executor, OpenDispatch dispatch) {
  Channel& channel = m_channels[executor];
  channel.open.emplace(++channel.last_sequence, dispatch);
  ++m_open;
  return channel.last_sequence;
}

const OpenDispatch* DispatchBook::Find(NodeRef executor, std::uint64_t sequence) const {
  const auto channel = m_channels.find(executor);
  if (channel == m_channels.end()) return nullptr;
  const auto found = channel->second.open.find(sequence);
  return found == channel->second.open.end() ? nullptr : &found->second;
}

std::optional<OpenDispatch> DispatchBook::Close(NodeRef executor, std::uint64_t sequence) {
  const auto channel = m_channels.find(executor);
  if (channel == m_channels.end()) return std::nullopt;
  const auto found = channel->second.open.find(sequence);
  if (found == channel->second.open.end()) return std::nullopt;
  const OpenDispatch dispatch = found->second;
  channel->second.open.erase(found);
  --m_open;
  return dispatch;
}

std::vector<DispatchBook::LocatedDispatch> DispatchBook::OpenAt(NodeId executor) const {
  std::vector<LocatedDispatch> located;
  for (auto it = m_channels.lower_bound({executor, 0});
       it != m_channels.end() && it->first.id == executor; ++it) {
    for (const auto& [sequence, dispatch] : it->second.open) {
      located.push_back({it->first, sequence, dispatch});
    }
  }
  return located;
}

std::vector<NodeRef> DispatchBook::Executors() const {
  std::vector<NodeRef> executors;
  executors.reserve(m_channels.size());
  for (const auto& [executor, channel] : m_channels) executors.push_back(executor);
  return executors;
}

}  // namespace foxtailrudder
