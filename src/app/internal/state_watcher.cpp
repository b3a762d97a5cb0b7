#include "app/internal/state_watcher.h"

#include <algorithm>
#include <utility>

namespace foxtailrudder {
namespace {

using std::chrono::milliseconds;

/// Calls to the store are priced and limited; a change has to be in force within 2 s of the store's
/// answer to the operator, also when the store has just come back.
constexpr milliseconds kFirstPause{50};
constexpr milliseconds kLongestPause{400};

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
    Take(read);
  });
}

void StateWatcher::Watch() {
  m_store.Watch(m_cursor, [this](const StateRead& read) {
    if (m_stopped) return;
    switch (read.status) {
      case StateReadStatus::kOk:
        Take(read);
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
    // All is read again: a watch may have missed what a silent connection swallowed.
    Retry([this] { ReadAll(); });
  });
}

void StateWatcher::Take(const StateRead& read) {
  if (!std::exchange(m_is_reachable, true)) {
    m_log.Record(DecisionClass::kStateChange, "store_reached", {},
                 {{"failures", static_cast<std::int64_t>(m_failures)}});
  }
  m_failures = 0;
  // A read that was overtaken must not move the cursor back.
  m_cursor = std::max(m_cursor, read.cursor);
  m_on_read(read);
  Watch();
}

void StateWatcher::Retry(std::function<void()> again) {
  m_is_reachable = false;
  const milliseconds pause =
      std::min(kFirstPause * (1U << std::min(m_failures, 8U)), kLongestPause);
  ++m_failures;
  m_timer.expires_after(pause);
  m_timer.async_wait([this, again = std::move(again)](boost::system::error_code error) {
    if (!error && !m_stopped) again();
  });
}

}  // namespace foxtailrudder
