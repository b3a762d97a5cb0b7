#pragma once

#include <boost/json.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "app/tests/child_process.h"
#include "http/http.h"
#include "model/time.h"

namespace foxtailrudder::app_test {

inline const std::string kTeam = "show-desk";
inline const std::string kService = "entry-check";

/// Upper bound that the invariants set on the time from an accepted change to the last task start
/// that still follows the old state. Start logs are checked against it.
inline constexpr std::chrono::seconds kStartBound{4};
/// Timeout for conditions that a test waits for. Longer than any recovery takes by design on a busy
/// machine.
inline constexpr std::chrono::seconds kWaitTimeout{60};
/// Bound for a log line to be written after its event: two flush periods of the log.
inline constexpr std::chrono::milliseconds kLogTimeout{2'000};

struct FleetOptions {
  int entries = 3;
  int sidecars = 6;
  int zones = 3;
  int slots = 4;
  /// Settings that are added to, or replace, the default settings of the entries.
  boost::json::object entry_settings = {};
};

/// A process of a fleet and its addresses.
struct Instance {
  std::string name;
  std::string zone;
  std::string http;
  std::string internal;
  std::vector<std::string> command;
  std::unique_ptr<ChildProcess> process;
};

/// Result of an HTTP request. The status is 0 if there was no response.
struct Reply {
  unsigned status = 0;
  std::string body;
  HttpHeaders headers;
  /// If there was no response: whether any byte of the request had been written.
  bool sent = false;
  std::string failure;

  /// The body as a JSON object, or an empty object if the body is not one.
  boost::json::object Json() const;
  /// The body's `kind` field, or empty if it has none.
  std::string ErrorKind() const;
  /// Whether the body says that no task of the job ran (`not_run`).
  bool IsNotRun() const;
};

/// A task start recorded in an endpoint's start log.
struct StartedTask {
  std::string task_id;
  WallTime at;
  std::size_t endpoint = 0;
  std::string zone;
};

/// A submission with tasks "t0", "t1" and so on, which run for `run_ms` and echo their payload.
struct Job {
  std::string key;
  int tasks = 1;
  int run_ms = 100;
  bool idempotent = true;
  std::chrono::seconds deadline_in{40};
  /// Deadline as text, used instead of deadline_in if not empty.
  std::string deadline = {};
};

/// A complete system of real processes on loopback addresses: a platform stand-in, entries,
/// sidecars and one endpoint stand-in for each sidecar. It is ready for jobs when the constructor
/// returns.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options = {});
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;
  ~Fleet();

  std::vector<Instance>& entries() { return m_entries; }
  std::vector<Instance>& sidecars() { return m_sidecars; }
  std::vector<Instance>& endpoints() { return m_endpoints; }
  Instance& platform() { return m_platform; }

  /// Starts the instance, or restarts it with the same settings and addresses.
  void Start(Instance& instance);

  Reply Get(const std::string& address, const std::string& target,
            std::chrono::milliseconds timeout = std::chrono::seconds(10));
  Reply Post(const std::string& address, const std::string& target, std::string body,
             HttpHeaders headers = {},
             std::chrono::milliseconds timeout = std::chrono::seconds(60));
  Reply Delete(const std::string& address, const std::string& target);

  static std::string SubmissionBody(const Job& job);
  Reply Submit(const Instance& entry, const Job& job);

  /// Posts an operator change to /v1/operator/changes.
  Reply PostChange(const Instance& entry, const boost::json::object& change);
  Reply SetZoneState(const Instance& entry, const std::string& zone, const std::string& state);

  /// Fails the test if the condition does not hold within kWaitTimeout.
  void WaitUntil(const std::string& what, const std::function<bool()>& condition);
  /// Waits until the entry reports that the control version is in force.
  void WaitUntilInForce(const Instance& entry, std::uint64_t control_version);
  /// Waits until all entries and sidecars are ready and know all endpoints.
  void WaitUntilReady();

  /// Value of the metric series, given with its labels. Returns -1 if the series is absent or the
  /// instance does not answer.
  double Metric(const Instance& instance, const std::string& series);

  /// Reads the start logs of all endpoints. All endpoint stand-ins must be running.
  std::vector<StartedTask> ReadStartLogs();
  /// Number of task starts of the job with this idempotency key.
  std::size_t CountStarts(const std::string& key);

  /// The end of the instance's log.
  std::string LogTail(const Instance& instance) const;
  /// Returns false if the text does not appear in the end of the instance's log within the timeout.
  bool WaitForLog(const Instance& instance, std::string_view text,
                  std::chrono::milliseconds timeout) const;
  const std::filesystem::path& directory() const { return m_directory; }

 private:
  std::string AllocateAddress();
  std::string WriteSettings(const std::string& name, const boost::json::object& settings) const;
  void StartPlatform();
  void StartEntries(const FleetOptions& options);
  void StartSidecars(const FleetOptions& options);
  void AcceptBundle();
  bool ListsAllEndpoints(const Instance& entry);
  bool IsReadyToStartTasks(const Instance& sidecar);
  Reply Send(HttpClientRequest request, std::chrono::milliseconds timeout);

  std::filesystem::path m_directory;
  std::unique_ptr<HttpClient> m_client;
  std::vector<std::string> m_zones;
  Instance m_platform;
  std::vector<Instance> m_entries;
  std::vector<Instance> m_sidecars;
  std::vector<Instance> m_endpoints;
};

}  // namespace foxtailrudder::app_test
