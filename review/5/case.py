"""Two queues have the same path prefix under different hosts, and the clients of both number their jobs."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab.fleet import PREFIX, TROUBLE, Fleet, job_body, run_case

JOBS = 8
# As in the site file.
BUDGET_MS, WORK_MS = 1500, 900
GATE, SCALES = "gate.example", "scales.example"
GATE_SERVICE, SCALES_SERVICE = "gate-confirm", "scale-price"


class TwoQueues(Fleet):
    """Workers 0 and 1 run the tasks of one queue, 2 and 3 those of the other."""

    def routes(self):
        return [self.route("r-gate", GATE, PREFIX, GATE_SERVICE),
                self.route("r-scales", SCALES, PREFIX, SCALES_SERVICE)]

    def service_of(self, worker):
        return GATE_SERVICE if worker < 2 else SCALES_SERVICE


async def scenario(fleet):
    fleet.answers = []
    # TROUBLE=0: the numbers of one queue begin elsewhere.
    first_of_scales = 0xb00c00 if TROUBLE == "1" else 0xd00c00
    for i in range(JOBS):
        gate, scales = f"{0xb00c00 + i:016x}", f"{first_of_scales + i:016x}"
        sent = [asyncio.create_task(fleet.submit(gate, 0, job_body(2, WORK_MS), BUDGET_MS, GATE))]
        await asyncio.sleep(0.1)
        sent.append(asyncio.create_task(fleet.submit(scales, 0, job_body(3, WORK_MS), BUDGET_MS, SCALES)))
        statuses = await asyncio.gather(*sent)
        fleet.answers += [(GATE, gate, 2, range(0, 2), statuses[0]), (SCALES, scales, 3, range(2, 4), statuses[1])]


def judge(fleet):
    """Jobs that were answered as completed although a task of theirs has not ended `done` on a worker of their queue."""
    broken = []
    for host, job, tasks, workers, statuses in getattr(fleet, "answers", []):
        if statuses[-1] != 200:
            continue
        names = {fleet.runners[worker].name for worker in workers}
        done = sum(any(worker in names and how == "done"
                       for worker, _, how in fleet.record.ended.get(f"{job}.0.0.{index}", []))
                   for index in range(tasks))
        if done < tasks:
            broken.append(f"job {job} of {host}: answered as completed; {done} of its {tasks} tasks have ended done")
    return broken


run_case(TwoQueues(entries=1, workers=4), scenario, judge, os.path.dirname(os.path.abspath(__file__)))
