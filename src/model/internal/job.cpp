#include "model/job.h"

// Makes XXH3_state_t a complete type, so that Digest can hold one by value.
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace foxtailrudder {
namespace {

class Digest {
 public:
  Digest() { XXH3_64bits_reset(&m_state); }

  // Hashes the length first, so that field boundaries are part of the digest.
  void Add(std::string_view text) {
    Add(static_cast<std::uint64_t>(text.size()));
    XXH3_64bits_update(&m_state, text.data(), text.size());
  }

  void Add(std::uint64_t number) { XXH3_64bits_update(&m_state, &number, sizeof(number)); }

  std::uint64_t Value() const { return XXH3_64bits_digest(&m_state); }

 private:
  XXH3_state_t m_state;
};

}  // namespace

std::uint64_t DigestOf(const JobSpec& job) {
  Digest digest;
  digest.Add(job.key.team);
  digest.Add(job.service);
  digest.Add(std::uint64_t{job.idempotent});
  digest.Add(std::uint64_t{job.tasks.size()});
  for (const TaskSpec& task : job.tasks) {
    digest.Add(task.id);
    digest.Add(task.payload);
  }
  return digest.Value();
}

}  // namespace foxtailrudder
