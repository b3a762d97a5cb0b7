"""A client cancels a job whose first step runs."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab.fleet import HOST, PREFIX, TROUBLE, VIP, Fleet, job_body, run_case
from lab.http import call

JOBS = 4
BUDGET_MS, STEP_MS = 15000, 5000
CANCEL_MS, STOP_MS = 3000, 50


async def scenario(fleet):
    fleet.cancelled = {}
    jobs = []
    for i in range(JOBS):
        body = job_body(2, STEP_MS)
        body["steps"].append(dict(body["steps"][0], after=[0]))
        jobs.append(asyncio.create_task(fleet.submit(f"{0xb00c00 + i:016x}", 0, body, BUDGET_MS, attempts=1)))
    await asyncio.sleep(1.0)
    if TROUBLE == "1":
        for i in range(JOBS):
            job = f"{0xb00c00 + i:016x}"
            status, _ = await call((fleet.entry_hosts[0], VIP), "DELETE", PREFIX + job, {"Host": HOST})
            fleet.record.add("client-cancel", job=job, status=status)
            if 200 <= status < 300 or status == 410:
                fleet.cancelled[job] = fleet.record.now()
    await asyncio.gather(*jobs)


def judge(fleet):
    """Starts later than `cancel_ms` after the acknowledgement of the cancelling, and runs that go on `stop_ms` later."""
    broken = []
    for task, runs in sorted(fleet.record.begun.items()):
        acknowledged = getattr(fleet, "cancelled", {}).get(task.split(".")[0])
        if acknowledged is None:
            continue
        for worker, run, _, begun in runs:
            if begun > acknowledged + CANCEL_MS:
                broken.append(f"task {task} run {run} was started on {worker} {begun - acknowledged:.0f} ms after the "
                              "acknowledgement")
    for task, acknowledged, ended in fleet.record.late_ends(getattr(fleet, "cancelled", {}), CANCEL_MS + STOP_MS):
        broken.append(f"task {task} was at work until {ended - acknowledged:.0f} ms after the acknowledgement")
    return broken


run_case(Fleet(entries=2, workers=4), scenario, judge, os.path.dirname(os.path.abspath(__file__)))
