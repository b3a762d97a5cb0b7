#include "app/internal/state_watcher.h"

#include <algorithm>
#include <utility>

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

/// Bounds of the exponential backoff. Store calls are billed and rate-limited, but a change must be
/// in force within 2 s of the store's answer to the operator, even when the store has just
/// recovered.
constexpr milliseconds kInitialBackoff{50};
constexpr milliseconds kMaxBackoff{400};

}  // namespace

StateWatcher::StateWatcher(boost::asio::io_context& loop, StateStore& store, DecisionLog& log,
                           std::function<void(const StateRead&)> on_read)
    : m_timer(loop), m_store(store), m_log(log), m_on_read(std::move(on_read)) {}

void StateWatcher::Start() { ReadAll(); }

void StateWatcher::ReadAll() {
  m_store.ReadAll([this](const StateRead& read) {
    if (m_stopped) return;
    if (read.status != StateReadStatus::kOk) {
      Retry([this] { ReadAll(); });
      return;
    }
    OnReadSucceeded(read);
  });
}

void StateWatcher::Watch() {
  m_store.Watch(m_cursor, [this](const StateRead& read) {
    if (m_stopped) return;
    switch (read.status) {
      case StateReadStatus::kOk:
        OnReadSucceeded(read);
        return;
      case StateReadStatus::kHistoryGone:
        m_log.Record(DecisionClass::kStateChange, "store_history_gone", {},
                     {{"cursor", static_cast<std::int64_t>(m_cursor)}});
        ReadAll();
        return;
      case StateReadStatus::kUnavailable:
        break;
    }
    if (m_is_reachable) {
      m_log.Record(DecisionClass::kStateChange, "store_lost", {}, {{"detail", read.detail}});
    }
    // Reads a full snapshot: the watch may have missed changes on a connection that failed
    // silently.
    Retry([this] { ReadAll(); });
  });
}

void StateWatcher::OnReadSucceeded(const StateRead& read) {
  if (!std::exchange(m_is_reachable, true)) {
    m_log.Record(DecisionClass::kStateChange, "store_reached", {},
                 {{"failures", static_cast<std::int64_t>(m_failures)}});
  }
  m_failures = 0;
  // An outdated read must not move the cursor back.
  m_cursor = std::max(m_cursor, read.cursor);
  m_on_read(read);
  Watch();
}

void StateWatcher::Retry(std::function<void()> retry) {
  m_is_reachable = false;
  const milliseconds backoff =
      std::min(kInitialBackoff * (1U << std::min(m_failures, 8U)), kMaxBackoff);
  ++m_failures;
  m_timer.expires_after(backoff);
  m_timer.async_wait([this, retry = std::move(retry)](boost::system::error_code error) {
    if (!error && !m_stopped) retry();
  });
}

}  // namespace foxtailrudder
