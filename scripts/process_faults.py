"""Induces faults in real processes and checks what must always hold."""
import json
import signal
import sys
import threading
import time

from cell import Cell, metrics, wait_until

KEY = {"Authorization": "Bearer k1.secret"}
# Shorter spans than the defaults, so that a lease lapses within the run.
SETTINGS = {"task_lease_ms": 3000, "command_bound_ms": 1500,
            "news_period_ms": 1500, "drift_margin_ms": 200,
            "peer_timeout_ms": 800, "shutdown_ms": 10000,
            "request_timeout_ms": 3000, "worker_period_ms": 300}

BATCH_TASKS = 60


class Watch:
    """Looks at the workers all the time: no task may be on two of them."""

    def __init__(self, cell):
        self.cell = cell
        self.doubles = []
        self.looks = 0
        self.starts = {}
        self.over = []
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.ended.is_set():
            self.look()
            self.ended.wait(0.1)

    def look(self):
        where = {}
        for vm, tasks in self.cell.inventory().items():
            for it in tasks:
                task = (it["job"], it["index"])
                where.setdefault(task, set()).add(vm)
                self.starts.setdefault(task, set()).add(it["attempt"])
            used = sum(it["millicores"] for it in tasks)
            if used > 64000:
                self.over.append((vm, used))
        self.looks += 1
        # Workers are read one after another, so a double is looked at twice.
        for task, vms in where.items():
            if len(vms) > 1 and self.still_double(task, vms):
                self.doubles.append((task, sorted(vms)))

    def still_double(self, task, vms):
        again = self.cell.inventory()
        held = [vm for vm in vms
                if any((it["job"], it["index"]) == task
                       for it in again.get(vm, []))]
        return len(held) > 1

    def stop(self):
        self.ended.set()
        self.thread.join()


class Run:
    """One cell with one fault."""

    def __init__(self, name):
        self.name = name
        self.seen = []
        self.faults = []
        self.cell = Cell(daemons=3, workers=6, settings=SETTINGS)

    def note(self, text):
        self.seen.append(text)

    def check(self, holds, text):
        if not holds:
            self.faults.append(text)

    def submit(self, daemon, kind, tasks, run_time_ms=0, name="n",
               millicores=1000):
        job = {"kind": "job", "name": name, "team": "salmon", "class": kind,
               "tasks": tasks, "request": {"millicores": millicores,
                                           "memory_mib": 256,
                                           "accelerators": 0}}
        if kind == "service":
            job["service"] = "plugs"
        else:
            job["run_time_ms"] = run_time_ms
        return daemon.call("POST", "/v1/jobs", json.dumps(job),
                           {**KEY, "X-Submission-Id": name})

    def status(self, job):
        for it in self.cell.daemons:
            got = it.call("GET", f"/v1/jobs/{job}", headers=KEY, timeout=4)
            if got.status == 200 and got.json()["from_holder"]:
                return got.json()
        for it in self.cell.daemons:
            got = it.call("GET", f"/v1/jobs/{job}", headers=KEY, timeout=4)
            if got.status == 200:
                return got.json()
        return {}

    def finished(self, job):
        value = self.status(job)
        return value.get("phase") == "finished"

    def begin(self):
        took = self.cell.start()
        if took is None:
            raise RuntimeError("the cell did not become ready")
        self.cell.publish_team("salmon")
        self.cell.publish_key("k1", "salmon")
        wait_until(lambda: all(
            it.call("GET", "/v1/jobs", headers=KEY).status == 200
            for it in self.cell.daemons), 10)
        self.watch = Watch(self.cell)
        # Refused until the first VMs are in a partition that has a holder.
        wait_until(lambda: self.submit(
            self.cell.daemons[0], "service", 3,
            name="service").status == 201, 15)
        self.service = self.accepted(self.submit(
            self.cell.daemons[0], "service", 3, name="service"))
        wait_until(lambda: self.running(self.service) == 3, 15)
        wait_until(lambda: all(
            it.call("GET", "/v1/services/plugs/x", headers=KEY).status == 200
            for it in self.cell.daemons), 5)
        # Three waves on six VMs, so that starts fall into the fault.
        self.batch = self.accepted(self.submit(
            self.cell.daemons[1], "batch", BATCH_TASKS, 2500, name="batch",
            millicores=16000))
        wait_until(lambda: self.running(self.batch) > 0, 15)

    def accepted(self, answer):
        if answer.status != 201:
            raise RuntimeError(f"not accepted: {answer.status} {answer.body}")
        return answer.json()["job"]

    def running(self, job):
        return sum(it["job"] == job
                   for tasks in self.cell.inventory().values() for it in tasks)

    def holder_of(self, job, among=None):
        """Daemon that holds the partition of a job."""
        partition = self.status(job)["partition"]
        for it in among or self.cell.daemons:
            got = it.operator("GET", "/v1/members")
            if got.status != 200:
                continue
            view = got.json()
            holder = view["partitions"][partition]["holder"]
            for member in view["members"]:
                if member["member"] == holder:
                    port = int(member["api_address"].rsplit(":", 1)[1])
                    return next((d for d in self.cell.daemons
                                 if d.port == port), None)
        return None

    def ends(self):
        """Ends of tasks by their reason; a restarted daemon counts anew."""
        sums = {}
        for it in self.cell.daemons:
            for name, value in metrics(it).items():
                if name.startswith("rosemarytrail_task_ends_total") and value:
                    reason = name.split('reason="')[-1].split('"')[0]
                    sums[reason] = sums.get(reason, 0) + int(value)
        return ", ".join(f"{n} {it}" for it, n in sorted(sums.items()))

    def end(self):
        took = wait_until(lambda: self.finished(self.batch), 40)
        value = self.status(self.batch)
        self.check(took is not None, f"the batch did not finish: {value}")
        self.check(value.get("succeeded") == BATCH_TASKS,
                   f"tasks lost or failed: {value}")
        self.check(self.running(self.service) == 3 or wait_until(
            lambda: self.running(self.service) == 3, 15) is not None,
            f"the service has {self.running(self.service)} of 3 tasks")
        self.watch.stop()
        self.note("ends seen: " + (self.ends() or "none"))
        self.note(f"{self.watch.looks} looks at the workers")
        restarted = sum(len(it) > 1 for it in self.watch.starts.values())
        self.note(f"{restarted} tasks seen at a further attempt")
        self.check(not self.watch.doubles,
                   f"tasks on two workers: {self.watch.doubles[:3]}")
        self.check(not self.watch.over,
                   f"VM beyond its size: {self.watch.over[:3]}")

    def finish(self):
        self.cell.stop()
        verdict = "FAILED" if self.faults else "held"
        print(f"{self.name}: {verdict}")
        for text in self.seen:
            print(f"  seen: {text}")
        for text in self.faults:
            print(f"  FAULT: {text}")
        if self.faults:
            print(f"  logs: {self.cell.folder}")
        sys.stdout.flush()


