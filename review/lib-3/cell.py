"""A small cell for a case: real nodes, stand-ins of platform, workers and clients.

The stand-ins of the store, of a worker and of the advice service are those of the
project's soak; this module starts the nodes with the command of the deploy file,
keeps the record of what was sent, answered and run, and ends all processes.
"""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "soak"))

from http_io import Client, serve  # noqa: E402
from proxy import Proxy  # noqa: E402
from store_model import Store  # noqa: E402
from worker_model import Advice, Worker, reply  # noqa: E402

HOST = "queue.example"
KEY = "key-of-the-case"
CLIENT_PORT, READY_PORT, INNER_PORT = 8183, 8184, 7420
BEAT_S = 1.5  # the `heartbeatMs` of the settings
READY_WITHIN_S = 30


class CannotRun(Exception):
    """The case could not be brought to the point where the rule is judged."""


class Record:
    """What was sent, answered and run; written to `record.txt` at the end."""

    def __init__(self, path):
        self.path = path
        self.begun = time.monotonic()
        self.lines = []

    @property
    def now(self):
        return time.monotonic() - self.begun

    def note(self, text):
        self.lines.append(f"{self.now:8.3f} {text}")

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


class Run:
    """One run of a task, as its worker knows it."""

    def __init__(self, worker, number, at):
        self.worker, self.number, self.begin = worker, number, at
        self.end, self.how = None, None


class Ledger:
    """Notes the runs of all tasks; the workers report to it."""

    def __init__(self, cell):
        self.cell = cell
        self.runs = {}

    def note(self, text):
        self.cell.record.note(text)

    def takes_ticket(self, task):
        job = self.cell.jobs.get(task.split(".")[0])
        return job is None or job.advised

    def on_start(self, worker, task, spec, run):
        job_id, _, step, index = task.split(".")
        job = self.cell.jobs.get(job_id)
        self.note(f"{worker.name} starts {task} run {run}{worker.late}")
        self.runs.setdefault(task, []).append(Run(worker.name, run, self.cell.record.now))
        if job is None or job.spec != spec:
            self.note(f"UNASKED {task}")
            return 0.1, "done"
        return job.length(int(step), int(index))

    def on_end(self, worker, task, how, run):
        self.note(f"{worker.name} ends {task} run {run} {how}")
        for it in self.runs.get(task, []):
            if it.worker == worker.name and it.number == run and it.end is None:
                it.end, it.how = self.cell.record.now, how

    def on_acknowledged(self, worker, task, run, how):
        self.note(f"{worker.name} told that the end of {task} run {run} ({how}) is noted")

    def on_renewed(self, worker):
        pass

    def on_restart(self, worker):
        pass


class Job:
    """Job as its client hands it in."""

    def __init__(self, rng, steps, route, length_s):
        self.id = f"{rng.getrandbits(64):016x}"
        self.spec = f"spec of {self.id}"
        self.steps, self.route, self.advised = steps, route, "advice" in route
        self.length_s = length_s
        self.accepted_at = None
        self.state = None

    def length(self, step, index):
        """How long a run of a task takes, and how it ends."""
        if self.steps[step].get("longRunning"):
            return 1e9, "done"
        return self.length_s, "done"

    def tasks(self):
        return [
            f"{self.id}.0.{n}.{i}" for n, step in enumerate(self.steps) for i in range(step["count"])
        ]


