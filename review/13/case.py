"""The entry of a running job freezes; when a second entry refuses the job, both devices are told that it never runs."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab3"))

from fleet import CannotRun, Fleet, job_body, run_case  # noqa: E402
from platform_standins import now_s  # noqa: E402

JOB = "9b1e7a21d94b36f8"
FILLER = "000000000000000f"
LATE_FILLER = "00000000000000ff"
RUNNERS = 3
TASKS_PER_RUNNER = 2
RUN_MS = 3_000
FILLER_RUN_MS = 8_000
PHONE_DEADLINE_MS = 8_000
LAPTOP_DEADLINE_MS = 5_000
LAPTOP_AFTER_S = 3.0
FREEZE_S = 4.0


async def freeze(fleet):
    fleet.recorder.add("front-1 freezes")
    fleet.entries[0].signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    fleet.recorder.add("front-1 wakes")
    fleet.entries[0].signal(signal.SIGCONT)


async def fill_freed_slot(fleet):
    """Another client's job takes the room of the stopped run."""
    deadline = now_s() + 2
    while fleet.runs.is_running(JOB):
        if now_s() > deadline:
            raise CannotRun("the run goes on")
        await asyncio.sleep(0.005)
    await fleet.submit(2, LATE_FILLER, job_body([{"count": 1}], FILLER_RUN_MS), 12_000, "another client")


async def play(recorder, trouble):
    fleet = Fleet(runners=RUNNERS, runner_cpu=1_000 * TASKS_PER_RUNNER, recorder=recorder, timeout_ms=12_000)
    body = job_body([{"count": 1}], RUN_MS)
    others = []
    try:
        await fleet.start()
        count = RUNNERS * TASKS_PER_RUNNER - 1
        others.append(asyncio.create_task(
            fleet.submit(2, FILLER, job_body([{"count": count}], FILLER_RUN_MS), 12_000, "another client")))
        await fleet.wait_for_start(FILLER, count=count)
        phone = asyncio.create_task(fleet.submit(0, JOB, body, PHONE_DEADLINE_MS, "phone"))
        await fleet.wait_for_start(JOB)
        sent_at = now_s()
        await asyncio.sleep(0.3)
        if trouble:
            others.append(asyncio.create_task(freeze(fleet)))
            others.append(asyncio.create_task(fill_freed_slot(fleet)))
        await asyncio.sleep(sent_at + LAPTOP_AFTER_S - now_s())
        laptop = asyncio.create_task(fleet.submit(1, JOB, body, LAPTOP_DEADLINE_MS, "laptop"))
        answers = [status for status, _ in await asyncio.gather(phone, laptop)]
        await asyncio.gather(*others)
    finally:
        fleet.stop()
    if all(status in (429, 503) for status in answers):
        return f"REFUSED: {len(fleet.runs.of_job(JOB))} start(s), and the only two attempts got {answers}"
    return None


run_case(pathlib.Path(__file__).parent, play)
