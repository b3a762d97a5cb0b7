"""A small deployment on loopback addresses: the project's own processes with the commands and the settings of the deploy
file, and stand-ins for the store, the runners and the clients."""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib

from lab.balancer import Balancer
from lab.http import call
from lab.record import Record
from lab.runner import Runner
from lab.store import Store

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
INTERNAL, FRONT, READINESS, CONTROL, APP, STORE, METRICS, VIP = 7720, 8161, 8167, 8166, 8165, 8169, 9464, 8080
RESEND_S = 1.3
SERVICE = "bale-dispatch"
HOST, PREFIX = "jobs.example", "/book/"
TROUBLE = os.environ.get("TROUBLE", "1")


def deploy_command(role):
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        return tomllib.load(file)["roles"][role]["run"].split(" ")


def free_network():
    """A network in the loopback range on which the ports of this module are free."""
    for _ in range(50):
        network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for host, port in ((1, FRONT), (1, INTERNAL), (2, FRONT), (101, CONTROL), (101, APP), (250, STORE)):
                with socket.socket() as probe:
                    probe.bind((f"{network}.{host}", port))
            return network
        except OSError:
            continue
    raise RuntimeError("no free loopback network")


class Fleet:
    def __init__(self, entries, workers):
        self.record = Record()
        self.network = free_network()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(f"{self.network}.250", STORE, self.record)
        self.entry_hosts = [f"{self.network}.{1 + i}" for i in range(entries)]
        self.side_hosts = [f"{self.network}.{101 + i}" for i in range(workers)]
        self.zones = ["z1", "z2", "z3"]
        self.processes = {}
        self.balancers = []
        self.runners = []

    def routes(self):
        return [self.route("r-book", HOST, PREFIX, SERVICE)]

    @staticmethod
    def route(name, host, prefix, service):
        return {"name": name, "host": host, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 8000,
                "target_latency_ms": 1000, "priority": 0, "service": service, "max_attempts": 3, "stretch": 1.6}

    @staticmethod
    def service(name):
        return {"name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
                "cold_start_s": 0.0, "cold_per_s": 0.0, "rejects_overload": True, "spare": False}

    def config(self, version=7):
        routes = self.routes()
        names = sorted({route["service"] for route in routes})
        return {"version": version, "routes": routes, "services": [self.service(name) for name in names],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000}}

    def service_of(self, worker):
        return SERVICE

    def settings(self, name, host, zone):
        return {"name": name, "region": "r1", "zone": zone, "internal_address": f"{host}:{INTERNAL}",
                "metrics_address": f"{host}:{METRICS}", "store_address": f"{self.network}.250:{STORE}",
                "stop_grace_s": 6, "seed_entries": [f"{entry}:{CONTROL}" for entry in self.entry_hosts[:3]]}

    def launch(self, name, role, settings):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["FOXTAILRUDDER_CONFIG"] = path
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(deploy_command(role), cwd=ROOT, env=environment, stdout=log,
                                                stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.record.add("process-start", name=name)

    def launch_entry(self, index):
        host = self.entry_hosts[index]
        settings = self.settings(f"entry-{index}", host, self.zones[index % 3])
        settings.update(caller_address=f"{host}:{FRONT}", readiness_address=f"{host}:{READINESS}")
        self.launch(f"entry-{index}", "entry", settings)

    def launch_sidecar(self, index):
        host = self.side_hosts[index]
        settings = self.settings(f"side-{index}", host, self.zones[index % 3])
        settings.update(announce_address=f"{host}:{CONTROL}", endpoint_address=f"{host}:{APP}",
                        max_run_lease_ms=1000)
        self.launch(f"side-{index}", "sidecar", settings)

    async def start(self):
        await self.store.start()
        await self.store.put("config", self.config())
        for index, host in enumerate(self.side_hosts):
            runner = Runner(self.record, f"i-{index:08x}", self.service_of(index), self.zones[index % 3], host, APP,
                            (host, CONTROL))
            self.runners.append(runner)
            self.launch_sidecar(index)
        for index, host in enumerate(self.entry_hosts):
            self.launch_entry(index)
            balancer = Balancer(host, VIP, (host, FRONT), self.record, f"entry-{index}")
            self.balancers.append(balancer)
            await balancer.start()
        for runner in self.runners:
            await runner.start()

    async def wait_ready(self, timeout=15.0):
        """Waits until each entry is ready; then for the reports of all workers."""
        for host in self.entry_hosts:
            end = asyncio.get_running_loop().time() + timeout
            while (await call((host, READINESS), "GET", "/ready"))[0] != 200:
                if asyncio.get_running_loop().time() > end:
                    raise RuntimeError("the deployment does not become ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.5)
        self.record.add("ready")

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record.add("signal", process=name, number=signal.Signals(number).name)

    async def submit(self, job, entry, body, budget_ms=8000, host=HOST, prefix=PREFIX, attempts=2):
        """A client: sends a job, and sends it again to the next entry `resend_ms` after no answer or a broken channel,
        or after 502 or 504, while its time budget lasts. Returns the statuses; 0 is no answer."""
        statuses = []
        end = self.record.now() + budget_ms
        for attempt in range(attempts):
            index = (entry + attempt) % len(self.entry_hosts)
            left = int(end - self.record.now())
            if left <= 0:
                break
            self.record.add("client-send", job=job, attempt=attempt + 1, entry=f"entry-{index}", deadline_ms=left)
            status, value = await call((self.entry_hosts[index], VIP), "POST", prefix + job,
                                       {"Host": host, "Deadline-Ms": left}, body, left / 1000)
            statuses.append(status)
            self.record.add("client-answer", job=job, attempt=attempt + 1, status=status,
                            state=(value or {}).get("state", "-") if isinstance(value, dict) else "-")
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(RESEND_S)
        return statuses

    def close(self):
        for balancer in self.balancers:
            balancer.close()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for runner in self.runners:
            runner.close()
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def job_body(tasks, work_ms, **step):
    """One step of tasks of 3 cores."""
    fields = {"count": tasks, "cpu": 3100, "mem_mb": 64, "est_ms": work_ms}
    fields.update(step)
    return {"spec": f"work_ms={work_ms} x", "best_effort": True, "steps": [fields]}


def run_case(fleet, scenario, judge, folder):
    """Plays the scenario, writes the record, and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't
    run. `judge` returns the lines that tell what broke the rule."""

    async def play():
        try:
            await fleet.start()
            await fleet.wait_ready()
            await scenario(fleet)
        finally:
            # Checked before the stand-ins end, which ends the runs.
            fleet.verdict = judge(fleet)
            fleet.close()

    code = 2
    try:
        asyncio.run(asyncio.wait_for(play(), 110))
        code = 1 if fleet.verdict else 0
        head = ["rule broken:" if code else "rule held", *fleet.verdict]
    except Exception as error:  # pylint: disable=broad-except
        head = [f"could not run: {type(error).__name__}: {error}"]
    head.insert(0, f"TROUBLE={TROUBLE}")
    fleet.record.write(os.path.join(folder, "record.txt"), head)
    print("\n".join(head))
    sys.exit(code)


def overlaps(fleet):
    return [f"task {task}: {a[0]} run {a[1]} was still at work when {b[0]} began run {b[1]} at {at:.0f} ms"
            for task, a, b, at in fleet.record.overlaps]
