#include "observe/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)

namespace {

Now AtSecond(int seconds) { return {SteadyTime(std::chrono::seconds(seconds)), WallTime()}; }

/// A pipe that the event log writes to and the test reads from.
struct Pipe {
  std::array<int, 2> ends{};
  Pipe() { BOOST_REQUIRE(::pipe(ends.data()) == 0); }
  ~Pipe() {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  std::string ReadAll() {
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> chunk{};
    for (auto size = ::read(ends[0], chunk.data(), chunk.size()); size > 0;
         size = ::read(ends[0], chunk.data(), chunk.size())) {
      text.append(chunk.data(), static_cast<std::size_t>(size));
    }
    return text;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(event_log)

// Guards against log lines that a log collector cannot parse.
BOOST_AUTO_TEST_CASE(a_line_is_one_json_object) {
  Pipe pipe;
  const auto log = EventLog::Create("entry-1", "plock", 7, {10, 10, 10}, pipe.ends[1]);
  log->Tick(AtSecond(1));
  log->Record(DecisionClass::kAnomaly, "job_refused", "a\"b",
              {{"wait_ms", std::int64_t{5}}, {"reason", "x\n"}});
  log->Tick(AtSecond(1));
  const std::string text = pipe.ReadAll();
  BOOST_TEST(text.starts_with(R"({"time_ms":)"));
  BOOST_TEST(
      text.find(R"("process":"entry-1","zone":"plock","incarnation":7,"event":"job_refused",)"
                R"("request":"a\"b","wait_ms":5,"reason":"x\u000a"})") != std::string::npos);
  BOOST_TEST(text.back() == '\n');
}

// Guards against high load filling the log collector's disk, and against routine lines displacing
// lines about failures. Records ten times the rate limit of routine lines.
BOOST_AUTO_TEST_CASE(each_class_has_its_rate_limit_and_dropped_lines_are_counted) {
  Pipe pipe;
  const auto log = EventLog::Create("entry-1", "plock", 7, {20, 20, 20}, pipe.ends[1]);
  log->Tick(AtSecond(1));
  for (int i = 0; i < 200; ++i) log->Record(DecisionClass::kRoutine, "job_taken", "a", {});
  for (int i = 0; i < 10; ++i) log->Record(DecisionClass::kAnomaly, "job_refused", "a", {});
  log->Tick(AtSecond(2));
  const std::string text = pipe.ReadAll();
  const auto count = [&text](const std::string& event) {
    std::size_t found = 0;
    for (auto at = text.find(event); at != std::string::npos; at = text.find(event, at + 1))
      ++found;
    return found;
  };
  BOOST_TEST(count("job_taken") == 20U);
  BOOST_TEST(count("job_refused") == 10U);
  BOOST_TEST(text.find(R"("event":"log_lines_dropped","routine":180,"anomaly":0,"belief":0)") !=
             std::string::npos);
}

// Guards against a process that blocks because its standard output is not read.
BOOST_AUTO_TEST_CASE(a_full_or_closed_output_never_blocks) {
  Pipe pipe;
  const auto log = EventLog::Create("entry-1", "plock", 7, {1'000'000, 1, 1'000'000}, pipe.ends[1]);
  const auto started = std::chrono::steady_clock::now();
  for (int second = 1; second <= 10; ++second) {
    for (int i = 0; i < 2'000; ++i) log->Record(DecisionClass::kRoutine, "job_taken", "a", {});
    log->Tick(AtSecond(second));
  }
  // The output is blocked for ten simulated seconds. A blocking write would never return.
  BOOST_TEST((std::chrono::steady_clock::now() - started < std::chrono::seconds(5)));
  BOOST_TEST(log->dropped_lines() > 10'000U);
}

BOOST_AUTO_TEST_SUITE_END()
