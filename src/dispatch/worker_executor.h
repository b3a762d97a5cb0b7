#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "model/decision_log.h"
#include "model/messages.h"
#include "model/outputs.h"

namespace foxtailrudder {

/// Time on the clock of one incarnation of an endpoint. Must not be compared with other clocks.
using EndpointTime = std::chrono::milliseconds;

/// Status that an endpoint reports about itself.
struct EndpointStatus {
  std::string id;
  /// Start time of this incarnation of the endpoint; identifies it together with the id. A time of
  /// day, so it does not tell which of two incarnations is the newer one.
  std::chrono::milliseconds born{0};
  std::uint64_t sequence = 0;
  std::string address;
  std::string service;
  std::string zone;
  std::vector<std::string> labels;
  Resources capacity;
  bool leaving = false;
  std::optional<EndpointTime> clock;
};

/// Identifies one attempt to run a task on the endpoint.
struct RunId {
  std::string job;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  std::uint32_t attempt = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const RunId&, const RunId&) = default;
};

// Requests of the executor to the endpoint.

struct StartRun {
  RunId run;
  std::string payload;
  EndpointTime lease_until{0};
};

struct StopRun {
  RunId run;
};

/// A hold: a long-poll call that renews the leases of all runs, acknowledges ended runs, waits for
/// the next run to end and returns the endpoint's lists of runs.
struct HoldRuns {
  /// Identifies the call when it is answered.
  std::uint64_t id = 0;
  /// Not set if the call must not extend any lease.
  std::optional<EndpointTime> lease_until;
  std::uint64_t ends_seen = 0;
  std::chrono::milliseconds wait{0};
  /// Id of the endpoint that the call is addressed to; empty for any.
  std::string endpoint = {};
};

// Answers of the endpoint.

enum class StartAnswer : std::uint8_t {
  kStarted,
  kNoRoom,
  /// The endpoint has seen a higher fencing token, so requests of this process no longer take
  /// effect.
  kFenced,
  /// The run has already ended or been stopped there, or its lease had expired on arrival.
  kVoid,
  /// Refused without effect by an unhealthy endpoint.
  kRefused,
  /// No process listens at the endpoint's address, so nothing was started.
  kNoListener,
  /// No answer: the start may have been carried out or may still be.
  kUnknown,
};

enum class StopAnswer : std::uint8_t {
  kAccepted,
  /// The endpoint has seen a higher fencing token and has not stopped the run.
  kFenced,
  /// No answer, or one that does not tell whether the run was stopped.
  kUnknown,
};

enum class RunEnd : std::uint8_t { kDone, kFailed, kStopped, kLeaseExpired };

struct RunningRun {
  RunId run;
  std::uint32_t percent = 0;
};

struct EndedRun {
  std::uint64_t number = 0;
  RunId run;
  RunEnd how = RunEnd::kDone;
};

struct HoldAnswer {
  /// The endpoint's lists of runs; `lists` is not set if the call got no answer.
  struct Lists {
    EndpointTime clock{0};
    std::chrono::milliseconds born{0};
    std::vector<RunningRun> running;
    std::vector<EndedRun> ended;
  };
  std::optional<Lists> lists;
  /// The answer came from another incarnation than the one addressed.
  bool other_incarnation = false;
  /// No process listens at the endpoint's address.
  bool no_listener = false;
  /// The endpoint has seen a higher fencing token.
  bool is_fenced = false;
};

struct ExecutorOutputs {
  std::vector<SendMessage> messages;
  std::vector<StartRun> starts;
  std::vector<StopRun> stops;
  std::vector<HoldRuns> holds;
};

struct WorkerExecutorCounters {
  std::uint64_t placed = 0;
  std::uint64_t starts = 0;
  std::uint64_t done = 0;
  std::uint64_t failed = 0;
  std::uint64_t stopped = 0;
  std::uint64_t lost = 0;
  std::uint64_t stalled = 0;
  std::uint64_t not_run = 0;
  std::uint64_t starts_no_room = 0;
  std::uint64_t starts_fenced = 0;
  std::uint64_t starts_refused = 0;
  std::uint64_t starts_unanswered = 0;
  std::uint64_t holds_unanswered = 0;
  std::uint64_t endpoint_crashes = 0;
  /// Status reports whose incarnation is not the one that answers at the endpoint's address.
  std::uint64_t statuses_refuted = 0;
  std::uint64_t crashed = 0;
};

struct WorkerExecutorConfig {
  NodeRef self;
  /// Longest lease that the endpoint grants to a run.
  std::chrono::milliseconds max_lease{1000};
};

/// Runs the tasks placed at one sidecar: queues them, starts them when the endpoint has free
/// capacity, renews their leases, and reports the end of each to the entry that placed it.
class WorkerExecutor {
 public:
  WorkerExecutor(WorkerExecutorConfig config, DecisionLog& log);
  WorkerExecutor(const WorkerExecutor&) = delete;
  WorkerExecutor& operator=(const WorkerExecutor&) = delete;
  ~WorkerExecutor();

  void OnEndpointStatus(EndpointStatus status, Now now, ExecutorOutputs& out);
  void OnEndpointLeft(const std::string& id, Now now, ExecutorOutputs& out);

  /// Handles PlaceTasks, WithdrawTasks and EntryReport; false for other messages.
  bool OnMessage(const Envelope& envelope, Now now, ExecutorOutputs& out);
  /// Handles a new connection to an entry: resends the unacknowledged reports.
  void OnEntryConnected(NodeRef entry, Now now, ExecutorOutputs& out);

  void OnStartAnswer(const RunId& run, StartAnswer answer, Now now, ExecutorOutputs& out);
  void OnStopAnswer(const RunId& run, bool answered, Now now, ExecutorOutputs& out);
  void OnHoldAnswer(std::uint64_t hold, const HoldAnswer& answer, Now now, ExecutorOutputs& out);

  /// Checks permits, expiry of queued tasks and leases. Called every few tens of milliseconds.
  void Tick(Now now, ExecutorOutputs& out);

  /// Stops accepting tasks and returns the queued ones to their entries.
  void BeginDrain(Now now, ExecutorOutputs& out);

  /// Whether the entry has tasks or unacknowledged task ends here.
  bool HasWorkOf(NodeRef entry) const;
  WorkerReport ReportFor(NodeRef entry, Version state_version, Now now) const;

  /// Whether the worker takes new tasks.
  bool is_accepting(Now now) const;
  /// Increases when what the entries choose the worker by has changed, apart from its load.
  std::uint64_t worker_revision() const;
  bool has_endpoint() const;
  const EndpointStatus* endpoint() const;
  std::uint32_t running() const;
  std::uint32_t queued() const;
  /// How long runs take relative to their expected run times: at present, and in the long run.
  double present_slowness(Now now) const;
  double baseline_slowness() const;
  const WorkerExecutorCounters& counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder
