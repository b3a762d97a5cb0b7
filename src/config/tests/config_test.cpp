#include "config/config.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <set>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

const WallTime kNow = ParseRfc3339("2026-12-04T05:00:00Z").value();

template <typename T>
std::set<std::string> PathsOf(const std::variant<T, Faults>& parsed) {
  std::set<std::string> paths;
  if (const auto* const faults = std::get_if<Faults>(&parsed)) {
    for (const Fault& fault : *faults) paths.insert(fault.path);
  }
  return paths;
}

template <typename T>
std::string MessagesOf(const std::variant<T, Faults>& parsed) {
  const auto* const faults = std::get_if<Faults>(&parsed);
  return faults == nullptr ? "" : FormatFaults(*faults);
}

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

std::string ReadExample(const std::string& name) {
  std::ifstream file(FOXTAILRUDDER_SOURCE_DIR "/examples/" + name);
  std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  constexpr std::string_view kPlaceholder = "@DEADLINE@";
  const std::size_t at = text.find(kPlaceholder);
  if (at != std::string::npos) text.replace(at, kPlaceholder.size(), "2026-12-04T05:00:10Z");
  return text;
}

std::string JobWith(const std::string& tasks) {
  return R"({"team":"registry","service":"entry-check","deadline":"2026-12-04T05:00:10Z",
             "idempotent":true,"tasks":)" +
         tasks + "}";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(config)

// Guards against a deadline read with the wrong offset or fraction.
BOOST_AUTO_TEST_CASE(rfc3339_offset_and_fraction) {
  const auto time = ParseRfc3339("2026-12-04T06:30:00.25+01:30");
  BOOST_REQUIRE(time.has_value());
  BOOST_TEST((*time == kNow + milliseconds(250)));
  BOOST_TEST(FormatRfc3339(*time) == "2026-12-04T05:00:00.25Z");
  BOOST_TEST(FormatRfc3339(kNow) == "2026-12-04T05:00:00Z");
  for (const char* const bad :
       {"2026-12-04T05:00:00", "2026-02-30T05:00:00Z", "2026-12-04 05:00:00Z", "",
        "2026-12-04T05:00:00.Z", "2026-12-04T24:00:00Z", "2026-12-04T05:00:00Zx",
        "2026-12-04T05:00:00+1:30", "9999-12-04T05:00:00Z"}) {
    BOOST_TEST(!ParseRfc3339(bad).has_value(), bad);
  }
}

// Guards against accepting a time that its offset or a leap second moves out of the range, because
// FormatRfc3339 would write it as text that ParseRfc3339 rejects (found by job_fuzz).
BOOST_AUTO_TEST_CASE(rfc3339_range_applies_to_the_time_in_utc) {
  for (const char* const bad : {"2199-12-31T23:59:60Z", "2199-12-31T23:30:00-01:00",
                                "1970-01-01T00:30:00+01:00", "1969-12-31T23:59:59Z"}) {
    BOOST_TEST(!ParseRfc3339(bad).has_value(), bad);
  }
  for (const char* const edge : {"1970-01-01T00:00:00Z", "2199-12-31T23:59:59.999999999Z"}) {
    const auto time = ParseRfc3339(edge);
    BOOST_TEST_REQUIRE(time.has_value(), edge);
    BOOST_TEST(FormatRfc3339(*time) == edge);
  }
  BOOST_TEST(ParseRfc3339("1969-12-31T23:30:00-01:00").has_value());
}

// Guards against reporting only the first fault of a file, and against silently ignoring a mistyped
// key.
BOOST_AUTO_TEST_CASE(settings_report_all_faults_by_path) {
  const auto parsed = EntrySettings::Parse(R"({
    "name":"entry-1","region":"pl","zone":"pl-a","rack":7,
    "internal_address":"localhost:7100","http_address":"127.0.0.1:8100",
    "platform_address":"127.0.0.1:0","slow_client_timeout_s":5,
    "peers":[{"name":"entry-2","address":"127.0.0.1:7101"},
             {"name":"entry-2","address":"127.0.0.1:7102"},
             {"name":"entry-1","address":"127.0.0.1:7103"}],
    "max_connections":0,"max_body_bytes":"8MB","outage_mode":"confirmed"})");
  const std::set<std::string> expected = {
      "$.rack",          "$.internal_address", "$.platform_address", "$.slow_client_timeout_s",
      "$.peers[1].name", "$.peers[2].name",    "$.max_connections",  "$.max_body_bytes",
      "$.outage_mode"};
  BOOST_TEST(PathsOf(parsed) == expected, boost::test_tools::per_element());
  BOOST_TEST(Contains(MessagesOf(parsed), R"(did you mean "slow_client_timeout_ms"?)"));
  BOOST_TEST(Contains(MessagesOf(parsed), R"(did you mean "confirm"?)"));
}

