#include "node/tests/simulation.h"

#include <algorithm>
#include <stdexcept>

#include "config/config.h"

namespace foxtailrudder::testing {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr milliseconds kTickPeriod{20};
constexpr milliseconds kBundleSamplePeriod{100};
constexpr microseconds kEndpointDelay{30};
constexpr microseconds kSameZoneMinDelay{100};
constexpr microseconds kSameZoneMaxDelay{300};
constexpr microseconds kCrossZoneMinDelay{700};
constexpr microseconds kCrossZoneMaxDelay{1300};
// Time after which the keep-alive reports a cut connection.
constexpr milliseconds kDisconnectDetectionDelay{1000};

Bundle MakeBundle(const SimulationOptions& options) {
  Bundle bundle;
  bundle.version = 1;
  bundle.services = {{"check", 0, milliseconds(100)}};
  for (int zone = 0; zone < options.zones; ++zone) {
    bundle.zones.push_back("zone-" + std::to_string(zone));
  }
  bundle.urgency_rules = {{Urgency::kUrgent, milliseconds(1000)}};
  bundle.teams = {{"registry", "region", 1'000'000, 1'000'000}};
  bundle.limits.retention = options.retention;
  return bundle;
}

}  // namespace

Simulation::Simulation(SimulationOptions options) : m_options(options), m_random(options.seed) {
  m_now.steady = SteadyTime(std::chrono::hours(1));
  m_now.wall = WallTime(std::chrono::hours(24 * 365 * 56));

  const Bundle bundle = MakeBundle(options);
  const std::string text = FormatBundle(bundle);
  const std::string digest = DigestOfBundle(text);
  store.objects[digest] = text;
  store.control.version = 1;
  store.control.bundle = {1, digest, "alice", "bob", m_now.wall};
  m_recorded_control = store.control;

  for (int i = 0; i < node_count(); ++i) {
    auto node = std::make_unique<Node>();
    node->index = i;
    const bool is_entry = i < options.entries;
    const int number = is_entry ? i : i - options.entries;
    node->self.name = (is_entry ? "entry-" : "sidecar-") + std::to_string(number);
    node->self.id = NodeIdOf(node->self.name);
    node->self.role = is_entry ? NodeRole::kEntry : NodeRole::kSidecar;
    node->self.zone = "zone-" + std::to_string(number % options.zones);
    // Three workers per rack; each rack lies in one zone.
    node->self.rack = node->self.zone + "-rack-" + std::to_string(number / options.zones / 3);
    node->self.worker = "worker-" + std::to_string(i);
    node->self.address = "127.0.0.1:" + std::to_string(7000 + i);
    m_index[node->self.id] = i;
    m_nodes.push_back(std::move(node));
  }
  for (int i = 0; i < node_count(); ++i) StartNode(i);
  Schedule(kBundleSamplePeriod, [this] { SampleBundles(); });
}

Simulation::~Simulation() = default;

nanoseconds Simulation::RandomDelay(microseconds min_delay, microseconds max_delay) {
  return std::uniform_int_distribution<std::int64_t>(nanoseconds(min_delay).count(),
                                                     nanoseconds(max_delay).count())(m_random) *
         nanoseconds(1);
}

