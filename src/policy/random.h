#pragma once

#include <cstdint>
#include <pcg_random.hpp>

namespace foxtailrudder {

/// Seeded pseudo-random generator. The same seed gives the same sequence, so test runs are
/// reproducible.
class Random {
 public:
  explicit Random(std::uint64_t seed) : m_generator(seed) {}

  std::uint64_t Next() {
    const std::uint64_t high = m_generator();
    return (high << 32U) | m_generator();
  }

  /// Uniform in [0, bound). The bound must be above 0.
  std::uint32_t Below(std::uint32_t bound) { return m_generator(bound); }

  /// Uniform in [0, 1).
  double Unit() { return static_cast<double>(m_generator()) * 0x1p-32; }

 private:
  pcg32 m_generator;
};

}  // namespace foxtailrudder