// Guards against an exception from a settings path that is missing or a directory.
BOOST_AUTO_TEST_CASE(unreadable_settings_file_is_a_fault) {
  const std::string examples = FOXTAILRUDDER_SOURCE_DIR "/examples";
  BOOST_TEST(EntrySettings::ParseFile(examples).index() == 1U);
  BOOST_TEST(EntrySettings::ParseFile(examples + "/none.json").index() == 1U);
  BOOST_TEST(EntrySettings::ParseFile(examples + "/entry.json").index() == 0U);
}

// Guards against accepting announcements from other machines on the network.
BOOST_AUTO_TEST_CASE(sidecar_announces_on_loopback_only) {
  const auto parsed = SidecarSettings::Parse(R"({
    "name":"sidecar-1","region":"pl","zone":"pl-a","rack":"r1","worker":"w1",
    "internal_address":"127.0.0.1:7200","announce_address":"10.0.0.1:7300","entries":[]})");
  const std::set<std::string> expected = {"$.announce_address", "$.entries"};
  BOOST_TEST(PathsOf(parsed) == expected, boost::test_tools::per_element());
}

// Guards against examples that the parsers no longer accept.
BOOST_AUTO_TEST_CASE(examples_are_valid) {
  BOOST_TEST(MessagesOf(EntrySettings::Parse(ReadExample("entry.json"))) == "");
  BOOST_TEST(MessagesOf(SidecarSettings::Parse(ReadExample("sidecar.json"))) == "");
  for (const std::string user : {"registry", "taldyk"}) {
    const auto bundle = ParseBundle(ReadExample(user + ".bundle.json"));
    const auto job = ParseJob(ReadExample(user + "-job.json"), "key", kNow);
    BOOST_TEST(MessagesOf(bundle) == "");
    BOOST_TEST(MessagesOf(job) == "");
    if (bundle.index() != 0 || job.index() != 0) continue;
    const auto& spec = std::get<JobSpec>(job);
    BOOST_TEST(std::get<Bundle>(bundle).FindTeam(spec.key.team) != nullptr);
    BOOST_TEST(std::get<Bundle>(bundle).FindService(spec.service) != nullptr);
  }
}

