#!/usr/bin/env python3
"""Prints CPU usage, memory and traffic of each role of a running fleet.

  bench/idle_usage.py DIR SECONDS     DIR as given to scripts/fleet

Run it on an idle fleet to measure the control overhead, or while `foxtailrudder_bench load` runs.
"""

import json
import os
import pathlib
import sys
import time
import urllib.request

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
WORK = {"entry": "jobs_submitted_total", "sidecar": "tasks_started_total"}
TRAFFIC = ("sent_bytes_total", "received_bytes_total", "sent_messages_total", "received_messages_total")


def get(address, target):
    with urllib.request.urlopen(f"http://{address}{target}", timeout=10) as response:
        return response.read().decode()


def sample(process):
    fields = pathlib.Path(f"/proc/{process['pid']}/stat").read_text().rsplit(")", 1)[1].split()
    values = {"at": time.monotonic(), "cpu": (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND}
    for line in pathlib.Path(f"/proc/{process['pid']}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            values["rss_mb"] = int(line.split()[1]) / 1024
    if process["role"] in ("entry", "sidecar"):
        for line in get(process["http"], "/metrics").splitlines():
            name, _, value = line.removeprefix("foxtailrudder_").removeprefix("network_").partition(" ")
            if name in (*TRAFFIC, *WORK.values()):
                values[name] = float(value)
    return values


def mean_and_max(values):
    return f"mean {sum(values) / len(values):.3f} max {max(values):.3f}"


def main():
    directory, seconds = sys.argv[1], float(sys.argv[2])
    processes = json.loads((pathlib.Path(directory) / "fleet.json").read_text())["processes"]
    platform = next(p["http"] for p in processes if p["role"] == "platform")
    before = {p["name"]: sample(p) for p in processes}
    stats_before, begin = json.loads(get(platform, "/stats")), time.monotonic()
    time.sleep(seconds)
    after = {p["name"]: sample(p) for p in processes}
    stats_after, end = json.loads(get(platform, "/stats")), time.monotonic()

    sidecars = sum(p["role"] == "sidecar" for p in processes)
    for role in ("entry", "sidecar", "platform", "endpoint"):
        pairs = [(before[p["name"]], after[p["name"]]) for p in processes if p["role"] == role]

        def rate(key, factor=1):
            return mean_and_max([factor * (b[key] - a[key]) / (b["at"] - a["at"]) for a, b in pairs])

        print(f"{sidecars} sidecars, {role}: cpu% {rate('cpu', 100)}; "
              f"rss MB {mean_and_max([b['rss_mb'] for _, b in pairs])}", end="")
        if role in ("entry", "sidecar"):
            print("".join(f"; {key.removesuffix('_total')}/s {rate(key)}" for key in (WORK[role], *TRAFFIC)), end="")
        print()
    print("store, a second:", {key: round((stats_after[key] - stats_before[key]) / (end - begin), 2)
                               for key in ("reads", "writes")}, "since start:", stats_after)


main()
