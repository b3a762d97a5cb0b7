#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

#include "model/model.h"

namespace foxtailrudder::testing {

/// In-memory table and object store with configurable faults, which answers the store requests of
/// an entry.
class FakeStore {
 public:
  struct Reply {
    StoreResult result;
    std::chrono::milliseconds delay;
  };

  bool down = false;
  std::chrono::milliseconds extra_delay{0};
  /// Number of upcoming writes that take effect but lose their reply.
  int lose_write_replies = 0;

  Reply Handle(const Output& operation, bool reachable, std::mt19937_64& random);

  ControlRow control;
  MembersRow members;
  std::unordered_map<std::string, std::string> objects;
  std::unordered_map<JobKey, DurableClaim> claims;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;

 private:
  StoreResult Apply(const Output& operation);
};

}  // namespace foxtailrudder::testing
