"""A small deployment: the programs of the deploy file with its templates, and stand-ins of the platform, on loopback."""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib
import traceback

from .store import Store
from .web import call

ROOT = pathlib.Path(__file__).resolve().parents[2]


def render(template, values):
    """Fills in a template of the deploy file: values, `|json` and sections, as DEPLOY.md describes them."""
    def value_of(name, scopes):
        if name in (".", "@"):
            return scopes[-1].get(name)
        for scope in reversed(scopes):
            found = scope
            for part in name.split("."):
                if isinstance(found, list) and part.isdigit():
                    found = found[int(part)] if int(part) < len(found) else None
                else:
                    found = found.get(part) if isinstance(found, dict) else None
                if found is None:
                    break
            if found is not None:
                return found
        return None

    def fill(text, scopes):
        def section(match):
            inner, found = match.group(2), value_of(match.group(1), scopes)
            if isinstance(found, list):
                parts = [fill(inner.replace("{{,}}", "," if i + 1 < len(found) else ""), scopes + [{".": item}])
                         for i, item in enumerate(found)]
                return "".join(parts)
            return fill(inner, scopes) if found else ""

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

        def value(match):
            found = value_of(match.group(1), scopes)
            if match.group(2):
                return json.dumps(found)
            return "" if found is None else str(found)

        return re.sub(r"\{\{([\w.]+|\.)(\|json)?\}\}", value, text)

    return fill(template, [values])


class Record:
    """What was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, path):
        self.path, self.began, self.events = path, time.monotonic(), []

    def note(self, event, **fields):
        entry = {"t": round(time.monotonic() - self.began, 4), "event": event, **fields}
        self.events.append(entry)
        return entry

    def write(self, summary):
        with open(self.path, "w", encoding="utf-8") as out:
            out.write(summary.rstrip() + "\n\n")
            for entry in self.events:
                fields = " ".join(f"{key}={json.dumps(value)}" for key, value in entry.items() if key not in ("t", "event"))
                out.write(f"{entry['t']:9.4f} {entry['event']} {fields}\n")


class Fleet:
    BOUNDS = {"far_factor": 1.5, "grace_s": 6, "hold_max_ms": 1000}
    ZONES = ["warszawa", "lodz", "plock"]

    def __init__(self, record, entries=2, sides=3):
        pid = os.getpid()
        self.prefix = f"127.{1 + pid % 250}.{1 + pid // 250 % 250}."
        self.record = record
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.entry_count, self.side_count = entries, sides
        self.store = Store(self.prefix + "250:8169")
        self.processes = {}

    def entry_ip(self, index):
        return self.prefix + str(1 + index)

    def side_ip(self, index):
        return self.prefix + str(101 + index)

    def front(self, index):
        return self.entry_ip(index) + ":8161"

    def control(self, index):
        return self.side_ip(index) + ":8166"

    def app(self, index):
        return self.side_ip(index) + ":8080"

    def zone(self, index):
        return self.ZONES[index % len(self.ZONES)]

    def start_process(self, name, role, index):
        ip = self.entry_ip(index) if role == "entry" else self.side_ip(index)
        values = {"node": name, "ip": ip, "zone": self.zone(index), "region": "pl-central",
                  "listen_addrs": {"control": ip + ":8166", "front": ip + ":8161", "readiness": ip + ":8167"},
                  "port_range": [7720, 7735], "app": ip + ":8080", "platform": {"address": self.prefix + "250:8169"},
                  "seeds": [self.entry_ip(i) + ":8166" for i in range(min(3, self.entry_count))], "bounds": self.BOUNDS}
        settings = self.deploy["roles"][role]
        path = os.path.join(self.directory, name + ".json")
        with open(path, "w", encoding="utf-8") as out:
            out.write(render((ROOT / settings["template"]).read_text(), values))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["FOXTAILRUDDER_CONFIG"] = path
        with open(os.path.join(self.directory, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(settings["run"].split(), cwd=ROOT, env=environment,
                                                    stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    async def start(self, routes):
        await self.store.server.start()
        services = sorted({route["service"] for route in routes})
        await self.store.put("op", "config", json.dumps(
            {"version": 3, "routes": routes, "services": [{"name": name, "rejects_overload": True} for name in services],
             "limits": {}}))
        for i in range(self.side_count):
            self.start_process(f"side-{i}", "sidecar", i)
        for i in range(self.entry_count):
            self.start_process(f"entry-{i}", "entry", i)

    async def wait_until_ready(self, timeout=20):
        """Until every entry is ready and uses the workers of all sidecars."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if all([await self.is_ready(i) for i in range(self.entry_count)]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self, index):
        try:
            status, _, _ = await call(self.entry_ip(index) + ":8167", "GET", "/ready", timeout=1)
            _, _, page = await call(self.entry_ip(index) + ":9464", "GET", "/metrics", timeout=1)
        except (OSError, asyncio.TimeoutError):
            return False
        usable = re.search(rb"usable_workers\{?[^\n]*? (\d+)\n", page)
        return status == 200 and usable is not None and int(usable.group(1)) == self.side_count

    def signal(self, name, number):
        self.record.note("signal", process=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)

    async def post_job(self, entry, prefix, host, job, body, deadline_ms):
        """One attempt of a client. Returns the status, or 0 without an answer."""
        self.record.note("sent", job=job, entry=entry)
        status, text = 0, ""
        try:
            status, _, answer = await call(self.front(entry), "POST", prefix + job,
                                           {"Host": host, "Deadline-Ms": str(deadline_ms)}, body,
                                           timeout=deadline_ms / 1000 + 0.2)
            text = answer.decode("utf-8", "replace")
        except (OSError, asyncio.TimeoutError):
            pass
        self.record.note("answered", job=job, entry=entry, status=status, body=text)
        return status

    async def submit(self, entry, prefix, host, job, body, deadline_ms, attempts=1):
        """A client: after no response, 502 or 504 it sends the job again resend_ms later to the next entry."""
        for attempt in range(attempts):
            status = await self.post_job((entry + attempt) % self.entry_count, prefix, host, job, body, deadline_ms)
            if status not in (0, 502, 504):
                return status
            if attempt + 1 < attempts:
                await asyncio.sleep(1.3)
        return status


def run_case(play):
    """Returns the exit status of a script: that of play(), or 2 if it could not run to its end."""
    async def main():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await play()

    try:
        return asyncio.run(main())
    except asyncio.CancelledError:
        print("the case could not run: out of time")
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
    return 2
