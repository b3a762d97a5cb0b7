#include "app/tests/load.h"

#include <chrono>

namespace foxtailrudder::app_test {
namespace {

constexpr std::chrono::milliseconds kRetryDelay{50};

}  // namespace

LoadGenerator::LoadGenerator(Fleet& fleet, Ledger& ledger, LoadOptions options)
    : m_fleet(fleet),
      m_ledger(ledger),
      m_options(std::move(options)),
      m_available(fleet.entries().size()) {
  for (auto& available : m_available) available = true;
  for (int i = 0; i < m_options.callers; ++i) {
    m_threads.emplace_back([this, i] { RunCaller(static_cast<std::size_t>(i)); });
  }
}

void LoadGenerator::WaitForJobs(std::size_t count) {
  const std::size_t wanted = m_answered + count;
  m_fleet.WaitUntil("jobs under load answered", [&] { return m_answered >= wanted; });
}

void LoadGenerator::Stop() {
  m_stopping = true;
  for (std::thread& thread : m_threads) thread.join();
  m_threads.clear();
}

std::string LoadGenerator::first_unanswered_request() const {
  const std::lock_guard lock(m_mutex);
  return m_first_unanswered_request;
}

void LoadGenerator::RunCaller(std::size_t number) {
  for (std::size_t count = 0; !m_stopping; ++count) {
    Job job;
    job.key = m_options.key_prefix + "-" + std::to_string(number) + "-" + std::to_string(count);
    job.tasks = m_options.tasks;
    job.run_ms = m_options.run_ms;
    SubmitUntilAnswered(job, number + count);
    ++m_answered;
  }
}

void LoadGenerator::SubmitUntilAnswered(const Job& job, std::size_t first_entry) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  for (std::size_t attempt = 0; std::chrono::steady_clock::now() < deadline; ++attempt) {
    const std::size_t entry = NextAvailableEntry(first_entry + attempt);
    const Reply reply = m_fleet.Submit(m_fleet.entries()[entry], job);
    if (reply.status == 0 && reply.sent) {
      const std::lock_guard lock(m_mutex);
      ++m_unanswered_requests;
      if (m_first_unanswered_request.empty()) {
        m_first_unanswered_request =
            job.key + " at " + m_fleet.entries()[entry].name + ": " + reply.failure;
      }
    }
    // A request of which nothing was written says nothing about the system, so it is not recorded.
    if (reply.status != 0 || reply.sent) m_ledger.Add(job, reply);
    if (reply.status != 0 && !reply.IsNotRun()) return;
    std::this_thread::sleep_for(kRetryDelay);
  }
}

std::size_t LoadGenerator::NextAvailableEntry(std::size_t entry) const {
  for (std::size_t i = 0; i < m_available.size(); ++i) {
    const std::size_t candidate = (entry + i) % m_available.size();
    if (m_available[candidate]) return candidate;
  }
  return entry % m_available.size();
}

}  // namespace foxtailrudder::app_test
