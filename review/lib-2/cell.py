"""Cell of real nodes on loopback with stand-ins of the store, workers and clients.

The store is the project's own stand-in (soak/store_model.py). The workers here
speak the users' PROTOCOL page. A case derives from `Case` and writes what was
sent, answered and run to record.txt in its folder.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(REPOSITORY / "soak"))

from http_io import DROP, SILENT, Client, read_message, reply  # noqa: E402
from proxy import Proxy  # noqa: E402
from store_model import Store  # noqa: E402
from urllib.parse import parse_qsl, urlsplit  # noqa: E402

PROGRAM = REPOSITORY / "target/bin/rosemarytrail-node"  # `run` of deploy/system.toml
HOST, PREFIX, KEY = "queue.example", "/jobs/", "key-of-the-tenant"
HEARTBEAT_S = 1.5
# An entry is removed after three heartbeat intervals of silence.
ENTRY_S = 3 * HEARTBEAT_S
HOLD_MAX_MS = 10000
FINISHED_ROWS = 500
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


CALL_BYTES = 2097152  # platform.callBytes
RECORD_BYTES = 262144  # platform.recordBytes


class LimitedStore(Store):
    """The store with its limits on the records of one call; a call beyond them gets 400."""

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.refused = 0
        self.largest = 0

    def _append(self, query, body):
        size = len(body)
        self.largest = max(self.largest, size)
        if size > CALL_BYTES or self._has_large_record(body):
            self.refused += 1
            return reply(400, {})
        return super()._append(query, body)

    @staticmethod
    def _has_large_record(body):
        if len(body) <= RECORD_BYTES:
            return False
        offset = 0
        while offset < len(body):
            n = int.from_bytes(body[offset : offset + 4], "big")
            if n > RECORD_BYTES:
                return True
            offset += 4 + n
        return False


class CannotRun(Exception):
    """The case could not be brought about."""


class Server:
    """HTTP server that can be cut off and come back on the same port."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = 0
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 24
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Refuses new connections and resets the open ones."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                (method, target, _), headers, body = await read_message(reader)
                url = urlsplit(target)
                answer = await self.handler(
                    method, url.path, dict(parse_qsl(url.query)), headers, body
                )
                if answer is DROP:
                    writer.transport.abort()
                    return
                if answer is SILENT:
                    await reader.read()
                    return
                status, content = answer
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (EOFError, OSError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Run:
    def __init__(self, task, number, length, how):
        self.task, self.number, self.how = task, number, how
        self.begun = time.monotonic()
        self.ends = self.begun + length
        self.length = length

    def percent(self):
        return min(99, int(100 * (time.monotonic() - self.begun) / self.length))


class Worker:
    """One worker; a crash ends all that runs, and it may start again under its id."""

    def __init__(self, case, name, cpu, rack):
        self.case, self.name, self.cpu, self.rack = case, name, cpu, rack
        self.server = Server(self.handle)
        self.up = False
        self.clock_ahead_s = 0.0  # of its time of day
        self.kind = "a"
        self.late_orders = None  # delay of an order that is carried out late
        self.stop_s = 0.0  # time that a stop takes
        self.last_beat = 0.0

    async def start(self):
        self.born = int((time.time() + self.clock_ahead_s) * 1000)
        self.origin = time.monotonic()
        self.token = self.deadline = self.sequence = 0
        self.running, self.highest = {}, {}
        self.finished, self.next_end = [], 1
        self.ended = asyncio.Event()
        await self.server.open()
        self.up = True
        self.case.say(f"{self.name} starts, born {self.born}")
        self.register()

    def crash(self):
        """The process is gone, and with it all that runs."""
        self.up = False
        lost = list(self.running.values())
        self.running = {}
        self.server.close()
        self.case.say(f"{self.name} crashes with {[it.task for it in lost]}")
        for it in lost:
            self.case.on_end(self, it, "crashed")

    @property
    def clock(self):
        return int((time.monotonic() - self.origin) * 1000)

    def register(self):
        self.sequence += 1
        self.last_beat = time.monotonic()
        self.case.store.put("keyed.servers", self.name, {
            "service": "work", "address": f"127.0.0.1:{self.server.port}", "zone": "z1",
            "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
            "labels": [self.kind, self.rack],
            "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0},
            "clockMs": self.clock, "born": self.born, "sequence": self.sequence,
        })  # fmt: skip

    def advance(self):
        now = time.monotonic()
        if not self.up:
            return
        lapsed = self.running and self.deadline <= self.clock
        for it in list(self.running.values()):
            if lapsed:
                self._end(it, "lapsed")
            elif it.ends <= now:
                self._end(it, it.how)

    def _end(self, it, how):
        del self.running[it.task]
        self.highest[it.task] = max(self.highest.get(it.task, 0), it.number)
        self.finished.append([self.next_end, it.task, it.number, how, ""])
        self.next_end += 1
        self.case.on_end(self, it, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def _answer(self, status, **fields):
        return reply(status, {"clockMs": self.clock, "born": self.born, **fields})

    async def handle(self, method, path, query, headers, body):
        if path == "/healthz":
            return reply(200, {})
        call = json.loads(body)
        if headers.get("rosemarytrail-expect-instance", self.name) != self.name:
            return reply(421, {})
        if path != "/-/hold":
            if self.late_orders:
                self.case.say(f"{self.name} leaves {path} {call['task']} unanswered")
                asyncio.get_running_loop().call_later(self.late_orders(), self._late, path, call)
                return SILENT
            return self._order(path, call)
        if call.get("fencingToken", 0) < self.token:
            return self._answer(409, reason="fence")
        self.token = call.get("fencingToken", 0)
        self._extend(call)
        for row in self.finished:
            if row[0] <= call["ackCursor"]:
                self.case.on_acknowledged(self, row)
        self.finished = [row for row in self.finished if row[0] > call["ackCursor"]]
        if not self.finished and call.get("waitMs"):
            try:
                await asyncio.wait_for(self.ended.wait(), call["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        self.advance()
        rows = [
            [it.task, it.number, "", 100 if it.length > 1e6 and it.percent() >= 0
             and time.monotonic() - it.begun > 0.5 else it.percent(), 0]
            for it in self.running.values()
        ]  # fmt: skip
        return self._answer(200, running=rows, finished=self.finished[:FINISHED_ROWS])

    def _late(self, path, call):
        if self.up:
            self.case.say(f"{self.name} carries out late {path} {call['task']}")
            self._order(path, call)

    def _extend(self, call):
        if "deadlineMs" in call:
            self.deadline = max(self.deadline, min(call["deadlineMs"], self.clock + HOLD_MAX_MS))

    def _order(self, path, call):
        if call.get("fencingToken", 0) < self.token:
            return self._answer(409, reason="fence")
        self.token = call.get("fencingToken", 0)
        self.advance()
        if path == "/-/pace":
            return self._answer(200)
        task, run = call["task"], call["run"]
        there = self.running.get(task)
        if path == "/-/run-stop":
            self.highest[task] = max(self.highest.get(task, 0), run)
            if there and there.number <= run:
                if self.stop_s:
                    there.ends, there.how = time.monotonic() + self.stop_s, "stopped"
                else:
                    self._end(there, "stopped")
            return self._answer(200)
        if call["deadlineMs"] <= self.clock:
            return self._answer(409, reason="late")
        self._extend(call)
        if there and there.number == run:
            return self._answer(200)
        if there or run <= self.highest.get(task, 0):
            return self._answer(409, reason="old")
        length, how = self.case.work_of(self, task, run, call)
        self.running[task] = Run(task, run, length, how)
        self.case.on_start(self, task, run, call)
        return self._answer(200)


class Node:
    """One process of the deploy file's role."""

    def __init__(self, case, name, ip):
        self.case, self.name, self.ip = case, name, ip
        self.log = case.folder / f"{name}.log"
        self.settings = case.folder / f"{name}.conf"
        self.process = None
        self.clients, self.ready, self.inner = (free_port(ip) for _ in range(3))

    def write_settings(self, more):
        lines = {
            "nodeName": self.name, "role": "node", "machineClass": "frontend",
            "serves": "frontend", "zone": "z1", "region": "r1", "ip": self.ip,
            "listen.frontend": f"{self.ip}:{self.clients}",
            "listen.ready": f"{self.ip}:{self.ready}",
            "portRange": f"{self.inner},{self.inner + 15}",
            "platform.address": f"127.0.0.1:{self.store.port}", "platform.form": "log",
            "platform.parts": 24, "platform.ttlMinMs": 1000,
            "platform.callBytes": CALL_BYTES, "platform.recordBytes": RECORD_BYTES,
            "limits.cpuShare": 0.25, "limits.cores": 1, "limits.linkMbps": 1000,
            "heartbeatMs": 1500, "orders": "call", "bounds.holdMaxMs": HOLD_MAX_MS,
            "bounds.maxSkewMs": 5000, "bounds.graceS": 6, "bounds.stopMs": 900,
            "bounds.status_s": 120, "bounds.configApplyMs": 2000, "bounds.checkpointS": 2,
            "bounds.restoreMs": 600, **more,
        }  # fmt: skip
        self.settings.write_text("".join(f"{k}={v}\n" for k, v in lines.items()))

    async def start(self):
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(PROGRAM), cwd=REPOSITORY, stdout=log, stderr=log,
                env={"ROSEMARYTRAIL_CONFIG": str(self.settings), "PATH": os.environ["PATH"]},
            )  # fmt: skip

    @property
    def alive(self):
        return self.process is not None and self.process.returncode is None

    async def end(self, number=signal.SIGKILL):
        if self.alive:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(number)
        await self.process.wait()

    def events(self, name):
        marker = f'"event":"{name}"'
        return [json.loads(it) for it in self.log.read_text().splitlines() if marker in it]


def free_port(ip):
    with socket.socket() as it:
        it.bind((ip, 0))
        return it.getsockname()[1]


class Case:
    """A run of a cell; `script` brings the trouble and returns what was broken."""

    NODES, WORKERS, CPU = 3, 8, 16000
    WORKER = Worker
    SETTLE_S = 5
    LIMIT_S = 110

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = (Path(folder) / "record.txt").open("w", buffering=1)
        self.folder = Path(tempfile.mkdtemp(prefix="rosemarytrail-review-"))
        self.begun = time.monotonic()
        self.store = LimitedStore(random.Random(1), parts=24)
        self.starts, self.ends, self.acknowledged = [], [], []
        self.nodes, self.workers = [], []
        self.handed_in = {}  # steps by job

    def say(self, text):
        self.record.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")

    # What cases override.
    def work_of(self, worker, task, run, call):
        """Returns how long a run takes and how it ends."""
        return 0.8, "done"

    def settings(self):
        return {}

    def route(self):
        return {"priority": 0, "maxAttempts": 4, "slackFactor": 2.0, "targetLatencyMs": 250}

    def more_routes(self):
        return []

    def tenant(self):
        return {"name": "t", "apiKeys": [KEY], "weight": 1000}

    async def script(self):
        raise NotImplementedError

    # What the workers report.
    def on_start(self, worker, task, run, call):
        self.starts.append((time.monotonic(), worker, task, run, call))
        self.say(f"{worker.name} starts {task} run {run} token {call['fencingToken']}")

    def on_end(self, worker, run, how):
        self.ends.append((time.monotonic(), worker, run.task, run.number, how))
        self.say(f"{worker.name} ends {run.task} run {run.number}: {how}")

    def on_acknowledged(self, worker, row):
        self.acknowledged.append((time.monotonic(), worker, row[1], row[2], row[3]))
        self.say(f"{worker.name}: the end of {row[1]} run {row[2]} is taken note of")

    def publish(self, version=1):
        self.store.put("keyed.op", "config", {
            "version": version,
            "routes": [{"name": "jobs", "host": HOST, "pathPrefix": PREFIX, "service": "work",
                        **self.route()}, *self.more_routes()],
            "services": [{"name": "work", "admissionCheck": False}],
            "tenants": [self.tenant()],
        })  # fmt: skip

    async def beat(self):
        while True:
            now = time.monotonic()
            for it in self.workers:
                it.advance()
                if it.up and now - it.last_beat >= HEARTBEAT_S:
                    it.register()
                elif not it.up and it.last_beat and now - it.last_beat >= ENTRY_S:
                    it.last_beat = 0.0
                    self.say(f"the entry of {it.name} is removed")
                    self.store.put("keyed.servers", it.name, None)
            await asyncio.sleep(0.01)

    async def prepare(self):
        if not PROGRAM.is_file():
            raise CannotRun(f"{PROGRAM.name} is not built")
        self.publish()
        for n in range(self.WORKERS):
            worker = self.WORKER(self, f"w{n}", self.CPU, f"r1-{n // 4}")
            self.workers.append(worker)
            await worker.start()
        store = Server(self.store.handle)
        await store.open()
        self.store_server = store
        block = f"127.{10 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}"
        for n in range(self.NODES):
            node = Node(self, f"n{n}", f"{block}.{n + 1}")
            node.store = Proxy(("127.0.0.1", store.port))
            await node.store.start("127.0.0.1", 0)
            node.write_settings(self.settings())
            self.nodes.append(node)
            await node.start()
        for node in self.nodes:
            client = Client(node.ip, node.ready)
            while (await client.call("GET", "/-/readyz", {}, timeout=1))[0] != 200:
                if time.monotonic() - self.begun > 20:
                    raise CannotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.1)
            client.close()
        self.say("all nodes are ready")
        await self.wait_for(lambda: self.leader() is not None, 10, "no leader")

    def leader(self):
        """Returns the node that leads according to its log."""
        best = (0, None)
        for node in self.nodes:
            taken = [int(it["epoch"]) for it in node.events("lead_taken")]
            lost = [int(it["epoch"]) for it in node.events("lead_lost")]
            if taken and node.alive and taken[-1] not in lost:
                best = max(best, (taken[-1], node), key=lambda it: it[0])
        return best[1]

    async def wait_for(self, condition, seconds, otherwise=None):
        """Waits for a condition; False if it does not come true in time."""
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                if otherwise:
                    raise CannotRun(otherwise)
                return False
            await asyncio.sleep(0.01)
        return True

    async def call(self, method, path, body=b"", node=None, timeout=3.0):
        """Makes one client call over a connection of its own."""
        node = node or next(it for it in self.nodes if it.alive)
        client = Client(node.ip, node.clients)
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Rosemarytrail-Deadline-Ms": str(int(timeout * 1000)),
        }
        status, content = await client.call(method, path, headers, body, timeout)
        client.close()
        self.say(f"client: {method} {path} at {node.name} -> {status} {content.decode()}")
        return status, content

    async def submit(self, job, steps, attempts=5, prefix=PREFIX, **fields):
        self.handed_in[job] = steps
        body = json.dumps({"spec": f"spec of {job}", "steps": steps, **fields}).encode()
        for _ in range(attempts):
            status, _ = await self.call("POST", prefix + job, body)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        raise CannotRun(f"{job} was not accepted")

    async def state(self, job, node=None, prefix=PREFIX):
        """Returns the state that a client is shown; None without a 200."""
        status, content = await self.call("GET", prefix + job, node=node)
        return json.loads(content)["state"] if status == 200 else None

    def has_room_twice(self, step):
        """Tells whether a task fits twice and under half of the capacity is in use."""
        fits, total, used = 0, 0, 0
        for it in self.workers:
            if it.up:
                taken = sum(self.cpu_of(task) for task in it.running)
                fits += max(0, it.cpu - taken) // step["cpu"]
                total, used = total + it.cpu, used + taken
        return fits >= 2 and used < total / 2

    def cpu_of(self, task):
        job, _, step, _ = task.split(".")
        return self.handed_in[job][int(step)]["cpu"]

    def waiting_step(self, job, done):
        """Returns the first step of a plain job whose turn has come, None if there is none."""
        steps = self.handed_in[job]

        def complete(n):
            return all(f"{job}.0.{n}.{k}" in done for k in range(steps[n]["count"]))

        for n, step in enumerate(steps):
            if not complete(n) and all(complete(it) for it in step.get("dependsOn", [])):
                return step
        return None

    async def find_stalled(self, jobs, seconds=3.0):
        """Returns the jobs of which nothing runs for some seconds, as LOST has it: the turn
        of a task has come, it fits twice, and under half of the capacity is in use."""
        stalled = set(jobs)
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            done = {task for _, _, task, _, how in self.ends if how == "done"}
            running = {task.split(".")[0] for it in self.workers for task in it.running}
            for job in list(stalled):
                step = self.waiting_step(job, done)
                if job in running or step is None or not self.has_room_twice(step):
                    stalled.discard(job)
            await asyncio.sleep(0.02)
        return sorted(stalled)

    async def run(self):
        background = []
        try:
            background.append(asyncio.create_task(self.beat()))
            await self.prepare()
            broken = await asyncio.wait_for(self.script(), self.LIMIT_S)
            for it in self.nodes:
                if it.process.returncode not in (None, -signal.SIGKILL, -signal.SIGTERM, 0):
                    broken.append(f"{it.name} ended by itself with {it.process.returncode}")
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            self.say(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            for it in background:
                it.cancel()
            for node in self.nodes:
                if node.alive:
                    await node.end()
            if os.environ.get("KEEP_LOGS"):
                print(self.folder)
            else:
                shutil.rmtree(self.folder, ignore_errors=True)
        for text in broken:
            self.say(f"BROKEN {text}")
            print(f"BROKEN {text}")
        if not broken:
            self.say("held")
            print("held")
        return BROKEN if broken else HELD


def main(case):
    """Runs a case class; the exit status says whether the rule held."""
    sys.exit(asyncio.run(case(Path(sys.argv[0]).resolve().parent).run()))
