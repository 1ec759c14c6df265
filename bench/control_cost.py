"""Measures CPU, memory, traffic and publication time of real daemons."""
import argparse
import http.client
import json
import os
import pathlib
import re
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "scripts"))
from cell import ADDRESS, Cell, metrics, wait_until  # noqa: E402

KEY = {"Authorization": "Bearer k1.secret"}
TASKS_PER_JOB = 10
RUN_TIME_MS = 2000
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    return sum(int(it) for it in fields.split()[11:13]) / CLOCK_TICKS


def resident_mib(pid):
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024


def traffic(daemons, kinds):
    """Bytes sent and received by connection, with its owner and kind.

    Connections of callers are left out: they are no cost of control.
    """
    text = subprocess.run(["ss", "-tinpHO"], capture_output=True, text=True,
                          check=True).stdout
    owners = {it.process.pid: it for it in daemons}
    found = {}
    for line in text.splitlines():
        pid = re.search(r"pid=(\d+)", line)
        if not pid or int(pid.group(1)) not in owners:
            continue
        local, remote = line.split()[3:5]
        daemon = owners[int(pid.group(1))]
        kind = kinds.get(int(remote.rsplit(":", 1)[1]))
        if int(local.rsplit(":", 1)[1]) == daemon.settings["peer_port"]:
            kind = "peers"
        if kind is None:
            continue
        counted = {it: int(n) for it, n in re.findall(
            r"(bytes_sent|bytes_received):(\d+)", line)}
        found[(daemon.number, kind, local, remote)] = (
            counted.get("bytes_sent", 0), counted.get("bytes_received", 0))
    return found


class Load:
    """Open loop of batch jobs through all daemons in turn."""

    def __init__(self, cell, rate):
        self.cell = cell
        self.period = TASKS_PER_JOB / rate
        self.ended = threading.Event()
        self.refused = 0
        self.accepted = 0
        self.waits = []
        self.lock = threading.Lock()
        self.next = time.monotonic()
        self.count = 0
        self.threads = [threading.Thread(target=self.run)
                        for _ in range(max(4, int(rate / 20)))]
        for it in self.threads:
            it.start()

    def take_turn(self):
        with self.lock:
            self.count += 1
            self.next += self.period
            return self.next, self.count

    def run(self):
        connections = [http.client.HTTPConnection(ADDRESS, it.port, timeout=15)
                       for it in self.cell.daemons]
        while not self.ended.is_set():
            due, n = self.take_turn()
            time.sleep(max(0, due - time.monotonic()))
            connection = connections[n % len(connections)]
            job = {"kind": "job", "name": f"load-{n}", "team": "salmon",
                   "class": "batch", "tasks": TASKS_PER_JOB,
                   "run_time_ms": RUN_TIME_MS,
                   "request": {"millicores": 1000, "memory_mib": 1024,
                               "accelerators": 0}}
            try:
                connection.request("POST", "/v1/jobs", json.dumps(job), KEY)
                got = connection.getresponse()
                got.read()
                taken = got.status == 201
            except (OSError, http.client.HTTPException):
                connection.close()
                taken = False
            with self.lock:
                self.waits.append(time.monotonic() - due)
                self.accepted += taken
                self.refused += not taken

    def stop(self):
        self.ended.set()
        for it in self.threads:
            it.join()


def quantile(values, part):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def total(cell, name):
    return sum(metrics(it).get(name, 0) for it in cell.daemons)


def measure(cell, rate, seconds):
    load = Load(cell, rate) if rate else None
    time.sleep(4 if rate else 2)
    kinds = {cell.log_port: "log", cell.list_port: "list",
             cell.worker_port: "workers",
             **{it.settings["peer_port"]: "peers" for it in cell.daemons}}
    pids = [it.process.pid for it in cell.daemons]
    names = ["rosemarytrail_task_starts_total", "rosemarytrail_appends",
             "rosemarytrail_append_bytes"]
    before = [total(cell, it) for it in names]
    cpu = [cpu_seconds(it) for it in pids]
    bytes_before = traffic(cell.daemons, kinds)
    began = time.monotonic()
    time.sleep(seconds)
    bytes_after = traffic(cell.daemons, kinds)
    spent = [cpu_seconds(it) - was for it, was in zip(pids, cpu)]
    took = time.monotonic() - began
    starts, appends, written = [
        (total(cell, it) - was) / took for it, was in zip(names, before)]
    if load:
        load.stop()
    sums = {}
    for it, (sent, received) in bytes_after.items():
        was = bytes_before.get(it, (0, 0))
        number, kind = it[:2]
        sums[(number, kind)] = sums.get((number, kind), 0) + (
            sent - was[0] + received - was[1]) / took / 1000
    per_daemon = [sum(n for it, n in sums.items() if it[0] == number)
                  for number in range(len(cell.daemons))]
    by_kind = {kind: sum(n for it, n in sums.items() if it[1] == kind)
               / len(cell.daemons)
               for kind in ("peers", "log", "workers", "list")}
    cores = [it / took * 100 for it in spent]
    memory = [resident_mib(it) for it in pids]
    print(f"| {rate} | {starts:.0f} | {mean(cores):.1f} / {max(cores):.1f} | "
          f"{mean(memory):.0f} / {max(memory):.0f} | "
          f"{mean(per_daemon):.0f} / {max(per_daemon):.0f} | "
          + " | ".join(f"{it:.1f}" for it in by_kind.values())
          + f" | {appends:.0f} | {written / 1000:.1f} |")
    if load:
        waits = [it * 1000 for it in load.waits]
        print(f"<!-- {rate}: {load.accepted} jobs accepted, {load.refused} "
              f"refused; answer to a submission p50 "
              f"{quantile(waits, 0.5):.0f} ms, p99 "
              f"{quantile(waits, 0.99):.0f} ms -->")
    sys.stdout.flush()


