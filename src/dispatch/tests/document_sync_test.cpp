#include "dispatch/document_sync.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "dispatch/agreed_documents.h"
#include "dispatch/tests/large_configuration.h"

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using foxtailrudder::dispatch_test::LargeConfiguration;
using std::chrono::milliseconds;

namespace {

Now At(milliseconds time) { return {SteadyTime(time), {}}; }

std::size_t BytesOf(const AgreedState& state) {
  std::size_t bytes = 0;
  for (const StateDocument& document : state.documents) bytes += document.text.size();
  return bytes;
}

/// A process that hears a peer's version every report period and merges documents one period after
/// it has requested them.
struct SimulatedProcess {
  explicit SimulatedProcess(std::uint64_t seed) : sync(Random(seed)) {}

  AgreedDocuments documents;
  DocumentSync sync;
  std::size_t received_bytes = 0;
  std::size_t sent_bytes = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(document_sync)

// Guards against configuration traffic that grows with entries times processes: every entry used to
// send all documents to every other process. Pattern: a large document changes by one route in a
// deployment of 55 entries, which read it from the store, and 240 sidecars.
BOOST_AUTO_TEST_CASE(a_change_is_sent_once_to_each_process_that_lacks_it) {
  constexpr std::size_t kEntries = 55;
  constexpr std::size_t kSidecars = 240;
  constexpr DocumentRequestDelay kSidecarDelay{milliseconds(500), milliseconds(3'000)};
  std::vector<SimulatedProcess> entries;
  std::vector<SimulatedProcess> sidecars;
  for (std::size_t i = 0; i < kEntries; ++i) entries.emplace_back(i);
  for (std::size_t i = 0; i < kSidecars; ++i) sidecars.emplace_back(1'000 + i);
  const StateDocument evacuation{"evacuate/lodz", 4, false, "{}", false};
  const StateDocument config{"config", 9, false, LargeConfiguration(1'400), false};
  for (SimulatedProcess& entry : entries) entry.documents.Merge({{evacuation, config}});
  for (SimulatedProcess& sidecar : sidecars) sidecar.documents.Merge({{evacuation}});

  std::size_t requests = 0;
  for (milliseconds time{0}; time <= milliseconds(6'000); time += milliseconds(100)) {
    for (std::size_t i = 0; i < kSidecars; ++i) {
      SimulatedProcess& sidecar = sidecars[i];
      // Every entry reports to every sidecar.
      for (std::size_t e = 0; e < kEntries; ++e) {
        SimulatedProcess& entry = entries[(e + i) % kEntries];
        const Version own = sidecar.documents.newest();
        if (!sidecar.sync.OnPeerVersion(entry.documents.newest(), own, kSidecarDelay, At(time))) {
          continue;
        }
        ++requests;
        const AgreedState state = entry.documents.After(own);
        entry.sent_bytes += BytesOf(state);
        sidecar.received_bytes += BytesOf(state);
        sidecar.documents.Merge(state);
      }
    }
  }
  BOOST_TEST(requests == kSidecars);
  for (const SimulatedProcess& sidecar : sidecars) {
    BOOST_TEST(sidecar.documents.newest() == 9U);
    BOOST_TEST(sidecar.received_bytes < config.text.size() / 4);
  }
  // Half of what a link of 25 Mbit/s carries in the 4 s within which a change has to take effect.
  constexpr std::size_t kLinkShareBytes = 25'000'000 / 8 * 4 / 2;
  const auto most = std::ranges::max_element(entries, {}, &SimulatedProcess::sent_bytes);
  BOOST_TEST(most->sent_bytes < kLinkShareBytes);
}

// Guards against a request for what the store is about to deliver.
BOOST_AUTO_TEST_CASE(a_change_that_arrives_within_the_delay_is_not_requested) {
  DocumentSync sync(Random(1));
  constexpr DocumentRequestDelay kDelay{milliseconds(400), milliseconds(800)};
  BOOST_TEST(!sync.OnPeerVersion(7, 5, kDelay, At(milliseconds(0))));
  BOOST_TEST(!sync.OnPeerVersion(7, 5, kDelay, At(milliseconds(300))));
  BOOST_TEST(!sync.OnPeerVersion(7, 7, kDelay, At(milliseconds(900))));
  // The delay starts anew with the next change.
  BOOST_TEST(!sync.OnPeerVersion(8, 7, kDelay, At(milliseconds(1'000))));
  BOOST_TEST(sync.OnPeerVersion(8, 7, kDelay, At(milliseconds(1'900))));
}

// Guards against a process that waits for a peer that has died with the request, and against one
// that asks several peers at once.
BOOST_AUTO_TEST_CASE(one_peer_is_asked_at_a_time_and_another_after_a_timeout) {
  DocumentSync sync(Random(1));
  BOOST_TEST(sync.OnPeerVersion(7, 5, {}, At(milliseconds(0))));
  for (int i = 1; i < 10; ++i) {
    BOOST_TEST(!sync.OnPeerVersion(7, 5, {}, At(milliseconds(100 * i))));
  }
  BOOST_TEST(sync.OnPeerVersion(7, 5, {}, At(milliseconds(2'000))));
}

BOOST_AUTO_TEST_SUITE_END()
