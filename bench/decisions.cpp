#include "bench/decisions.h"

#include <malloc.h>

#include <chrono>
#include <functional>
#include <iomanip>
#include <sstream>

#include "config/row_codec.h"
#include "coordination/internal/forward_record_table.h"
#include "coordination/internal/start_record_table.h"
#include "node/node.h"
#include "node/tests/simulation.h"

namespace foxtailrudder::bench {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::uint32_t kSlots = 8;
constexpr const char* kService = "check";
const std::string kPayload(100, 'p');

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

double Seconds(const std::function<void()>& work) {
  const auto begin = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

Now StartTime() {
  return {SteadyTime(std::chrono::hours(1)), WallTime(std::chrono::hours(24 * 365 * 56))};
}

MembersRow MakeRow(std::size_t sidecars) {
  MembersRow row;
  row.version = 1;
  for (std::size_t i = 0; i < sidecars + 3; ++i) {
    const bool is_entry = i < 3;
    Member member;
    member.name = (is_entry ? "entry-" : "sidecar-") + std::to_string(i);
    member.id = NodeIdOf(member.name);
    member.incarnation = 1;
    member.role = is_entry ? NodeRole::kEntry : NodeRole::kSidecar;
    member.address = "127.0.0.1:" + std::to_string(10'000 + i);
    member.zone = "zone-" + std::to_string(i % 3);
    member.rack = member.zone + "-rack-" + std::to_string(i / 9);
    member.worker = "worker-" + std::to_string(i);
    if (!is_entry) {
      member.service = kService;
      member.slots = kSlots;
      member.connections = 64;
    }
    member.joined_version = 1;
    row.members.push_back(std::move(member));
  }
  return row;
}

JobSpec MakeJob(std::size_t number, WallTime now) {
  JobSpec job;
  job.key = {"registry", "submission-" + std::to_string(number)};
  job.service = kService;
  job.deadline = now + std::chrono::seconds(30);
  job.tasks.push_back({"task-0", kPayload, {}, {}});
  job.digest = DigestOf(job);
  return job;
}

/// Drives a coordinator whose executors finish each task immediately. The coordinator is the only
/// sidecar of the first members row and so owns every shard at the start.
class CoordinatorHarness {
 public:
  explicit CoordinatorHarness(std::size_t executors) : m_coordinator({}, &m_counters) {
    m_bundle.limits.return_ramp = milliseconds(0);
    m_bundle.limits.max_claims_per_coordinator = 10'000'000;
    MembersRow row = MakeRow(executors + 1);
    m_self = {row.members[3].id, 1};
    m_entry = {row.members[0].id, 1};
    RenewPermit();
    // The coordinator joins alone first, so that it can decide in every shard without a takeover.
    MembersRow alone = row;
    alone.members.resize(4);
    Publish(alone);
    row.version = 2;
    m_full = row;
    Publish(row);
    m_out.Take();
  }

  /// Processes one job from claim to dispatch, completion and answer. Returns false if the
  /// coordinator does not own the job's shard.
  bool RunJob(std::size_t number) {
    ForwardJob forward;
    forward.job = MakeJob(number, m_now.wall);
    if (m_placement.OwnerOf(ShardOf(forward.job.key)) != m_self.id) return false;
    forward.submission = {m_entry, number + 1};
    forward.members_version = m_table.version();
    m_now.steady += std::chrono::microseconds(50);
    m_now.wall += std::chrono::microseconds(50);
    RenewPermit();
    Receive(m_entry, std::move(forward));
    ProcessOutputs();
    return true;
  }

  std::size_t answered() const { return m_answered; }
  std::size_t claims() const { return m_coordinator.claims(); }

 private:
  ClusterView view() const { return {m_self, m_table, m_placement, m_control, m_bundle}; }

  void Publish(MembersRow row) {
    const MemberTable from = m_table;
    m_table = MemberTable::Create(std::move(row));
    m_placement = Placement::Update(m_placement, from, m_table);
    m_coordinator.OnViewChanged(view(), m_permit, m_now, m_out);
  }

  void RenewPermit() {
    HeartbeatReply reply;
    reply.sequence = ++m_heartbeat;
    reply.sent_at = m_now.steady;
    reply.decide_permit = milliseconds(1500);
    m_permit.OnReply(reply);
  }

  void Receive(NodeRef from, Message message) {
    m_coordinator.OnMessage({from, m_self, std::move(message)}, view(), m_permit, m_now, m_out);
  }

  void ProcessOutputs() {
    while (!m_out.empty()) {
      for (Output& output : m_out.Take()) {
        auto* send = std::get_if<SendMessage>(&output);
        if (send == nullptr) continue;
        if (auto* dispatch = std::get_if<DispatchTask>(&send->message)) {
          Receive(send->to, TaskFinished{dispatch->task, dispatch->sequence,
                                         TaskResult{dispatch->task_id, 200, "ok"},
                                         milliseconds(100), kSlots});
        } else if (std::holds_alternative<JobReply>(send->message)) {
          ++m_answered;
        }
      }
    }
  }

  Counters m_counters;
  Bundle m_bundle;
  ControlRow m_control;
  MembersRow m_full;
  MemberTable m_table;
  Placement m_placement;
  PermitHolder m_permit;
  std::uint64_t m_heartbeat = 0;
  Now m_now = StartTime();
  Outbox m_out;
  NodeRef m_self;
  NodeRef m_entry;
  std::size_t m_answered = 0;
  Coordinator m_coordinator;
};

void MeasureCoordinator(std::vector<CostSeries>& all) {
  CostSeries time{"claim, dispatch, completion and answer", "jobs of one task", "s", {}, {}};
  CostSeries bytes{"claim kept after its answer", "claims", "bytes", {}, {}};
  for (const std::size_t count : {2'000U, 5'000U, 10'000U, 20'000U, 40'000U}) {
    CoordinatorHarness harness(1);
    const double before = HeapBytes();
    double seconds = Seconds([&] {
      for (std::size_t i = 0; harness.answered() < count && i < 10 * count; ++i) harness.RunJob(i);
    });
    bytes.x.push_back(static_cast<double>(harness.claims()));
    bytes.y.push_back(HeapBytes() - before);
    time.x.push_back(static_cast<double>(harness.answered()));
    time.y.push_back(seconds);
  }
  all.push_back(std::move(time));
  all.push_back(std::move(bytes));
}

void MeasureRecords(std::vector<CostSeries>& all) {
  CostSeries starts{"start record", "records", "bytes", {}, {}};
  CostSeries forwards{"forward record", "records", "bytes", {}, {}};
  const Now now = StartTime();
  for (const std::size_t count : {5'000U, 10'000U, 20'000U, 50'000U}) {
    double before = HeapBytes();
    StartRecordTable start_table;
    for (std::size_t i = 0; i < count; ++i) {
      StartEntry entry;
      entry.state = StartState::kFinished;
      entry.outcome = TaskResult{"task-0", 200, kPayload};
      entry.keep_until = now.wall + milliseconds(i);
      start_table.Put({{"registry", "submission-" + std::to_string(i)}, 0}, std::move(entry));
    }
    starts.x.push_back(static_cast<double>(count));
    starts.y.push_back(HeapBytes() - before);

    before = HeapBytes();
    ForwardRecordTable forward_table;
    for (std::size_t i = 0; i < count; ++i) {
      forward_table.OnForward(MakeJob(i, now.wall), now.wall + milliseconds(i));
    }
    forwards.x.push_back(static_cast<double>(count));
    forwards.y.push_back(HeapBytes() - before);
  }
  all.push_back(std::move(starts));
  all.push_back(std::move(forwards));
}

void MeasureMembers(std::vector<CostSeries>& all) {
  CostSeries memory{"member table and placement", "members", "bytes", {}, {}};
  CostSeries row_bytes{"member row as JSON", "members", "bytes", {}, {}};
  CostSeries create{"Placement::Create", "members", "s", {}, {}};
  CostSeries update{"Placement::Update, one member lost", "members", "s", {}, {}};
  CostSeries subset{"Placement::ExecutorSubset", "members", "s", {}, {}};
  for (const std::size_t count : {200U, 500U, 1'000U, 2'100U}) {
    const MembersRow row = MakeRow(count);
    const auto x = static_cast<double>(count);
    const double before = HeapBytes();
    const MemberTable table = MemberTable::Create(row);
    Placement placement;
    create.y.push_back(Seconds([&] { placement = Placement::Create(table); }));
    memory.y.push_back(HeapBytes() - before);
    row_bytes.y.push_back(static_cast<double>(EncodeMembersRow(row).size()));

    MembersRow reduced = row;
    reduced.version = 2;
    reduced.members.erase(reduced.members.begin() + 10);
    const MemberTable next = MemberTable::Create(reduced);
    Placement updated;
    update.y.push_back(Seconds([&] { updated = Placement::Update(placement, table, next); }));
    constexpr int kSubsets = 50;
    subset.y.push_back(Seconds([&] {
                         for (int i = 0; i < kSubsets; ++i) {
                           Placement::ExecutorSubset(table, static_cast<ShardId>(i), kService);
                         }
                       }) /
                       kSubsets);
    for (CostSeries* series : {&memory, &row_bytes, &create, &update, &subset}) {
      series->x.push_back(x);
    }
  }
  for (CostSeries* series : {&memory, &row_bytes, &create, &update, &subset}) {
    all.push_back(std::move(*series));
  }
}

void MeasureHeartbeats(std::vector<CostSeries>& all) {
  CostSeries heartbeat{"heartbeat at the entry, nothing new", "heartbeats", "s", {}, {}};
  CostSeries idle{"idle region, all nodes", "sidecars", "processor s per s", {}, {}};
  constexpr int kIdleSeconds = 5;
  for (const int count : {11, 30, 60, 120}) {
    testing::SimulationOptions options;
    options.sidecars = count;
    testing::Simulation simulation(options);
    if (!simulation.RunUntilReady()) continue;
    idle.x.push_back(count);
    idle.y.push_back(Seconds([&] { simulation.RunFor(std::chrono::seconds(kIdleSeconds)); }) /
                     kIdleSeconds);

    EntryNode* entry = simulation.entry(0);
    const NodeRef to = entry->table().RefOf(NodeIdOf("entry-0"));
    const NodeRef from = entry->table().RefOf(NodeIdOf("sidecar-0"));
    const int beats = 1000 * count;
    Heartbeat beat;
    beat.sequence = 1'000'000;
    beat.control_version = entry->control().version;
    beat.members_version = entry->table().version();
    beat.bundle_version = entry->bundle().version;
    Outbox out;
    heartbeat.x.push_back(beats);
    heartbeat.y.push_back(Seconds([&] {
      for (int i = 0; i < beats; ++i) {
        ++beat.sequence;
        beat.sent_at = simulation.now().steady;
        entry->OnEnvelope({from, to, beat}, simulation.now(), out);
        out.Take();
      }
    }));
  }
  all.push_back(std::move(heartbeat));
  all.push_back(std::move(idle));
}

}  // namespace

std::vector<CostSeries> MeasureDecisions() {
  std::vector<CostSeries> all;
  MeasureCoordinator(all);
  MeasureRecords(all);
  MeasureMembers(all);
  MeasureHeartbeats(all);
  return all;
}

std::string ToTable(const std::vector<CostSeries>& series) {
  std::ostringstream out;
  for (const CostSeries& item : series) {
    const LinearFit fit = item.fit();
    out << item.name << " (" << item.y_unit << " against " << item.x_unit << ")\n ";
    for (std::size_t i = 0; i < item.x.size(); ++i) out << ' ' << item.x[i] << ':' << item.y[i];
    out << "\n  slope " << fit.slope << ", intercept " << fit.intercept << ", r2 " << fit.r2
        << '\n';
  }
  return out.str();
}

json::array ToJson(const std::vector<CostSeries>& series) {
  json::array rows;
  for (const CostSeries& item : series) {
    const LinearFit fit = item.fit();
    rows.push_back({{"name", item.name},
                    {"x_unit", item.x_unit},
                    {"y_unit", item.y_unit},
                    {"x", json::array(item.x.begin(), item.x.end())},
                    {"y", json::array(item.y.begin(), item.y.end())},
                    {"slope", fit.slope},
                    {"intercept", fit.intercept},
                    {"r2", fit.r2}});
  }
  return rows;
}

}  // namespace foxtailrudder::bench
