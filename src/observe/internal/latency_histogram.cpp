#include "observe/latency_histogram.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <functional>

namespace foxtailrudder {
namespace {

namespace histogram = boost::histogram;

// Each bucket is 4.4% wide, which limits the error of a quantile.
constexpr int kBucketsPerDoubling = 16;
constexpr int kDoublings = 20;
constexpr double kMinSeconds = 0.0001;
constexpr double kMaxSeconds = kMinSeconds * (1U << static_cast<unsigned>(kDoublings));

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Histogram = histogram::histogram<std::tuple<Axis>, histogram::dense_storage<std::uint64_t>>;

}  // namespace

class LatencyHistogram::Impl {
 public:
  Impl()
      : m_buckets(
            std::make_tuple(Axis(kBucketsPerDoubling * kDoublings, kMinSeconds, kMaxSeconds))) {}

  void Record(double seconds) {
    // Values of zero or less have no logarithm and are counted in the underflow bucket.
    m_buckets(std::max(seconds, kMinSeconds / 2));
    ++m_count;
    m_sum += std::max(seconds, 0.0);
  }

  void Merge(const Impl& other) {
    // Both histograms have the same axis. operator+= of the library causes false "uninitialized"
    // warnings from GCC 12 with sanitizers.
    std::transform(m_buckets.begin(), m_buckets.end(), other.m_buckets.begin(), m_buckets.begin(),
                   std::plus<>());
    m_count += other.m_count;
    m_sum += other.m_sum;
  }

  std::uint64_t count() const { return m_count; }
  double sum() const { return m_sum; }

  double Quantile(double fraction) const {
    if (m_count == 0) return 0;
    const double rank = std::clamp(fraction, 0.0, 1.0) * static_cast<double>(m_count);
    double below = static_cast<double>(m_buckets.at(-1));
    if (below >= rank) return kMinSeconds;
    const Axis& axis = m_buckets.axis();
    for (int i = 0; i < axis.size(); ++i) {
      const auto inside = static_cast<double>(m_buckets.at(i));
      if (inside > 0 && below + inside >= rank) return axis.value(i + (rank - below) / inside);
      below += inside;
    }
    return kMaxSeconds;
  }

  std::vector<Bucket> Buckets() const {
    std::vector<Bucket> buckets;
    const Axis& axis = m_buckets.axis();
    std::uint64_t cumulative = m_buckets.at(-1);
    for (int i = 0; i < axis.size(); ++i) {
      cumulative += m_buckets.at(i);
      if ((i + 1) % kBucketsPerDoubling == 0) buckets.push_back({axis.value(i + 1), cumulative});
    }
    return buckets;
  }

 private:
  Histogram m_buckets;
  std::uint64_t m_count = 0;
  double m_sum = 0;
};

LatencyHistogram::LatencyHistogram() : m_impl(std::make_unique<Impl>()) {}
LatencyHistogram::LatencyHistogram(const LatencyHistogram& other)
    : m_impl(std::make_unique<Impl>(*other.m_impl)) {}
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(const LatencyHistogram& other) {
  if (this != &other) m_impl = std::make_unique<Impl>(*other.m_impl);
  return *this;
}
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept = default;
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(std::chrono::duration<double> latency) {
  m_impl->Record(latency.count());
}

void LatencyHistogram::Merge(const LatencyHistogram& other) { m_impl->Merge(*other.m_impl); }

std::uint64_t LatencyHistogram::count() const { return m_impl->count(); }

std::chrono::duration<double> LatencyHistogram::sum() const {
  return std::chrono::duration<double>(m_impl->sum());
}

std::chrono::duration<double> LatencyHistogram::Quantile(double fraction) const {
  return std::chrono::duration<double>(m_impl->Quantile(fraction));
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::Buckets() const {
  return m_impl->Buckets();
}

}  // namespace foxtailrudder
