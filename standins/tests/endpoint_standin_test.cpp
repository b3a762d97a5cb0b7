#include "standins/endpoint_standin.h"

#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <mutex>
#include <set>

#include "config/rfc3339.h"
#include "http/server.h"

using namespace foxtailrudder;            // NOLINT(google-build-using-namespace)
using namespace foxtailrudder::standins;  // NOLINT(google-build-using-namespace)

namespace {

/// A wait that takes longer fails the test.
constexpr std::chrono::seconds kWaitTimeout{20};

/// Records the bodies of received requests and the results of sent ones.
class Recorder : public HttpHandler {
 public:
  void OnRequest(HttpRequest request, HttpResponder responder) override {
    Add(std::move(request.body));
    responder.Respond({});
  }
  void OnClientDisconnected(HttpRequestId /*request*/) override {}

  std::function<void(HttpClientResult)> Callback() {
    return [this](const HttpClientResult& result) {
      const auto* response = std::get_if<HttpClientResponse>(&result);
      Add(response != nullptr ? std::to_string(response->status) + " " + response->body : "error");
    };
  }
  bool WaitFor(const std::string& text) {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, kWaitTimeout, [&] {
      for (const std::string& entry : m_texts) {
        if (entry.find(text) != std::string::npos) {
          return true;
        }
      }
      return false;
    });
  }

 private:
  void Add(std::string text) {
    const std::lock_guard lock(m_mutex);
    m_texts.push_back(std::move(text));
    m_changed.notify_all();
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<std::string> m_texts;
};

struct Fixture {
  explicit Fixture(EndpointConfig config = {}) {
    config.service = "checks";
    auto created = EndpointStandin::Create(config, *client, scheduler);
    BOOST_TEST_REQUIRE(std::holds_alternative<std::unique_ptr<EndpointStandin>>(created));
    endpoint = std::move(std::get<0>(created));
  }
  ~Fixture() {
    client->Stop();
    endpoint.reset();
  }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  HttpCallId Send(const std::string& id, const std::string& payload,
                  std::chrono::milliseconds start_within = kWaitTimeout) {
    HttpClientRequest request;
    request.address = endpoint->address();
    request.method = "POST";
    request.target = "/v1/tasks";
    request.headers.Add("Idempotency-Key", id);
    request.headers.Add("Start-Deadline",
                        FormatRfc3339(std::chrono::system_clock::now() + start_within));
    request.body = payload;
    return client->Request(std::move(request), recorder.Callback());
  }

  Recorder recorder;
  Scheduler scheduler;
  std::unique_ptr<HttpClient> client = HttpClient::Create({});
  std::unique_ptr<EndpointStandin> endpoint;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(endpoint_standin)

// Guards against a stand-in that runs more tasks at once than it has slots, or does not record a
// start: tests that use it would pass wrongly.
BOOST_AUTO_TEST_CASE(tasks_run_in_slots_and_echo_their_payload) {
  EndpointConfig config;
  config.slots = 1;
  Fixture f(config);
  f.Send("t1", R"({"run_ms":20,"x":1})");
  f.Send("t2", R"({"run_ms":20,"x":2})");
  BOOST_TEST(f.recorder.WaitFor(R"(200 {"run_ms":20,"x":1})"));
  BOOST_TEST(f.recorder.WaitFor(R"(200 {"run_ms":20,"x":2})"));
  const auto starts = f.endpoint->starts();
  BOOST_TEST_REQUIRE(starts.size() == 2U);
  BOOST_TEST((starts[1].at - starts[0].at >= std::chrono::milliseconds(19)));
}

// Guards against starting a task whose request arrives after the executor has given up on it.
BOOST_AUTO_TEST_CASE(request_after_its_start_deadline_is_not_started) {
  Fixture f;
  f.Send("t1", R"({"run_ms":0})", std::chrono::milliseconds(-10));
  BOOST_TEST(f.recorder.WaitFor("425"));
  BOOST_TEST(f.endpoint->starts().empty());
}

// Guards against injected faults that have no effect, which would make fault tests vacuous.
BOOST_AUTO_TEST_CASE(faults_take_effect) {
  EndpointConfig config;
  config.slots = 1;
  Fixture f(config);
  f.endpoint->SetFaults({.fail_all = true});
  f.Send("t1", R"({"run_ms":0})");
  BOOST_TEST(f.recorder.WaitFor("500"));
  f.endpoint->SetFaults({.hang = true});
  const auto hanging = f.Send("t2", R"({"run_ms":0})");
  f.Send("t3", R"({"run_ms":0,"x":3})");
  f.endpoint->SetFaults({.slow_factor = 2});
  // Aborting the request of the hanging task frees its slot.
  f.client->Abort(hanging);
  BOOST_TEST(f.recorder.WaitFor(R"(200 {"run_ms":0,"x":3})"));
}

// Guards against an endpoint that does not announce itself, or does not announce that it is
// leaving: sidecar tests would never see either.
BOOST_AUTO_TEST_CASE(announces_itself_and_its_leaving) {
  Recorder sidecar;
  auto server = HttpServer::Create({.address = "127.0.0.1:0"}, sidecar);
  BOOST_TEST_REQUIRE(std::holds_alternative<std::unique_ptr<HttpServer>>(server));
  EndpointConfig config;
  config.sidecar = std::get<0>(server)->address();
  config.announce_period = std::chrono::milliseconds(20);
  Fixture f(config);
  BOOST_TEST(sidecar.WaitFor("\"address\":\"" + f.endpoint->address() + "\""));
  f.endpoint->Leave();
  BOOST_TEST(sidecar.WaitFor("\"leaving\":true"));
}

BOOST_AUTO_TEST_SUITE_END()
