#include "model/ids.h"

#include <xxhash.h>

namespace foxtailrudder {

NodeId NodeIdOf(std::string_view name) {
  const NodeId id = XXH3_64bits(name.data(), name.size());
  return id == 0 ? 1 : id;
}

std::uint64_t HashOf(const JobKey& key) {
  // The hash of the team seeds the hash of the key, so that ("a", "bc") and ("ab", "c") differ.
  const std::uint64_t seed = XXH3_64bits(key.team.data(), key.team.size());
  return XXH3_64bits_withSeed(key.idempotency_key.data(), key.idempotency_key.size(), seed);
}

ShardId ShardOf(const JobKey& key) { return static_cast<ShardId>(HashOf(key) % kShardCount); }

std::uint64_t MixHash(std::uint64_t left, std::uint64_t right) {
  return XXH3_64bits_withSeed(&right, sizeof(right), left);
}

}  // namespace foxtailrudder