// Guards against a bundle that changes when it is written and read back.
BOOST_AUTO_TEST_CASE(bundle_round_trip) {
  Bundle bundle;
  bundle.services = {{"booking", 5, milliseconds(250)}};
  bundle.zones = {"kz-a", "kz-b"};
  bundle.urgency_rules = {{Urgency::kUrgent, milliseconds(2'000)}};
  bundle.teams = {{"taldyk", "kz", 100, 200}};
  bundle.limits.retry_budget_percent = 7;
  const auto parsed = ParseBundle(FormatBundle(bundle));
  BOOST_TEST(MessagesOf(parsed) == "");
  BOOST_TEST((std::get<Bundle>(parsed) == bundle));
  BOOST_TEST(DigestOfBundle("").size() == 32U);
  BOOST_TEST(DigestOfBundle("a") != DigestOfBundle("b"));
}

// Guards against a bundle in which two entries contradict each other.
BOOST_AUTO_TEST_CASE(bundle_faults_by_path) {
  const auto parsed = ParseBundle(R"({
    "services":[{"name":"booking"},{"name":"booking","max_size":1}],
    "zones":["kz-a","kz-a",7],
    "urgency_rules":[{"urgency":"urgent","head_start_ms":1},{"urgency":"urgent","head_start_ms":-2},
                     {"urgency":"urgent","head_start_ms":2}],
    "teams":[{"name":"taldyk","tasks_per_second":0,"burst":1}],
    "limits":{"retention_ms":86400000,"max_deadline_ms":3600000,
              "durable_claim_retention_ms":3600000}})");
  const std::set<std::string> expected = {"$.services[1].name",
                                          "$.services[1].max_size",
                                          "$.zones[1]",
                                          "$.zones[2]",
                                          "$.urgency_rules[1].head_start_ms",
                                          "$.urgency_rules[2].urgency",
                                          "$.teams[0].home_region",
                                          "$.teams[0].tasks_per_second",
                                          "$.limits.durable_claim_retention_ms"};
  BOOST_TEST(PathsOf(parsed) == expected, boost::test_tools::per_element());
}

// Guards against silently using the second of two members with the same name.
BOOST_AUTO_TEST_CASE(duplicate_member_is_rejected) {
  BOOST_TEST(Contains(
      MessagesOf(CtlSettings::Parse(R"({"entry":"127.0.0.1:1","operator":"a","operator":"b"})")),
      "twice"));
}

// Guards against a payload that is altered on its way to the endpoint, and against a job without
// its digest.
BOOST_AUTO_TEST_CASE(job_payloads) {
  const auto parsed =
      ParseJob(JobWith(R"([{"id":"a","payload":"text"},{"id":"b","payload":{"x":[1,2]},"size":3,
                  "run_time_hint":40}])"),
               "\"key-1\"", kNow);
  BOOST_TEST(MessagesOf(parsed) == "");
  const auto& job = std::get<JobSpec>(parsed);
  BOOST_TEST(job.key.idempotency_key == "key-1");
  BOOST_TEST(job.tasks[0].payload == "text");
  BOOST_TEST(!job.tasks[0].size.has_value());
  BOOST_TEST(job.tasks[1].payload == R"({"x":[1,2]})");
  BOOST_TEST(job.tasks[1].run_time_hint.value().count() == 40);
  BOOST_TEST(job.digest == DigestOf(job));
  BOOST_TEST((job.deadline == kNow + milliseconds(10'000)));
}

// Guards against duplicate task ids, which make results indistinguishable, and against a missing
// idempotent flag, which could allow a second run.
BOOST_AUTO_TEST_CASE(job_faults_by_path) {
  const auto parsed = ParseJob(R"({"team":"a b","service":"s","deadline":"tomorrow","tasks":[
      {"id":"t","payload":1},{"id":"t","payload":1},{"payload":1,"runtime_hint":1},3]})",
                               "", kNow);
  const std::set<std::string> expected = {"Idempotency-Key",
                                          "$.team",
                                          "$.deadline",
                                          "$.idempotent",
                                          "$.tasks[1].id",
                                          "$.tasks[2].id",
                                          "$.tasks[2].runtime_hint",
                                          "$.tasks[3]"};
  BOOST_TEST(PathsOf(parsed) == expected, boost::test_tools::per_element());
}

