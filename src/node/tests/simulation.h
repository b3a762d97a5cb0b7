#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "node/node.h"
#include "node/tests/fake_store.h"
#include "node/tests/history.h"

namespace foxtailrudder::testing {

struct SimulationOptions {
  std::uint64_t seed = 1;
  int zones = 3;
  int entries = 3;
  int sidecars = 6;
  std::uint32_t slots = 4;
  std::chrono::milliseconds retention{600'000};
  OutageMode outage_mode = OutageMode::kConfirmByQuorum;
  bool durable_claims = true;
  bool check_permit = true;
  CoordinatorOptions coordinator;
};

/// Network faults that apply to every message while they are set.
struct NetworkFaults {
  double duplicate_probability = 0;
  double late_probability = 0;
  std::chrono::milliseconds late_delay{2500};
  /// Messages on one connection may arrive out of order.
  bool reorder = false;
};

/// Faults of the endpoint of one sidecar.
struct EndpointFaults {
  bool fail_all = false;
  bool hang = false;
  double slow_factor = 1;
};

/// Discrete-event simulation of a cluster: runs the production decision logic of entries and
/// sidecars on simulated time with a fake network, store and endpoints. Deterministic for a seed.
/// Nodes are identified by index: entries first, then sidecars.
class Simulation {
 public:
  explicit Simulation(SimulationOptions options);
  ~Simulation();

  void RunFor(std::chrono::milliseconds duration);
  /// Runs until the condition holds. Returns false if it does not hold within the time limit.
  bool RunUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit);
  /// Runs until every live entry is ready, and every live sidecar has the bundle, a start permit
  /// and no pending shards.
  bool RunUntilReady();

  // Callers and operators.
  RequestId Submit(int entry, JobSpec job);
  void Cancel(int entry, const JobKey& key);
  void Change(int entry, OperatorChange change);
  JobSpec MakeJob(const std::string& key, int tasks, std::chrono::milliseconds deadline);
  bool IsAnswered(RequestId request) const;
  const JobAnswer* AnswerOf(RequestId request) const;
  std::size_t unanswered() const;

  // Faults.
  void Kill(int node);
  /// Starts a new incarnation under the same name.
  void Restart(int node);
  void Freeze(int node);
  void Thaw(int node);
  void CutConnection(int left, int right);
  void Isolate(int node);
  void HealNetwork();
  /// Makes only the store unreachable from this node, or reachable again.
  void CutStore(int node, bool cut);
  /// Begins a planned stop, as SIGTERM does in the real process.
  void Drain(int node);
  void SetEndpointLeaving(int node, bool leaving);

  NetworkFaults network;
  FakeStore store;
  EndpointFaults& endpoint(int node) { return m_nodes[node]->endpoint; }

  int entries() const { return m_options.entries; }
  int sidecars() const { return m_options.sidecars; }
  int node_count() const { return m_options.entries + m_options.sidecars; }
  int FirstSidecar() const { return m_options.entries; }
  bool IsAlive(int node) const { return m_nodes[node]->alive; }
  bool IsFrozen(int node) const { return m_nodes[node]->frozen; }
  /// Index of the sidecar that coordinates a key according to the member table of the first live
  /// entry; -1 if there is none.
  int CoordinatorOf(const JobKey& key) const;
  EntryNode* entry(int node) { return m_nodes[node]->entry.get(); }
  SidecarNode* sidecar(int node) { return m_nodes[node]->sidecar.get(); }
  std::mt19937_64& random() { return m_random; }
  Now now() const { return m_now; }

  History& history() { return m_history; }
  /// Called for each message sent and each task started, so that a test can inject a fault there.
  std::function<void(int from, const Message&)> on_message;
  std::function<void(int node, const StartTask&)> on_start;

 private:
  struct Node {
    int index = 0;
    Member self;
    bool alive = false;
    bool frozen = false;
    bool store_cut = false;
    bool drained = false;
    SteadyTime last_disturbed_at;
    std::unique_ptr<EntryNode> entry;
    std::unique_ptr<SidecarNode> sidecar;
    std::vector<std::function<void()>> backlog;
    EndpointFaults endpoint;
    std::map<TaskRef, std::uint64_t> running;
  };

  struct Event {
    SteadyTime at;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  void Schedule(std::chrono::nanoseconds delay, std::function<void()> action);
  /// Schedules an input for a node. It is dropped if that incarnation is no longer alive (0 matches
  /// any incarnation), and buffered while the node is frozen.
  void ScheduleInput(int node, Incarnation incarnation, std::chrono::nanoseconds delay,
                     std::function<void(Node&, Outbox&)> input);
  void DeliverInput(int node, Incarnation incarnation,
                    const std::function<void(Node&, Outbox&)>& input);
  void Step();
  void StartNode(int node);
  void ScheduleTick(int node, Incarnation incarnation);
  void PerformOutputs(Node& node, Outbox& out);
  void PerformOutput(Node& node, Output output);
  void Send(Node& from, const SendMessage& send);
  void DeliverMessage(int from, int to, Envelope envelope, std::chrono::nanoseconds delay);
  void ReportDisconnect(int node, int peer);
  void StartOnEndpoint(Node& node, const StartTask& start);
  void FinishOnEndpoint(int node, Incarnation incarnation, const StartTask& start);
  void StoreOperation(Node& node, const Output& output);
  void RecordStoreChanges();
  void SampleBundles();
  std::chrono::nanoseconds RandomDelay(std::chrono::microseconds min_delay,
                                       std::chrono::microseconds max_delay);
  bool Chance(double probability);

  SimulationOptions m_options;
  std::mt19937_64 m_random;
  Now m_now;
  std::uint64_t m_next_sequence = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::unordered_map<NodeId, int> m_index;
  std::set<std::pair<int, int>> m_cut_links;
  std::map<std::pair<int, int>, SteadyTime> m_last_delivery;
  std::map<RequestId, int> m_open_requests;
  std::map<RequestId, std::size_t> m_answers;
  std::map<RequestId, std::size_t> m_submissions;
  RequestId m_next_request = 1;
  Incarnation m_next_incarnation = 1;
  ControlRow m_recorded_control;
  History m_history;
};

}  // namespace foxtailrudder::testing
