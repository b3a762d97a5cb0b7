#include "standins/scheduler.h"

#include <utility>

namespace foxtailrudder::standins {

Scheduler::Scheduler() : m_thread([this] { Run(); }) {}

Scheduler::~Scheduler() { Stop(); }

void Scheduler::At(std::chrono::steady_clock::time_point when, std::function<void()> function) {
  {
    const std::lock_guard lock(m_mutex);
    m_functions.emplace(when, std::move(function));
  }
  m_changed.notify_one();
}

void Scheduler::After(std::chrono::nanoseconds delay, std::function<void()> function) {
  At(std::chrono::steady_clock::now() + delay, std::move(function));
}

void Scheduler::Stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
  }
  m_changed.notify_one();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void Scheduler::Run() {
  std::unique_lock lock(m_mutex);
  while (!m_stopped) {
    if (m_functions.empty()) {
      m_changed.wait(lock);
      continue;
    }
    const auto first = m_functions.begin();
    if (first->first > std::chrono::steady_clock::now()) {
      const auto when = first->first;
      m_changed.wait_until(lock, when);
      continue;
    }
    const auto function = std::move(first->second);
    m_functions.erase(first);
    lock.unlock();
    function();
    lock.lock();
  }
}

}  // namespace foxtailrudder::standins
