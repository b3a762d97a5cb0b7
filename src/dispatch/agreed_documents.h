#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "model/dispatch_messages.h"

namespace foxtailrudder {

/// This process's copy of the operators' documents; large ones are kept compressed. A document is
/// replaced only by a higher version, whichever process sends it, so a delayed copy never
/// overwrites a newer one.
class AgreedDocuments {
 public:
  /// Stores each document that is newer than the stored one. Returns whether any was.
  bool Merge(const AgreedState& state);

  /// Merges a complete list of the documents at a version: stored documents of a lower version that
  /// are missing from it are marked as removed.
  bool MergeSnapshot(const AgreedState& state, Version version);

  /// Highest version of any document; 0 if there is none.
  Version newest() const { return m_newest; }

  /// The documents above a version, removed ones included. A process that is complete up to that
  /// version and merges them is complete up to newest().
  AgreedState After(Version version) const;

  /// Returns null if the document is unknown or has been removed.
  const StateDocument* Find(std::string_view name) const;

  const std::map<std::string, StateDocument, std::less<>>& documents() const { return m_documents; }

 private:
  bool Take(const StateDocument& document);

  std::map<std::string, StateDocument, std::less<>> m_documents;
  Version m_newest = 0;
};

}  // namespace foxtailrudder
