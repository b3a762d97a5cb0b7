#include <boost/test/unit_test.hpp>
#include <fstream>
#include <list>
#include <random>
#include <thread>

#include "app/tests/fleet.h"
#include "app/tests/raw_connection.h"
#include "transport/transport.h"

namespace foxtailrudder::app_test {
namespace {

namespace json = boost::json;

const std::string kMalformedSeries =
    R"(foxtailrudder_http_refusals_total{reason="malformed_request"})";

std::string RefusalSeries(const std::string& kind) {
  return "foxtailrudder_refusals_total{reason=\"" + kind + "\"}";
}

/// A valid submission, which the tests make invalid.
json::object ValidJob() {
  Job job;
  job.key = "valid";
  return json::parse(Fleet::SubmissionBody(job)).as_object();
}

json::object TaskWithId(const std::string& id) {
  return {{"id", id}, {"payload", {{"run_ms", 1}}}};
}

/// Submits the body to the entry and checks the status and kind of the refusal, that the refusal
/// contains the expected text, that the counter rises by 1, and that no task started.
void CheckRefused(Fleet& fleet, const std::string& body, unsigned status, const std::string& kind,
                  const std::string& expected_text, const std::string& series) {
  static int number = 0;
  const Instance& entry = fleet.entries()[0];
  const double before = fleet.Metric(entry, series);
  BOOST_TEST(before >= 0, "no series " << series);
  HttpHeaders headers;
  headers.Add("Idempotency-Key", "bad-" + std::to_string(++number));
  const Reply reply = fleet.Post(entry.http, "/v1/jobs", body, headers);
  BOOST_TEST(reply.status == status, expected_text << ": " << reply.body << reply.failure);
  BOOST_TEST(reply.ErrorKind() == kind, reply.body);
  BOOST_TEST(reply.IsNotRun(), reply.body);
  BOOST_TEST(reply.body.find(expected_text) != std::string::npos,
             "does not name " << expected_text << ": " << reply.body);
  BOOST_TEST(fleet.Metric(entry, series) == before + 1, series << " did not rise by 1");
  BOOST_TEST(fleet.CountStarts("bad-" + std::to_string(number)) == 0U);
}

void CheckStillServing(Fleet& fleet, const std::string& key) {
  for (Instance& entry : fleet.entries()) BOOST_TEST(entry.process->IsRunning(), entry.name);
  for (Instance& sidecar : fleet.sidecars()) BOOST_TEST(sidecar.process->IsRunning(), sidecar.name);
  Job job;
  job.key = key;
  const Reply reply = fleet.Submit(fleet.entries()[0], job);
  BOOST_TEST(reply.status == 200U, reply.body << reply.failure);
}

/// A request that submits a job of one task, which runs for some seconds.
std::string SlowSubmission(const std::string& key) {
  Job job;
  job.key = key;
  job.run_ms = 5'000;
  const std::string body = Fleet::SubmissionBody(job);
  return "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nIdempotency-Key: " + key +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Checks that connections without a request beyond the limit are closed in favour of new ones, and
/// that connections whose request awaits its answer are not: further ones are refused.
void CheckConnectionLimit(Fleet& fleet, const Instance& entry, int limit) {
  const std::string refused = "foxtailrudder_http_connections_refused_total";
  BOOST_TEST(fleet.Metric(entry, refused) == 0);
  {
    std::list<RawConnection> idle;
    for (int i = 0; i < limit; ++i) idle.emplace_back(entry.http);
    // Connections that have just been opened keep their places.
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    for (int i = 0; i < limit; ++i) idle.emplace_back(entry.http);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    BOOST_TEST(fleet.Get(entry.http, "/livez").status == 200U);
    BOOST_TEST(fleet.Metric(entry, "foxtailrudder_http_connections_evicted_total") >= limit);
    BOOST_TEST(idle.front().ReadUntilClosed(kWaitTimeout).empty());
    BOOST_TEST(idle.front().was_closed());
  }
  // The connection that the test's own requests have just used keeps its place as well.
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  {
    std::list<RawConnection> waiting;
    for (int i = 0; i < limit; ++i) {
      waiting.emplace_back(entry.http);
      waiting.back().Send(SlowSubmission("waiting-" + std::to_string(i)));
    }
    std::string answer;
    fleet.WaitUntil("all places are taken by requests", [&] {
      RawConnection further(entry.http);
      answer = further.ReadUntilClosed(std::chrono::milliseconds(200));
      return !answer.empty();
    });
    BOOST_TEST(answer.find(" 503 ") != std::string::npos, answer);
    BOOST_TEST(answer.find("no_capacity") != std::string::npos, answer);
    for (RawConnection& connection : waiting) {
      BOOST_TEST(connection.ReadUntilClosed(std::chrono::milliseconds(10)).empty());
      BOOST_TEST(!connection.was_closed());
    }
  }
  fleet.WaitUntil("connections are accepted again",
                  [&] { return fleet.Get(entry.http, "/livez").status == 200; });
  BOOST_TEST(fleet.Metric(entry, refused) >= 1);
}

/// Runs the binary with the settings until it exits.
ExitResult RunWithSettings(Fleet& fleet, const std::string& role, const json::object& settings,
                           std::string& output) {
  const auto path = fleet.directory() / ("bad-" + role + ".json");
  std::ofstream(path) << json::serialize(settings);
  Instance instance;
  instance.name = "bad-" + role;
  instance.command = {FOXTAILRUDDER_BINARY, role, "--config", path.string()};
  fleet.Start(instance);
  const auto result = instance.process->Wait(kWaitTimeout);
  BOOST_REQUIRE_MESSAGE(result, role << " keeps running with invalid settings");
  output = fleet.LogTail(instance);
  return *result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(bad_input_process)

// Guards against invalid submissions that are accepted, refused without a reason, or crash the
// process.
BOOST_AUTO_TEST_CASE(bad_submissions) {
  Fleet fleet({.entries = 1, .sidecars = 2});
  const auto malformed = [&](const std::string& body, const std::string& expected_text) {
    CheckRefused(fleet, body, 400, "malformed_request", expected_text, kMalformedSeries);
  };
  malformed("{\"team\": ", "");
  malformed("[1, 2]", "");
  malformed("\xff\xfe{}", "");

  json::object job = ValidJob();
  job["tasks"] = json::array{};
  malformed(json::serialize(job), "tasks");

  json::array many;
  for (int i = 0; i < 1301; ++i) many.push_back(TaskWithId("t" + std::to_string(i)));
  job["tasks"] = many;
  malformed(json::serialize(job), "tasks");

  job["tasks"] = json::array{TaskWithId("same"), TaskWithId("same")};
  malformed(json::serialize(job), "tasks[1].id");

  job = ValidJob();
  job["colour"] = "red";
  malformed(json::serialize(job), "colour");

  job = ValidJob();
  job["deadline"] = "yesterday";
  malformed(json::serialize(job), "deadline");

  job = ValidJob();
  job["deadline"] = "2020-01-01T00:00:00Z";
  CheckRefused(fleet, json::serialize(job), 422, "deadline_passed", "deadline",
               RefusalSeries("deadline_passed"));
  job = ValidJob();
  job["team"] = "no-such-team";
  CheckRefused(fleet, json::serialize(job), 403, "unknown_team", "no-such-team",
               RefusalSeries("unknown_team"));
  job = ValidJob();
  job["service"] = "no-such-service";
  CheckRefused(fleet, json::serialize(job), 404, "unknown_service", "no-such-service",
               RefusalSeries("unknown_service"));
  CheckStillServing(fleet, "after-bad-submissions");
}

// Guards against requests over a limit that hold memory or a connection indefinitely.
BOOST_AUTO_TEST_CASE(requests_over_a_limit) {
  Fleet fleet({.entries = 1,
               .sidecars = 2,
               .entry_settings = {{"max_connections", 20}, {"slow_client_timeout_ms", 500}}});
  const Instance& entry = fleet.entries()[0];
  const std::string refusal_series = "foxtailrudder_http_requests_refused_total";

  double before = fleet.Metric(entry, refusal_series);
  {
    RawConnection connection(entry.http);
    constexpr std::size_t kBody = 100'000'000;
    connection.Send(
        "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nIdempotency-Key: huge\r\nContent-Length: " +
        std::to_string(kBody) + "\r\n\r\n");
    // The entry refuses the request by its Content-Length and may close without reading the body.
    const std::string part(1'000'000, ' ');
    for (std::size_t sent = 0; sent < kBody && connection.Send(part); sent += part.size()) {
    }
    const std::string answer = connection.ReadUntilClosed(kWaitTimeout);
    BOOST_TEST(answer.find(" 413 ") != std::string::npos, answer);
    BOOST_TEST(answer.find("body_too_large") != std::string::npos, answer);
  }
  BOOST_TEST(fleet.Metric(entry, refusal_series) == before + 1);

  before = fleet.Metric(entry, refusal_series);
  {
    RawConnection connection(entry.http);
    connection.Send("GET /livez HTTP/1.1\r\nHost: x\r\nX-Large: " + std::string(40'000, 'x') +
                    "\r\n\r\n");
    const std::string answer = connection.ReadUntilClosed(kWaitTimeout);
    BOOST_TEST(answer.find(" 431 ") != std::string::npos, answer);
  }
  BOOST_TEST(fleet.Metric(entry, refusal_series) == before + 1);

  before = fleet.Metric(entry, refusal_series);
  {
    RawConnection connection(entry.http);
    connection.Send("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"team\"");
    const std::string answer = connection.ReadUntilClosed(kWaitTimeout);
    BOOST_TEST(answer.find(" 408 ") != std::string::npos, answer);
    BOOST_TEST(connection.was_closed());
  }
  BOOST_TEST(fleet.Metric(entry, refusal_series) == before + 1);

  CheckConnectionLimit(fleet, entry, 20);
  CheckStillServing(fleet, "after-limits");
}

// Guards against invalid bytes on the internal port that crash a process or are accepted as a
// message.
BOOST_AUTO_TEST_CASE(bad_frames) {
  Fleet fleet({.entries = 1, .sidecars = 2});
  std::mt19937 random(7);
  for (const auto* instances : {&fleet.entries(), &fleet.sidecars()}) {
    const Instance& instance = instances->front();
    const auto malformed_frames = [&] {
      return fleet.Metric(instance, "foxtailrudder_network_malformed_frames_total");
    };
    double before = malformed_frames();
    for (int round = 0; round < 5; ++round) {
      std::vector<std::uint8_t> payload(64);
      for (auto& byte : payload) byte = static_cast<std::uint8_t>(random());
      const auto frame = MakeFrame(payload);
      RawConnection connection(instance.internal);
      connection.Send(std::get<std::vector<std::uint8_t>>(frame));
      connection.ReadUntilClosed(kWaitTimeout);
      BOOST_TEST(connection.was_closed());
    }
    BOOST_TEST(malformed_frames() == before + 5, instance.name);

    // A valid Hello, followed by a malformed frame.
    before = malformed_frames();
    {
      RawConnection connection(instance.internal);
      const auto hello = MakeFrame(EncodeHello({kProtocolVersion, {4711, 1}, "pl"}));
      connection.Send(std::get<std::vector<std::uint8_t>>(hello));
      connection.Send(std::string("\x08\0\0\0random!!", 12));
      connection.ReadUntilClosed(kWaitTimeout);
      BOOST_TEST(connection.was_closed());
    }
    BOOST_TEST(malformed_frames() == before + 1, instance.name);

    const std::string hellos = "foxtailrudder_network_refused_hellos_total";
    before = fleet.Metric(instance, hellos);
    {
      RawConnection connection(instance.internal);
      const auto hello = MakeFrame(EncodeHello({kProtocolVersion + 1, {4711, 1}, "pl"}));
      connection.Send(std::get<std::vector<std::uint8_t>>(hello));
      connection.ReadUntilClosed(kWaitTimeout);
      BOOST_TEST(connection.was_closed());
    }
    BOOST_TEST(fleet.Metric(instance, hellos) == before + 1, instance.name);
    // The log thread writes the line after the connection has been closed.
    BOOST_TEST(fleet.WaitForLog(instance, "protocol version", kLogTimeout), instance.name);
  }
  CheckStillServing(fleet, "after-frames");
}

// Guards against an invalid announcement that replaces a valid one.
BOOST_AUTO_TEST_CASE(bad_announcement) {
  Fleet fleet({.entries = 1, .sidecars = 1});
  const Instance& sidecar = fleet.sidecars()[0];
  const double before = fleet.Metric(sidecar, kMalformedSeries);
  const Reply reply = fleet.Post(
      sidecar.http, "/v1/announce",
      R"({"service":"entry-check","address":"127.0.0.1:9","worker":"w","rack":"r","slots":0,"connections":1})");
  BOOST_TEST(reply.status == 400U, reply.body << reply.failure);
  BOOST_TEST(reply.body.find("slots") != std::string::npos, reply.body);
  BOOST_TEST(fleet.Metric(sidecar, kMalformedSeries) == before + 1);
  CheckStillServing(fleet, "after-announcement");
}

// Guards against invalid settings that are reported one at a time or not at all.
BOOST_AUTO_TEST_CASE(bad_settings) {
  Fleet fleet({.entries = 1, .sidecars = 1});
  const json::object settings{{"name", "bad"},
                              {"zone", 7},
                              {"no_such_key", true},
                              {"max_connections", "many"},
                              {"log_format", "poetry"}};
  for (const std::string role : {"entry", "sidecar"}) {
    std::string output;
    const ExitResult result = RunWithSettings(fleet, role, settings, output);
    BOOST_TEST(result.status == 2, output);
    for (const std::string expected_text :
         {"zone", "no_such_key", "log_format", "internal_address"}) {
      BOOST_TEST(output.find(expected_text) != std::string::npos, "does not name " << expected_text
                                                                                   << ":\n"
                                                                                   << output);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace foxtailrudder::app_test
