#pragma once

#include <algorithm>
#include <string>
#include <utility>

#include "membership/entry_membership.h"
#include "membership/internal/bundle_copy.h"
#include "membership/internal/operation_ids.h"
#include "membership/internal/promise_book.h"
#include "membership/internal/row_copy.h"
#include "membership/internal/row_reader.h"
#include "membership/internal/table_history.h"

namespace foxtailrudder {

/// State shared by the components of an entry's membership: row copies, pending reads and promises.
struct EntryState {
  EntryMembershipConfig config;
  Counters* counters = nullptr;
  RowCopy<ControlRow> control;
  BundleCopy bundle;
  MemberTable table;
  Placement placement;
  TableHistory history;
  RowReader reader;
  PromiseBook promises;
  OperationIds operations;
  SteadyTime started_at;
  /// True if the first member row read by this incarnation lists a previous incarnation of this
  /// entry or has its tombstone. Otherwise no promise of a previous incarnation can have been
  /// counted.
  bool had_previous_incarnation = false;
  /// Numbers the promise rounds, so that a late reply is not counted in a later round.
  std::uint64_t promise_rounds = 0;

  NodeRef self() const { return {config.self.id, config.self.incarnation}; }

  std::string PromiseId(const std::string& change) {
    return change + "/" + std::to_string(config.self.id) + "/" +
           std::to_string(config.self.incarnation) + "/" + std::to_string(++promise_rounds);
  }

  /// Adopts a member row if it is newer; returns false otherwise.
  bool AdoptMembers(MembersRow row) {
    if (row.version <= table.version()) return false;
    if (table.version() == 0) had_previous_incarnation = ShowsPreviousIncarnation(row);
    MemberTable next = MemberTable::Create(std::move(row));
    placement = Placement::Update(placement, table, next);
    history.Add(std::exchange(table, std::move(next)));
    return true;
  }

  bool ShowsPreviousIncarnation(const MembersRow& row) const {
    const auto is_previous = [&](const auto& node) {
      return node.id == config.self.id && node.incarnation != config.self.incarnation;
    };
    return std::ranges::any_of(row.members, is_previous) ||
           std::ranges::any_of(row.tombstones, is_previous);
  }

  /// Returns true if a store read sent less than F (kFreshnessBound) ago showed the rows. Writes
  /// need this because they need promises of the entries that are listed now.
  bool IsMembersRowCurrent(SteadyTime now) const {
    const auto from = reader.ConfirmedAsOf();
    return from && now < *from + kFreshnessBound;
  }
};

}  // namespace foxtailrudder
