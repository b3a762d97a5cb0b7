#include "bench/load_runner.h"

#include <algorithm>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include "config/rfc3339.h"
#include "http/target.h"
#include "model/time.h"

namespace foxtailrudder::bench {
namespace {

namespace json = boost::json;
using std::chrono::steady_clock;

constexpr int kIdleSamples = 40;
constexpr int kIdleRunMs = 50;

steady_clock::duration Duration(Milliseconds time) {
  return std::chrono::duration_cast<steady_clock::duration>(time);
}

double Median(std::vector<double> values) { return Summarize(std::move(values)).p50; }

std::string JobBody(const Fleet& fleet, const JobArrival& job, Milliseconds deadline,
                    bool wrong_hints) {
  json::array tasks;
  for (std::size_t i = 0; i < job.run_times.size(); ++i) {
    json::object task{{"id", "t" + std::to_string(i)},
                      {"payload", {{"run_ms", job.run_times[i].count()}}}};
    if (wrong_hints) {
      // Hints alternate between a twentieth of the run time and twenty times it; urgent and normal
      // jobs start with different ones.
      const double factor = i % 2 == static_cast<std::size_t>(job.urgent) ? 0.05 : 20;
      task["run_time_hint"] = static_cast<std::int64_t>(job.run_times[i].count() * factor);
      task["size"] = i % 2 == 0 ? 1 : 100;
    }
    tasks.push_back(std::move(task));
  }
  const WallTime until = std::chrono::time_point_cast<WallTime::duration>(
      std::chrono::system_clock::now() +
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline));
  return json::serialize(json::object{{"team", fleet.team()},
                                      {"service", fleet.service()},
                                      {"urgency", job.urgent ? "urgent" : "normal"},
                                      {"deadline", FormatRfc3339(until)},
                                      {"idempotent", true},
                                      {"tasks", std::move(tasks)}});
}

/// Shared with the response callbacks, which may run after RunLoad has stopped waiting.
struct SharedRecords {
  std::mutex mutex;
  std::vector<JobRecord> records;
  std::size_t pending = 0;
};

void RecordResult(JobRecord& record, const HttpClientResult& result, Milliseconds latency) {
  record.answered = true;
  record.latency = latency;
  const auto* response = std::get_if<HttpClientResponse>(&result);
  if (response == nullptr) {
    record.error_kind = "connection: " + std::get<HttpClientError>(result).detail;
    return;
  }
  record.status = response->status;
  if (response->status == 200) return;
  boost::system::error_code error;
  const json::value body = json::parse(response->body, error);
  if (error || !body.is_object()) return;
  if (const auto* kind = body.as_object().if_contains("kind")) {
    record.error_kind = kind->as_string();
  }
  if (const auto* not_run = body.as_object().if_contains("not_run")) {
    record.not_run = not_run->as_bool();
  }
}

HttpClientRequest JobRequest(const std::string& address, const std::string& key, std::string body) {
  HttpClientRequest request;
  request.address = address;
  request.method = "POST";
  request.target = "/v1/jobs";
  request.headers.Add("Content-Type", "application/json");
  request.headers.Add("Idempotency-Key", key);
  request.body = std::move(body);
  request.deadline = steady_clock::now() + std::chrono::seconds(120);
  return request;
}

void MeasureIdleSystem(Fleet& fleet, const LoadOptions& options, LoadResult& result) {
  const auto entries = fleet.ProcessesOf("entry");
  std::vector<double> round_trips;
  std::vector<double> overheads;
  for (int i = 0; i < kIdleSamples; ++i) {
    const auto& entry = entries[static_cast<std::size_t>(i) % entries.size()];
    const auto begin = steady_clock::now();
    fleet.Call(entry.http_address, "GET", "/livez");
    round_trips.push_back(Milliseconds(steady_clock::now() - begin).count());

    JobArrival job;
    job.run_times = {Milliseconds(kIdleRunMs)};
    const auto submitted = steady_clock::now();
    std::promise<void> done;
    fleet.client().Request(
        JobRequest(entry.http_address, options.key_prefix + "-idle-" + std::to_string(i),
                   JobBody(fleet, job, options.deadline, false)),
        [&done](const HttpClientResult& /*result*/) { done.set_value(); });
    done.get_future().wait();
    overheads.push_back(Milliseconds(steady_clock::now() - submitted).count() - kIdleRunMs);
  }
  result.round_trip = Milliseconds(Median(round_trips)) + 2 * options.client_delay;
  result.idle_overhead = Milliseconds(Median(overheads)) + 2 * options.client_delay;
}

void CancelPendingJobs(Fleet& fleet, const LoadOptions& options, SharedRecords& shared) {
  std::vector<std::size_t> pending;
  {
    const std::lock_guard lock(shared.mutex);
    for (std::size_t i = 0; i < shared.records.size(); ++i) {
      JobRecord& record = shared.records[i];
      if (!record.sent || record.answered) continue;
      record.cancelled = true;
      pending.push_back(i);
    }
  }
  const auto entries = fleet.ProcessesOf("entry");
  for (const std::size_t i : pending) {
    HttpClientRequest request;
    request.address = entries[i % entries.size()].http_address;
    request.method = "DELETE";
    request.target = "/v1/jobs/" + PercentEncode(fleet.team()) + "/" +
                     PercentEncode(options.key_prefix + "-" + std::to_string(i));
    request.deadline = steady_clock::now() + std::chrono::seconds(10);
    fleet.client().Request(std::move(request), [](const HttpClientResult& /*result*/) {});
  }
}

}  // namespace