def kill_a_holder(run):
    victim = run.holder_of(run.batch)
    victim.send(signal.SIGKILL)
    began = time.monotonic()
    others = [it for it in run.cell.daemons if it is not victim]
    took = wait_until(lambda: run.holder_of(run.batch, others)
                      not in (None, victim), 20)
    run.check(took is not None, "no new holder within 20 s")
    run.note(f"new holder after {took:.2f} s" if took else "no new holder")
    victim.start()
    took = wait_until(victim.ready, 20)
    run.check(took is not None, "the replaced daemon did not become ready")
    run.note(f"replaced daemon ready {time.monotonic() - began:.2f} s "
             "after the kill")


def pause_a_holder(run):
    victim = run.holder_of(run.batch)
    before = metrics(victim).get("rosemarytrail_task_starts_total")
    victim.send(signal.SIGSTOP)
    others = [it for it in run.cell.daemons if it is not victim]
    took = wait_until(lambda: run.holder_of(run.batch, others)
                      not in (None, victim), 20)
    run.check(took is not None, "no new holder within 20 s")
    run.note(f"new holder after {took:.2f} s" if took else "no new holder")
    time.sleep(SETTINGS["task_lease_ms"] / 1000 + 1)
    victim.send(signal.SIGCONT)
    took = wait_until(victim.ready, 20)
    run.check(took is not None, "the paused daemon did not become ready")
    run.note(f"paused past the lease; ready {took or -1:.2f} s after; "
             f"starts before {before}")


