#pragma once

#include <map>
#include <string>

#include "membership/internal/operation_ids.h"
#include "model/model.h"

namespace foxtailrudder {

/// Caches the text of the accepted bundle, which the control row names by digest, and the texts of
/// proposals. Proposed texts are fetched before acceptance, because an entry without the accepted
/// text grants no permits and the object store may be unavailable by then.
class BundleCopy {
 public:
  /// Requests missing texts and discards those that the row no longer names.
  void Tick(const ControlRow& row, OperationIds& operations, SteadyTime now, Outbox& out);
  bool OnResult(const ObjectResult& result);

  /// Stores a text that was read or written elsewhere.
  void StoreText(const std::string& digest, std::string text) { m_texts[digest] = std::move(text); }
  bool HasText(const std::string& digest) const { return m_texts.contains(digest); }

  /// Text of the newest accepted bundle that has been read.
  const std::string& text() const { return m_text; }
  Version version() const { return m_version; }

 private:
  void Accept(const AcceptedBundle& accepted);
  /// Returns the digest to read next, or null.
  const std::string* FindMissing(const ControlRow& row) const;

  static constexpr std::chrono::milliseconds kRetryAfter{500};
  /// Only the newest proposals are prefetched; older ones are rarely accepted.
  static constexpr std::size_t kPrefetchedProposals = 4;

  std::map<std::string, std::string> m_texts;
  std::string m_text;
  Version m_version = 0;
  std::string m_requested;
  SteadyTime m_requested_at;
  std::uint64_t m_operation = 0;
};

}  // namespace foxtailrudder
