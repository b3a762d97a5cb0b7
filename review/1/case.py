"""An entry gets SIGTERM; while it finishes its requests, the channels of some of its clients are reset, and these clients
send their jobs again to the other entry."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab.fleet import TROUBLE, Fleet, job_body, overlaps, run_case

JOBS = 6
WORK_MS = 3000
# reset_conns, x = 0.55: this share of a machine's channels.
RESET = 3


async def scenario(fleet):
    # TROUBLE=stop and TROUBLE=reset play one half of the disruption.
    if TROUBLE in ("1", "stop"):
        fleet.signal("entry-0", signal.SIGTERM)
    # A balancer may send new channels until two readiness checks, one second apart, have failed.
    await asyncio.sleep(1.5)
    jobs = [asyncio.create_task(fleet.submit(f"{0xb00c00 + i:016x}", 0, job_body(2, WORK_MS))) for i in range(JOBS)]
    await asyncio.sleep(1.3)
    if TROUBLE in ("1", "reset"):
        fleet.balancers[0].reset(RESET)
    await asyncio.gather(*jobs)


run_case(Fleet(entries=2, workers=4), scenario, overlaps, os.path.dirname(os.path.abspath(__file__)))
