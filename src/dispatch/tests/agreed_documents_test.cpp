#include "dispatch/agreed_documents.h"

#include <boost/test/unit_test.hpp>

#include "dispatch/document_text.h"
#include "dispatch/tests/large_configuration.h"

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)

using foxtailrudder::dispatch_test::LargeConfiguration;

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

// Guards against sending documents that the receiver holds, and against a removal that is not sent.
BOOST_AUTO_TEST_CASE(only_what_a_peer_lacks_is_sent) {
  AgreedDocuments documents;
  documents.Merge({{{"config", 3, false, "c", false}, {"evacuate/plock", 5, false, "{}", false}}});
  documents.Merge({{{"evacuate/lodz", 7, true, "", false}}});
  const AgreedState state = documents.After(3);
  BOOST_TEST(state.documents.size() == 2U);
  AgreedDocuments peer;
  peer.Merge({{{"config", 3, false, "c", false}, {"evacuate/lodz", 2, false, "{}", false}}});
  BOOST_TEST(peer.Merge(state));
  BOOST_TEST(peer.newest() == documents.newest());
  BOOST_TEST(peer.Find("evacuate/plock") != nullptr);
  BOOST_TEST(peer.Find("evacuate/lodz") == nullptr);
}

// Guards against a large document that changes when it is compressed for storage and sending.
BOOST_AUTO_TEST_CASE(a_large_document_is_kept_compressed_and_read_unchanged) {
  const std::string text = LargeConfiguration(1'400);
  AgreedDocuments documents;
  documents.Merge({{{"config", 1, false, text, false}}});
  const StateDocument* held = documents.Find("config");
  BOOST_TEST_REQUIRE(held != nullptr);
  BOOST_TEST(held->is_compressed);
  BOOST_TEST(held->text.size() < text.size() / 4);
  const auto read = TextOf(*held);
  BOOST_TEST_REQUIRE(std::holds_alternative<std::string>(read));
  BOOST_TEST((std::get<std::string>(read) == text));
}

// Guards against a damaged or truncated document that crashes its reader or is taken as complete.
BOOST_AUTO_TEST_CASE(a_damaged_compressed_document_is_an_error) {
  StateDocument document{"config", 1, false, LargeConfiguration(400), false};
  CompressText(document);
  BOOST_TEST_REQUIRE(document.is_compressed);
  StateDocument truncated = document;
  truncated.text.resize(truncated.text.size() / 2);
  BOOST_TEST(std::holds_alternative<Error>(TextOf(truncated)));
  StateDocument damaged = document;
  damaged.text.replace(damaged.text.size() / 2, 8, "damaged!");
  BOOST_TEST(std::holds_alternative<Error>(TextOf(damaged)));
  BOOST_TEST(std::holds_alternative<Error>(TextOf({"config", 1, false, "", true})));
}

BOOST_AUTO_TEST_SUITE_END()
