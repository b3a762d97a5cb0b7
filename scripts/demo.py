"""The demonstration of scripts/demo, which installs and builds what it needs."""

import concurrent.futures
import datetime
import json
import pathlib
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
FLEET = ROOT / "scripts" / "fleet"
BINARY = ROOT / "build" / "release" / "bin" / "foxtailrudder"
JOB_SECONDS = 30
LOAD_SECONDS = 12
LOAD_WORKERS = 24


def deadline():
    at = datetime.datetime.now(datetime.timezone.utc) + datetime.timedelta(seconds=JOB_SECONDS)
    return at.isoformat().replace("+00:00", "Z")


def submit(entry, key, body):
    request = urllib.request.Request(f"http://{entry}/v1/jobs", data=json.dumps(body).encode(), method="POST",
                                     headers={"Idempotency-Key": key, "Content-Type": "application/json"})
    try:
        with urllib.request.urlopen(request, timeout=JOB_SECONDS + 15) as response:
            return response.status, json.load(response)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)


def example_job(path):
    return json.loads(path.read_text().replace("@DEADLINE@", deadline()))


def ctl(entries, *arguments):
    command = [str(BINARY), "ctl", "--entry", ",".join(entries), "--operator", "demo", *arguments]
    result = subprocess.run(command, capture_output=True, text=True)
    print(f"$ foxtailrudder ctl {' '.join(arguments)}\n{result.stdout}{result.stderr}".rstrip())
    if result.returncode != 0:
        sys.exit(f"ctl failed with status {result.returncode}")


class Load:
    """Submits small jobs through all entries until stopped."""

    def __init__(self, entries, service, team):
        self.entries, self.service, self.team = entries, service, team
        self.stopping = threading.Event()
        self.answers = []

    def submit_until_stopped(self, number):
        count = 0
        while not self.stopping.is_set():
            count += 1
            body = {"team": self.team, "service": self.service, "urgency": "urgent", "deadline": deadline(),
                    "idempotent": True, "tasks": [{"id": f"t{i}", "payload": {"run_ms": 100}} for i in range(2)]}
            entry = self.entries[(number + count) % len(self.entries)]
            self.answers.append(submit(entry, f"load-{number}-{count}", body))

    def run(self):
        with concurrent.futures.ThreadPoolExecutor(LOAD_WORKERS) as pool:
            for number in range(LOAD_WORKERS):
                pool.submit(self.submit_until_stopped, number)


def starts_by_zone(fleet):
    starts = {}
    for process in fleet:
        if process["role"] != "endpoint":
            continue
        for address in process["endpoints"]:
            with urllib.request.urlopen(f"http://{address}/starts", timeout=10) as response:
                listed = json.load(response)["starts"]
            starts.setdefault(process["zone"], []).extend(listed)
    return starts


def run_user(user, directory):
    bundle = ROOT / "examples" / f"{user}.bundle.json"
    subprocess.run([FLEET, "up", "--dir", directory, "--bundle", str(bundle), "--all-services"], check=True)
    try:
        fleet = json.loads(pathlib.Path(directory, "fleet.json").read_text())["processes"]
        entries = [p["http"] for p in fleet if p["role"] == "entry"]
        job = example_job(ROOT / "examples" / f"{user}-job.json")
        show_example(user, entries, job)
        show_zone_change(fleet, entries, job)
        return check_starts(fleet)
    finally:
        subprocess.run([FLEET, "down", "--dir", directory], check=True)


def show_example(user, entries, job):
    print(f"\n{user}: the same submission from two devices at once, through two entries")
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        answers = list(pool.map(lambda entry: submit(entry, "demo-1", job), entries[:2]))
    for entry, (status, answer) in zip(entries, answers):
        print(f"  {entry}: HTTP {status} {answer.get('state', answer.get('kind'))}, "
              f"{len(answer.get('results', []))} results")
    if answers[0] != answers[1] or answers[0][0] != 200:
        sys.exit("the two devices did not get the same complete answer")


def show_zone_change(fleet, entries, job):
    zone = next(p["zone"] for p in fleet if p["role"] == "sidecar")
    load = Load(entries, job["service"], job["team"])
    thread = threading.Thread(target=load.run)
    thread.start()
    time.sleep(LOAD_SECONDS / 4)
    ctl(entries, "zone", "take-out", zone)
    time.sleep(LOAD_SECONDS / 4)
    ctl(entries, "zone", "return", zone)
    time.sleep(LOAD_SECONDS / 4)
    load.stopping.set()
    thread.join()
    complete = sum(1 for status, _ in load.answers if status == 200)
    refused = {}
    for status, answer in load.answers:
        if status != 200:
            refused[answer.get("kind", str(status))] = refused.get(answer.get("kind", str(status)), 0) + 1
    print(f"under load: {len(load.answers)} jobs submitted, {complete} answered complete, refused or failed: "
          f"{refused or 'none'}")


def check_starts(fleet):
    seen = set()
    twice = 0
    for zone, starts in sorted(starts_by_zone(fleet).items()):
        print(f"  started in {zone}: {len(starts)}")
        for start in starts:
            twice += start["task_id"] in seen
            seen.add(start["task_id"])
    print(f"  tasks started twice: {twice}")
    return twice == 0


def main():
    with tempfile.TemporaryDirectory(prefix="foxtailrudder-demo-") as directory:
        passed = [run_user(user, f"{directory}/{user}") for user in ("registry", "taldyk")]
    sys.exit(0 if all(passed) else 1)


main()
