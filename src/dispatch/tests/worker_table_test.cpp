#include "dispatch/internal/worker_table.h"

#include <boost/test/unit_test.hpp>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr NodeId kFirstEntry = 1;
constexpr std::uint32_t kEntries = 3;
constexpr NodeId kFirstWorker = 101;
constexpr std::uint32_t kWorkers = 6;
constexpr std::uint32_t kCapacity = 64'000;

const Now kNow{SteadyTime(std::chrono::seconds(100)), WallTime(std::chrono::seconds(100))};

/// Returns the table of one of three entries that share six workers.
WorkerTable TableOf(NodeId entry) {
  WorkerTable table(NodeRef{entry, 1});
  for (NodeId id = kFirstWorker; id < kFirstWorker + kWorkers; ++id) {
    WorkerRecord& worker = table.Open(NodeRef{id, 1});
    worker.report.service = "show";
    worker.report.capacity = {kCapacity, 100'000, 0};
    worker.report.accepting = true;
    WorkerLoad load;
    load.free = worker.report.capacity;
    table.UpdateLoad(worker, load, kNow);
  }
  std::vector<NodeId> entries;
  for (NodeId id = kFirstEntry; id < kFirstEntry + kEntries; ++id) entries.push_back(id);
  BOOST_TEST(table.SetEntries(entries));
  return table;
}

TaskRequirements Requirements(std::uint32_t millicores) {
  TaskRequirements requirements;
  requirements.service = "show";
  requirements.demand = {millicores, 1, 0};
  requirements.expected_run = milliseconds(60);
  return requirements;
}

/// Chooses a worker, commits all of its capacity and returns its id.
NodeId FillChosenWorker(WorkerTable& table, OrderId order) {
  const auto chosen = table.Choose(Requirements(kCapacity), 0, {}, kNow);
  BOOST_TEST_REQUIRE(chosen.has_value());
  table.AddOrder(*table.Find(*chosen), {order, {kCapacity, 1, 0}, kNow.steady, false});
  return *chosen;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(worker_table)

// Guards against entries that all place work on the worker last reported as idle, where they find
// its capacity taken.
BOOST_AUTO_TEST_CASE(entries_place_work_on_different_workers) {
  std::set<NodeId> chosen;
  for (NodeId entry = kFirstEntry; entry < kFirstEntry + kEntries; ++entry) {
    WorkerTable table = TableOf(entry);
    for (std::uint32_t i = 0; i < kWorkers / kEntries; ++i) {
      BOOST_TEST(chosen.insert(FillChosenWorker(table, i + 1)).second,
                 "worker taken by two entries");
    }
  }
  BOOST_TEST(chosen.size() == kWorkers);
}

// Guards against work that waits while other workers have free capacity, because the entry's own
// share is full.
BOOST_AUTO_TEST_CASE(an_entry_uses_all_workers_when_its_own_are_full) {
  WorkerTable table = TableOf(kFirstEntry);
  std::set<NodeId> chosen;
  for (std::uint32_t i = 0; i < kWorkers; ++i) chosen.insert(FillChosenWorker(table, i + 1));
  BOOST_TEST(chosen.size() == kWorkers);
  BOOST_TEST(!table.Choose(Requirements(1), 0, {}, kNow).has_value());
}

// Guards against shares that still count an entry that has gone or a worker that is leaving.
BOOST_AUTO_TEST_CASE(shares_follow_the_entries_and_the_workers_that_take_work) {
  WorkerTable table = TableOf(kFirstEntry);
  table.Find(kFirstWorker)->report.accepting = false;
  BOOST_TEST(table.SetEntries({kFirstEntry, kFirstEntry + 2}));
  BOOST_TEST(!table.SetEntries({kFirstEntry + 2, kFirstEntry}));
  // The share is the first, third and fifth of the remaining five workers.
  std::set<NodeId> chosen;
  for (std::uint32_t i = 0; i < 3; ++i) chosen.insert(FillChosenWorker(table, i + 1));
  BOOST_TEST((chosen == std::set<NodeId>{kFirstWorker + 1, kFirstWorker + 3, kFirstWorker + 5}));
}

// Guards against a preference for the own share that outweighs data locality: a remote rack costs
// more than the preference gains.
BOOST_AUTO_TEST_CASE(a_near_rack_goes_before_the_own_share) {
  WorkerTable table = TableOf(kFirstEntry);
  table.Find(kFirstWorker + 1)->report.labels = {"rack-7"};
  TaskRequirements requirements = Requirements(1'000);
  requirements.preferred_rack = "rack-7";
  requirements.expected_run = milliseconds(200);
  const auto chosen = table.Choose(requirements, 0, {}, kNow);
  BOOST_TEST_REQUIRE(chosen.has_value());
  BOOST_TEST(*chosen == kFirstWorker + 1);
}

BOOST_AUTO_TEST_SUITE_END()
