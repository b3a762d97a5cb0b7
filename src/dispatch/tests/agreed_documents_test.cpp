#include "dispatch/agreed_documents.h"

#include <boost/test/unit_test.hpp>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_SUITE(agreed_documents)

// Guards against a configuration that is reverted by a delayed older copy.
BOOST_AUTO_TEST_CASE(an_older_document_never_replaces_a_newer_one) {
  AgreedDocuments documents;
  BOOST_TEST(documents.Merge({{{"config", 7, false, "new"}}}));
  BOOST_TEST(!documents.Merge({{{"config", 6, false, "old"}}}));
  BOOST_TEST_REQUIRE(documents.Find("config") != nullptr);
  BOOST_TEST(documents.Find("config")->text == "new");
}

// Guards against an evacuation that is restored by the copy of a process that missed its removal.
BOOST_AUTO_TEST_CASE(a_removed_document_stays_removed) {
  AgreedDocuments documents;
  documents.Merge({{{"evacuate/plock", 5, false, "{}"}}});
  BOOST_TEST(documents.Merge({{{"evacuate/plock", 8, true, ""}}}));
  BOOST_TEST(!documents.Merge({{{"evacuate/plock", 5, false, "{}"}}}));
  BOOST_TEST(documents.Find("evacuate/plock") == nullptr);
}

// Guards against an evacuation that is never lifted because its removal was in a lost part of the
// history.
BOOST_AUTO_TEST_CASE(a_complete_list_removes_what_it_lacks) {
  AgreedDocuments documents;
  documents.Merge({{{"config", 3, false, "c"}, {"evacuate/plock", 5, false, "{}"}}});
  BOOST_TEST(documents.MergeSnapshot({{{"config", 3, false, "c"}}}, 9));
  BOOST_TEST(documents.Find("evacuate/plock") == nullptr);
  BOOST_TEST(documents.Find("config") != nullptr);
  BOOST_TEST(documents.newest() == 9U);
}

// Guards against a complete list, read before a change, that removes a document added by that
// change.
BOOST_AUTO_TEST_CASE(a_complete_list_keeps_what_is_newer_than_itself) {
  AgreedDocuments documents;
  documents.Merge({{{"evacuate/plock", 12, false, "{}"}}});
  documents.MergeSnapshot({{}}, 9);
  BOOST_TEST(documents.Find("evacuate/plock") != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
