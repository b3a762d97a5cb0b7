#include "dispatch/agreed_documents.h"

#include <algorithm>

#include "dispatch/document_text.h"

namespace foxtailrudder {

bool AgreedDocuments::Take(const StateDocument& document) {
  StateDocument& held = m_documents[document.name];
  if (held.version >= document.version) return false;
  held = document;
  CompressText(held);
  m_newest = std::max(m_newest, document.version);
  return true;
}

bool AgreedDocuments::Merge(const AgreedState& state) {
  bool changed = false;
  for (const StateDocument& document : state.documents) changed |= Take(document);
  return changed;
}

bool AgreedDocuments::MergeSnapshot(const AgreedState& state, Version version) {
  bool changed = Merge(state);
  for (auto& [name, held] : m_documents) {
    if (held.removed || held.version >= version) continue;
    const auto listed = [&name = name](const StateDocument& document) {
      return document.name == name;
    };
    if (std::ranges::any_of(state.documents, listed)) continue;
    held = {name, version, true, {}, false};
    m_newest = std::max(m_newest, version);
    changed = true;
  }
  return changed;
}

AgreedState AgreedDocuments::After(Version version) const {
  AgreedState state;
  for (const auto& [name, document] : m_documents) {
    if (document.version > version) state.documents.push_back(document);
  }
  return state;
}

const StateDocument* AgreedDocuments::Find(std::string_view name) const {
  const auto found = m_documents.find(name);
  if (found == m_documents.end() || found->second.removed) return nullptr;
  return &found->second;
}

}  // namespace foxtailrudder
