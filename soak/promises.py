"""What must hold, judged from what clients and workers see."""

import random
import time

# `dispatcher_options::lease`, which "outlasts a leader takeover" (docs/PLATFORM.md).
LEASE_MS = 4500


class Job:
    """Job as its client handed it in, and what became of it."""

    def __init__(self, job_id, spec, steps, rng: random.Random):
        self.id = job_id
        self.spec = spec
        self.steps = steps
        self.accepted = False
        self.unanswered = False  # a submission went without a clear answer
        self.maybe_taken = False  # the same, or a submission is under way
        self.cancelled = False
        self.state = None
        self.lasts = any(it.get("longRunning") for it in steps)
        self.lengths = {n: rng.uniform(0.05, 0.8) for n in range(len(steps))}


class Renewal:
    """Newest renewal of a worker's lease, and the runs that lapsed since."""

    def __init__(self, worker):
        self.at = time.monotonic()
        self.epoch = worker.token
        # A longer lease would only delay the lapse.
        self.ends = min(worker.deadline, worker.clock + LEASE_MS)
        self.excused_ms = 0.0  # on the worker's clock
        self.lapsed = []
        self.late = ""  # the breach, until it is known who renews next


class Promises:
    """Ledger of all starts and ends; collects the promises that were broken."""

    def __init__(self, rng):
        self.rng = rng
        self.jobs = {}
        self.running = {}  # task: worker
        self.done = set()
        self.acknowledged = set()
        self.failures = {}
        self.starts = 0
        self.broken = []
        self.begun = time.monotonic()
        self.renewals = {}  # worker: Renewal
        self.leader_of = lambda epoch: "unknown"

    def breach(self, rule, text):
        self.broken.append(f"{rule}: {text}")

    def on_start(self, worker, task, spec):
        """Checks a start; returns how long the run takes and how it ends."""
        self.starts += 1
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        if job is None or job.spec != spec:
            self.breach("UNASKED", f"{task} on {worker.name}")
            return 0.1, "done"
        if not job.accepted and not job.maybe_taken:
            self.breach("REFUSED", f"{task} started, all submissions were refused")
        if task in self.running:
            self.breach("TWICE", f"{task} on {self.running[task].name} and {worker.name}")
        if task in self.acknowledged:
            self.breach("TWICE", f"{task} on {worker.name} after its end was acknowledged")
        step = job.steps[int(step)]
        for before in step.get("dependsOn", []):
            for index in range(job.steps[before]["count"]):
                if f"{job_id}.0.{before}.{index}" not in self.done:
                    self.breach("ORDER", f"{task} before step {before} was done")
                    break
        used = sum(self.cpu_of(it) for it in worker.running) + step["cpu"]
        if used > worker.cpu:
            self.breach("LIMIT", f"{used} of {worker.cpu} on {worker.name}")
        self.running[task] = worker
        if step.get("longRunning"):
            return 1e9, "done"
        failing = self.rng.random() < 0.02
        return job.lengths[job.steps.index(step)], "failed" if failing else "done"

    def cpu_of(self, task):
        job_id, _, step, _ = task.split(".")
        return self.jobs[job_id].steps[int(step)]["cpu"] if job_id in self.jobs else 0

    def on_end(self, worker, task, how):
        if self.running.get(task) is worker:
            del self.running[task]
        if how == "lapsed":
            self.renewals[worker].lapsed.append(task)
        elif how == "done":
            self.done.add(task)
        elif how == "failed":
            self.failures[task] = self.failures.get(task, 0) + 1

    def on_renewed(self, worker):
        """Takes note of a renewal; the previous one may have been too long ago."""
        self.judge_renewal(worker)
        if worker in self.renewals and self.renewals[worker].late:
            now = self.text(time.monotonic())
            self.report_late(worker, f"renewed {now} by {self.leader_of(worker.token)}")
        self.renewals[worker] = Renewal(worker)

    def on_restart(self, worker):
        """A worker that crashed holds no lease."""
        self.report_late(worker, "not renewed before it crashed")
        self.renewals.pop(worker, None)

    def excuse(self, worker, seconds):
        """Adds time in which the worker's lease need not have been renewed."""
        if worker in self.renewals:
            self.renewals[worker].excused_ms += seconds * 1000 * worker.rate
            self.judge_renewal(worker)

    def judge_renewal(self, worker):
        """No lease lapses, unless the excused time since its renewal explains it."""
        it = self.renewals.get(worker)
        if it is None or it.late or worker.clock < it.ends + it.excused_ms:
            return
        if runs := it.lapsed + list(worker.running):
            it.late = (
                f"{', '.join(runs)} on {worker.name}: last renewed {self.text(it.at)} "
                f"by {self.leader_of(it.epoch)}, due {self.text(time.monotonic())}"
            )

    def report_late(self, worker, then):
        if worker in self.renewals and self.renewals[worker].late:
            self.breach("LAPSED", f"{self.renewals[worker].late}, {then}")

    def text(self, at):
        return f"at {at - self.begun:.2f} s"

    def on_acknowledged(self, task, how):
        if how == "done":
            self.acknowledged.add(task)

    def on_state(self, job, state):
        """Checks the state of a job that a client was shown."""
        job.state = state
        if state == "completed":
            for n, step in enumerate(job.steps):
                for index in range(step["count"]):
                    if f"{job.id}.0.{n}.{index}" not in self.done:
                        self.breach("MIXED", f"{job.id} completed without step {n} task {index}")
                        return
        if state == "cancelled" and not job.cancelled:
            self.breach("LOST", f"{job.id} cancelled by nobody")
        if state == "failed" and not any(t.startswith(job.id) for t in self.failures):
            self.breach("LOST", f"{job.id} failed without a failed run")

    def all_running(self, job):
        return len(self.left_running(job)) == sum(step["count"] for step in job.steps)

    def left_running(self, job):
        return [task for task in self.running if task.startswith(job.id)]
