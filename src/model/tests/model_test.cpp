#include "model/model.h"

#include <boost/test/unit_test.hpp>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_SUITE(model)

// Without a boundary between team and key, two different jobs would get the same hash.
BOOST_AUTO_TEST_CASE(job_key_hash_separates_team_and_key) {
  BOOST_TEST(HashOf({"a", "bc"}) != HashOf({"ab", "c"}));
}

// A second device submits the same job with a deadline that differs by milliseconds. If the digest
// covered deadline or urgency, it would be refused.
BOOST_AUTO_TEST_CASE(digest_ignores_deadline_and_urgency) {
  JobSpec phone;
  phone.key = {"registry", "entry-1"};
  phone.tasks = {{"t1", "payload", {}, {}}};
  JobSpec laptop = phone;
  laptop.deadline += std::chrono::milliseconds(20);
  laptop.urgency = Urgency::kUrgent;
  BOOST_TEST(DigestOf(phone) == DigestOf(laptop));

  laptop.tasks[0].payload = "other";
  BOOST_TEST(DigestOf(phone) != DigestOf(laptop));
}

// Two error kinds with the same name could not be told apart when a response is parsed.
BOOST_AUTO_TEST_CASE(error_names_are_unique) {
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    BOOST_TEST((ErrorKindFromName(ErrorAnswerOf(kind).name) == kind));
  }
}

BOOST_AUTO_TEST_SUITE_END()
