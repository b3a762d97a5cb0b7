"""Two devices ask for one job; its entry and the sidecars of two zones fail together."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab3"))

from fleet import Fleet, job_body, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
RUN_MS = 3_000
DEADLINE_MS = 8_000
RESEND_S = 1.3
SIDECAR_RESTART_S = 0.5
ENTRY_DARK_S = 3.5


async def first_device(fleet):
    status, _ = await fleet.submit(0, JOB, job_body([{"count": 1}], RUN_MS), DEADLINE_MS, "phone")
    if status in (0, 502, 504):
        await asyncio.sleep(RESEND_S)
        await fleet.submit(1, JOB, job_body([{"count": 1}], RUN_MS), DEADLINE_MS, "phone, again")


async def disrupt(fleet, runner):
    """The entry that runs the job loses power, and the sidecars outside the zone of its run are killed."""
    zones = len(fleet.entries)
    victims = [sidecar for index, sidecar in enumerate(fleet.sidecars) if index % zones != runner % zones]
    fleet.kill(fleet.entries[0])
    for sidecar in victims:
        fleet.kill(sidecar)
    await asyncio.sleep(SIDECAR_RESTART_S)
    for sidecar in victims:
        fleet.restart(sidecar)
    await asyncio.sleep(ENTRY_DARK_S - SIDECAR_RESTART_S)
    fleet.restart(fleet.entries[0])


async def play(recorder, trouble):
    fleet = Fleet(runners=6, runner_cpu=8_000, recorder=recorder)
    try:
        await fleet.start()
        phone = asyncio.create_task(first_device(fleet))
        runner = await fleet.wait_for_start(JOB)
        await asyncio.sleep(0.3)
        laptop = asyncio.create_task(
            fleet.submit(1, JOB, job_body([{"count": 1}], RUN_MS), DEADLINE_MS, "laptop"))
        await asyncio.sleep(0.5)
        if trouble:
            await disrupt(fleet, runner)
        await asyncio.gather(phone, laptop)
    finally:
        fleet.stop()
    overlaps = fleet.runs.overlaps()
    for first, second, shared in overlaps:
        recorder.add(f"{first['task']} ran on {first['runner']} and {second['runner']} at the same time "
                     f"for {shared * 1000:.0f} ms")
    return f"TWICE, {len(overlaps)} time(s)" if overlaps else None


run_case(pathlib.Path(__file__).parent, play)
