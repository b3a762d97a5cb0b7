#include "transport/codec.h"

#include <boost/test/unit_test.hpp>
#include <pcg_random.hpp>

#include "transport/frame.h"

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)

namespace {

const JobKey kKey{"registry", "entry-1"};
const TaskRef kTask{kKey, 3};
const SubmissionId kSubmission{{11, 12}, 13};
const TaskOutcome kOutcome{TaskResult{"t1", 409, std::string("a\0b", 3)}};
const Error kFailure{ErrorKind::kOutcomeUnknown, "executor lost"};

WallTime Wall(std::int64_t ns) { return WallTime(std::chrono::nanoseconds(ns)); }

SteadyTime Steady(std::int64_t ns) { return SteadyTime(std::chrono::nanoseconds(ns)); }
constexpr std::chrono::milliseconds Ms(std::int64_t ms) { return std::chrono::milliseconds(ms); }
const WorkerLoad kLoad{{1, 2, 3}, 4, 5, 6, 7};

JobSpec SampleJob() {
  JobSpec job{kKey, "checks", Urgency::kUrgent, Wall(-5), false, {}, 77};
  job.tasks = {{"t1", "payload", 4, std::chrono::milliseconds(300)}, {"t2", "", {}, {}}};
  return job;
}

Member SampleMember() {
  return {7,
          8,
          "s7",
          NodeRole::kEntry,
          MemberState::kDraining,
          "127.0.0.1:1",
          "h",
          "zone",
          "rack",
          "worker",
          "checks",
          8,
          64,
          9,
          Wall(10)};
}

ControlRow SampleControl() {
  return {4,
          {1, "d", "p", "a", Wall(1)},
          {{2, "d2", "p", "a", Wall(2)}},
          {{"d3", "p3", Wall(3)}},
          {{"z", ZoneState::kOut, 3, Wall(4)}},
          {{5, "s5", 6}},
          {{"c", "o", "s", 4}}};
}

/// At least one value of each message type, with members that differ from their defaults.
std::vector<Message> Samples() {
  const Tombstone tombstone{1, 2, NodeRole::kEntry, "s", "z", "r", Wall(3), Wall(4)};
  const MembersDelta delta{1, 2, {SampleMember()}, {5, 6}, {tombstone}};
  ClaimRecord claim{SampleJob(), {kSubmission}, {kSubmission}, {{{1, 2}, 3, kOutcome}, {}},
                    {},          true};
  ClaimRecord ended = claim;
  ended.answer = JobComplete{{{"t1", 200, "r"}}};
  return {
      Heartbeat{1, SteadyTime(std::chrono::nanoseconds(2)), 3, 4, 5, SampleMember(), true, true, 6,
                7},
      Heartbeat{},
      HeartbeatReply{1, SteadyTime(std::chrono::nanoseconds(2)), std::chrono::milliseconds(3),
                     std::chrono::milliseconds(4), PermitRefusal::kDraining, SampleControl(), delta,
                     "{}"},
      HeartbeatReply{},
      PeerStatus{1, 2, {{{1, 2}, std::chrono::milliseconds(3), 4, 5}}, {{"team", 6}}},
      ConfirmRequest{1, 2, 3},
      ConfirmReply{1, true},
      PromiseRequest{"c", RowKind::kMembers, 2},
      PromiseReply{"c", true},
      ForwardJob{SampleJob(), kSubmission, 5, true},
      JobReply{kKey, kSubmission, 6, JobComplete{{{"t1", 200, "r"}}}},
      JobReply{kKey, kSubmission, 6, kFailure},
      CancelJob{kKey, kSubmission},
      QueryJob{kKey, kSubmission},
      JobStatus{kKey, kSubmission, JobProgress{1, 2, 3}},
      JobStatus{kKey, kSubmission, JobComplete{}},
      JobStatus{kKey, kSubmission, kFailure},
      DispatchTask{kTask, 1, "checks", "t4", "payload", false, 2, 3, Wall(4), Wall(5)},
      TaskRefused{kTask, 1, ErrorKind::kStaleDispatch, 2},
      TaskFinished{kTask, 1, kOutcome, std::chrono::milliseconds(2), 3},
      TaskFinished{kTask, 1, kFailure, std::chrono::milliseconds(2), 3},
      CancelTask{kTask, 1},
      TaskQuery{kTask, 1},
      TaskState{kTask, 1, StartState::kFinished, kOutcome},
      EvidenceRequest{1, 2, {0, 4095}},
      EvidenceReply{1,
                    false,
                    {{kKey, 1, 2, Wall(3), ForwardState::kFailed, kFailure}},
                    {{kTask, 1, Wall(2), StartState::kFinished, kOutcome}}},
      HandoverRequest{1, {2}},
      Handover{1, 2, true, Wall(0), false, {claim, ended}},
      HandoverAck{1, 2, true},
      WrongIncarnation{1},
      PlaceTasks{{"queue", "job"},
                 1,
                 "payload",
                 {2, 3, 4},
                 Ms(5),
                 14,
                 Ms(-6),
                 Ms(7),
                 {{8, 9, 10}, {11, 12, 13}},
                 true,
                 "service",
                 "label",
                 true,
                 Ms(15),
                 16},
      WithdrawTasks{{1, 2}},
      EndpointCrash{1, {{{"queue", "job"}, 2, 3}}},
      TaskReports{kLoad, {{1, 2, TaskEnd::kStalled, Ms(3), Ms(4)}}, 5},
      WorkerReport{Steady(1),
                   2,
                   "service",
                   "zone",
                   "worker",
                   {"a", "r1"},
                   {3, 4, 5},
                   kLoad,
                   true,
                   true,
                   1500,
                   {6, 7},
                   8,
                   "sidecar zone",
                   700,
                   true},
      EntryReport{Steady(1),
                  2,
                  3,
                  {"127.0.0.1:1", "127.0.0.1:2"},
                  4,
                  true,
                  Ms(500),
                  Ms(20),
                  {{5, "z1"}, {6, "z2"}},
                  7,
                  true,
                  8,
                  true,
                  9,
                  ClaimantKnowledge::kAllStarted},
      ClaimJobs{Steady(1),
                {{{"queue", "id"}, "service", true}, {{"other", "id"}, "service", false}}},
      ClaimAnswers{
          Steady(1),
          {{{"queue", "id"}, ClaimStatus::kHeld, {2, 3}, true, Ms(4), JobOutcome::kNone, true},
           {{"queue", "id"}, ClaimStatus::kEnded, {}, false, Ms(0), JobOutcome::kFailed, false}}},
      ReleaseClaim{{"queue", "id"}, JobOutcome::kCompleted, true},
      AttachToJob{{{"queue", "id"}, "service", true}, Ms(1'500), true, true},
      AttachedJobResult{
          {"queue", "id"}, AttachedJobState::kRefused, ErrorKind::kNoCapacity, Ms(1'000)},
      AgreedState{
          {{"config", 1, false, std::string("te\0xt", 5), true}, {"zone", 2, true, "", false}}},
      StateRequest{7}};
}

std::vector<std::uint8_t> SampleFrame(std::size_t index) {
  return Encode({{1, 2}, {3, 4}, Samples()[index]});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(codec)

// Guards against a member that is lost or swapped in encoding or decoding, for each message type.
BOOST_AUTO_TEST_CASE(every_message_survives_the_round_trip) {
  std::vector<bool> seen(std::variant_size_v<Message>);
  for (const Message& message : Samples()) {
    seen[message.index()] = true;
    const Envelope sent{{1, 2}, {3, 4}, message};
    const auto got = Decode(Encode(sent));
    BOOST_TEST_REQUIRE(std::holds_alternative<Envelope>(got), MessageName(message));
    BOOST_TEST((std::get<Envelope>(got) == sent), MessageName(message));
  }
  BOOST_TEST(std::count(seen.begin(), seen.end(), false) == 0);
}

// Guards against corrupted input that causes reads outside the buffer, or that is accepted with an
// invalid enum value. Sanitizer builds report the reads.
BOOST_AUTO_TEST_CASE(corrupted_messages_never_crash) {
  pcg32 random(17);
  const std::size_t count = Samples().size();
  for (int round = 0; round < 20'000; ++round) {
    auto bytes = SampleFrame(static_cast<std::size_t>(round) % count);
    const auto flips = random(4) + 1;
    for (unsigned i = 0; i < flips; ++i) {
      bytes[random(static_cast<std::uint32_t>(bytes.size()))] = static_cast<std::uint8_t>(random());
    }
    if (random(4) == 0) {
      bytes.resize(random(static_cast<std::uint32_t>(bytes.size())));
    }
    const auto got = Decode(bytes);
    if (const auto* envelope = std::get_if<Envelope>(&got)) {
      // An accepted message can be encoded and decoded again.
      BOOST_TEST_REQUIRE(std::holds_alternative<Envelope>(Decode(Encode(*envelope))));
    } else {
      BOOST_TEST_REQUIRE((std::get<Error>(got).kind == ErrorKind::kMalformedFrame));
    }
  }
}

// Guards against a shard number out of range, which would index past the end of the shard table.
BOOST_AUTO_TEST_CASE(shard_out_of_range_is_refused) {
  const auto got = Decode(Encode({{1, 2}, {3, 4}, HandoverAck{kShardCount, 1}}));
  BOOST_TEST(std::holds_alternative<Error>(got));
}

// Guards against a job over the task limit that reaches a coordinator.
BOOST_AUTO_TEST_CASE(job_over_the_task_limit_is_refused) {
  ForwardJob forward{SampleJob(), kSubmission, 5, true};
  forward.job.tasks.resize(kMaxTasksPerJob);
  BOOST_TEST(std::holds_alternative<Envelope>(Decode(Encode({{}, {}, forward}))));
  forward.job.tasks.resize(kMaxTasksPerJob + 1);
  BOOST_TEST(std::holds_alternative<Error>(Decode(Encode({{}, {}, forward}))));
}

// Guards against a Hello that is changed in encoding or decoding, and against empty input being
// accepted as one.
BOOST_AUTO_TEST_CASE(hello_survives_the_round_trip) {
  const Hello hello{9, {1, 2}, "pl"};
  const auto got = DecodeHello(EncodeHello(hello));
  BOOST_TEST_REQUIRE(std::holds_alternative<Hello>(got));
  BOOST_TEST((std::get<Hello>(got) == hello));
  BOOST_TEST(std::holds_alternative<Error>(DecodeHello({})));
}

// Guards against frames that are lost or merged when TCP splits the stream at any position.
BOOST_AUTO_TEST_CASE(frames_are_found_at_any_split) {
  const std::vector<std::uint8_t> first{1, 2, 3};
  const std::vector<std::uint8_t> second(300, 7);
  std::vector<std::uint8_t> stream;
  for (const auto& payload : {first, second}) {
    const auto frame = std::get<0>(MakeFrame(payload));
    stream.insert(stream.end(), frame.begin(), frame.end());
  }
  for (std::size_t step = 1; step <= stream.size(); ++step) {
    FrameDecoder decoder;
    std::vector<std::vector<std::uint8_t>> got;
    for (std::size_t at = 0; at < stream.size(); at += step) {
      decoder.Feed(std::span(stream).subspan(at, std::min(step, stream.size() - at)));
      for (auto next = decoder.Next(); std::get<0>(next); next = decoder.Next()) {
        got.push_back(*std::get<0>(next));
      }
    }
    BOOST_TEST_REQUIRE(got.size() == 2U);
    BOOST_TEST((got[0] == first && got[1] == second));
    BOOST_TEST(decoder.buffered_bytes() == 0U);
  }
}

// Guards against allocating memory for an arbitrary length sent by a stray client.
BOOST_AUTO_TEST_CASE(frame_length_is_bounded) {
  for (const std::vector<std::uint8_t>& prefix :
       {std::vector<std::uint8_t>{0xff, 0xff, 0xff, 0xff}, {1, 0, 0, 1}, {0, 0, 0, 0}}) {
    FrameDecoder decoder;
    decoder.Feed(prefix);
    BOOST_TEST(std::holds_alternative<Error>(decoder.Next()));
    decoder.Feed(prefix);
    BOOST_TEST(std::holds_alternative<Error>(decoder.Next()));
  }
  BOOST_TEST(
      std::holds_alternative<Error>(MakeFrame(std::vector<std::uint8_t>(kMaxFrameBytes + 1))));
}

BOOST_AUTO_TEST_SUITE_END()
