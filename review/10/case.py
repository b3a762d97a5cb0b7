"""Sends jobs whose steps leave est_ms out, and looks whether any is completed."""

import asyncio
import json
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lab2.fleet import Fleet, Record, run_case  # noqa: E402
from lab2.runner import Runner  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES, SIDES = 3, 8
TRAFFIC_S = 40
JOBS_PER_S = 3
RUN_S = float(os.environ.get("RUN_S", "0.9"))
DEADLINE_MS = 1500
HOST, PREFIX = "nony24.example", "/catalogue-build/"
ROUTES = [{"name": "catalogue-build", "host": HOST, "path_prefix": PREFIX, "service": "zgloszenia", "max_attempts": 4,
           "priority": 2, "stretch": 1.6, "target_latency_ms": 60, "timeout_ms": DEADLINE_MS}]
STEP = {"count": 4, "cpu": 6200, "mem_mb": 64}
if not TROUBLE:
    STEP["est_ms"] = 900
BODY = json.dumps({"spec": "x" * 600, "best_effort": True, "steps": [STEP]}).encode()


async def play():
    record = Record(HERE / "record.txt")
    fleet = Fleet(record, ENTRIES, SIDES)
    rng = random.Random(8)
    runners = []
    try:
        for i in range(SIDES):
            runners.append(Runner(f"i-{i}", fleet.app(i), fleet.control(i), fleet.zone(i), "zgloszenia",
                                  [["a", "a", "b"][i % 3], f"r{i // 3}"], record, lambda task: RUN_S))
        await fleet.start(ROUTES)
        for runner in runners:
            await runner.start()
        if not await fleet.wait_until_ready():
            record.write("The deployment did not become ready.")
            return 2
        await asyncio.sleep(5)
        calls = []
        until = time.monotonic() + TRAFFIC_S
        while time.monotonic() < until:
            job = f"{rng.getrandbits(64):016x}"
            calls.append(asyncio.create_task(fleet.submit(len(calls) % ENTRIES, PREFIX, HOST, job, BODY, DEADLINE_MS, 4)))
            await asyncio.sleep(rng.expovariate(JOBS_PER_S))
        await asyncio.gather(*calls)
    finally:
        fleet.stop_all()
        for runner in runners:
            if runner.tasks:
                await runner.crash()
        await fleet.store.server.stop()
    answered = [event for event in record.events if event["event"] == "answered"]
    served = sum(event["status"] == 200 for event in answered)
    statuses = {status: sum(event["status"] == status for event in answered)
                for status in sorted({event["status"] for event in answered})}
    ends = [event["how"] for event in record.events if event["event"] == "ended"]
    jobs = len({event["job"] for event in record.events if event["event"] == "sent"})
    lines = [f"jobs {jobs}, requests {len(answered)}, by status {statuses}; served {served}",
             f"ends of runs: {({how: ends.count(how) for how in sorted(set(ends))})}"]
    record.write("\n".join(lines))
    print("\n".join(lines))
    return 1 if served == 0 else 0


if __name__ == "__main__":
    sys.exit(run_case(play))
