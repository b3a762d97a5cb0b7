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

/// A call that has no answer by then is overdue. The store normally answers in about 4 ms, and in
/// 200 to 300 ms while it is slow; a watch waits for a second by itself.
constexpr milliseconds kReadOverdue{900};
constexpr milliseconds kWatchOverdue{1'500};

/// How long a call stays open, so that a slow one gets through. With kReadOverdue it keeps within
/// kMaxOpenCalls.
constexpr milliseconds kCallPatience{4'000};

/// Bounds the connections to a store that answers nothing.
constexpr std::uint32_t kMaxOpenCalls = 5;

}  // namespace

StateWatcher::StateWatcher(boost::asio::io_context& loop, StateStore& store, DecisionLog& log,
                           std::function<void(const StateRead&)> on_read)
    : m_timer(loop), m_store(store), m_log(log), m_on_read(std::move(on_read)) {}

void StateWatcher::Start() { ReadAll(); }

void StateWatcher::ReadAll() {
  const SteadyTime now = std::chrono::steady_clock::now();
  ReadAt(now + kReadOverdue);
  if (m_open_calls >= kMaxOpenCalls) return;
  ++m_open_calls;
  m_store.ReadAll(now + kCallPatience,
                  [this, call = ++m_last_call](const StateRead& read) { OnAnswer(call, read); });
}

void StateWatcher::Watch() {
  const SteadyTime now = std::chrono::steady_clock::now();
  ReadAt(now + kWatchOverdue);
  ++m_open_calls;
  m_store.Watch(m_cursor, now + kCallPatience,
                [this, call = ++m_last_call](const StateRead& read) { OnAnswer(call, read); });
}

void StateWatcher::OnAnswer(CallNumber call, const StateRead& read) {
  --m_open_calls;
  if (m_stopped) return;
  if (read.status != StateReadStatus::kOk) {
    OnFailed(call, read);
    return;
  }
  if (!std::exchange(m_is_reachable, true)) {
    m_log.Record(DecisionClass::kStateChange, "store_reached", {},
                 {{"failures", static_cast<std::int64_t>(m_failures)}});
  }
  m_failures = 0;
  if (read.skipped_rows > 0) {
    m_log.Record(DecisionClass::kStateChange, "store_rows_skipped", {},
                 {{"rows", static_cast<std::int64_t>(read.skipped_rows)},
                  {"cursor", static_cast<std::int64_t>(read.cursor)}});
  }
  // An outdated read must not move the cursor back.
  m_cursor = std::max(m_cursor, read.cursor);
  m_on_read(read);
  if (call <= m_last_settled) return;
  m_last_settled = m_last_call;
  Watch();
}

void StateWatcher::OnFailed(CallNumber call, const StateRead& read) {
  if (call <= m_last_settled) return;
  if (read.status == StateReadStatus::kHistoryGone) {
    m_log.Record(DecisionClass::kStateChange, "store_history_gone", {},
                 {{"cursor", static_cast<std::int64_t>(m_cursor)}});
    ReadAll();
    return;
  }
  SetUnreachable(read.detail);
  // Reads a full snapshot: the watch may have missed changes on a connection that failed silently.
  const milliseconds backoff =
      std::min(kInitialBackoff * (1U << std::min(m_failures, 8U)), kMaxBackoff);
  ReadAt(std::chrono::steady_clock::now() + backoff);
}

void StateWatcher::OnOverdue() {
  SetUnreachable("overdue");
  ++m_failures;
  ReadAll();
}

void StateWatcher::SetUnreachable(std::string_view detail) {
  if (!std::exchange(m_is_reachable, false)) return;
  m_log.Record(DecisionClass::kStateChange, "store_lost", {}, {{"detail", detail}});
}

void StateWatcher::ReadAt(SteadyTime when) {
  m_timer.expires_at(when);
  m_timer.async_wait([this](boost::system::error_code error) {
    if (!error && !m_stopped) OnOverdue();
  });
}

}  // namespace foxtailrudder