LoadResult RunLoad(Fleet& fleet, const LoadOptions& options,
                   const std::vector<TimedAction>& actions) {
  LoadResult result;
  result.arrivals = MakeArrivals(options.workload);
  MeasureIdleSystem(fleet, options, result);
  const FleetCounters before = fleet.ReadCounters();
  const auto entries = fleet.ProcessesOf("entry");
  const auto shared = std::make_shared<SharedRecords>();
  shared->records.resize(result.arrivals.size());
  const auto begin = steady_clock::now() + std::chrono::milliseconds(50);

  std::vector<std::thread> threads;
  threads.reserve(actions.size() + 1);
  for (const TimedAction& timed : actions) {
    threads.emplace_back([&timed, begin] {
      std::this_thread::sleep_until(begin + Duration(timed.at));
      timed.action();
    });
  }
  if (options.cancel_at.count() > 0) {
    threads.emplace_back([&, begin] {
      std::this_thread::sleep_until(begin + Duration(options.cancel_at));
      CancelPendingJobs(fleet, options, *shared);
    });
  }

  for (std::size_t i = 0; i < result.arrivals.size(); ++i) {
    const JobArrival& job = result.arrivals[i];
    const auto intended = begin + Duration(job.at);
    std::this_thread::sleep_until(intended + Duration(options.client_delay));
    const Milliseconds late = steady_clock::now() - intended;
    result.max_send_delay = std::max(result.max_send_delay, late - options.client_delay);
    {
      const std::lock_guard lock(shared->mutex);
      ++shared->pending;
      shared->records[i].sent = true;
    }
    const Milliseconds deadline =
        (job.urgent ? job.longest() + options.urgent_slack : options.deadline) -
        options.client_delay;
    fleet.client().Request(
        JobRequest(entries[i % entries.size()].http_address,
                   options.key_prefix + "-" + std::to_string(i),
                   JobBody(fleet, job, deadline, options.wrong_hints)),
        [shared, i, intended, delay = options.client_delay](const HttpClientResult& answer) {
          const Milliseconds latency = Milliseconds(steady_clock::now() - intended) + delay;
          const std::lock_guard lock(shared->mutex);
          RecordResult(shared->records[i], answer, latency);
          --shared->pending;
        });
  }
  const auto last = begin + Duration(options.workload.duration + options.response_timeout);
  while (steady_clock::now() < last) {
    {
      const std::lock_guard lock(shared->mutex);
      if (shared->pending == 0) break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  for (std::thread& thread : threads) thread.join();
  result.counters = fleet.ReadCounters() - before;
  const std::lock_guard lock(shared->mutex);
  result.records = shared->records;
  return result;
}

LoadFigures Evaluate(const LoadResult& result, const LoadOptions& options) {
  LoadFigures figures;
  std::vector<double> all;
  std::vector<double> single;
  std::map<std::string, std::size_t> error_kinds;
  double responses = 0;
  double ideals = 0;
  double completed_work = 0;
  double offered = 0;
  for (std::size_t i = 0; i < result.records.size(); ++i) {
    const JobArrival& job = result.arrivals[i];
    const JobRecord& record = result.records[i];
    offered += job.work().count();
    // A "not_started_in_time" error sets not_run although the job had been accepted.
    const bool accepted =
        record.answered && (!record.not_run || record.error_kind == "not_started_in_time");
    if (job.urgent && accepted && !record.cancelled) {
      ++figures.urgent_accepted;
      const bool missed = record.error_kind == "not_started_in_time" ||
                          record.error_kind == "deadline_exceeded" ||
                          record.latency > job.longest() + options.urgent_slack;
      if (missed) ++figures.urgent_late;
    }
    if (!record.answered) {
      ++figures.unanswered;
      continue;
    }
    if (record.status != 200) {
      ++error_kinds[record.error_kind];
      if (record.cancelled) {
        ++figures.cancelled;
      } else if (record.not_run) {
        ++figures.refused;
      } else {
        ++figures.failed;
      }
      continue;
    }
    ++figures.complete;
    completed_work += job.work().count();
    const double ideal = (job.longest() + result.round_trip).count();
    responses += record.latency.count();
    ideals += ideal;
    all.push_back(record.latency.count() / ideal);
    if (job.run_times.size() == 1) single.push_back(all.back());
  }
  figures.all = Summarize(all);
  figures.single = Summarize(single);
  figures.ratio_of_means = ideals > 0 ? responses / ideals : 0;
  figures.wasted_per_task = result.counters.WastedPerTask();
  figures.work_share = offered > 0 ? completed_work / offered : 0;
  figures.error_kinds.assign(error_kinds.begin(), error_kinds.end());
  return figures;
}

Milliseconds CompletedWork(const LoadResult& result, Milliseconds until) {
  Milliseconds work{0};
  for (std::size_t i = 0; i < result.records.size(); ++i) {
    const JobRecord& record = result.records[i];
    if (record.status == 200 && result.arrivals[i].at + record.latency <= until) {
      work += result.arrivals[i].work();
    }
  }
  return work;
}

}  // namespace foxtailrudder::bench
