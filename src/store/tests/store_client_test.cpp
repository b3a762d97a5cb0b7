#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <mutex>
#include <vector>

#include "http/target.h"
#include "standins/platform_standin.h"
#include "store/store.h"

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using standins::PlatformStandin;

namespace {

/// A wait fails after this time.
constexpr std::chrono::seconds kWaitTimeout{20};

struct Fixture {
  explicit Fixture(std::chrono::milliseconds write_timeout = std::chrono::seconds(10)) {
    auto created = PlatformStandin::Create("127.0.0.1:0", 5);
    BOOST_TEST_REQUIRE(std::holds_alternative<std::unique_ptr<PlatformStandin>>(created));
    platform = std::move(std::get<0>(created));
    StoreClientConfig config;
    config.address = platform->address();
    config.region = "pl/1";
    config.read_timeout = std::chrono::seconds(10);
    config.write_timeout = write_timeout;
    store = StoreClient::Create(config, [this](StoreResult result) {
      const std::lock_guard lock(m_mutex);
      m_results.push_back(std::move(result));
      m_changed.notify_all();
    });
  }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;
  ~Fixture() { store->Stop(); }

  /// Executes an operation and waits for its result.
  template <typename Result, typename Operation>
  Result ExecuteAndWait(Operation operation) {
    operation.operation = ++m_last;
    store->Execute(operation);
    std::unique_lock lock(m_mutex);
    BOOST_TEST_REQUIRE(
        m_changed.wait_for(lock, kWaitTimeout, [&] { return m_results.size() == m_last; }));
    BOOST_TEST_REQUIRE(std::holds_alternative<Result>(m_results.back()));
    auto result = std::get<Result>(m_results.back());
    BOOST_TEST(result.operation == m_last);
    return result;
  }

  StoreStatus WriteControl(Version expected, const std::string& zone) {
    WriteControlRow write;
    write.expected_version = expected;
    write.row.zones = {{zone, ZoneState::kOut, expected + 1, {}}};
    return ExecuteAndWait<RowWritten>(write).status;
  }

