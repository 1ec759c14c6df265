"""What must hold, judged from what clients and workers see."""

import random
import time

# `dispatcher_options::lease`, which "outlasts a leader takeover" (docs/PLATFORM.md).
LEASE_MS = 4500
VISIBLE_S, PENDING_AGE_S = 3, 2  # `visible_ms`, and how old the number of pending jobs may be


class Job:
    """Job as its client handed it in, and what became of it."""

    def __init__(self, job_id, spec, steps, rng: random.Random, advised=True):
        self.id = job_id
        self.advised = advised  # starts on its queue need a ticket
        self.spec = spec
        self.steps = steps
        self.accepted, self.accepted_at = False, None
        self.begun = False  # a task of it has started
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


class DoneEnd:
    """Run that ended `done`; `later` are the starts between its end and its acknowledgement."""

    def __init__(self, worker, run):
        self.at = time.monotonic()
        self.worker, self.born, self.run = worker, worker.born, run
        self.text = f"run {run} on {worker.name} ended"
        self.acknowledged = False
        self.lapsed = False  # the worker's lease, before the acknowledgement
        self.later = []


class Promises:
    """Ledger of all starts and ends; collects the promises that were broken."""

    def __init__(self, rng):
        self.rng = rng
        self.jobs = {}
        self.running = {}  # task: {worker: what is known of the start}
        self.done = {}  # task: DoneEnds
        self.failures = {}
        self.starts = 0
        self.broken = []
        self.events = []
        self.lapse_excuses = False  # an end counts only if the lease held until it was acknowledged
        self.wasted = 0  # starts after an end that such a lapse excuses
        self.lost = {}  # task: when and how its worker was lost
        self.waits = {}  # how a worker was lost: seconds until its tasks started again
        self.begun = time.monotonic()
        self.renewals = {}  # worker: Renewal
        self.leader_of = lambda epoch: "unknown"

    def breach(self, rule, text):
        self.broken.append(f"{rule}: {text}")
        self.note(self.broken[-1])

    def note(self, text):
        self.events.append(f"{int(time.time() * 1000)} {text}")

    def waiting(self, advised, asked):
        """Returns the accepted jobs of a queue that any node has to count as pending."""
        return [
            job for job in self.jobs.values()
            if job.accepted and job.advised == advised and not job.cancelled and not job.begun
            and job.accepted_at < asked - VISIBLE_S - PENDING_AGE_S
        ]  # fmt: skip

    def on_pending(self, node, pending, waiting):
        if pending < len(waiting) / 2:
            jobs = ", ".join(job.id for job in waiting)
            self.breach("MIXED", f"{node} counts {pending} jobs as pending, not begun: {jobs}")

    def takes_ticket(self, task):
        job = self.jobs.get(task.split(".")[0])
        return job is None or job.advised

    def on_start(self, worker, task, spec, run):
        """Checks a start; returns how long the run takes and how it ends."""
        self.starts += 1
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        if job:
            job.begun = True
        if job is None or job.spec != spec:
            self.breach("UNASKED", f"{task} on {worker.name}")
            return 0.1, "done"
        if not job.accepted and not job.maybe_taken:
            self.breach("REFUSED", f"{task} started, all submissions were refused")
        up_s = worker.clock / 1000
        text = f"run {run} on {worker.name}, up {up_s:.1f} s, {self.text(time.monotonic())}"
        text += worker.late
        self.note(f"{worker.name} start {task} {text}, lease {worker.deadline / 1000 - up_s:.1f} s")
        for other in self.running.get(task, {}).values():
            self.breach("TWICE", f"{task} {text}, during {other}")
        for end in self.done.get(task, []):
            if not end.acknowledged:
                end.later.append(text)
            elif end.lapsed and self.lapse_excuses:
                self.wasted += 1
            else:
                self.breach("TWICE", f"{task} {text}, after {end.text}, acknowledged")
        if task in self.lost:
            at, how = self.lost.pop(task)
            self.waits.setdefault(how, []).append(time.monotonic() - at)
        step = job.steps[int(step)]
        for before in step.get("dependsOn", []):
            for index in range(job.steps[before]["count"]):
                if f"{job_id}.0.{before}.{index}" not in self.done:
                    self.breach("ORDER", f"{task} before step {before} was done")
                    break
        used = sum(self.cpu_of(it) for it in worker.running) + step["cpu"]
        if used > worker.cpu:
            self.breach("LIMIT", f"{used} of {worker.cpu} on {worker.name}")
        self.running.setdefault(task, {})[worker] = text
        if step.get("longRunning"):
            return 1e9, "done"
        failing = self.rng.random() < 0.02
        return job.lengths[job.steps.index(step)], "failed" if failing else "done"

    def cpu_of(self, task):
        job_id, _, step, _ = task.split(".")
        return self.jobs[job_id].steps[int(step)]["cpu"] if job_id in self.jobs else 0

    def on_end(self, worker, task, how, run):
        self.note(f"{worker.name} end {task} run {run} {how}")
        if worker in self.running.get(task, {}):
            del self.running[task][worker]
            if not self.running[task]:
                del self.running[task]
        if how == "lapsed":
            self.renewals[worker].lapsed.append(task)
        elif how == "done":
            self.done.setdefault(task, []).append(DoneEnd(worker, run))
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

    def on_acknowledged(self, worker, task, run, how):
        self.note(f"{worker.name} acknowledged {task} run {run} {how}")
        for end in self.done.get(task, []) if how == "done" else []:
            if (end.worker, end.born, end.run) == (worker, worker.born, run):
                self.lost.pop(task, None)
                end.acknowledged, end.lapsed = True, worker.lapsed_at >= end.at
                if not end.lapsed:
                    for it in end.later:
                        self.breach("TWICE", f"{task} {it}, after {end.text}, acknowledged later")

    def on_lost(self, worker, how):
        """Takes note of the tasks of a worker that restarts or is cut off."""
        self.note(f"{worker.name} {how}")
        for task in worker.running:
            self.lost.setdefault(task, (time.monotonic(), how))

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
