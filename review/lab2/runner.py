"""Stand-in of a runner, as PROTOCOL.md describes it: capacity, leases, run numbers, fences, lists and status reports."""

import asyncio
import json
import time

from .web import Server, call


class Run:
    def __init__(self, task, number, seconds):
        self.task, self.number, self.seconds = task, number, seconds
        self.started = time.monotonic()
        self.end_timer = None
        self.stopping = False


class Runner:
    """`seconds_of(task)` gives the duration of a run; the record gets each start and end."""

    def __init__(self, identity, address, sidecar_control, zone, service, labels, record, seconds_of,
                 cpu=64000, heartbeat_s=1.5):
        self.id, self.address, self.sidecar_control = identity, address, sidecar_control
        self.zone, self.service, self.labels, self.record = zone, service, labels, record
        self.seconds_of, self.cpu, self.heartbeat_s = seconds_of, cpu, heartbeat_s
        self.demand_cpu = 6200
        self.state = "ready"
        # Of the time of day on the runner's machine.
        self.clock_offset_ms = 0
        self.server = None
        self.tasks = []

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def start(self):
        """Begins a new life, which knows nothing of the one before."""
        self.is_down = False
        self.started = time.monotonic()
        self.born = int(time.time() * 1000) + self.clock_offset_ms
        self.state = "ready"
        self.draining_acknowledged = None
        self.seq = 0
        self.fence = 0
        self.runs = {}
        self.ended = []
        self.last_end = 0
        self.highest_ended = {}
        self.lease_until_ms = 0
        self.end_listed = asyncio.Condition()
        self.server = Server(self.address, self.handle)
        await self.server.start()
        self.record.note("runner_up", runner=self.id, labels=self.labels)
        self.tasks = [asyncio.create_task(self.report()), asyncio.create_task(self.watch_leases())]

    async def crash(self):
        """Everything that runs ends without a trace, and the port has no listener."""
        self.is_down = True
        for task in self.tasks:
            task.cancel()
        for run in list(self.runs.values()):
            run.end_timer.cancel()
            self.record.note("ended", task=run.task, run=run.number, runner=self.id, how="crashed")
        self.runs = {}
        await self.server.stop()
        self.record.note("runner_down", runner=self.id)

    async def report(self):
        while True:
            asyncio.create_task(self.send_status())
            await asyncio.sleep(self.heartbeat_s)

    async def send_status(self):
        self.seq += 1
        status = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
                  "state": self.state, "cold_left_ms": 0, "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0},
                  "labels": self.labels, "clock_ms": self.clock_ms(), "born": self.born, "seq": self.seq}
        state = self.state
        try:
            code, _, _ = await call(self.sidecar_control, "POST", f"/Instances.Heartbeat/{self.id}",
                                    body=json.dumps(status).encode(), timeout=1.0)
            if self.seq == 1:
                self.record.note("status_acknowledged", runner=self.id, labels=self.labels, code=code)
            if state == "draining" and code == 200 and self.draining_acknowledged is None:
                self.draining_acknowledged = self.record.note("draining_acknowledged", runner=self.id, seq=status["seq"])["t"]
        except (OSError, asyncio.TimeoutError):
            pass

    async def drain(self, serve_s):
        """A planned end: reports `draining`, serves on for a while after the acknowledgement, says that it leaves and ends."""
        self.state = "draining"
        await self.send_status()
        self.record.note("drains", runner=self.id)
        await asyncio.sleep(serve_s)
        try:
            await call(self.sidecar_control, "POST", f"/Instances.Leave/{self.id}", body=b"{}", timeout=1.0)
        except (OSError, asyncio.TimeoutError):
            pass
        await self.crash()

    async def watch_leases(self):
        while True:
            await asyncio.sleep(0.005)
            if self.runs and self.clock_ms() >= self.lease_until_ms:
                for run in list(self.runs.values()):
                    await self.end(run, "lapsed")

    async def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        run.end_timer.cancel()
        self.highest_ended[run.task] = max(run.number, self.highest_ended.get(run.task, 0))
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, how, ""])
        self.record.note("ended", task=run.task, run=run.number, runner=self.id, how=how)
        async with self.end_listed:
            self.end_listed.notify_all()

    def answer(self, status=200, **fields):
        return status, json.dumps({"clock_ms": self.clock_ms(), **fields}).encode()

    def extend_lease(self, until_ms):
        """A lease never shortens, and is limited to hold_max_ms from now."""
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, self.clock_ms() + 1000))

    async def handle(self, method, target, headers, body):
        if self.is_down:
            return None
        if method != "POST":
            return 404, b"{}"
        if headers.get("expect-instance", self.id) != self.id:
            return self.answer(421)
        order = json.loads(body)
        if order.get("fence", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = order.get("fence", 0)
        if target == "/run-start":
            return self.start_run(order)
        if target == "/run-stop":
            return self.stop_run(order)
        if target == "/hold":
            return await self.hold(order)
        return 404, b"{}"

    def start_run(self, order):
        task, number = order["task"], order["run"]
        if task in self.runs and self.runs[task].number == number:
            return self.answer()
        if number <= self.highest_ended.get(task, 0) or task in self.runs:
            self.extend_lease(order["until_ms"])
            return self.answer(409, reason="old")
        if order["until_ms"] <= self.clock_ms():
            return self.answer(409, reason="late")
        if (len(self.runs) + 1) * self.demand_cpu > self.cpu:
            self.extend_lease(order["until_ms"])
            return self.answer(409, reason="room")
        self.extend_lease(order["until_ms"])
        run = Run(task, number, self.seconds_of(task))
        self.runs[task] = run
        loop = asyncio.get_running_loop()
        run.end_timer = loop.call_later(run.seconds, lambda: asyncio.ensure_future(self.end(run, "done")))
        self.record.note("started", task=task, run=number, runner=self.id, labels=self.labels)
        return self.answer()

    def stop_run(self, order):
        task, number = order["task"], order["run"]
        self.highest_ended[task] = max(number, self.highest_ended.get(task, 0))
        run = self.runs.get(task)
        if run and run.number <= number and not run.stopping:
            run.stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(0.01, lambda: asyncio.ensure_future(self.end(run, "stopped")))
        return self.answer()

    async def hold(self, order):
        if "until_ms" in order:
            self.extend_lease(order["until_ms"])
        seen = order.get("seen_upto", 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        until = time.monotonic() + order.get("wait_ms", 0) / 1000
        last = self.last_end
        async with self.end_listed:
            while self.last_end == last and not self.ended and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.end_listed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
        running = [[run.task, run.number, "",
                    min(99, int(100 * (time.monotonic() - run.started) / run.seconds)), self.demand_cpu]
                   for run in self.runs.values()]
        return self.answer(born=self.born, running=running, ended=self.ended[:500])
