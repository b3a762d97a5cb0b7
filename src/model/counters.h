#pragma once

#include <array>
#include <cstdint>

#include "model/error_kind.h"

namespace foxtailrudder {

/// Events that decision code counts, apart from refusals and retries.
enum class CounterId : std::uint8_t {
  kJobsSubmitted,
  kJobsAttached,
  kJobsComplete,
  kJobsFailed,
  kTasksDispatched,
  kTasksStarted,
  kTasksFinished,
  kMessagesSent,
  kMessagesStale,
  kMessagesDuplicate,
  kTransitionsIgnored,
  kPermitsGranted,
  kPermitsRefused,
  kHandoversSent,
  kHandoversReceived,
  kTakeovers,
  kShardsInDoubt,
  kConfirmationsAsked,
  kConfirmationsGiven,
  kChangesMade,
  kEjections,
  kCount,
};

/// Stable snake_case name of a counter, used in metrics.
std::string_view CounterName(CounterId id);

/// Counters of one process: one per event, one per refusal reason and one per retry reason.
class Counters {
 public:
  void Add(CounterId id, std::uint64_t amount = 1) {
    m_events[static_cast<std::size_t>(id)] += amount;
  }
  void AddRefusal(ErrorKind reason) { ++m_refusals[static_cast<std::size_t>(reason)]; }
  void AddRetry(ErrorKind reason) { ++m_retries[static_cast<std::size_t>(reason)]; }

  std::uint64_t Get(CounterId id) const { return m_events[static_cast<std::size_t>(id)]; }
  std::uint64_t Refusals(ErrorKind reason) const {
    return m_refusals[static_cast<std::size_t>(reason)];
  }
  std::uint64_t Retries(ErrorKind reason) const {
    return m_retries[static_cast<std::size_t>(reason)];
  }

 private:
  std::array<std::uint64_t, static_cast<std::size_t>(CounterId::kCount)> m_events{};
  std::array<std::uint64_t, kErrorKindCount> m_refusals{};
  std::array<std::uint64_t, kErrorKindCount> m_retries{};
};

}  // namespace foxtailrudder
