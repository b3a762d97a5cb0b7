#include "transport/bounded_ring.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

using foxtailrudder::BoundedRing;

BOOST_AUTO_TEST_SUITE(bounded_ring)

// Guards against a full ring that grows or that loses the value it rejects.
BOOST_AUTO_TEST_CASE(push_to_a_full_ring_fails_and_keeps_the_value) {
  BoundedRing<std::unique_ptr<int>> ring(2);
  BOOST_TEST(ring.TryPush(std::make_unique<int>(1)));
  BOOST_TEST(ring.TryPush(std::make_unique<int>(2)));
  auto third = std::make_unique<int>(3);
  BOOST_TEST(!ring.TryPush(std::move(third)));
  BOOST_TEST_REQUIRE(third != nullptr);  // NOLINT(bugprone-use-after-move): kept when refused.
  BOOST_TEST(**ring.TryPop() == 1);
  BOOST_TEST(ring.TryPush(std::move(third)));
  BOOST_TEST(**ring.TryPop() == 2);
  BOOST_TEST(**ring.TryPop() == 3);
  BOOST_TEST(!ring.TryPop().has_value());
}

// Guards against a wake-up that is lost between the consumer's last check and its wait, and against
// reordering of one producer's values. After a lost wake-up, the test would run for an hour.
BOOST_AUTO_TEST_CASE(no_wake_up_is_lost) {
  constexpr int kProducers = 4;
  constexpr int kValues = 20'000;
  BoundedRing<std::pair<int, int>> ring(64);
  std::vector<std::thread> producers;
  producers.reserve(kProducers);
  for (int producer = 0; producer < kProducers; ++producer) {
    producers.emplace_back([&ring, producer] {
      for (int i = 0; i < kValues; ++i) {
        while (!ring.TryPush({producer, i})) {
          std::this_thread::yield();
        }
      }
    });
  }
  std::vector<int> next(kProducers);
  bool ordered = true;
  for (int received = 0; received < kProducers * kValues;) {
    if (const auto value = ring.WaitPop(std::chrono::hours(1))) {
      ordered = ordered && value->second == next[static_cast<std::size_t>(value->first)]++;
      ++received;
    }
  }
  for (std::thread& producer : producers) {
    producer.join();
  }
  BOOST_TEST(ordered);
  BOOST_TEST(ring.size() == 0U);
}

// Guards against a value that reaches the consumer before it is completely written, and against one
// that is lost, duplicated or freed twice while producers compete for the nodes of a small ring.
// ThreadSanitizer reports the former even if the values happen to be right.
BOOST_AUTO_TEST_CASE(values_are_delivered_complete_and_once) {
  constexpr std::size_t kProducers = 8;
  constexpr std::uint64_t kValues = 2'000;
  struct Value {
    std::uint64_t number = 0;
    std::vector<std::uint64_t> copies;
  };
  BoundedRing<std::unique_ptr<Value>> ring(3);
  std::vector<std::thread> producers;
  producers.reserve(kProducers);
  for (std::size_t producer = 0; producer < kProducers; ++producer) {
    producers.emplace_back([&ring, producer] {
      for (std::uint64_t i = 0; i < kValues; ++i) {
        const std::uint64_t number = producer * kValues + i;
        auto value = std::make_unique<Value>(Value{number, {number, number, number}});
        // NOLINTNEXTLINE(bugprone-use-after-move): a rejected value is unchanged.
        while (!ring.TryPush(std::move(value))) {
          std::this_thread::yield();
        }
      }
    });
  }
  std::vector<bool> seen(kProducers * kValues);
  std::size_t complete_values = 0;
  for (std::size_t received = 0; received < seen.size();) {
    const auto value = ring.WaitPop(std::chrono::hours(1));
    if (!value) continue;
    ++received;
    const Value& content = **value;
    const bool first_time = !seen.at(content.number);
    seen.at(content.number) = true;
    complete_values +=
        first_time && content.copies == std::vector<std::uint64_t>(3, content.number) ? 1 : 0;
  }
  for (std::thread& producer : producers) {
    producer.join();
  }
  BOOST_TEST(complete_values == seen.size());
  BOOST_TEST(ring.size() == 0U);
}

// Guards against a waiting consumer that cannot be stopped.
BOOST_AUTO_TEST_CASE(wake_ends_the_wait) {
  BoundedRing<int> ring(1);
  std::thread waker([&ring] { ring.Wake(); });
  BOOST_TEST(!ring.WaitPop(std::chrono::hours(1)).has_value());
  waker.join();
}

BOOST_AUTO_TEST_SUITE_END()
