"""Two devices of one caller submit the same job at once; their channels lead to two entries."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab.fleet import TROUBLE, Fleet, job_body, overlaps, run_case

JOBS = 8
# As in the site file.
BUDGET_MS, WORK_MS = 1500, 900
LAPTOP_AFTER_S = 0.1


async def scenario(fleet):
    for i in range(JOBS):
        job, body = f"{0xb00c00 + i:016x}", job_body(2, WORK_MS)
        devices = [asyncio.create_task(fleet.submit(job, 0, body, BUDGET_MS))]
        if TROUBLE == "1":
            await asyncio.sleep(LAPTOP_AFTER_S)
            devices.append(asyncio.create_task(fleet.submit(job, 1, body, BUDGET_MS)))
        elif TROUBLE == "same":
            # Both channels lead to the same entry.
            await asyncio.sleep(LAPTOP_AFTER_S)
            devices.append(asyncio.create_task(fleet.submit(job, 0, body, BUDGET_MS)))
        await asyncio.gather(*devices)


run_case(Fleet(entries=2, workers=4), scenario, overlaps, os.path.dirname(os.path.abspath(__file__)))
