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

constexpr std::uint32_t kManyEntries = 55;
constexpr std::uint32_t kManyWorkers = 240;

/// Returns the table of one of the entries, with ids from 1, that share idle workers.
WorkerTable TableOf(NodeId entry, std::uint32_t entry_count, std::uint32_t workers) {
  WorkerTable table(NodeRef{entry, 1});
  for (NodeId id = kFirstWorker; id < kFirstWorker + workers; ++id) {
    WorkerRecord& worker = table.Open(NodeRef{id, 1});
    worker.report.service = "show";
    worker.report.capacity = {kCapacity, 100'000, 0};
    worker.report.accepting = true;
    WorkerLoad load;
    load.free = worker.report.capacity;
    table.UpdateLoad(worker, load, kNow);
  }
  std::vector<NodeId> entries;
  for (NodeId id = kFirstEntry; id < kFirstEntry + entry_count; ++id) entries.push_back(id);
  BOOST_TEST(table.SetEntries(entries));
  table.Refresh(kNow);
  return table;
}

/// Returns the table of one of three entries that share six workers.
WorkerTable TableOf(NodeId entry) { return TableOf(entry, kEntries, kWorkers); }

WorkerTable LargeTableOf(NodeId entry, std::uint32_t entry_count) {
  return TableOf(entry, entry_count, kManyWorkers);
}

std::set<NodeId> WantedBy(const WorkerTable& table) {
  std::set<NodeId> wanted;
  for (const auto& [id, worker] : table.workers()) {
    if (worker.is_wanted) wanted.insert(id);
  }
  return wanted;
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
  table.Refresh(kNow);
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

// Guards against an entry that exchanges reports with all workers of a large deployment, and
// against workers that few entries use. Pattern: 55 entries and 240 workers.
BOOST_AUTO_TEST_CASE(each_entry_wants_a_subset_and_each_worker_is_in_as_many) {
  std::map<NodeId, std::size_t> subsets;
  for (NodeId entry = 1; entry <= kManyEntries; ++entry) {
    const WorkerTable table = LargeTableOf(entry, kManyEntries);
    const std::size_t wanted = WantedBy(table).size();
    // The widest job has 32 tasks, two to a worker.
    BOOST_TEST(wanted >= 16U);
    BOOST_TEST(wanted <= kManyWorkers / 4);
    for (const NodeId worker : WantedBy(table)) ++subsets[worker];
  }
  BOOST_TEST(subsets.size() == kManyWorkers);
  // Enough entries, at random places, that the loss of a zone leaves some.
  for (const auto& [worker, count] : subsets) BOOST_TEST(count >= 5U);
}

// Guards against a lost entry or worker that makes every entry exchange its subset for another.
BOOST_AUTO_TEST_CASE(a_lost_entry_leaves_most_of_a_subset_in_place) {
  WorkerTable table = LargeTableOf(1, kManyEntries);
  const std::set<NodeId> before = WantedBy(table);
  std::vector<NodeId> entries;
  for (NodeId id = 1; id < kManyEntries; ++id) entries.push_back(id);
  BOOST_TEST(table.SetEntries(entries));
  table.Refresh(kNow);
  const std::set<NodeId> after = WantedBy(table);
  const auto kept =
      std::ranges::count_if(before, [&](NodeId worker) { return after.contains(worker); });
  BOOST_TEST(static_cast<double>(kept) >= 0.75 * static_cast<double>(before.size()));
}

// Guards against an entry that refuses jobs while workers outside its subset are idle. Pattern: an
// entry with many more callers than the others.
BOOST_AUTO_TEST_CASE(a_full_subset_borrows_workers_that_reported_free_capacity) {
  WorkerTable table = LargeTableOf(1, kManyEntries);
  for (const NodeId worker : WantedBy(table)) {
    WorkerLoad full;
    table.UpdateLoad(*table.Find(worker), full, kNow);
  }
  NodeId idle = 0;
  for (auto& [id, worker] : table.workers()) {
    if (worker.is_wanted) continue;
    if (idle == 0) {
      idle = id;
    } else {
      table.UpdateLoad(worker, {}, kNow);
    }
  }
  BOOST_TEST(!table.Choose(Requirements(1'000), 0, {}, kNow).has_value());
  table.TakeNewlyWanted();
  const Now later{kNow.steady + milliseconds(50), kNow.wall};
  BOOST_TEST(table.Borrow(Requirements(1'000), later) == 1U);
  const auto asked = table.TakeNewlyWanted();
  BOOST_TEST_REQUIRE(asked.size() == 1U);
  BOOST_TEST(asked[0].id == idle);
  // Its old report may be outdated: it is used once it has been heard again.
  BOOST_TEST(!table.Choose(Requirements(1'000), 0, {}, later).has_value());
  WorkerLoad load;
  load.free = {kCapacity, 100'000, 0};
  table.UpdateLoad(*table.Find(idle), load, later);
  const auto chosen = table.Choose(Requirements(1'000), 0, {}, later);
  BOOST_TEST_REQUIRE(chosen.has_value());
  BOOST_TEST(*chosen == idle);
}

// Guards against workers that stay borrowed for good after a burst.
BOOST_AUTO_TEST_CASE(a_borrowed_worker_is_returned_when_it_is_no_longer_used) {
  WorkerTable table = LargeTableOf(1, kManyEntries);
  const std::set<NodeId> before = WantedBy(table);
  BOOST_TEST(table.Borrow(Requirements(1'000), kNow) > 0U);
  BOOST_TEST(WantedBy(table).size() > before.size());
  const Now later{kNow.steady + milliseconds(5'000), kNow.wall};
  table.SetEvacuated({});
  table.Refresh(later);
  BOOST_TEST((WantedBy(table) == before));
}

// Guards against a faulty worker that fails fast, so that it looks idle and attracts the tasks of
// each entry in turn: its sidecar reports the failures that other entries have seen.
BOOST_AUTO_TEST_CASE(a_worker_that_fails_the_tasks_of_other_entries_gets_none) {
  WorkerTable table = TableOf(kFirstEntry, 1, 2);
  WorkerRecord& faulty = *table.Find(kFirstWorker);
  faulty.report.load.recent_failed = 30;
  table.AddOrder(*table.Find(kFirstWorker + 1), {1, {kCapacity / 2, 1, 0}, kNow.steady, false});
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(table.Choose(Requirements(1), 0, {}, kNow).value() == kFirstWorker + 1);
  }
  // It takes no work when the sound worker is full, but some when no worker is sound.
  table.AddOrder(*table.Find(kFirstWorker + 1), {2, {kCapacity / 2, 1, 0}, kNow.steady, false});
  BOOST_TEST(!table.Choose(Requirements(1), 0, {}, kNow).has_value());
  table.Find(kFirstWorker + 1)->report.load.recent_failed = 30;
  BOOST_TEST(table.Choose(Requirements(1), 0, {}, kNow).value() == kFirstWorker);
}

// Guards against workers that lose their work to a task that fails wherever it runs.
BOOST_AUTO_TEST_CASE(single_failures_among_successes_do_not_make_a_worker_faulty) {
  WorkerTable table = TableOf(kFirstEntry, 1, 1);
  WorkerLoad& load = table.Find(kFirstWorker)->report.load;
  load.recent_done = 30;
  load.recent_failed = 20;
  BOOST_TEST(table.Choose(Requirements(1), 0, {}, kNow).has_value());
}

// Guards against the loss of a job whose last attempt goes to a worker of which nothing is known,
// or that fails part of its tasks.
BOOST_AUTO_TEST_CASE(a_proven_worker_has_successes_and_next_to_no_failures) {
  WorkerTable table = TableOf(kFirstEntry, 1, 3);
  TaskRequirements last_attempt = Requirements(1);
  last_attempt.needs_proven_worker = true;
  BOOST_TEST(!table.HasProvenWorker(last_attempt, kNow));
  BOOST_TEST(!table.Choose(last_attempt, 0, {}, kNow).has_value());
  table.Find(kFirstWorker)->report.load.recent_done = 100;
  table.Find(kFirstWorker)->report.load.recent_failed = 20;
  BOOST_TEST(!table.Choose(last_attempt, 0, {}, kNow).has_value());
  table.Find(kFirstWorker + 1)->report.load.recent_done = 100;
  table.Find(kFirstWorker + 1)->report.load.recent_failed = 10;
  BOOST_TEST(table.HasProvenWorker(last_attempt, kNow));
  BOOST_TEST(table.Choose(last_attempt, 0, {}, kNow).value() == kFirstWorker + 1);
}

// Guards against fast workers that idle while tasks wait or end late on slow ones.
BOOST_AUTO_TEST_CASE(a_worker_that_is_faster_by_nature_is_preferred) {
  WorkerTable table = TableOf(kFirstEntry, 1, 3);
  for (auto& [id, worker] : table.workers()) {
    worker.report.slowness_permille = worker.report.baseline_slowness_permille = 1'430;
  }
  WorkerRecord& fast = *table.Find(kFirstWorker + 2);
  fast.report.slowness_permille = fast.report.baseline_slowness_permille = 590;
  table.SetEvacuated({});
  table.Refresh(kNow);
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(table.Choose(Requirements(1), 0, {}, kNow).value() == kFirstWorker + 2);
  }
}

// Guards against a change of placement where workers are alike: what is learnt from estimates
// varies by some percent, and no worker may attract work for that.
BOOST_AUTO_TEST_CASE(workers_that_are_about_alike_are_chosen_as_if_they_were_equal) {
  WorkerTable equal = TableOf(kFirstEntry);
  WorkerTable about_equal = TableOf(kFirstEntry);
  std::uint32_t baseline = 950;
  for (auto& [id, worker] : about_equal.workers()) {
    worker.report.baseline_slowness_permille = baseline;
    baseline += 20;
  }
  about_equal.SetEvacuated({});
  about_equal.Refresh(kNow);
  for (OrderId order = 1; order <= 500; ++order) {
    const auto expected = equal.Choose(Requirements(700), 0, {}, kNow);
    BOOST_TEST_REQUIRE((about_equal.Choose(Requirements(700), 0, {}, kNow) == expected));
    if (!expected) break;
    equal.AddOrder(*equal.Find(*expected), {order, {700, 1, 0}, kNow.steady, false});
    about_equal.AddOrder(*about_equal.Find(*expected), {order, {700, 1, 0}, kNow.steady, false});
  }
  BOOST_TEST(about_equal.CapacityOf("show", kNow).total == equal.CapacityOf("show", kNow).total);
}

// Guards against capacity that is left idle because a worker is slower by nature than most others,
// and against tasks that end late there.
BOOST_AUTO_TEST_CASE(a_worker_that_is_slow_by_nature_gets_what_it_finishes_in_time) {
  WorkerTable table = TableOf(kFirstEntry, 1, 4);
  WorkerRecord& slow = *table.Find(kFirstWorker);
  slow.report.slowness_permille = slow.report.baseline_slowness_permille = 3'000;
  for (NodeId id = kFirstWorker + 1; id < kFirstWorker + 4; ++id) {
    table.AddOrder(*table.Find(id), {id, {kCapacity, 1, 0}, kNow.steady, false});
  }
  table.SetEvacuated({});
  table.Refresh(kNow);
  TaskRequirements urgent = Requirements(1);
  urgent.deadline = kNow.steady + milliseconds(100);
  BOOST_TEST(!table.Choose(urgent, 0, {}, kNow).has_value());
  urgent.deadline = kNow.steady + milliseconds(300);
  BOOST_TEST(table.Choose(urgent, 0, {}, kNow).value() == kFirstWorker);
}

// Guards against a worker that turns slow and keeps its work, and against one that is left out
// although it is no slower than usual.
BOOST_AUTO_TEST_CASE(a_worker_is_disturbed_if_it_is_slower_than_by_nature) {
  WorkerTable table = TableOf(kFirstEntry, 1, 3);
  for (auto& [id, worker] : table.workers()) worker.report.slowness_permille = 1'000;
  table.Find(kFirstWorker)->report.slowness_permille = 5'000;
  table.SetEvacuated({});
  table.Refresh(kNow);
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(table.Choose(Requirements(1), 0, {}, kNow).value() != kFirstWorker);
  }
}

// Guards against a false report of speed that attracts the work of every entry or distorts the
// capacity that admission counts on.
BOOST_AUTO_TEST_CASE(a_false_report_of_speed_has_a_bounded_effect) {
  WorkerTable table = TableOf(kFirstEntry, 1, kWorkers);
  const auto before = table.CapacityOf("show", kNow).total;
  table.Find(kFirstWorker)->report.baseline_slowness_permille = 0;
  table.SetEvacuated({});
  table.Refresh(kNow);
  const auto after = table.CapacityOf("show", kNow).total;
  BOOST_TEST(after <= 2 * before);
  BOOST_TEST(after >= before / 2);
}

// Guards against a wait for the rack of the data where remote racks cost little, and against remote
// runs where they cost much: deployments differ, and their settings tell.
BOOST_AUTO_TEST_CASE(the_choice_of_a_rack_follows_the_factor_of_the_settings) {
  for (const double factor : {1.1, 3.0}) {
    WorkerTable table(NodeRef{kFirstEntry, 1}, factor);
    for (const NodeId id : {kFirstWorker, kFirstWorker + 1, kFirstWorker + 2}) {
      WorkerRecord& worker = table.Open(NodeRef{id, 1});
      worker.report.service = "show";
      worker.report.labels = {id == kFirstWorker ? "near" : "far"};
      worker.report.capacity = {kCapacity, 100'000, 0};
      worker.report.accepting = true;
      WorkerLoad load;
      load.free = worker.report.capacity;
      table.UpdateLoad(worker, load, kNow);
    }
    BOOST_TEST(table.SetEntries({kFirstEntry}));
    // A task takes 1.8 times as long at the near worker at present.
    table.Find(kFirstWorker)->report.slowness_permille = 1'800;
    table.Refresh(kNow);
    TaskRequirements requirements = Requirements(1);
    requirements.preferred_rack = "near";
    const bool stays_near = table.Choose(requirements, 0, {}, kNow).value() == kFirstWorker;
    BOOST_TEST(stays_near == (factor > 1.8));
  }
}

BOOST_AUTO_TEST_SUITE_END()
