#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/dispatch.h"
#include "http/http.h"

namespace foxtailrudder {

// Interfaces between the direct-dispatch processes and the platform that they run on. Adapters only
// translate and make no decisions. Calls and their callbacks run on the event loop of the process.

/// A job submitted by a caller.
struct SubmitCall {
  const QueuePlan* queue = nullptr;
  DispatchJob job;
  /// How long the caller waits for the answer.
  std::chrono::milliseconds time_budget{0};
};

/// A request for the number of waiting jobs of a queue.
struct QueueLengthCall {
  const QueuePlan* queue = nullptr;
};

/// A request that is answered without the dispatcher: an error, or a query for a job that is not
/// stored.
struct DirectAnswer {
  HttpResponse response;
  /// Why the dispatcher is not involved; for the log.
  std::string reason;
};

using CallerCall = std::variant<SubmitCall, QueueLengthCall, DirectAnswer>;

/// Translates between callers' HTTP messages and the dispatcher's types.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  /// `plan` is null until the process has a plan. Queues in the result point into it.
  virtual CallerCall Read(const HttpRequest& request, const DispatchPlan* plan) = 0;
  virtual HttpResponse Answer(const JobAnswered& answer) = 0;
  virtual HttpResponse QueueLength(std::size_t waiting) = 0;
  virtual bool IsReadinessRequest(const HttpRequest& request) = 0;
  /// Converts the operators' documents to a plan. Returns an error if they are invalid.
  virtual std::variant<DispatchPlan, Error> ReadPlan(const AgreedDocuments& documents) = 0;
};

enum class StateReadStatus : std::uint8_t {
  kOk,
  /// The store no longer has the changes after the cursor; a full read is needed.
  kHistoryGone,
  kUnavailable,
};

struct StateRead {
  StateReadStatus status = StateReadStatus::kUnavailable;
  /// True if `state` is a full snapshot as of the cursor, false if it holds changes only.
  bool complete = false;
  AgreedState state;
  /// Version to pass to the next Watch().
  Version cursor = 0;
  /// Number of rows that could not be read; they are left out of `state`.
  std::uint32_t skipped_rows = 0;
  std::string detail;
};

struct EntryAddressesRead {
  bool ok = false;
  std::vector<std::string> addresses;
};

/// Durable storage for the operators' documents and the entries' addresses.
class StateStore {
 public:
  virtual ~StateStore() = default;

  /// Fails if no answer has begun by the deadline.
  virtual void ReadAll(SteadyTime deadline, std::function<void(StateRead)> done) = 0;
  /// Completes on the first change after the cursor, or after a second without one. Fails if no
  /// answer has begun by the deadline.
  virtual void Watch(Version cursor, SteadyTime deadline, std::function<void(StateRead)> done) = 0;
  virtual void WriteEntryAddress(const std::string& address, std::function<void(bool)> done) = 0;
  virtual void ReadEntryAddresses(std::function<void(EntryAddressesRead)> done) = 0;
};

/// Sends commands to the endpoint on this machine. Each carries a fencing token: the endpoint
/// rejects commands with a lower token than the highest it has seen.
class EndpointLink {
 public:
  virtual ~EndpointLink() = default;

  /// Sets the endpoint that later starts and stops are addressed to. If empty, they are addressed
  /// to any endpoint. A hold names its own.
  virtual void SetIncarnation(const std::string& endpoint_id) = 0;
  virtual void Start(const StartRun& start, std::uint64_t fencing_token,
                     std::function<void(StartAnswer, std::string detail)> done) = 0;
  virtual void Stop(const StopRun& stop, std::uint64_t fencing_token,
                    std::function<void(StopAnswer)> done) = 0;
  virtual void Hold(const HoldRuns& hold, std::uint64_t fencing_token,
                    std::function<void(HoldAnswer)> done) = 0;
};

struct EndpointLeft {
  std::string id;
};

using EndpointReport = std::variant<EndpointStatus, EndpointLeft, Error>;

/// Parses the status reports that an endpoint sends.
class EndpointProtocol {
 public:
  virtual ~EndpointProtocol() = default;
  virtual EndpointReport Read(const HttpRequest& request) = 0;
};

/// Created by the code in platform/ for an event loop and the addresses from the settings.
struct EntryAdapters {
  std::unique_ptr<CallerProtocol> callers;
  std::unique_ptr<StateStore> store;
};

struct SidecarAdapters {
  std::unique_ptr<EndpointProtocol> announcements;
  std::unique_ptr<EndpointLink> endpoint;
  std::unique_ptr<StateStore> store;
};

}  // namespace foxtailrudder
