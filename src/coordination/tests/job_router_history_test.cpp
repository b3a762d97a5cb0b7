#include <boost/test/unit_test.hpp>
#include <map>
#include <unordered_map>

#include "coordination/job_router.h"
#include "coordination/tests/router_executor_fixture.h"
#include "policy/policy.h"

using namespace foxtailrudder;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Runs a random sequence of lost, duplicate and late replies, owner changes and store failures
/// that is determined by a seed.
class RouterHistory : Region {
 public:
  explicit RouterHistory(std::uint64_t seed) : m_random(seed) {}

  /// Returns the number of answers of each request.
  std::map<RequestId, int> Run() {
    for (RequestId request = 1; request <= kRequests; ++request) {
      m_answers[request] = 0;
      JobSpec job;
      job.key = {"registry", "key-" + std::to_string(m_random.Below(8))};
      job.service = "listing";
      job.deadline = now.wall + milliseconds(100 + m_random.Below(3000));
      job.idempotent = m_random.Below(2) == 0;
      job.tasks = {{"t", std::to_string(m_random.Below(2)), {}, {}}};
      if (m_random.Below(8) == 0) {
        m_router.Query(request, job.key, View(m_self), now, out);
      } else {
        m_router.Submit(request, std::move(job), View(m_self), now, out);
      }
      Step();
    }
    // Runs past every deadline and the time for detecting a replaced coordinator.
    for (int i = 0; i < 200; ++i) Step();
    for (int i = 0; i < 20; ++i) {
      Advance(seconds(1));
      m_router.Tick(View(m_self), now, out);
      Collect();
    }
    return m_answers;
  }

  std::size_t waiting() const { return m_router.waiting(); }

 private:
  static constexpr RequestId kRequests = 60;

  void Step() {
    Collect();
    Advance(milliseconds(m_random.Below(60)));
    if (m_random.Below(15) == 0) {
      const NodeId left = 2 + m_random.Below(3);
      Publish(table.version() + 1, {left, left == 4 ? NodeId{2} : left + 1});
      m_router.OnViewChanged(View(m_self), now, out);
    }
    if (m_random.Below(15) == 0) {
      m_router.OnPeerDisconnected(2 + m_random.Below(3), View(m_self), now, out);
    }
    for (std::size_t i = 0; i < m_inputs.size(); ++i) {
      if (m_random.Below(2) == 0) continue;
      const std::variant<Envelope, StoreResult> input = m_inputs[i];
      if (const auto* envelope = std::get_if<Envelope>(&input)) {
        m_router.OnMessage(*envelope, View(m_self), now, out);
        // Messages may be delivered more than once, store results only once.
        if (m_random.Below(3) == 0) continue;
      } else {
        m_router.OnStoreResult(std::get<StoreResult>(input), View(m_self), now, out);
      }
      m_inputs.erase(m_inputs.begin() + static_cast<std::ptrdiff_t>(i--));
    }
    m_router.Tick(View(m_self), now, out);
    Collect();
  }

  void Collect() {
    for (const Output& output : out.Take()) {
      if (const auto* send = std::get_if<SendMessage>(&output)) {
        Respond(*send);
      } else if (const auto* answer = std::get_if<AnswerCaller>(&output)) {
        ++m_answers[answer->request];
      } else if (const auto* status = std::get_if<AnswerStatus>(&output)) {
        ++m_answers[status->request];
      } else if (const auto* insert = std::get_if<InsertClaims>(&output)) {
        ClaimsResult result{insert->operation, RandomStatus(), {}};
        for (const DurableClaim& claim : insert->claims) {
          if (result.status != StoreStatus::kUnavailable) m_store.try_emplace(claim.key, claim);
          result.claims.emplace_back(m_store.contains(claim.key) ? m_store[claim.key] : claim);
        }
        m_inputs.emplace_back(StoreResult(std::move(result)));
      } else if (const auto* read = std::get_if<ReadClaims>(&output)) {
        ClaimsResult result{read->operation, RandomStatus(), {}};
        for (const JobKey& key : read->keys) {
          const auto found = m_store.find(key);
          result.claims.push_back(found == m_store.end() ? std::nullopt
                                                         : std::optional(found->second));
        }
        m_inputs.emplace_back(StoreResult(std::move(result)));
      }
    }
  }

  StoreStatus RandomStatus() {
    const std::uint32_t draw = m_random.Below(6);
    if (draw == 0) return StoreStatus::kUnavailable;
    return draw == 1 ? StoreStatus::kUnknown : StoreStatus::kOk;
  }

  void Respond(const SendMessage& send) {
    if (m_random.Below(3) == 0) return;
    JobAnswer answer = JobComplete{{{"t", 200, "ok"}}};
    const std::uint32_t draw = m_random.Below(6);
    if (draw == 0) answer = Error{ErrorKind::kNotOwner, ""};
    if (draw == 1) answer = Error{ErrorKind::kShardUnavailable, ""};
    if (draw == 2) answer = Error{ErrorKind::kQueueFull, ""};
    if (const auto* forward = std::get_if<ForwardJob>(&send.message)) {
      m_inputs.emplace_back(Envelope{
          send.to, m_self, JobReply{forward->job.key, forward->submission, 1, std::move(answer)}});
    } else if (const auto* query = std::get_if<QueryJob>(&send.message)) {
      m_inputs.emplace_back(
          Envelope{send.to, m_self, JobStatus{query->key, query->submission, JobProgress{}}});
    }
  }

  Random m_random;
  NodeRef m_self{1, 101};
  JobRouter m_router{{m_self, "home", true, milliseconds(20), 1}, &counters};
  std::vector<std::variant<Envelope, StoreResult>> m_inputs;
  std::unordered_map<JobKey, DurableClaim> m_store;
  std::map<RequestId, int> m_answers;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(job_router_history)

// Guards against a request that is answered twice or never when messages are lost, late or
// duplicated.
BOOST_AUTO_TEST_CASE(every_request_is_answered_exactly_once) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    RouterHistory history(seed);
    for (const auto& [request, answers] : history.Run()) {
      BOOST_TEST_CONTEXT("seed " << seed << ", request " << request) { BOOST_TEST(answers == 1); }
    }
    BOOST_TEST(history.waiting() == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