def take_the_log_down(run):
    run.cell.log_control(mode="down")
    down = wait_until(
        lambda: run.submit(run.cell.daemons[0], "batch", 1, 100,
                           name="probe").status == 503, 5)
    run.note(f"submissions refused {down or -1:.2f} s after the log went")
    began = time.monotonic()
    got = run.submit(run.cell.daemons[2], "batch", 1, 100, name="refused")
    took = time.monotonic() - began
    run.check(got.status == 503 and got.json()["not_run"],
              f"submission with the log down: {got.status} {got.body}")
    run.check(got.headers.get("Retry-After") is not None, "no Retry-After")
    run.note(f"submission refused as not run in {took * 1000:.0f} ms")
    # All started work ends and the rest starts, with the log still down.
    took = wait_until(lambda: run.running(run.batch) == 0, 30)
    run.check(took is not None, "accepted work did not go on")
    run.note(f"accepted batch ran out {took or -1:.1f} s into the outage")
    run.check(run.running(run.service) == 3, "service not kept in the outage")
    run.cell.log_control(mode="up")
    took = wait_until(lambda: run.finished(run.batch), 20)
    run.note(f"ends in the log {took or -1:.2f} s after it came back")
    refused = wait_until(
        lambda: run.submit(run.cell.daemons[2], "batch", 1, 100,
                           name="after").status == 201, 10)
    run.check(refused is not None, "no submission after the outage")


def lose_answers_of_the_log(run):
    run.cell.log_control(lose_answers=0.3, seed=7)
    jobs = []
    for n in range(10):
        got = run.submit(run.cell.daemons[n % 3], "batch", 1, 200,
                         name=f"lossy-{n}")
        again = run.submit(run.cell.daemons[(n + 1) % 3], "batch", 1, 200,
                           name=f"lossy-{n}")
        accepted = {it.json()["job"] for it in (got, again)
                    if it.status == 201}
        run.check(len(accepted) == 1,
                  f"submission {n}: {got.status} {got.body} then "
                  f"{again.status} {again.body}")
        jobs += accepted
    run.cell.log_control(lose_answers=0.0)
    took = wait_until(lambda: all(run.finished(it) for it in jobs), 20)
    run.check(took is not None, "not all jobs finished")
    run.note(f"{len(jobs)} jobs, each submitted at two daemons, ran once")


def restart_all_in_turn(run):
    answers = {"whole": 0, "not run": {}, "lost": []}
    ended = threading.Event()

    def ask(n):
        # Stands for the balancer: it looks at /ready before it sends.
        while not ended.is_set():
            for it in run.cell.daemons:
                if not it.ready():
                    continue
                got = it.call("GET", f"/v1/services/plugs/{n}", headers=KEY)
                if got.status == 200:
                    answers["whole"] += 1
                elif got.status == 503 and got.json().get("not_run"):
                    why = got.json()["reason"]
                    answers["not run"][why] = answers["not run"].get(why, 0) + 1
                else:
                    answers["lost"].append((got.status, got.body[:200]))
            time.sleep(0.01)

    threads = [threading.Thread(target=ask, args=(n,)) for n in range(4)]
    for it in threads:
        it.start()
    for it in run.cell.daemons:
        it.send(signal.SIGTERM)
        began = time.monotonic()
        code = it.end()
        run.check(code == 0, f"daemon {it.number} ended with {code}")
        took = time.monotonic() - began
        it.start()
        ready = wait_until(it.ready, 20)
        run.check(ready is not None, f"daemon {it.number} not ready again")
        run.note(f"daemon {it.number} ended with {code} in {took:.2f} s, "
                 f"ready again in {ready or -1:.2f} s")
    ended.set()
    for it in threads:
        it.join()
    run.check(not answers["lost"], f"requests lost: {answers['lost'][:3]}")
    refused = ", ".join(f"{n} {it}" for it, n in answers["not run"].items())
    run.note(f"requests: {answers['whole']} whole, refused as not run: "
             f"{refused or 'none'}, {len(answers['lost'])} lost")


FAULTS = [("kill -9 of a holder", kill_a_holder),
          ("pause of a holder past the lease", pause_a_holder),
          ("log down and back", take_the_log_down),
          ("answers of the log lost", lose_answers_of_the_log),
          ("rolling restart of all daemons", restart_all_in_turn)]


def main():
    wanted = sys.argv[1:]
    failed = 0
    for name, induce in FAULTS:
        if wanted and not any(it in name for it in wanted):
            continue
        run = Run(name)
        try:
            run.begin()
            induce(run)
            run.end()
        except Exception as ec:  # one fault must not hide the others
            run.faults.append(f"{type(ec).__name__}: {ec}")
        finally:
            run.finish()
        failed += bool(run.faults)
    print(f"{failed} of the faults broke a promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
