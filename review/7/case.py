"""Restarts a runner as another kind at the same address, and looks for starts without the label that the job requires."""

import asyncio
import json
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lab2.fleet import Fleet, Record, run_case  # noqa: E402
from lab2.runner import Runner  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES, SIDES = 3, 8
ROUNDS = 14
DOWN_S = 0.3
KINDS = ["a", "a", "b"]
HOST, PREFIX = "nony24.example", "/entry-check/"
ROUTES = [{"name": "entry-check", "host": HOST, "path_prefix": PREFIX, "service": "zgloszenia", "max_attempts": 3,
           "priority": 0, "stretch": 1.6, "target_latency_ms": 60, "timeout_ms": 1500}]
BODY = json.dumps({"spec": "x" * 75, "best_effort": True,
                   "steps": [{"count": 8, "cpu": 6200, "mem_mb": 64, "est_ms": 60, "requires": "a"}]}).encode()


async def send_jobs(fleet, rng, count):
    """A burst of jobs, 60 a second."""
    calls = []
    for number in range(count):
        job = f"{rng.getrandbits(64):016x}"
        calls.append(asyncio.create_task(fleet.submit(number % ENTRIES, PREFIX, HOST, job, BODY, 1500, 2)))
        await asyncio.sleep(rng.expovariate(60))
    await asyncio.gather(*calls)


async def restart(runner, kind):
    """The process of the runner ends and starts again, as another kind."""
    await runner.crash()
    await asyncio.sleep(DOWN_S)
    runner.labels = [kind] + runner.labels[1:]
    acknowledged = len(runner.record.events)
    await runner.start()
    while not any(event["event"] == "status_acknowledged" for event in runner.record.events[acknowledged:]):
        await asyncio.sleep(0.001)


async def play():
    record = Record(HERE / "record.txt")
    fleet = Fleet(record, ENTRIES, SIDES)
    rng = random.Random(7)
    runners = []
    try:
        for i in range(SIDES):
            kind = KINDS[i % 3]
            runners.append(Runner(f"i-{i}", fleet.app(i), fleet.control(i), fleet.zone(i), "zgloszenia", [kind, f"r{i}"],
                                  record, lambda task: 0.06))
        await fleet.start(ROUTES)
        for runner in runners:
            await runner.start()
        if not await fleet.wait_until_ready():
            record.write("The deployment did not become ready.")
            return 2
        await asyncio.sleep(3)
        kind_a = [runner for runner in runners if runner.labels[0] == "a"]
        for i in range(ROUNDS):
            runner = kind_a[i % len(kind_a)]
            await send_jobs(fleet, rng, 20)
            await asyncio.sleep(1)
            if TROUBLE:
                await restart(runner, "b")
            await asyncio.sleep(rng.uniform(0, 0.1))
            await send_jobs(fleet, rng, 20)
            await asyncio.sleep(1)
            if TROUBLE:
                await restart(runner, "a")
            await asyncio.sleep(2)
    finally:
        fleet.stop_all()
        for runner in runners:
            if runner.tasks:
                await runner.crash()
        await fleet.store.server.stop()
    answered = [event for event in record.events if event["event"] == "answered"]
    completed = sum(event["status"] == 200 for event in answered)
    started = [event for event in record.events if event["event"] == "started"]
    wrong = [event for event in started if "a" not in event["labels"]]
    if completed == 0:
        record.write("No job was completed.")
        return 2
    lines = [f"answers {len(answered)}, of these 200: {completed}; runs started {len(started)}",
             f"starts on a runner without the required label: {len(wrong)}"]
    for event in wrong:
        known = max((other["t"] for other in record.events if other["event"] == "status_acknowledged"
                     and other["runner"] == event["runner"] and other["t"] <= event["t"]), default=None)
        job = event["task"].split(".")[0]
        sent = min(other["t"] for other in record.events if other["event"] == "sent" and other["job"] == job)
        lines.append(f"  {event['task']} on {event['runner']} {event['labels']} at {event['t']}; status report "
                     f"acknowledged at {known}, job sent at {sent}")
    record.write("\n".join(lines))
    print("\n".join(lines))
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(run_case(play))
