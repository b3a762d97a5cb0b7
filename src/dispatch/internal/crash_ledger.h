#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "model/dispatch_messages.h"
#include "model/time.h"

namespace foxtailrudder {

/// Verdict on a task, from the crashes of endpoints under it.
enum class CrashVerdict : std::uint8_t {
  /// No endpoint has crashed under it.
  kClear,
  /// It ran beside others on an endpoint that crashed: it runs only where few endpoints are at
  /// risk.
  kSuspect,
  /// Two endpoints have crashed under it and others: it runs alone, so that the next run decides.
  kStrongSuspect,
  /// It crashes the endpoints that start it and must not be started again.
  kGuilty,
};

/// The tasks under which endpoints have crashed, whichever entry placed them, so that a task that
/// is submitted again elsewhere is known there.
class CrashLedger {
 public:
  /// Takes a crash and the tasks that ran on the endpoint. The same crash counts once. Returns how
  /// many of the tasks were left out because too many are remembered.
  std::size_t Add(const EndpointCrash& crash, Now now);

  CrashVerdict VerdictOn(const TaskName& task) const;

  /// Number of endpoints that have crashed under a task.
  std::uint32_t CrashesOf(const TaskName& task) const;

  /// Forgets the crashes under a task that has ended on a sound endpoint. Returns whether there
  /// were any.
  bool Clear(const TaskName& task);

  /// Forgets tasks whose last crash is long past.
  void Expire(Now now);

  std::size_t size() const { return m_records.size(); }

 private:
  struct Record {
    std::set<std::uint64_t> crashes;
    /// An endpoint has crashed while nothing else ran there.
    bool crashed_alone = false;
    SteadyTime forget_at;
  };

  std::map<TaskName, Record> m_records;
};

}  // namespace foxtailrudder