  std::unique_ptr<PlatformStandin> platform;
  std::unique_ptr<StoreClient> store;

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<StoreResult> m_results;
  std::uint64_t m_last = 0;
};

DurableClaim Claim(const std::string& team, const std::string& key, RequestId request) {
  return {{team, key}, 7, {{1, 2}, request}, WallTime(std::chrono::seconds(1'000'000'000))};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(store_client)

// Guards against a row that is returned with a version other than the store's, and against reading
// the body again although its version is known.
BOOST_AUTO_TEST_CASE(rows_have_the_versions_of_the_store) {
  Fixture f;
  auto read = f.ExecuteAndWait<ControlRowRead>(ReadRow{});
  BOOST_TEST((read.status == StoreStatus::kOk));
  BOOST_TEST(read.row.version == 0U);
  BOOST_TEST((f.WriteControl(0, "z1") == StoreStatus::kOk));
  BOOST_TEST((f.WriteControl(1, "z2") == StoreStatus::kOk));
  read = f.ExecuteAndWait<ControlRowRead>(ReadRow{RowKind::kControl, 1, 0});
  BOOST_TEST((read.status == StoreStatus::kOk));
  BOOST_TEST(read.row.version == 2U);
  BOOST_TEST_REQUIRE(read.row.zones.size() == 1U);
  BOOST_TEST(read.row.zones[0].zone == "z2");
  read = f.ExecuteAndWait<ControlRowRead>(ReadRow{RowKind::kControl, 2, 0});
  BOOST_TEST((read.status == StoreStatus::kNotModified));
}

// Guards against a write that overwrites another operator's change.
BOOST_AUTO_TEST_CASE(write_with_an_unexpected_version_is_a_conflict) {
  Fixture f;
  BOOST_TEST((f.WriteControl(0, "z1") == StoreStatus::kOk));
  BOOST_TEST((f.WriteControl(0, "z2") == StoreStatus::kConflict));
  BOOST_TEST((f.WriteControl(2, "z2") == StoreStatus::kConflict));
  BOOST_TEST(f.ExecuteAndWait<ControlRowRead>(ReadRow{}).row.zones[0].zone == "z1");
}

// Guards against writing the members row of a region to that of another or to the control row.
BOOST_AUTO_TEST_CASE(members_row_is_separate) {
  Fixture f;
  WriteMembersRow write;
  write.row.members.resize(1);
  write.row.members[0].id = 3;
  write.row.members[0].name = "s3";
  BOOST_TEST((f.ExecuteAndWait<RowWritten>(write).status == StoreStatus::kOk));
  const auto read = f.ExecuteAndWait<MembersRowRead>(ReadRow{RowKind::kMembers, 0, 0});
  BOOST_TEST_REQUIRE(read.row.members.size() == 1U);
  BOOST_TEST(read.row.members[0].name == "s3");
  BOOST_TEST(f.ExecuteAndWait<ControlRowRead>(ReadRow{}).row.version == 0U);
}

// Guards against reporting a write as failed when only its reply was lost (invariant 5).
BOOST_AUTO_TEST_CASE(lost_reply_is_unknown_and_the_write_took_effect) {
  Fixture f(std::chrono::milliseconds(200));
  f.platform->SetFaults({.lose_write_replies = 1});
  BOOST_TEST((f.WriteControl(0, "z1") == StoreStatus::kUnknown));
  BOOST_TEST(f.ExecuteAndWait<ControlRowRead>(ReadRow{}).row.version == 1U);
}

// Guards against reporting the outcome as unknown when the store was down before the write had any
// effect, which would make an entry read the row back needlessly.
BOOST_AUTO_TEST_CASE(outage_is_unavailable_without_effect) {
  Fixture f;
  f.platform->SetFaults({.down = true});
  BOOST_TEST((f.WriteControl(0, "z1") == StoreStatus::kUnavailable));
  BOOST_TEST((f.ExecuteAndWait<ControlRowRead>(ReadRow{}).status == StoreStatus::kUnavailable));
  BOOST_TEST((f.ExecuteAndWait<ClaimsResult>(InsertClaims{0, {Claim("t", "k", 1)}}).status ==
              StoreStatus::kUnavailable));
  f.platform->SetFaults({});
  BOOST_TEST(f.ExecuteAndWait<ControlRowRead>(ReadRow{}).row.version == 0U);
  BOOST_TEST(!f.ExecuteAndWait<ClaimsResult>(ReadClaims{0, {{"t", "k"}}}).claims[0].has_value());
  // The store process has ended, so connections are refused.
  f.platform.reset();
  BOOST_TEST((f.WriteControl(0, "z1") == StoreStatus::kUnavailable));
}

// Guards against claiming a non-idempotent key twice, and against different keys that map to the
// same row.
BOOST_AUTO_TEST_CASE(claims_are_unique) {
  Fixture f;
  auto result =
      f.ExecuteAndWait<ClaimsResult>(InsertClaims{0, {Claim("t", "a/b", 1), Claim("t/a", "b", 2)}});
  BOOST_TEST((result.status == StoreStatus::kOk));
  BOOST_TEST((result.claims[0] == Claim("t", "a/b", 1)));
  BOOST_TEST((result.claims[1] == Claim("t/a", "b", 2)));
  result =
      f.ExecuteAndWait<ClaimsResult>(InsertClaims{0, {Claim("t", "a/b", 3), Claim("t", "c", 4)}});
  BOOST_TEST((result.claims[0] == Claim("t", "a/b", 1)));
  BOOST_TEST((result.claims[1] == Claim("t", "c", 4)));
  result = f.ExecuteAndWait<ClaimsResult>(ReadClaims{0, {{"t", "c"}, {"t", "none"}}});
  BOOST_TEST((result.claims[0] == Claim("t", "c", 4)));
  BOOST_TEST(!result.claims[1].has_value());
}

// Guards against a release that deletes the claim of another submission, or that fails when it is
// repeated after a lost reply.
BOOST_AUTO_TEST_CASE(claims_are_released_by_their_claimant_only) {
  Fixture f;
  f.ExecuteAndWait<ClaimsResult>(InsertClaims{0, {Claim("t", "a", 1), Claim("t", "b", 2)}});
  auto result =
      f.ExecuteAndWait<ClaimsResult>(ReleaseClaims{0, {Claim("t", "a", 1), Claim("t", "b", 3)}});
  BOOST_TEST((result.status == StoreStatus::kOk));
  BOOST_TEST(!result.claims.at(0).has_value());
  BOOST_TEST((result.claims.at(1) == Claim("t", "b", 2)));
  result = f.ExecuteAndWait<ClaimsResult>(ReleaseClaims{0, {Claim("t", "a", 1)}});
  BOOST_TEST((result.status == StoreStatus::kOk));
  BOOST_TEST(!result.claims.at(0).has_value());
  result = f.ExecuteAndWait<ClaimsResult>(InsertClaims{0, {Claim("t", "a", 4)}});
  BOOST_TEST((result.claims.at(0) == Claim("t", "a", 4)));
}

// Guards against bundle bodies that are changed by a round trip through the object store.
BOOST_AUTO_TEST_CASE(objects_are_stored_by_digest) {
  Fixture f;
  const std::string body("a\0b\r\n", 5);
  BOOST_TEST(
      (f.ExecuteAndWait<ObjectResult>(GetObject{0, "d1"}).status == StoreStatus::kUnavailable));
  BOOST_TEST((f.ExecuteAndWait<ObjectResult>(PutObject{0, "d1", body}).status == StoreStatus::kOk));
  BOOST_TEST(f.ExecuteAndWait<ObjectResult>(GetObject{0, "d1"}).body == body);
}

// Guards against keys that are changed by percent-encoding.
BOOST_AUTO_TEST_CASE(percent_encoding_is_reversible) {
  std::string all;
  for (int c = 0; c < 256; ++c) {
    all += static_cast<char>(c);
  }
  BOOST_TEST((PercentDecode(PercentEncode(all)) == all));
  BOOST_TEST(!PercentDecode("%").has_value());
  BOOST_TEST(!PercentDecode("%4").has_value());
  BOOST_TEST(!PercentDecode("%zz").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