def mean(values):
    return sum(values) / len(values)


def in_force(cell, count):
    """Time from the sending of a publication to its use at each daemon."""
    spans = []
    answers = []
    for n in range(count):
        headers = {"Authorization": f"Bearer p{n}.secret"}
        seen = [None] * len(cell.daemons)
        began = time.monotonic()

        def poll(i, daemon):
            connection = http.client.HTTPConnection(ADDRESS, daemon.port,
                                                    timeout=10)
            while time.monotonic() - began < 10:
                connection.request("GET", "/v1/jobs", headers=headers)
                got = connection.getresponse()
                got.read()
                if got.status == 200:
                    seen[i] = time.monotonic() - began
                    break
                time.sleep(0.003)
            connection.close()

        threads = [threading.Thread(target=poll, args=it)
                   for it in enumerate(cell.daemons)]
        for it in threads:
            it.start()
        got = cell.publish({
            "kind": "key", "key": f"p{n}", "team": "salmon",
            "account": "p", "salt": "00112233445566778899aabbccddeeff",
            "hash": cell_hash(), "withdrawn": False},
            cell.daemons[n % len(cell.daemons)])
        answers.append(time.monotonic() - began)
        for it in threads:
            it.join()
        if got.status != 200 or None in seen:
            print(f"publication {n}: {got.status} {got.body} {seen}")
            continue
        spans.append(max(seen))
    print(f"publish to in force on the last of {len(cell.daemons)} daemons, "
          f"{len(spans)} of {count} publications:")
    for name, values in (("in force on the last", spans),
                         ("answer to the operator", answers)):
        print(f"| {name} | {quantile(values, 0.5) * 1000:.0f} | "
              f"{quantile(values, 0.99) * 1000:.0f} | "
              f"{max(values) * 1000:.0f} |")


def cell_hash():
    from cell import SALT, hash_secret
    return hash_secret(SALT, "secret")


def main():
    flags = argparse.ArgumentParser()
    flags.add_argument("--daemons", type=int, default=9)
    flags.add_argument("--workers", type=int, default=48)
    flags.add_argument("--seconds", type=float, default=10)
    flags.add_argument("--rates", default="0,100,300,610")
    flags.add_argument("--publications", type=int, default=50)
    flags.add_argument("--settings", default="{}",
                       help="further settings of the daemons, JSON")
    flags = flags.parse_args()
    cell = Cell(flags.daemons, flags.workers,
                settings={"log_level": "warning",
                          **json.loads(flags.settings)})
    try:
        if cell.start(60) is None:
            raise RuntimeError("the cell did not become ready")
        cell.publish_team("salmon")
        cell.publish_key("k1", "salmon")
        wait_until(lambda: all(
            it.call("GET", "/v1/jobs", headers=KEY).status == 200
            for it in cell.daemons), 20)
        wait_until(lambda: sum(
            it["vms"] for it in cell.daemons[0].operator(
                "GET", "/v1/members").json()["partitions"]
        ) == flags.workers, 30)
        print(f"{flags.daemons} daemons, {flags.workers} workers, "
              f"{flags.seconds:.0f} s each; load "
              f"average {os.getloadavg()[0]:.1f} of {os.cpu_count()} cores")
        if flags.publications:
            in_force(cell, flags.publications)
        print("| starts asked a second | starts a second | CPU, % of a core, "
              "mean / most | MiB, mean / most | KB/s, mean / most | peers | "
              "log | workers | VM list | appends a second, all | KB/s to the "
              "log, all |")
        for rate in [int(it) for it in flags.rates.split(",")]:
            measure(cell, rate, flags.seconds)
    finally:
        cell.stop()


if __name__ == "__main__":
    main()