// Guards against accepting jobs with too many tasks or none.
BOOST_AUTO_TEST_CASE(job_size_limits) {
  const auto tasks = [](std::size_t count) {
    std::string list;
    for (std::size_t i = 0; i < count; ++i) {
      list += (i == 0 ? "" : ",") + (R"({"id":")" + std::to_string(i)) + R"(","payload":null})";
    }
    return "[" + list + "]";
  };
  BOOST_TEST(MessagesOf(ParseJob(JobWith(tasks(kMaxTasksPerJob)), "k", kNow)) == "");
  BOOST_TEST(ParseJob(JobWith(tasks(kMaxTasksPerJob + 1)), "k", kNow).index() == 1U);
  BOOST_TEST(ParseJob(JobWith("[]"), "k", kNow).index() == 1U);
}

// Guards against a crash or a response of unlimited size on hostile input.
BOOST_AUTO_TEST_CASE(hostile_documents) {
  for (const std::string& text :
       {std::string(), std::string(100'000, '['), std::string("{\"a\":\"\xff\"}"),
        std::string("{}{}"), std::string("[1]"), std::string("{\"tasks\":") + "1e999}"}) {
    BOOST_TEST(ParseJob(text, "k", kNow).index() == 1U);
  }
  std::string members = "{";
  for (int i = 0; i < 1'000; ++i) members += "\"m" + std::to_string(i) + "\":0,";
  members.back() = '}';
  BOOST_TEST(std::get<Faults>(ParseBundle(members)).size() == kMaxFaults);
}

// Guards against an answer that is not valid JSON because an endpoint sent bytes that are not
// UTF-8.
BOOST_AUTO_TEST_CASE(answers) {
  const JobKey key{"registry", "k"};
  const JobComplete complete{{{"t", 200, "yes \"1\""}, {"u", 500, "\xff\x01"}}};
  BOOST_TEST(FormatJobAnswer(key, complete) ==
             R"({"team":"registry","key":"k","state":"complete","results":[)"
             R"({"id":"t","status":200,"body":"yes \"1\""},)"
             R"({"id":"u","status":500,"body_base64":"/wE="}]})");
  BOOST_TEST(FormatJobAnswer(key, Error{ErrorKind::kQuotaExceeded, "team registry"}) ==
             R"({"team":"registry","key":"k","state":"failed",)"
             R"("type":"urn:foxtailrudder:error:quota_exceeded",)"
             R"("title":"The team's quota is used up","status":429,"detail":"team registry",)"
             R"("kind":"quota_exceeded","not_run":true})");
  BOOST_TEST(FormatStatus(key, {1, 2, 3}) ==
             R"({"team":"registry","key":"k","state":"in_progress","queued":1,"running":2,)"
             R"("finished":3})");
  BOOST_TEST(
      Contains(FormatProblem({ErrorKind::kMalformedRequest, ""}, {{"$.team", "is required"}}),
               R"("faults":[{"path":"$.team","message":"is required"}])"));
}

// Guards against fields, or numbers above 2^63, that are lost when a row is stored.
BOOST_AUTO_TEST_CASE(rows_round_trip) {
  ControlRow control;
  control.version = 9;
  control.bundle = {3, "d1", "ann", "bob", kNow};
  control.bundle_history = {{2, "d0", "ann", "eve", kNow}};
  control.proposals = {{"d2", "eve", kNow}};
  control.zones = {{"pl-a", ZoneState::kOut, 8, kNow + std::chrono::nanoseconds(1)}};
  control.drains = {{~0ULL, "sidecar-1", 7}};
  control.changes = {{"c1", "ann", "zone pl-a out", 8}};
  BOOST_TEST((std::get<ControlRow>(DecodeControlRow(EncodeControlRow(control))) == control));

  MembersRow members;
  members.version = 4;
  members.members = {{~0ULL, 2, "sidecar-1", NodeRole::kSidecar, MemberState::kDraining,
                      "127.0.0.1:1", "", "pl-a", "r1", "w1", "entry-check", 8, 64, 3, kNow}};
  members.tombstones = {{5, 6, NodeRole::kEntry, "s", "z", "r", kNow, kNow + milliseconds(1)}};
  members.changes = {{"c2", "", "join", 4}};
  BOOST_TEST((std::get<MembersRow>(DecodeMembersRow(EncodeMembersRow(members))) == members));

  const DurableClaim claim{{"taldyk", "k"}, ~0ULL, {{1, 2}, 3}, kNow};
  BOOST_TEST((std::get<DurableClaim>(DecodeDurableClaim(EncodeDurableClaim(claim))) == claim));
}

// Guards against accepting an incomplete row, and against rejecting a row with members of a later
// release.
BOOST_AUTO_TEST_CASE(row_faults) {
  MembersRow row;
  row.version = 1;
  const std::string text = EncodeMembersRow(row);
  BOOST_TEST(DecodeMembersRow(text.substr(0, text.size() - 1) + R"(,"later":1})").index() == 0U);
  BOOST_TEST(DecodeMembersRow(R"({"format":2,"version":1,"members":[],"tombstones":[],
                                  "changes":[]})")
                 .index() == 1U);
  BOOST_TEST(DecodeMembersRow(R"({"format":1,"version":1})").index() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
