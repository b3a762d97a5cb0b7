#include "app/tests/ledger.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace foxtailrudder::app_test {
namespace {

namespace json = boost::json;

std::string TaskId(const Job& job, int number) {
  return kTeam + "/" + job.key + "/" + std::to_string(number);
}

}  // namespace

void Ledger::Add(const Job& job, Reply reply) {
  const std::lock_guard lock(m_mutex);
  JobRecord& record = m_records[job.key];
  record.job = job;
  record.replies.push_back(std::move(reply));
}

void Ledger::Check(const std::vector<StartedTask>& starts) const {
  std::map<std::string, int> start_counts;
  for (const StartedTask& start : starts) ++start_counts[start.task_id];
  for (const auto& [task, times] : start_counts) {
    BOOST_TEST(times == 1, task << " started " << times << " times");
  }
  const std::lock_guard lock(m_mutex);
  for (const auto& [key, record] : m_records) CheckRecord(record, start_counts);
}

void Ledger::CheckComplete(const Job& job, const Reply& reply,
                           const std::map<std::string, int>& start_counts) {
  const json::object body = reply.Json();
  const auto* results = body.if_contains("results");
  if (results == nullptr || !results->is_array() ||
      results->get_array().size() != static_cast<std::size_t>(job.tasks)) {
    BOOST_ERROR("wrong number of results for " << job.key << ": " << reply.body);
    return;
  }
  for (int i = 0; i < job.tasks; ++i) {
    const json::object& result = results->get_array()[static_cast<std::size_t>(i)].as_object();
    BOOST_TEST(result.at("id").as_string() == "t" + std::to_string(i));
    const json::object echo = json::parse(result.at("body").as_string()).as_object();
    BOOST_TEST(echo.at("key").as_string() == job.key);
    BOOST_TEST(echo.at("number").to_number<int>() == i);
    BOOST_TEST(start_counts.count(TaskId(job, i)) == 1, "no start of " << TaskId(job, i));
  }
}

void Ledger::CheckRecord(const JobRecord& record, const std::map<std::string, int>& start_counts) {
  const Reply* final_answer = nullptr;
  bool may_have_run = false;
  for (const Reply& reply : record.replies) {
    if (reply.status != 0 && reply.IsNotRun()) continue;
    may_have_run = true;
    if (reply.status == 0) continue;
    if (reply.status == 200) CheckComplete(record.job, reply, start_counts);
    if (final_answer == nullptr) final_answer = &reply;
    const bool same = final_answer->status == reply.status &&
                      (reply.status == 200 ? final_answer->body == reply.body
                                           : final_answer->ErrorKind() == reply.ErrorKind());
    BOOST_TEST(same, "different answers for " << record.job.key << ": " << final_answer->body
                                              << " and " << reply.body);
    if (reply.status != 200) {
      BOOST_TEST(!reply.Json().contains("results"), "partial answer: " << reply.body);
    }
  }
  if (may_have_run) return;
  for (int i = 0; i < record.job.tasks; ++i) {
    BOOST_TEST(start_counts.count(TaskId(record.job, i)) == 0,
               TaskId(record.job, i) << " started although every answer said not run");
  }
}

std::string Ledger::FirstAnswerOfKind(const std::string& kind) const {
  const std::lock_guard lock(m_mutex);
  for (const auto& [key, record] : m_records) {
    for (const Reply& reply : record.replies) {
      if (reply.status != 0 && reply.status != 200 && reply.ErrorKind() == kind) {
        return key + ": " + reply.body;
      }
    }
  }
  return {};
}

std::size_t Ledger::CountComplete() const {
  const std::lock_guard lock(m_mutex);
  std::size_t complete = 0;
  for (const auto& [key, record] : m_records)
    complete += record.replies.back().status == 200 ? 1 : 0;
  return complete;
}

std::string Ledger::Summary() const {
  const std::lock_guard lock(m_mutex);
  std::map<std::string, int> kinds;
  for (const auto& [key, record] : m_records) {
    const Reply& last = record.replies.back();
    ++kinds[last.status == 0     ? "no answer (" + last.failure + ")"
            : last.status == 200 ? "complete"
                                 : last.ErrorKind()];
  }
  std::ostringstream text;
  for (const auto& [kind, number] : kinds) text << kind << ": " << number << "; ";
  return text.str();
}

}  // namespace foxtailrudder::app_test
