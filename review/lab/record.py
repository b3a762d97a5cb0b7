"""What was sent, answered and run, in the order in which it happened."""
import time


class Record:
    def __init__(self):
        self.origin = time.monotonic()
        self.lines = []
        self.active = {}  # task -> {(worker, run): begin}
        self.overlaps = []  # (task, first, second, begin of the second)
        self.ended = {}  # task -> list of (worker, run, how)
        self.end_times = []
        self.begun = {}  # task -> list of (worker, run, spec, ms)

    def now(self):
        return (time.monotonic() - self.origin) * 1000

    def add(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{self.now():10.1f} {kind} {text}")

    def begin_run(self, worker, task, run, spec):
        now = self.now()
        running = self.active.setdefault(task, {})
        for other in running:
            self.overlaps.append((task, other, (worker, run), now))
        running[(worker, run)] = now
        self.begun.setdefault(task, []).append((worker, run, spec, now))
        self.add("run-begin", worker=worker, task=task, run=run,
                 beside=",".join(f"{w}#{r}" for w, r in running if (w, r) != (worker, run)) or "-")

    def end_run(self, worker, task, run, how):
        begin = self.active.get(task, {}).pop((worker, run), None)
        self.ended.setdefault(task, []).append((worker, run, how))
        self.end_times.append((task, self.now()))
        self.add("run-end", worker=worker, task=task, run=run, how=how,
                 ms=f"{self.now() - begin:.0f}" if begin is not None else "-")

    def late_ends(self, cancelled, slack_ms):
        """Runs of cancelled jobs that ended later than `slack_ms` after the acknowledgement."""
        late = []
        for task, ended in self.end_times:
            acknowledged = cancelled.get(task.split(".")[0])
            if acknowledged is not None and ended > acknowledged + slack_ms:
                late.append((task, acknowledged, ended))
        return late

    def jobs_begun(self):
        return {task.split(".")[0] for task in self.begun}

    def write(self, path, head):
        with open(path, "w") as out:
            out.write("\n".join(head) + "\n\n      time in ms, event\n" + "\n".join(self.lines) + "\n")