class Node:
    """One process of the system, with a loopback address of its own."""

    def __init__(self, name, ip, command, folder):
        self.name, self.ip, self.command = name, ip, command
        self.settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self.process = None

    def write_settings(self, store_port, advice_port):
        lines = {
            "nodeName": self.name, "role": "node", "machineClass": "frontend",
            "serves": "frontend", "ip": self.ip, "zone": "z1", "region": "r1",
            "zones.z1": "r1", "bootstrap": "true", "discovery": "platform", "entry": "vip",
            "listen.frontend": f"{self.ip}:{CLIENT_PORT}",
            "listen.ready": f"{self.ip}:{READY_PORT}",
            "listen.control": f"{self.ip}:8180",
            "portRange": f"{INNER_PORT},{INNER_PORT + 15}",
            "limits.cpuShare": 0.25, "limits.cores": 1, "limits.memoryMb": 260,
            "limits.maxFds": 4100, "limits.linkMbps": 1000.0, "heartbeatMs": 1500,
            "advice": f"127.0.0.1:{advice_port}",
            "platform.address": f"127.0.0.1:{store_port}", "platform.form": "log",
            "platform.parts": 24, "platform.ttlMinMs": 1000,
            "platform.recordBytes": 262144, "platform.callBytes": 2097152,
            "bounds.contactMs": 3000, "bounds.ackMs": 4000, "bounds.graceS": 6,
            "bounds.configApplyMs": 2000, "bounds.maxSkewMs": 5000,
            "bounds.holdMaxMs": 10000, "bounds.stopMs": 200, "bounds.cancel_ms": 3000,
            "bounds.visible_ms": 3000, "bounds.finish_s": 14, "bounds.status_s": 120,
            "bounds.checkpointS": 1, "bounds.restoreMs": 100, "orders": "call",
        }  # fmt: skip
        self.settings.write_text("".join(f"{k}={v}\n" for k, v in lines.items()))

    async def start(self):
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, stdout=log, stderr=log, cwd=ROOT,
                env={"ROSEMARYTRAIL_CONFIG": str(self.settings), "PATH": os.environ["PATH"]},
            )  # fmt: skip

    @property
    def alive(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self):
        if self.alive:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Cell:
    """Nodes, workers, store and advice service of one case."""

    def __init__(self, folder, seed, nodes=3, workers=16, cpu=64000, routes=()):
        self.record = Record(folder / "record.txt")
        self.seed, self.rng = seed, random.Random(seed)
        self.temporary = tempfile.TemporaryDirectory(prefix="rosemarytrail-case-")
        self.folder = Path(self.temporary.name)
        self.store = Store(random.Random(seed + 1), parts=24)
        self.ledger = Ledger(self)
        self.jobs, self.workers, self.proxies, self.lost = {}, {}, {}, set()
        self.node_count, self.worker_count, self.cpu = nodes, workers, cpu
        self.nodes, self.routes, self.tasks = [], list(routes), []
        self.tenant_cap = {}
        self.advice = Advice(self.workers)
        self.worker_class = Worker

    def command(self):
        """The command of the deploy file, which is run in the repository root."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["node"]["run"].split()
        if not (ROOT / words[0]).is_file():
            raise CannotRun(f"{words[0]} has not been built")
        return [str(ROOT / words[0]), *words[1:]]

    def spawn(self, work):
        self.tasks.append(asyncio.create_task(work))

    async def prepare(self):
        command = self.command()
        tenant = {"name": "t", "apiKeys": [KEY], "weight": 1000}
        if self.tenant_cap:
            tenant["cap"] = self.tenant_cap
        self.store.put("keyed.op", "config", {
            "version": 4, "routes": self.routes,
            "services": [{"name": "work", "admissionCheck": False}],
            "tenants": [tenant],
        })  # fmt: skip
        for n in range(self.worker_count):
            worker = self.worker_class(f"w{n}", self.cpu, random.Random(self.seed + 10 + n), self.ledger)
            server = await serve("127.0.0.1", 0, worker.handle)
            proxy = Proxy(server.sockets[0].getsockname())
            await proxy.start("127.0.0.1", 0)
            self.workers[worker.name], self.proxies[worker.name] = worker, proxy
        store = await serve("127.0.0.1", 0, self.store.handle)
        store_port = store.sockets[0].getsockname()[1]
        block = f"127.{10 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}"
        for n in range(self.node_count):
            node = Node(f"n{n}", f"{block}.{n + 1}", command, self.folder)
            advice = await serve("127.0.0.1", 0, self.advice.handler())
            node.write_settings(store_port, advice.sockets[0].getsockname()[1])
            self.nodes.append(node)
            await node.start()
        self.spawn(self.beat())
        await self.until_ready()
        await asyncio.sleep(2)
        self.record.note("all nodes are ready")

    async def until_ready(self):
        deadline = time.monotonic() + READY_WITHIN_S
        for node in self.nodes:
            while time.monotonic() < deadline:
                client = Client(node.ip, READY_PORT)
                status, _ = await client.call("GET", "/-/readyz", {"Host": "r"}, timeout=1)
                client.close()
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f"{node.name} is not ready")

    async def beat(self):
        """Workers end what is due and write themselves into the directory."""
        last = 0.0
        while True:
            now = time.monotonic()
            for name, worker in self.workers.items():
                if name not in self.lost:
                    worker.advance()
                    if now - last >= BEAT_S:
                        self.list_worker(name)
            last = now if now - last >= BEAT_S else last
            await asyncio.sleep(0.01)

    def list_worker(self, name):
        address = f"127.0.0.1:{self.proxies[name].port}"
        self.store.put("keyed.servers", name, self.workers[name].entry(address))

    async def crash(self, name, down_s):
        """A worker crashes; after a while it starts again under its id."""
        self.record.note(f"{name} crashes for {down_s} s")
        proxy, worker = self.proxies[name], self.workers[name]
        self.lost.add(name)
        proxy.refusing = True
        proxy.reset()
        worker.restart()
        await asyncio.sleep(down_s)
        worker.restart()
        proxy.refusing = False
        self.lost.discard(name)
        self.list_worker(name)
        self.record.note(f"{name} is up again")

    def lose_for_good(self, name):
        """A worker is lost for good and silent; the directory forgets it later."""
        self.record.note(f"{name} is lost for good")
        proxy, worker = self.proxies[name], self.workers[name]
        self.lost.add(name)
        proxy.silent_to = proxy.silent_from = True
        for task in list(worker.running):
            self.ledger.on_end(worker, task, "lost", worker.running[task][0])
        worker.running.clear()
        self.spawn(self.unlist(name))

    async def unlist(self, name):
        await asyncio.sleep(3 * BEAT_S)
        self.store.put("keyed.servers", name, None)

    async def call(self, clients, method, job, body=b"", timeout=3.0):
        path = job.route["pathPrefix"] + job.id
        headers = {
            "Host": HOST, "Authorization": f"Bearer {KEY}", "Content-Type": "application/json",
            "Rosemarytrail-Deadline-Ms": str(int(timeout * 1000)),
        }  # fmt: skip
        client = clients[self.rng.randrange(len(clients))]
        status, content = await client.call(method, path, headers, body, timeout)
        text = content.decode(errors="replace")
        self.record.note(f"{method} {job.id} answered {status} {text}")
        return status, text

    async def submit(self, clients, job, tries=20):
        self.jobs[job.id] = job
        body = json.dumps({"spec": job.spec, "steps": job.steps}).encode()
        for _ in range(tries):
            status, _ = await self.call(clients, "POST", job, body)
            if status == 200:
                job.accepted_at = self.record.now
                return True
            await asyncio.sleep(self.rng.uniform(0.2, 0.5))
        return False

    async def look(self, clients, job):
        status, text = await self.call(clients, "GET", job)
        if status == 200:
            job.state = json.loads(text)["state"]
        return status

    def clients(self):
        return [Client(node.ip, CLIENT_PORT) for node in self.nodes]

    async def close(self):
        for it in self.tasks:
            it.cancel()
        for node in self.nodes:
            await node.kill()
        kept = os.environ.get("CASE_LOGS")
        if kept:
            for node in self.nodes:
                (Path(kept) / node.log.name).write_bytes(node.log.read_bytes())
        self.record.write()
        self.temporary.cleanup()


def main(case, make):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 else."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", "1"))

    async def run():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        cell = make(seed)
        cell.record.note(f"seed {seed}, {'with' if trouble else 'without'} the disruption")
        try:
            await cell.prepare()
            broken = await case(cell, trouble)
            for it in broken:
                cell.record.note(f"broken: {it}")
            cell.record.note("the rule was broken" if broken else "the rule held")
            return broken
        except CannotRun as why:
            cell.record.note(f"cannot run: {why}")
            return None
        finally:
            await cell.close()

    try:
        broken = asyncio.run(run())
    except asyncio.CancelledError:
        broken = None
    if broken is None:
        print("the case could not run")
        sys.exit(2)
    for it in broken[:5]:
        print(it)
    print(f"{len(broken)} breaches" if broken else "the rule held")
    sys.exit(1 if broken else 0)
