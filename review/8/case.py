"""Sends each sidecar one status report of another writer, for a service that no desired state names, before the traffic."""

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
from lab2.web import call  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES, SIDES = 3, 8
TRAFFIC_S = 40
HOST, PREFIX = "nony24.example", "/ring-slip/"
ROUTES = [{"name": "ring-slip", "host": HOST, "path_prefix": PREFIX, "service": "zgloszenia", "max_attempts": 4,
           "priority": 1, "stretch": 1.6, "target_latency_ms": 60, "timeout_ms": 1500}]
BODY = json.dumps({"spec": "x" * 600, "best_effort": True,
                   "steps": [{"count": 2, "cpu": 6200, "mem_mb": 64, "est_ms": 200}]}).encode()


async def send_foreign_report(fleet, index):
    """Well formed, but of a service that isn't named in the desired state: it names no runner to use."""
    identity = f"i-other-{index}"
    status = {"service": "archiwum", "address": fleet.side_ip(index) + ":8099", "zone": fleet.zone(index), "version": "v1",
              "slots": 8, "state": "ready", "cold_left_ms": 0, "capacity": {"cpu": 64000, "mem_mb": 131072, "gpu": 0},
              "labels": ["a", f"r{index}"], "clock_ms": 100, "born": int(time.time() * 1000), "seq": 1}
    code, _, _ = await call(fleet.control(index), "POST", f"/Instances.Heartbeat/{identity}",
                            body=json.dumps(status).encode())
    fleet.record.note("foreign_report", sidecar=index, runner=identity, service="archiwum", answer=code)


async def play():
    record = Record(HERE / "record.txt")
    fleet = Fleet(record, ENTRIES, SIDES)
    rng = random.Random(7)
    runners = []
    try:
        for i in range(SIDES):
            runners.append(Runner(f"i-{i}", fleet.app(i), fleet.control(i), fleet.zone(i), "zgloszenia",
                                  [["a", "a", "b"][i % 3], f"r{i // 3}"], record, lambda task: 0.2))
        await fleet.start(ROUTES)
        for runner in runners:
            await runner.start()
        if not await fleet.wait_until_ready():
            record.write("The deployment did not become ready.")
            return 2
        if TROUBLE:
            for i in range(SIDES):
                await send_foreign_report(fleet, i)
        await asyncio.sleep(5)
        calls = []
        until = time.monotonic() + TRAFFIC_S
        while time.monotonic() < until:
            job = f"{rng.getrandbits(64):016x}"
            calls.append(asyncio.create_task(fleet.submit(len(calls) % ENTRIES, PREFIX, HOST, job, BODY, 1500, 2)))
            await asyncio.sleep(rng.expovariate(10))
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
    reports = sum(runner.seq for runner in runners)
    lines = [f"requests answered {len(answered)}, by status {statuses}; served {served}",
             f"status reports that the runners of the service sent: {reports}"]
    record.write("\n".join(lines))
    print("\n".join(lines))
    return 1 if served == 0 else 0


if __name__ == "__main__":
    sys.exit(run_case(play))
