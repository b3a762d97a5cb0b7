"""Stand-in for one runner (worker): capacity, leases, fences, lists of runs and status reports, as PROTOCOL.md says."""
import asyncio
import json
import time

from lab.http import Server, call

HOLD_MAX_MS = 1000
STOP_MS = 30  # The page allows 50.
HEARTBEAT_S = 1.5


class Runner:
    """The work of a task is given in its spec: "work_ms=N" at the beginning."""

    def __init__(self, record, name, service, zone, host, app_port, control, labels=("a",), cpu=32000):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.host, self.app_port, self.control = host, app_port, control
        self.labels, self.cpu = list(labels), cpu
        self.server = Server(host, app_port, self.handle)
        self.seq = 0
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.until = 0
        self.runs = {}  # task -> dict
        self.finished = {}  # task -> highest run that was stopped or has ended
        self.ends = []
        self.last_end = 0
        self.ended = asyncio.Condition()
        self.tasks = []
        self.calls = 0

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    async def start(self):
        await self.server.start()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.watch_leases())]

    def close(self):
        for task in self.tasks:
            task.cancel()
        for run in self.runs.values():
            run["timer"].cancel()
        self.server.close()

    def report(self):
        self.seq += 1
        return {"service": self.service, "address": f"{self.host}:{self.app_port}", "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0}, "labels": self.labels,
                "clock_ms": self.clock(), "seq": self.seq, "born": self.born}

    async def beat(self):
        last = None
        while True:
            status, _ = await call(self.control, "POST", f"/Instances.Heartbeat/{self.name}", {}, self.report(), 1.0)
            if status != last:
                self.record.add("heartbeat", worker=self.name, answer=status)
                last = status
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.3)

    async def watch_leases(self):
        while True:
            await asyncio.sleep(0.005)
            if self.runs and self.clock() > self.until:
                for task in list(self.runs):
                    await self.end(task, "lapsed")

    async def end(self, task, how):
        run = self.runs.pop(task, None)
        if run is None:
            return
        run["timer"].cancel()
        self.record.end_run(self.name, task, run["run"], how)
        self.finished[task] = max(self.finished.get(task, 0), run["run"])
        async with self.ended:
            self.last_end += 1
            self.ends.append([self.last_end, task, run["run"], how, ""])
            self.ended.notify_all()

    async def work(self, task, run, seconds):
        await asyncio.sleep(seconds)
        if self.runs.get(task, {}).get("run") == run:
            # A task of its own, because the end cancels this one.
            asyncio.get_running_loop().create_task(self.end(task, "done"))

    async def stop(self, task, run):
        await asyncio.sleep(STOP_MS / 1000)
        if self.runs.get(task, {}).get("run") == run:
            await self.end(task, "stopped")

    def extend(self, body):
        if "until_ms" in body:
            self.until = max(self.until, min(body["until_ms"], self.clock() + HOLD_MAX_MS))

    async def handle(self, method, target, headers, body):
        self.calls += 1
        if method == "GET":
            return 200, {}
        expected = headers.get("expect-instance")
        if expected is not None and expected != self.name:
            return 421, {"clock_ms": self.clock()}
        try:
            value = json.loads(body)
        except ValueError:
            return 400, {"clock_ms": self.clock()}
        if value.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = value.get("fence", 0)
        if target == "/run-start":
            return self.start_run(value)
        if target == "/run-stop":
            task, run = value["task"], value["run"]
            self.record.add("run-stop", worker=self.name, task=task, run=run)
            self.finished[task] = max(self.finished.get(task, 0), run)
            if self.runs.get(task, {}).get("run", run + 1) <= run:
                asyncio.get_running_loop().create_task(self.stop(task, self.runs[task]["run"]))
            return 200, {"clock_ms": self.clock()}
        if target == "/hold":
            return await self.hold(value)
        return 404, {}

    def start_run(self, value):
        task, run = value["task"], value["run"]

        def refuse(reason):
            self.record.add("run-start", worker=self.name, task=task, run=run, answer=reason)
            return 409, {"clock_ms": self.clock(), "reason": reason}

        held = self.runs.get(task)
        if held and held["run"] == run:
            return 200, {"clock_ms": self.clock()}
        if value["until_ms"] <= self.clock():
            return refuse("late")
        if run <= self.finished.get(task, 0) or held:
            self.extend(value)
            return refuse("old")
        self.extend(value)
        if len(self.runs) >= 8:
            return refuse("room")
        work_ms = int(value["spec"].split(" ")[0].split("=")[1])
        timer = asyncio.get_running_loop().create_task(self.work(task, run, work_ms / 1000))
        self.runs[task] = {"run": run, "begin": time.monotonic(), "ms": work_ms, "timer": timer}
        self.record.begin_run(self.name, task, run, value["spec"])
        return 200, {"clock_ms": self.clock()}

    async def hold(self, value):
        self.extend(value)
        self.ends = [end for end in self.ends if end[0] > value["seen_upto"]]
        if "wait_ms" in value and not self.ends:
            async with self.ended:
                try:
                    await asyncio.wait_for(self.ended.wait(), min(value["wait_ms"], 2000) / 1000)
                except asyncio.TimeoutError:
                    pass
        now = time.monotonic()
        running = [[task, run["run"], "", min(99, int((now - run["begin"]) * 100000 / run["ms"])), 1000]
                   for task, run in self.runs.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": self.ends[:500]}
