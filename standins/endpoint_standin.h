#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "http/client.h"
#include "model/error_kind.h"
#include "model/time.h"
#include "standins/scheduler.h"

namespace foxtailrudder::standins {

struct EndpointConfig {
  std::string listen = "127.0.0.1:0";
  /// HTTP address of the sidecar that receives the announcements; if empty, none are sent.
  std::string sidecar;
  std::string service;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  std::string worker;
  std::string rack;
  /// A task whose payload has no run_ms gets a run time drawn uniformly from this range.
  std::chrono::milliseconds min_run_time{50};
  std::chrono::milliseconds max_run_time{1000};
  std::chrono::milliseconds announce_period{1000};
  std::uint64_t seed = 1;
};

/// Faults to inject into an endpoint; can be changed while it runs.
struct EndpointFaults {
  /// Every task is started and immediately answered with status 500.
  bool fail_all = false;
  /// Tasks are started but never answered.
  bool hang = false;
  /// Factor applied to the run time of each task.
  double slow_factor = 1;
};

/// Record of a task start.
struct TaskStart {
  std::string task_id;
  WallTime at;
};

/// Simulated endpoint: holds each task for its run time, then answers with the task's payload.
/// Tasks that arrive while all slots are taken wait in a queue.
class EndpointStandin {
 public:
  /// The endpoints of a process share the client and the scheduler, which must outlive them.
  static std::variant<std::unique_ptr<EndpointStandin>, Error> Create(EndpointConfig config,
                                                                      HttpClient& client,
                                                                      Scheduler& scheduler);
  EndpointStandin(const EndpointStandin&) = delete;
  EndpointStandin& operator=(const EndpointStandin&) = delete;
  ~EndpointStandin();

  const std::string& address() const;
  void SetFaults(const EndpointFaults& faults);
  /// For this duration no task starts or is answered and nothing is announced, as if the process
  /// were paused.
  void Freeze(std::chrono::milliseconds duration);
  /// From now on, announcements say that the endpoint is leaving.
  void Leave();
  std::vector<TaskStart> starts() const;

 private:
  class Impl;
  explicit EndpointStandin(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> m_impl;
};

}  // namespace foxtailrudder::standins
