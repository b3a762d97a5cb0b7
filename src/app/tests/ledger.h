#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "app/tests/fleet.h"

namespace foxtailrudder::app_test {

/// Records every answer that callers received and checks the answers against the endpoints' start
/// logs. Thread-safe.
class Ledger {
 public:
  void Add(const Job& job, Reply reply);

  /// Checks invariants 1, 2, 4, 5 and 6: no task started twice; all callers of a key got the same
  /// answer; a complete answer holds the result of each of its own tasks, and each of them started;
  /// no task started for a key whose answers all say "not run".
  void Check(const std::vector<StartedTask>& starts) const;

  /// Number of jobs whose last answer is complete.
  std::size_t CountComplete() const;
  /// Key and body of the first answer with this kind of error; empty if there is none.
  std::string FirstAnswerOfKind(const std::string& kind) const;
  /// Number of keys per kind of their last answer, for test messages.
  std::string Summary() const;

 private:
  struct JobRecord {
    Job job;
    std::vector<Reply> replies;
  };
  static void CheckComplete(const Job& job, const Reply& reply,
                            const std::map<std::string, int>& start_counts);
  static void CheckRecord(const JobRecord& record, const std::map<std::string, int>& start_counts);

  mutable std::mutex m_mutex;
  std::map<std::string, JobRecord> m_records;
};

}  // namespace foxtailrudder::app_test
