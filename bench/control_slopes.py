"""Measures the cost of control at several sizes and fits lines to it.

   python3 bench/control_slopes.py [--seconds 5] [--cells 9:48,9:196]
                                   [--rates 0,100] [--running 0]
                                   [--teams 1] [--csv FILE]

One cell at a time, each of one process a daemon and one process for all
workers. Timings never decide CI.
"""
import argparse
import csv
import json
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from control_cost import (CLOCK_TICKS, KEY, Cell, Load, cpu_seconds,  # noqa
                          mean, resident_mib, total, traffic)
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "scripts"))
from cell import wait_until  # noqa: E402

SIZES = ("daemons", "vms", "rate", "running", "teams")
KINDS = ("peers", "log", "workers", "list")
COUNTERS = {"starts": "rosemarytrail_task_starts_total",
            "appends": "rosemarytrail_appends",
            "append_bytes": "rosemarytrail_append_bytes"}
SETTLE_S = 3
TASKS_PER_JOB = 10
SERVICE_PART = 5


def thread_seconds(pid):
    """Processor time of the threads of a process, by thread id."""
    found = {}
    for it in pathlib.Path(f"/proc/{pid}/task").iterdir():
        try:
            text = (it / "stat").read_text().rsplit(")", 1)[1].split()
        except OSError:
            continue
        found[it.name] = (int(text[11]) + int(text[12])) / CLOCK_TICKS
    return found


def make_teams(cell, count):
    """Publishes teams with a key each; the first stands already."""
    owners = [("salmon", KEY)]
    for n in range(1, count):
        cell.publish_team(f"team-{n}")
        cell.publish_key(f"t{n}", f"team-{n}")
        owners.append((f"team-{n}",
                       {"Authorization": f"Bearer t{n}.secret"}))
    last = owners[-1][1]
    wait_until(lambda: all(
        it.call("GET", "/v1/jobs", headers=last).status == 200
        for it in cell.daemons), 30)
    return owners


