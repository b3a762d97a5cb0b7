#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "app/tests/fleet.h"
#include "app/tests/ledger.h"

namespace foxtailrudder::app_test {

struct LoadOptions {
  std::string key_prefix = "load";
  int callers = 12;
  int tasks = 2;
  int run_ms = 100;
};

/// Callers that each submit one job after another, in turn to all entries. After a "not run"
/// refusal or a missing answer, a caller submits the job again with the same key to the next entry.
class LoadGenerator {
 public:
  LoadGenerator(Fleet& fleet, Ledger& ledger, LoadOptions options = {});
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;
  ~LoadGenerator() { Stop(); }

  /// Sets whether callers submit to this entry, as a load balancer does.
  void SetAvailable(std::size_t entry, bool available) { m_available.at(entry) = available; }

  /// Waits until this many more jobs have been answered.
  void WaitForJobs(std::size_t count);

  /// Stops the callers after each has finished its current job.
  void Stop();

  /// Number of requests that were at least partly written but got no answer.
  std::size_t unanswered_requests() const { return m_unanswered_requests; }
  std::string first_unanswered_request() const;

 private:
  void RunCaller(std::size_t number);
  void SubmitUntilAnswered(const Job& job, std::size_t first_entry);
  std::size_t NextAvailableEntry(std::size_t entry) const;

  Fleet& m_fleet;
  Ledger& m_ledger;
  const LoadOptions m_options;
  std::vector<std::atomic<bool>> m_available;
  std::atomic<bool> m_stopping{false};
  std::atomic<std::size_t> m_answered{0};
  std::atomic<std::size_t> m_unanswered_requests{0};
  mutable std::mutex m_mutex;
  std::string m_first_unanswered_request;
  std::vector<std::thread> m_threads;
};

}  // namespace foxtailrudder::app_test
