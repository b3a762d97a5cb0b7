#pragma once

#include <chrono>
#include <map>
#include <utility>
#include <vector>

#include "model/time.h"

namespace foxtailrudder {

/// Groups items by expiry time in buckets of 1 s, so that expiry visits only items that are due.
template <typename Item>
class ExpiryIndex {
 public:
  void Add(WallTime due, Item item) { m_buckets[BucketOf(due)].push_back(std::move(item)); }

  /// Removes and returns the items of all buckets whose second has passed.
  std::vector<Item> TakeDue(WallTime now) {
    std::vector<Item> due;
    while (!m_buckets.empty() && m_buckets.begin()->first < BucketOf(now)) {
      auto& bucket = m_buckets.begin()->second;
      due.insert(due.end(), std::make_move_iterator(bucket.begin()),
                 std::make_move_iterator(bucket.end()));
      m_buckets.erase(m_buckets.begin());
    }
    return due;
  }

 private:
  static std::chrono::seconds BucketOf(WallTime time) {
    return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch());
  }

  std::map<std::chrono::seconds, std::vector<Item>> m_buckets;
};

}  // namespace foxtailrudder