def submit_long(cell, count, owners):
    """Starts tasks that outlast the run, a fifth of them of services."""
    for n in range(count // TASKS_PER_JOB):
        team, key = owners[n % len(owners)]
        job = {"kind": "job", "name": f"long-{n}", "team": team,
               "class": "batch", "tasks": TASKS_PER_JOB,
               "run_time_ms": 600000,
               "request": {"millicores": 1000, "memory_mib": 1024,
                           "accelerators": 0}}
        if n % SERVICE_PART == 0:
            job.update({"class": "service", "service": f"service-{n}",
                        "run_time_ms": 0})
        got = cell.daemons[n % len(cell.daemons)].call(
            "POST", "/v1/jobs", json.dumps(job), key)
        if got.status != 201:
            raise RuntimeError(f"job refused: {got.status} {got.body}")


def started(cell):
    return total(cell, COUNTERS["starts"])


class Sample:
    def __init__(self, cell, kinds):
        self.at = time.monotonic()
        self.pids = [it.process.pid for it in cell.daemons]
        self.cpu = [cpu_seconds(it) for it in self.pids]
        self.threads = [thread_seconds(it) for it in self.pids]
        self.others = [cpu_seconds(it.pid) for it in cell.others]
        self.traffic = traffic(cell.daemons, kinds)
        self.counts = {it: total(cell, name) for it, name in COUNTERS.items()}


def bytes_by_kind(before, after):
    sums = dict.fromkeys(KINDS, 0)
    for key, counted in after.traffic.items():
        was = before.traffic.get(key, (0, 0))
        sums[key[1]] += sum(counted) - sum(was)
    return sums


def point(cell, rate, seconds, running=0, owners=(("salmon", KEY),)):
    """Costs of a daemon, mean of all, over a span of steady load."""
    kinds = {cell.log_port: "log", cell.list_port: "list",
             cell.worker_port: "workers",
             **{it.settings["peer_port"]: "peers" for it in cell.daemons}}
    load = Load(cell, rate, owners) if rate else None
    time.sleep(SETTLE_S)
    before = Sample(cell, kinds)
    time.sleep(seconds)
    after = Sample(cell, kinds)
    if load:
        load.stop()
    took = after.at - before.at
    n = len(cell.daemons)
    busiest = [max(now[it] - was.get(it, 0) for it in now)
               for was, now in zip(before.threads, after.threads)]
    found = {
        "daemons": n, "vms": cell.workers, "rate": rate,
        "running": running, "teams": len(owners),
        "load_average": os.getloadavg()[0],
        "cpu": mean([b - a for a, b in zip(before.cpu, after.cpu)])
        / took * 100,
        "busiest_thread": mean(busiest) / took * 100,
        "mib": mean([resident_mib(it) for it in after.pids])}
    for kind, count in bytes_by_kind(before, after).items():
        found["kb_" + kind] = count / n / took / 1000
    found["kb"] = sum(found["kb_" + it] for it in KINDS)
    for it in COUNTERS:
        found[it] = (after.counts[it] - before.counts[it]) / took
    names = ("log", "list", "workers")
    for name, was, now, other in zip(names, before.others, after.others,
                                     cell.others):
        found["cpu_standin_" + name] = (now - was) / took * 100
        found["mib_standin_" + name] = resident_mib(other.pid)
    return found


def measure_cell(daemons, vms, flags):
    cell = Cell(daemons, vms, settings={"log_level": "warning"})
    points = []
    try:
        if cell.start(60) is None:
            raise RuntimeError("the cell did not become ready")
        cell.publish_team("salmon")
        cell.publish_key("k1", "salmon")
        taken = wait_until(lambda: sum(
            it["vms"] for it in cell.daemons[0].operator(
                "GET", "/v1/members").json()["partitions"]) == vms, 60)
        known = wait_until(lambda: all(
            it.call("GET", "/v1/jobs", headers=KEY).status == 200
            for it in cell.daemons), 20)
        if taken is None or known is None:
            raise RuntimeError("the cell did not take all VMs")
        owners = make_teams(cell, flags.teams)
        asked = 0
        for running in numbers(flags.running):
            submit_long(cell, running - asked, owners)
            asked = running
            if wait_until(lambda: started(cell) >= asked, 60) is None:
                raise RuntimeError("the long tasks did not start")
            for rate in numbers(flags.rates):
                points.append(point(cell, rate, flags.seconds, running,
                                    owners))
                show(points[-1])
    finally:
        cell.stop()
    return points


def numbers(text):
    return [int(it) for it in text.split(",")]


def show(found):
    print(" | ".join(f"{name} {value:.4g}" for name, value in found.items()),
          flush=True)


def line_fit(xs, ys):
    """Least squares; intercept, slope and root mean square residual."""
    x, y = mean(xs), mean(ys)
    spread = sum((it - x) ** 2 for it in xs)
    slope = sum((a - x) * (b - y) for a, b in zip(xs, ys)) / spread
    start = y - slope * x
    residual = mean([(b - start - slope * a) ** 2
                     for a, b in zip(xs, ys)]) ** 0.5
    return start, slope, residual


def show_fits(points, by):
    """Fits each cost by one size where the others are held."""
    fixed = [it for it in SIZES if it != by]
    groups = {}
    for it in points:
        groups.setdefault(tuple(it[name] for name in fixed), []).append(it)
    for key, group in groups.items():
        if len({it[by] for it in group}) < 3:
            continue
        held = ", ".join(f"{a} {b}" for a, b in zip(fixed, key))
        print(f"by {by} ({held}; {len(group)} points):")
        for name in group[0]:
            if name in (*SIZES, "load_average"):
                continue
            start, slope, residual = line_fit([it[by] for it in group],
                                              [it[name] for it in group])
            print(f"| {name} | {start:.4g} | {slope:.4g} | {residual:.3g} |")


def main():
    flags = argparse.ArgumentParser()
    flags.add_argument("--seconds", type=float, default=5)
    flags.add_argument("--cells", default="9:48,9:196,9:490,9:980,3:196,6:196",
                       help="daemons:VMs of each cell")
    flags.add_argument("--rates", default="0,100",
                       help="task starts a second of each cell")
    flags.add_argument("--running", default="0",
                       help="long tasks, rising; rates apply to each")
    flags.add_argument("--teams", type=int, default=1)
    flags.add_argument("--csv")
    flags = flags.parse_args()
    points = []
    for it in flags.cells.split(","):
        daemons, vms = it.split(":")
        points += measure_cell(int(daemons), int(vms), flags)
    for it in SIZES:
        show_fits(points, it)
    if flags.csv:
        with open(flags.csv, "w", newline="", encoding="utf-8") as out:
            writer = csv.DictWriter(out, points[0].keys())
            writer.writeheader()
            writer.writerows(points)


if __name__ == "__main__":
    main()
