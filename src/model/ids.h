#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace foxtailrudder {

/// Identifies an entry or a sidecar: the hash of its configured name (see NodeIdOf). 0 means none.
using NodeId = std::uint64_t;

/// Identifies one run of a process. A restart under the same name is a new incarnation. 0 means
/// any.
using Incarnation = std::uint64_t;

/// Version of a row in the platform's table service. 0 means that the row does not exist.
using Version = std::uint64_t;

/// Number of a shard of the job keys, from 0 to kShardCount - 1.
using ShardId = std::uint16_t;

/// Identifies one request of a caller or operator within one incarnation of an entry.
using RequestId = std::uint64_t;

// A defaulted operator<=> compares its members with the literal 0, which clang-tidy 14 reports as a
// null pointer in every file that orders the ids below. The NOLINT marks suppress it where
// reported.

/// Number of key shards in a region. Ownership is transferred one shard at a time.
inline constexpr ShardId kShardCount = 4096;

/// Identifies a job: requests with the same team and idempotency key submit the same job.
struct JobKey {
  std::string team;
  std::string idempotency_key;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const JobKey&, const JobKey&) = default;
};

/// Identifies one task of a job by its position in the submission.
struct TaskRef {
  JobKey job;
  std::uint32_t index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

/// Identifies one incarnation of an entry or a sidecar.
struct NodeRef {
  NodeId id = 0;
  Incarnation incarnation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const NodeRef&, const NodeRef&) = default;
};

/// Identifies a forwarded request by the entry incarnation that forwarded it and its request id
/// there.
struct SubmissionId {
  NodeRef entry;
  RequestId request = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const SubmissionId&, const SubmissionId&) = default;
};

/// Hash of a configured node name.
NodeId NodeIdOf(std::string_view name);

/// 64-bit hash of a job key; stable across processes and releases.
std::uint64_t HashOf(const JobKey& key);

/// Shard of a job key.
ShardId ShardOf(const JobKey& key);

/// Combines two 64-bit values into one hash. Used for the scores of rendezvous hashing.
std::uint64_t MixHash(std::uint64_t left, std::uint64_t right);

}  // namespace foxtailrudder

template <>
struct std::hash<foxtailrudder::JobKey> {
  std::size_t operator()(const foxtailrudder::JobKey& key) const noexcept {
    return foxtailrudder::HashOf(key);
  }
};

template <>
struct std::hash<foxtailrudder::TaskRef> {
  std::size_t operator()(const foxtailrudder::TaskRef& task) const noexcept {
    return foxtailrudder::MixHash(foxtailrudder::HashOf(task.job), task.index);
  }
};
