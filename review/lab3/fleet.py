"""Starts the programs of the deploy file as processes on loopback addresses, with stand-ins for the platform."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile

from platform_standins import Recorder, Runner, RunsLog, Store, call, now_s

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = ROOT / "target/bin/foxtailrudder"
HOST = "registry.example"
PREFIX = "/entries/"
SERVICE = "registry"
ZONES = ["zone-a", "zone-b", "zone-c"]

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    pass


def free_ports(count):
    """Ports that are free on all loopback addresses."""
    ports = []
    sockets = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind(("0.0.0.0", 0))
        sockets.append(probe)
        ports.append(probe.getsockname()[1])
    for probe in sockets:
        probe.close()
    return ports


class Process:
    def __init__(self, role, settings, folder):
        self._role = role
        self.name = settings["name"]
        self._settings_path = folder / f"{self.name}.json"
        self._settings_path.write_text(json.dumps(settings))
        self._log_path = folder / f"{self.name}.log"
        self._process = None

    def start(self):
        environment = {"PATH": os.environ["PATH"], "FOXTAILRUDDER_CONFIG": str(self._settings_path)}
        with open(self._log_path, "ab") as log:
            self._process = subprocess.Popen(
                [BINARY, self._role], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def status(self):
        """The exit status; None while the process runs."""
        return self._process.poll()

    def processor_s(self):
        """Processor time that the running process has used; None if it has ended."""
        if self.status() is not None:
            return None
        fields = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def log(self):
        return self._log_path.read_text(errors="replace")


class Fleet:
    """Three zones with one entry each, and runners with a sidecar each, spread over the zones."""

    def __init__(self, runners, runner_cpu, recorder, timeout_ms=10_000, max_attempts=3):
        self.recorder = recorder
        self.runs = RunsLog(recorder)
        self.store = Store()
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._network = random.randrange(16, 240)
        self._timeout_ms = timeout_ms
        self._max_attempts = max_attempts
        (self._store_port, self._internal_port, self._front_port, self._ready_port, self._control_port,
         self._app_port, self._metrics_port) = free_ports(7)
        self._store_address = f"127.{self._network}.0.7:{self._store_port}"
        seeds = [f"{self._entry_ip(index)}:{self._control_port}" for index in range(len(ZONES))]
        self.entries = [Process("dispatch-entry", self._entry_settings(index, seeds), self._folder)
                        for index in range(len(ZONES))]
        self.sidecars = [Process("dispatch-sidecar", self._sidecar_settings(index, seeds), self._folder)
                         for index in range(runners)]
        self.runners = [
            Runner(f"runner-{index + 1}", ZONES[index % len(ZONES)], SERVICE,
                   f"{self._sidecar_ip(index)}:{self._app_port}", f"{self._sidecar_ip(index)}:{self._control_port}",
                   runner_cpu, self.runs, recorder)
            for index in range(runners)]

    def _entry_ip(self, index):
        return f"127.{self._network}.1.{index + 1}"

    def _sidecar_ip(self, index):
        return f"127.{self._network}.2.{index + 1}"

    def _common_settings(self, name, ip, zone, seeds):
        return {
            "name": name, "region": "region-1", "zone": zone, "internal_address": f"{ip}:{self._internal_port}",
            "metrics_address": f"{ip}:{self._metrics_port}", "store_address": self._store_address,
            "stop_grace_s": 6, "seed_entries": seeds}

    def _entry_settings(self, index, seeds):
        ip = self._entry_ip(index)
        settings = self._common_settings(f"front-{index + 1}", ip, ZONES[index], seeds)
        return settings | {
            "caller_address": f"{ip}:{self._front_port}", "readiness_address": f"{ip}:{self._ready_port}",
            "remote_rack_factor": 1.5, "memory_limit_mb": 260, "max_descriptors": 4100}

    def _sidecar_settings(self, index, seeds):
        ip = self._sidecar_ip(index)
        settings = self._common_settings(f"side-{index + 1}", ip, ZONES[index % len(ZONES)], seeds)
        return settings | {
            "announce_address": f"{ip}:{self._control_port}", "endpoint_address": f"{ip}:{self._app_port}",
            "max_run_lease_ms": 1000, "memory_limit_mb": 128, "max_descriptors": 4096}

    def put_desired_state(self, version):
        route = {
            "name": "r-1", "host": HOST, "path_prefix": PREFIX, "kind": "unsafe", "timeout_ms": self._timeout_ms,
            "target_latency_ms": 60, "priority": 0, "service": SERVICE, "max_attempts": self._max_attempts,
            "stretch": 1.6}
        service = {"name": SERVICE, "health_path": "/health", "max_conns": 64, "rejects_overload": True, "spare": False}
        self.store.put("op", "config", json.dumps({"version": version, "routes": [route], "services": [service]}))

    async def start(self):
        if not BINARY.exists():
            raise CannotRun("target/bin/foxtailrudder is not built")
        ip, port = self._store_address.rsplit(":", 1)
        await self.store.listen(ip, int(port))
        self.put_desired_state(1)
        for process in self.entries + self.sidecars:
            process.start()
        for runner in self.runners:
            await runner.start()
        await self._wait_until_ready()

    async def _wait_until_ready(self):
        """Waits until all entries are ready and hear all sidecars, and 3 s longer (contact_ms)."""
        deadline = now_s() + 20
        for index in range(len(self.entries)):
            while True:
                status, _ = await call(f"{self._entry_ip(index)}:{self._ready_port}", "GET", "/ready", {"Host": "x"},
                                       b"", 1.0)
                if status == 200 and await self._present_workers(index) == len(self.runners):
                    break
                if now_s() > deadline:
                    raise CannotRun(f"entry {index + 1} isn't ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(3)

    async def _present_workers(self, index):
        return await self._metric(self._entry_ip(index), "present_workers")

    async def queued_orders(self, index):
        """Number of orders that wait at a sidecar."""
        return await self._metric(self._sidecar_ip(index), "queued")

    async def _metric(self, ip, name):
        _, page = await call(f"{ip}:{self._metrics_port}", "GET", "/metrics", {"Host": "x"}, b"", 1.0)
        for line in page.splitlines():
            if line.split(" ")[0].endswith(f"_{name}"):
                return int(float(line.split()[-1]))
        return 0

    async def submit(self, entry, job, body, deadline_ms, caller):
        """Hands a job in. Returns status and body, (0, reason) without an answer."""
        self.recorder.add(f"{caller} sends POST {job} to front-{entry + 1}, Deadline-Ms {deadline_ms}")
        status, text = await call(
            f"{self._entry_ip(entry)}:{self._front_port}", "POST", PREFIX + job,
            {"Host": HOST, "Deadline-Ms": deadline_ms}, json.dumps(body).encode(), deadline_ms / 1000 + 0.3)
        self.recorder.add(f"{caller} gets {status} {text} for {job}")
        return status, text

    def evacuate(self, zone):
        self.recorder.add(f"the operator evacuates {zone}; the store acknowledges it")
        self.store.put("op", f"evacuate/{zone}", "{}")

    async def cancel(self, entry, job, caller):
        self.recorder.add(f"{caller} sends DELETE {job} to front-{entry + 1}")
        status, text = await call(
            f"{self._entry_ip(entry)}:{self._front_port}", "DELETE", PREFIX + job, {"Host": HOST}, b"", 3.0)
        self.recorder.add(f"{caller} gets {status} {text} for the DELETE of {job}")
        return status

    async def wait_for_start(self, job, count=1, timeout_s=5):
        """Waits until tasks of a job run. Returns the index of the runner of the first one."""
        deadline = now_s() + timeout_s
        while len(self.runs.of_job(job)) < count:
            if now_s() > deadline:
                raise CannotRun(f"job {job} isn't started")
            await asyncio.sleep(0.002)
        name = self.runs.of_job(job)[0]["runner"]
        return next(index for index, runner in enumerate(self.runners) if runner.id == name)

    def kill(self, process):
        self.recorder.add(f"SIGKILL to {process.name}")
        process.kill()

    def restart(self, process):
        self.recorder.add(f"{process.name} is started again")
        process.start()

    def stop(self):
        for process in self.entries + self.sidecars:
            process.kill()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            for process in self.entries + self.sidecars:
                (pathlib.Path(keep) / f"{process.name}.log").write_text(process.log())
        for path in self._folder.iterdir():
            path.unlink()
        self._folder.rmdir()


def job_body(steps, run_ms, cpu=1000):
    return {"spec": json.dumps({"run_ms": run_ms, "cpu": cpu}), "best_effort": True,
            "steps": [{"cpu": cpu, "mem_mb": 64, "est_ms": run_ms} | step for step in steps]}


def run_case(folder, play):
    """Runs play(recorder, trouble) and exits with 1 if it returns a broken rule, 0 if None, 2 if it couldn't run."""
    recorder = Recorder()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    recorder.add("with the disruption" if trouble else "without the disruption")

    async def limited():
        # A script that is stopped from outside ends its processes too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(110):
            return await play(recorder, trouble)

    try:
        broken = asyncio.run(limited())
        status = HELD if broken is None else BROKEN
        recorder.add(f"rule broken: {broken}" if broken else "the rule held")
    except (CannotRun, OSError, TimeoutError, asyncio.CancelledError) as error:
        status = CANNOT_RUN
        recorder.add(f"the case couldn't run: {error!r}")
    recorder.write(pathlib.Path(folder) / "record.txt")
    print(recorder.lines[-1])
    sys.exit(status)