bool Simulation::Chance(double probability) {
  return probability > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

void Simulation::Schedule(nanoseconds delay, std::function<void()> action) {
  m_events.push({m_now.steady + delay, m_next_sequence++, std::move(action)});
}

void Simulation::ScheduleInput(int node, Incarnation incarnation, nanoseconds delay,
                               std::function<void(Node&, Outbox&)> input) {
  Schedule(delay, [this, node, incarnation, input = std::move(input)] {
    DeliverInput(node, incarnation, input);
  });
}

void Simulation::DeliverInput(int index, Incarnation incarnation,
                              const std::function<void(Node&, Outbox&)>& input) {
  Node& node = *m_nodes[index];
  if (!node.alive || (incarnation != 0 && node.self.incarnation != incarnation)) return;
  if (node.frozen) {
    node.backlog.emplace_back(
        [this, index, incarnation, input] { DeliverInput(index, incarnation, input); });
    return;
  }
  Outbox out;
  input(node, out);
  PerformOutputs(node, out);
}

void Simulation::Step() {
  Event event = m_events.top();
  m_events.pop();
  m_now.wall += event.at - m_now.steady;
  m_now.steady = event.at;
  event.action();
}

void Simulation::RunFor(milliseconds duration) {
  const SteadyTime end = m_now.steady + duration;
  while (!m_events.empty() && m_events.top().at <= end) Step();
  m_now.wall += end - m_now.steady;
  m_now.steady = end;
}

bool Simulation::RunUntil(const std::function<bool()>& condition, milliseconds limit) {
  const SteadyTime end = m_now.steady + limit;
  while (!condition()) {
    if (m_events.empty() || m_events.top().at > end) return false;
    Step();
  }
  return true;
}

bool Simulation::RunUntilReady() {
  const auto ready = [this] {
    for (const auto& node : m_nodes) {
      if (!node->alive) continue;
      if (node->entry != nullptr && !node->entry->IsReady()) return false;
      if (node->sidecar == nullptr) continue;
      const SidecarGauges gauges = node->sidecar->gauges(m_now);
      if (!gauges.may_start || gauges.bundle_version == 0 || gauges.pending_shards > 0)
        return false;
    }
    return true;
  };
  return RunUntil(ready, std::chrono::seconds(30));
}

void Simulation::StartNode(int index) {
  Node& node = *m_nodes[index];
  node.self.incarnation = m_next_incarnation++;
  node.alive = true;
  node.frozen = false;
  node.drained = false;
  // A new process gets the same time to catch up as one that was unreachable.
  node.last_disturbed_at = m_now.steady;
  node.backlog.clear();
  const Incarnation incarnation = node.self.incarnation;

  if (node.self.role == NodeRole::kEntry) {
    EntryNodeConfig config;
    config.self = node.self;
    config.region = "region";
    config.outage_mode = m_options.outage_mode;
    config.durable_claims = m_options.durable_claims;
    config.seed = m_random();
    auto created = EntryNode::Create(std::move(config));
    node.entry = std::move(std::get<std::unique_ptr<EntryNode>>(created));
    ScheduleInput(index, incarnation, RandomDelay(microseconds(0), microseconds(50'000)),
                  [this](Node& self, Outbox& out) { self.entry->Start(m_now, out); });
  } else {
    SidecarNodeConfig config;
    config.self = node.self;
    for (int i = 0; i < m_options.entries; ++i) config.seed_entries.push_back(m_nodes[i]->self.id);
    config.coordinator = m_options.coordinator;
    config.coordinator.seed = m_random();
    config.check_permit = m_options.check_permit;
    auto created = SidecarNode::Create(std::move(config));
    node.sidecar = std::move(std::get<std::unique_ptr<SidecarNode>>(created));
    node.sidecar->SetEndpoint(EndpointInfo{"check", m_options.slots, 64, "127.0.0.1:9000",
                                           node.self.worker, node.self.rack});
  }
  ScheduleTick(index, incarnation);
}

void Simulation::ScheduleTick(int index, Incarnation incarnation) {
  Schedule(kTickPeriod + RandomDelay(microseconds(0), microseconds(500)),
           [this, index, incarnation] {
             Node& node = *m_nodes[index];
             if (!node.alive || node.self.incarnation != incarnation) return;
             if (!node.frozen) {
               DeliverInput(index, incarnation, [this](Node& self, Outbox& out) {
                 if (self.entry != nullptr) self.entry->Tick(m_now, out);
                 if (self.sidecar != nullptr) self.sidecar->Tick(m_now, out);
               });
               if (!node.alive || node.self.incarnation != incarnation) return;
               const bool drained =
                   node.entry != nullptr ? node.entry->IsDrained() : node.sidecar->IsDrained();
               if (drained) {
                 node.drained = true;
                 Kill(index);
                 return;
               }
             }
             ScheduleTick(index, incarnation);
           });
}

void Simulation::PerformOutputs(Node& node, Outbox& out) {
  for (Output& output : out.Take()) PerformOutput(node, std::move(output));
}

void Simulation::PerformOutput(Node& node, Output output) {
  if (const auto* send = std::get_if<SendMessage>(&output)) {
    Send(node, *send);
    return;
  }
  if (const auto* start = std::get_if<StartTask>(&output)) {
    ScheduleInput(node.index, node.self.incarnation, kEndpointDelay,
                  [this, start = *start](Node& self, Outbox& out) {
                    if (m_options.check_permit && m_now.steady >= start.not_after) {
                      self.sidecar->OnTaskNotStarted(start.task, ErrorKind::kNoPermit, m_now, out);
                      return;
                    }
                    StartOnEndpoint(self, start);
                  });
    return;
  }
  if (const auto* answer = std::get_if<AnswerCaller>(&output)) {
    m_answers[answer->request] = m_history.answered.size();
    m_history.answered.push_back({m_now.steady, answer->request, answer->answer});
    m_open_requests.erase(answer->request);
    return;
  }
  if (const auto* stop = std::get_if<StopTask>(&output)) {
    const auto running = node.running.find(stop->task);
    if (running == node.running.end()) return;
    node.running.erase(running);
    ScheduleInput(node.index, node.self.incarnation, kEndpointDelay,
                  [this, task = stop->task](Node& self, Outbox& out) {
                    self.sidecar->OnTaskDone(task, Error{ErrorKind::kCancelled, ""}, m_now, out);
                  });
    return;
  }
  if (std::holds_alternative<AnswerStatus>(output) ||
      std::holds_alternative<AnswerOperator>(output)) {
    return;
  }
  StoreOperation(node, output);
}

void Simulation::Send(Node& from, const SendMessage& send) {
  if (on_message) on_message(from.index, send.message);
  const auto found = m_index.find(send.to.id);
  if (found == m_index.end()) return;

  const int to = found->second;
  const bool same_zone = m_nodes[to]->self.zone == from.self.zone;
  nanoseconds delay = same_zone ? RandomDelay(kSameZoneMinDelay, kSameZoneMaxDelay)
                                : RandomDelay(kCrossZoneMinDelay, kCrossZoneMaxDelay);
  Envelope envelope{{from.self.id, from.self.incarnation}, send.to, send.message};
  if (Chance(network.duplicate_probability)) {
    DeliverMessage(from.index, to, envelope,
                   delay + RandomDelay(microseconds(0), network.late_delay));
  }
  if (Chance(network.late_probability)) {
    // Does not update the last delivery time: a late message does not delay those sent after it.
    DeliverMessage(from.index, to, std::move(envelope), delay + network.late_delay);
    return;
  }
  SteadyTime arrival = m_now.steady + delay;
  if (!network.reorder) {
    SteadyTime& last = m_last_delivery[{from.index, to}];
    arrival = std::max(arrival, last + nanoseconds(1));
    last = arrival;
  }
  DeliverMessage(from.index, to, std::move(envelope), arrival - m_now.steady);
}

void Simulation::DeliverMessage(int from, int to, Envelope envelope, nanoseconds delay) {
  Schedule(delay, [this, from, to, envelope = std::move(envelope)] {
    if (m_cut_links.count({std::min(from, to), std::max(from, to)}) > 0) return;
    if (!m_nodes[to]->alive) {
      ReportDisconnect(from, to);
      return;
    }
    DeliverInput(to, 0, [this, envelope](Node& self, Outbox& out) {
      if (self.entry != nullptr) {
        self.entry->OnEnvelope(envelope, m_now, out);
      } else {
        self.sidecar->OnEnvelope(envelope, m_now, out);
      }
    });
  });
}

void Simulation::ReportDisconnect(int node, int peer) {
  const NodeId peer_id = m_nodes[peer]->self.id;
  ScheduleInput(node, 0, RandomDelay(microseconds(200), microseconds(2000)),
                [this, peer_id](Node& self, Outbox& out) {
                  if (self.entry != nullptr) {
                    self.entry->OnDisconnected(peer_id, m_now, out);
                  } else {
                    self.sidecar->OnDisconnected(peer_id, m_now, out);
                  }
                });
}

void Simulation::StartOnEndpoint(Node& node, const StartTask& start) {
  if (on_start) on_start(node.index, start);
  if (!node.alive) return;
  m_history.started.push_back({m_now.steady,
                               start.task,
                               start.payload,
                               node.self.zone,
                               {node.self.id, node.self.incarnation}});
  const std::uint64_t run = m_next_sequence;
  node.running[start.task] = run;
  if (node.endpoint.hang) return;

  const auto base = milliseconds(20 + m_random() % 180);
  const auto run_time =
      node.endpoint.fail_all
          ? nanoseconds(milliseconds(1))
          : nanoseconds(static_cast<std::int64_t>(static_cast<double>(nanoseconds(base).count()) *
                                                  node.endpoint.slow_factor));
  const Incarnation incarnation = node.self.incarnation;
  Schedule(run_time, [this, index = node.index, incarnation, start, run] {
    Node& self = *m_nodes[index];
    const auto running = self.running.find(start.task);
    if (running == self.running.end() || running->second != run) return;
    self.running.erase(running);
    FinishOnEndpoint(index, incarnation, start);
  });
}

void Simulation::FinishOnEndpoint(int index, Incarnation incarnation, const StartTask& start) {
  ScheduleInput(index, incarnation, kEndpointDelay, [this, start](Node& self, Outbox& out) {
    TaskOutcome outcome = TaskResult{start.task_id, 200, start.payload};
    if (self.endpoint.fail_all) outcome = TaskResult{start.task_id, 500, "failed"};
    self.sidecar->OnTaskDone(start.task, std::move(outcome), m_now, out);
  });
}

void Simulation::StoreOperation(Node& node, const Output& output) {
  // Delays the request on its way to the store, and the reply on its way back.
  const int index = node.index;
  const Incarnation incarnation = node.self.incarnation;
  Schedule(RandomDelay(microseconds(300), microseconds(1500)), [this, index, incarnation, output] {
    FakeStore::Reply reply = store.Handle(output, !m_nodes[index]->store_cut, m_random);
    RecordStoreChanges();
    ScheduleInput(index, incarnation, reply.delay,
                  [this, result = std::move(reply.result)](Node& self, Outbox& out) {
                    self.entry->OnStoreResult(result, m_now, out);
                  });
  });
}

void Simulation::RecordStoreChanges() {
  const ControlRow& row = store.control;
  if (row.version == m_recorded_control.version) return;
  for (const ZoneRecord& zone : row.zones) {
    const auto before =
        std::find_if(m_recorded_control.zones.begin(), m_recorded_control.zones.end(),
                     [&](const ZoneRecord& old) { return old.zone == zone.zone; });
    const ZoneState old_state =
        before == m_recorded_control.zones.end() ? ZoneState::kIn : before->state;
    if (old_state != zone.state) m_history.zones.push_back({m_now.steady, zone.zone, zone.state});
  }
  if (row.bundle.bundle_version != m_recorded_control.bundle.bundle_version) {
    m_history.bundles.push_back({m_now.steady, row.bundle.bundle_version});
  }
  m_recorded_control = row;
}

void Simulation::SampleBundles() {
  const bool disturbed = !m_cut_links.empty() || network.late_probability > 0 || network.reorder ||
                         store.down || store.extra_delay.count() > 0;
  for (const auto& node : m_nodes) {
    if (!node->alive || disturbed || node->frozen || node->store_cut)
      node->last_disturbed_at = m_now.steady;
    if (!node->alive || node->frozen) continue;
    BundleSample sample{m_now.steady, {node->self.id, node->self.incarnation}, 0, false, false};
    if (node->entry != nullptr) {
      sample.bundle_version = node->entry->bundle().version;
      sample.acting = node->entry->gauges(m_now).fresh;
    } else {
      sample.bundle_version = node->sidecar->bundle().version;
      sample.acting = node->sidecar->gauges(m_now).may_decide;
    }
    sample.reachable = m_now.steady - node->last_disturbed_at > kInForceLimit;
    m_history.bundle_samples.push_back(sample);
  }
  Schedule(kBundleSamplePeriod, [this] { SampleBundles(); });
}

RequestId Simulation::Submit(int entry, JobSpec job) {
  const RequestId request = m_next_request++;
  m_submissions[request] = m_history.submitted.size();
  m_history.submitted.push_back({m_now.steady, request, job, !m_nodes[entry]->alive});
  if (!m_nodes[entry]->alive) return request;
  m_open_requests[request] = entry;
  ScheduleInput(entry, 0, RandomDelay(microseconds(500), microseconds(1500)),
                [this, request, job = std::move(job)](Node& self, Outbox& out) {
                  self.entry->Submit(request, job, m_now, out);
                });
  return request;
}

void Simulation::Cancel(int entry, const JobKey& key) {
  const RequestId request = m_next_request++;
  ScheduleInput(entry, 0, RandomDelay(microseconds(500), microseconds(1500)),
                [this, request, key](Node& self, Outbox& out) {
                  self.entry->Cancel(request, key, m_now, out);
                });
}

void Simulation::Change(int entry, OperatorChange change) {
  const RequestId request = m_next_request++;
  ScheduleInput(entry, 0, RandomDelay(microseconds(500), microseconds(1500)),
                [this, request, change = std::move(change)](Node& self, Outbox& out) {
                  self.entry->RequestChange(request, change, m_now, out);
                });
}

JobSpec Simulation::MakeJob(const std::string& key, int tasks, milliseconds deadline) {
  JobSpec job;
  job.key = {"registry", key};
  job.service = "check";
  job.deadline = m_now.wall + deadline;
  for (int i = 0; i < tasks; ++i) {
    job.tasks.push_back({"task-" + std::to_string(i), key + "#" + std::to_string(i), {}, {}});
  }
  job.digest = DigestOf(job);
  return job;
}

bool Simulation::IsAnswered(RequestId request) const { return m_answers.count(request) > 0; }

const JobAnswer* Simulation::AnswerOf(RequestId request) const {
  const auto found = m_answers.find(request);
  return found == m_answers.end() ? nullptr : &m_history.answered[found->second].answer;
}

std::size_t Simulation::unanswered() const { return m_open_requests.size(); }

void Simulation::Kill(int index) {
  Node& node = *m_nodes[index];
  if (!node.alive) return;
  node.alive = false;
  node.entry.reset();
  node.sidecar.reset();
  node.backlog.clear();
  for (auto open = m_open_requests.begin(); open != m_open_requests.end();) {
    if (open->second != index) {
      ++open;
      continue;
    }
    m_history.submitted[m_submissions[open->first]].connection_lost = true;
    open = m_open_requests.erase(open);
  }
  for (int peer = 0; peer < node_count(); ++peer) {
    if (peer != index && m_nodes[peer]->alive) ReportDisconnect(peer, index);
  }
}

void Simulation::Restart(int index) {
  Kill(index);
  StartNode(index);
}

void Simulation::Freeze(int index) { m_nodes[index]->frozen = true; }

void Simulation::Thaw(int index) {
  Node& node = *m_nodes[index];
  if (!node.frozen) return;
  node.frozen = false;
  // Models the socket buffers of the kernel: a resumed process reads in order what has arrived.
  for (auto& action : std::exchange(node.backlog, {})) Schedule(nanoseconds(1), std::move(action));
}

void Simulation::CutConnection(int left, int right) {
  m_cut_links.insert({std::min(left, right), std::max(left, right)});
  Schedule(kDisconnectDetectionDelay, [this, left, right] {
    ReportDisconnect(left, right);
    ReportDisconnect(right, left);
  });
}

void Simulation::Isolate(int index) {
  for (int peer = 0; peer < node_count(); ++peer) {
    if (peer != index) CutConnection(index, peer);
  }
}

void Simulation::HealNetwork() {
  m_cut_links.clear();
  network = {};
}

void Simulation::CutStore(int index, bool cut) { m_nodes[index]->store_cut = cut; }

void Simulation::Drain(int index) {
  ScheduleInput(index, 0, nanoseconds(1), [this](Node& self, Outbox& out) {
    if (self.entry != nullptr) self.entry->BeginDrain(m_now, out);
    if (self.sidecar != nullptr) self.sidecar->BeginDrain();
  });
}

void Simulation::SetEndpointLeaving(int index, bool leaving) {
  if (leaving) m_history.leaving.push_back({m_now.steady, m_nodes[index]->self.id});
  ScheduleInput(index, 0, nanoseconds(1),
                [leaving](Node& self, Outbox&) { self.sidecar->SetEndpointLeaving(leaving); });
}

int Simulation::CoordinatorOf(const JobKey& key) const {
  for (const auto& node : m_nodes) {
    if (!node->alive || node->entry == nullptr) continue;
    const auto owner = Placement::Create(node->entry->table()).OwnerOf(ShardOf(key));
    const auto found = m_index.find(owner);
    return found == m_index.end() ? -1 : found->second;
  }
  return -1;
}

}  // namespace foxtailrudder::testing
