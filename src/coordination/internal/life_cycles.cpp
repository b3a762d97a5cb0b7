#include "coordination/internal/life_cycles.h"

#include <array>
#include <string_view>

#include "lifecycle/lifecycle.h"

namespace foxtailrudder {
namespace {

constexpr std::array<std::string_view, 7> kTaskPhases = {
    "queued", "dispatched", "resolving", "finished", "failed", "unknown", "dropped"};
constexpr std::array<std::string_view, 8> kTaskEvents = {"dispatch", "refuse", "query", "running",
                                                         "finish",   "fail",   "lose",  "drop"};
constexpr std::array<std::string_view, 5> kJobPhases = {"active", "dormant", "refused", "complete",
                                                        "failed"};
constexpr std::array<std::string_view, 6> kJobEvents = {"complete", "fail",  "refuse",
                                                        "rebuild",  "adopt", "reopen"};

struct NoContext {};

using TaskMachine = ChartMachine<TaskPhase, TaskEvent, NoContext>;
using JobMachine = ChartMachine<JobPhase, JobEvent, NoContext>;

}  // namespace

bool FireTask(TaskPhase& phase, TaskEvent event) {
  static const auto machine = CreateBuiltInMachine<TaskMachine>("task", kTaskPhases, kTaskEvents);
  NoContext context;
  return machine.Fire(phase, event, context);
}

bool FireJob(JobPhase& phase, JobEvent event) {
  static const auto machine = CreateBuiltInMachine<JobMachine>("job", kJobPhases, kJobEvents);
  NoContext context;
  return machine.Fire(phase, event, context);
}

}  // namespace foxtailrudder
