#include "membership/placement.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)

namespace {

MembersRow RowOf(std::size_t sidecars, Version version = 1) {
  MembersRow row;
  row.version = version;
  for (std::size_t i = 0; i < sidecars; ++i) {
    Member member;
    member.name = "sidecar-" + std::to_string(i);
    member.id = NodeIdOf(member.name);
    member.incarnation = 1;
    member.zone = "zone-" + std::to_string(i % 3);
    member.rack = "rack-" + std::to_string(i % 12);
    member.service = "s";
    row.members.push_back(member);
  }
  return row;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(placement)

// Guards against an incremental update that differs from a placement created from the full table,
// which would give a shard two owners.
BOOST_AUTO_TEST_CASE(update_equals_create) {
  const MemberTable before = MemberTable::Create(RowOf(40));
  MembersRow row = RowOf(43, 2);
  row.members.erase(row.members.begin() + 3);
  row.members[5].state = MemberState::kDraining;
  const MemberTable after = MemberTable::Create(row);
  const Placement updated = Placement::Update(Placement::Create(before), before, after);
  const Placement created = Placement::Create(after);
  for (ShardId shard = 0; shard < kShardCount; ++shard) {
    BOOST_TEST(updated.OwnerOf(shard) == created.OwnerOf(shard));
  }
}

// Guards against shards without an owner and owners with far more than their share at design scale.
// The duration is measured by foxtailrudder_bench instead, because the verdict of a test must not
// depend on the load of the machine.
BOOST_AUTO_TEST_CASE(create_spreads_shards_at_design_scale) {
  constexpr std::size_t kSidecars = 2100;
  constexpr std::size_t kMostShards = 16;
  const MemberTable table = MemberTable::Create(RowOf(kSidecars));
  const Placement created = Placement::Create(table);
  std::map<NodeId, std::size_t> shards;
  for (ShardId shard = 0; shard < kShardCount; ++shard) {
    BOOST_REQUIRE(table.Find(created.OwnerOf(shard)) != nullptr);
    ++shards[created.OwnerOf(shard)];
  }
  for (const auto& [owner, count] : shards) BOOST_TEST(count <= kMostShards);
}

// Guards against a subset whose first executors are all in one zone or one rack.
BOOST_AUTO_TEST_CASE(subset_alternates_zones_and_racks) {
  const MemberTable table = MemberTable::Create(RowOf(200));
  const std::vector<NodeId> subset = Placement::ExecutorSubset(table, 7, "s");
  BOOST_TEST(subset.size() == kExecutorSubsetSize);
  std::set<std::string> zones;
  std::set<std::string> racks;
  for (std::size_t i = 0; i < 6; ++i) {
    if (i < 3) zones.insert(table.Find(subset[i])->zone);
    racks.insert(table.Find(subset[i])->rack);
  }
  BOOST_TEST(zones.size() == 3U);
  BOOST_TEST(racks.size() == 6U);
}

// Guards against a takeover that skips a sidecar displaced from the subset by later joins.
BOOST_AUTO_TEST_CASE(later_joins_do_not_hide_evidence) {
  MembersRow row = RowOf(100);
  const MemberTable before = MemberTable::Create(row);
  const WallTime since{std::chrono::hours(1)};
  MembersRow grown = RowOf(300, 2);
  for (std::size_t i = 100; i < 300; ++i)
    grown.members[i].joined_at = since + std::chrono::hours(1);
  const MemberTable after = MemberTable::Create(grown);
  const std::vector<NodeId> holders = Placement::EvidenceHolders(after, 9, since);
  for (const NodeId id : Placement::ExecutorSubset(before, 9, "s")) {
    BOOST_TEST((std::ranges::find(holders, id) != holders.end()));
  }
  BOOST_TEST(holders.size() < 200U);
}

// Guards against a sidecar whose table differs from its entry's after applying a delta.
BOOST_AUTO_TEST_CASE(difference_applies) {
  const MemberTable before = MemberTable::Create(RowOf(10));
  MembersRow row = RowOf(12, 5);
  row.members.erase(row.members.begin());
  row.tombstones.push_back({1, 2, NodeRole::kSidecar, "s", "z", "r", {}, {}});
  const MemberTable after = MemberTable::Create(row);
  const MembersDelta delta = MemberTable::Difference(before, after);
  BOOST_TEST((std::get<MemberTable>(MemberTable::Apply(before, delta)).row() == after.row()));
  BOOST_TEST((std::holds_alternative<Error>(MemberTable::Apply(after, delta))));
}

BOOST_AUTO_TEST_SUITE_END()
