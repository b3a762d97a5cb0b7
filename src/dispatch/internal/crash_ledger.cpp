#include "dispatch/internal/crash_ledger.h"

namespace foxtailrudder {
namespace {

/// Longer than callers resubmit a job and than its runs can take.
constexpr std::chrono::seconds kRetention{60};

/// Bounds the memory while endpoints crash all the time; a crash has some tens of suspects.
constexpr std::size_t kMaxRecords = 4'096;

constexpr std::size_t kStrongSuspectCrashes = 2;

/// A task that was never alone is guilty after this many crashes: the users allow no more starts
/// than two after the third.
constexpr std::size_t kGuiltyCrashes = 3;

}  // namespace

std::size_t CrashLedger::Add(const EndpointCrash& crash, Now now) {
  std::size_t left_out = 0;
  for (const TaskName& task : crash.suspects) {
    if (m_records.size() >= kMaxRecords && !m_records.contains(task)) {
      ++left_out;
      continue;
    }
    Record& record = m_records[task];
    record.crashes.insert(crash.crash);
    record.crashed_alone |= crash.suspects.size() == 1;
    record.forget_at = now.steady + kRetention;
  }
  return left_out;
}

CrashVerdict CrashLedger::VerdictOn(const TaskName& task) const {
  const auto found = m_records.find(task);
  if (found == m_records.end()) return CrashVerdict::kClear;
  const Record& record = found->second;
  if (record.crashes.size() >= kGuiltyCrashes) return CrashVerdict::kGuilty;
  if (record.crashes.size() < kStrongSuspectCrashes) return CrashVerdict::kSuspect;
  return record.crashed_alone ? CrashVerdict::kGuilty : CrashVerdict::kStrongSuspect;
}

std::uint32_t CrashLedger::CrashesOf(const TaskName& task) const {
  const auto found = m_records.find(task);
  return found == m_records.end() ? 0 : static_cast<std::uint32_t>(found->second.crashes.size());
}

bool CrashLedger::Clear(const TaskName& task) { return m_records.erase(task) > 0; }

void CrashLedger::Expire(Now now) {
  std::erase_if(m_records,
                [now](const auto& entry) { return now.steady >= entry.second.forget_at; });
}

}  // namespace foxtailrudder
