#pragma once

#include <chrono>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "model/model.h"

namespace foxtailrudder {

/// Batches durable claims of several submissions into store operations: inserts and releases
/// claims, and reads them back when the reply to an insert was lost.
class DurableClaimBatcher {
 public:
  /// A submission and its durable claim, as part of a store operation.
  struct Item {
    RequestId request = 0;
    DurableClaim claim;
  };
  enum class Kind : std::uint8_t { kInsert, kRead, kRelease };
  /// A store operation and the submissions it was sent for.
  struct Operation {
    Kind kind = Kind::kInsert;
    std::vector<RequestId> requests;
  };

  explicit DurableClaimBatcher(std::chrono::milliseconds period) : m_period(period) {}

  void Insert(Item item, Now now, Outbox& out);
  void ReadBack(Item item, Now now, Outbox& out);
  /// Deletes the stored row if it still contains exactly this claim.
  void Release(Item item, Now now, Outbox& out);

  /// Outputs the batched store operations if the batch period has passed.
  void Flush(Now now, Outbox& out);

  /// Removes and returns the pending operation; nullopt if this batcher did not start it.
  std::optional<Operation> Take(std::uint64_t operation);

 private:
  /// Outputs the operations of one kind; `add` appends an item to the message.
  template <typename Message, typename Add>
  void FlushKind(Kind kind, std::vector<Item>& items, Add add, Outbox& out);

  std::chrono::milliseconds m_period;
  std::vector<Item> m_inserts;
  std::vector<Item> m_reads;
  std::vector<Item> m_releases;
  SteadyTime m_next_flush{};
  std::uint64_t m_last_operation = 0;
  std::unordered_map<std::uint64_t, Operation> m_pending_operations;
};

}  // namespace foxtailrudder
