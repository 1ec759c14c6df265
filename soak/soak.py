#!/usr/bin/env python3
"""Runs real nodes against stand-ins on loopback while faults come in series.

Nodes are started, stopped, paused and killed by signals; their connections to
the store, the advice service and the workers go through proxies that delay,
reset or silence them. Promises are judged from what clients and workers see.
"""

import argparse
import asyncio
import itertools
import json
import os
import random
import re
import signal
import sys
import tempfile
import time
from pathlib import Path

from http_io import Client, serve
from promises import LEASE_MS, Job, Promises
from proxy import Proxy
from restarts import Restarts
from store_model import SLOW, Store
from worker_model import Advice, Worker

HOST = "queue.example"
PREFIX, PLAIN_PREFIX = "/jobs/", "/plain/"  # queues with advice and without
KEY = "key-of-the-soak"
CLIENT_PORT, READY_PORT, INNER_PORT = 8183, 8184, 7420
BEAT_S = 0.5
# Keeps the load below what the workers can carry, so that the backlog at the
# end is short.
CLIENT_PAUSE_S = 1.0
SUBMIT_DEADLINE_S = 3.0
SERVICE_SHARE = 0.1  # jobs whose tasks last until they are cancelled
READY_WITHIN_S = 30
# Leases, takeover and retries take seconds; work that stands still for this
# long after the last fault has been lost.
SETTLE_WITHIN_S = 60
# Submitters of the series of takeovers, on each node.
CROWD = 6
CROWD_PAUSE_S = 0.05
CONTACT_S = 3  # `contactMs`: how long a node is undisturbed before it is in touch
ASK_PENDING_S = 0.5
POLL_GIVEN_UP_S = 2  # an unanswered poll is given up and repeated within this time
# A pause of the soak itself; longer ones excuse leases.
OWN_PAUSE_S = 0.1


class Node:
    """One process of the system on a loopback address of its own."""

    def __init__(self, name, ip, program, folder):
        self.name, self.ip, self.program = name, ip, program
        self.settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self.process = None
        self.paused = False
        self.ending = False
        self.client_port = CLIENT_PORT
        self.turn = asyncio.Lock()  # faults that end and start it take turns
        self.store = self.advice = None

    def write_settings(self):
        lines = {
            "nodeName": self.name, "zone": "z1", "region": "r1", "ip": self.ip,
            "listen.frontend": f"{self.ip}:{CLIENT_PORT}",
            "listen.ready": f"{self.ip}:{READY_PORT}",
            "portRange": f"{INNER_PORT},{INNER_PORT + 15}",
            "advice": f"127.0.0.1:{self.advice.port}",
            "platform.address": f"127.0.0.1:{self.store.port}",
            "platform.parts": 4, "platform.ttlMinMs": 1000,
            "bounds.holdMaxMs": 10000, "bounds.graceS": 6, "bounds.status_s": 600,
            "limits.cpuShare": 0.25, "limits.cores": 1,
        }  # fmt: skip
        self.settings.write_text("".join(f"{k}={v}\n" for k, v in lines.items()))

    async def start(self):
        self.ending = False
        self.disturbed_at = time.monotonic()
        self.log_from = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(self.program), stdout=log, stderr=log,
                env={"ROSEMARYTRAIL_CONFIG": str(self.settings), "PATH": os.environ["PATH"]},
            )  # fmt: skip

    @property
    def alive(self):
        return self.process is not None and self.process.returncode is None

    @property
    def in_charge(self):
        """Tells whether it could lead: it runs on, and the store can be reached."""
        return self.alive and not self.ending and not self.paused and not self.store.cut

    def send(self, number):
        if self.alive:
            self.process.send_signal(number)

    def reload(self):
        """Sends SIGHUP once the program runs; before that it ends any process."""
        if self.alive and self.takes_hangup():
            self.send(signal.SIGHUP)

    def takes_hangup(self):
        """Tells whether the process has taken charge of SIGHUP."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("SigBlk:"):
                return bool(int(line.split()[1], 16) & 1 << (signal.SIGHUP - 1))
        return False

    async def end(self, number):
        """Ends the process and waits until it is gone."""
        if self.paused:
            self.resume()
        self.ending = True
        self.send(number)
        try:
            await asyncio.wait_for(self.process.wait(), 10)
        except asyncio.TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()

    async def replace(self, number, pause):
        """Ends the process and starts another one after a pause."""
        async with self.turn:
            await self.end(number)
            await asyncio.sleep(pause)
            await self.start()

    def pause(self):
        self.paused = True
        self.send(signal.SIGSTOP)

    def resume(self):
        self.paused = False
        self.send(signal.SIGCONT)


class Soak:
    """One seeded run."""

    def __init__(self, options):
        self.options = options
        self.rng = random.Random(options.seed)
        self.service_rng = random.Random(options.seed + 3)
        self.promises = Promises(random.Random(options.seed + 1))
        self.store = Store(random.Random(options.seed + 2))
        self.workers = {}
        self.worker_proxies = {}
        self.nodes = []
        self.folder = Path(tempfile.mkdtemp(prefix="rosemarytrail-soak-"))
        self.stopping = self.crowd_leaves = False
        self.version = 0
        self.pause_s = CLIENT_PAUSE_S
        self.restarts = Restarts(self) if options.restarts else None

    def say(self, text):
        print(f"{time.monotonic() - self.begun:7.2f} {text}", flush=True)

    def publish(self):
        """Writes the next configuration, as the operator does."""
        self.version += self.rng.randint(1, 3)
        queue = {
            "host": HOST, "service": "work", "priority": 0,
            "maxAttempts": 20, "slackFactor": 2.0, "targetLatencyMs": 500,
        }  # fmt: skip
        advice = {"decideMs": 5.0, "eachMs": 0.1, "validMs": 2500}
        routes = [
            {**queue, "name": "jobs", "pathPrefix": PREFIX, "advice": advice},
            {**queue, "name": "plain", "pathPrefix": PLAIN_PREFIX},
            {"name": f"v{self.version}", "host": HOST, "pathPrefix": "/other/", "service": "work"},
        ]  # fmt: skip
        self.store.put("keyed.op", "config", {
            "version": self.version, "routes": routes,
            "services": [{"name": "work", "admissionCheck": False}],
            "tenants": [{"name": "t", "apiKeys": [KEY], "weight": 1000}],
        })  # fmt: skip

    async def prepare(self):
        program = Path(self.options.program).resolve()
        self.publish()
        for n in range(self.options.workers):
            worker = Worker(f"w{n}", 8000, random.Random(self.options.seed + 10 + n), self.promises)
            server = await serve("127.0.0.1", 0, worker.handle)
            proxy = Proxy(server.sockets[0].getsockname())
            await proxy.start("127.0.0.1", 0)
            self.workers[worker.name], self.worker_proxies[worker.name] = worker, proxy
        store = await serve("127.0.0.1", 0, self.store.handle)
        advice = Advice(self.workers)
        # Addresses of this run only, so that runs side by side do not meet.
        block = f"127.{10 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}"
        for n in range(self.options.nodes):
            node = Node(f"n{n}", f"{block}.{n + 1}", program, self.folder)
            answers = await serve("127.0.0.1", 0, advice.handler())
            node.store = Proxy(store.sockets[0].getsockname())
            node.advice = Proxy(answers.sockets[0].getsockname())
            await node.store.start("127.0.0.1", 0)
            await node.advice.start("127.0.0.1", 0)
            node.write_settings()
            self.nodes.append(node)
            await node.start()

    async def beat(self):
        """Workers write themselves into the directory and end what is due."""
        last, before = 0.0, time.monotonic()
        while True:
            now = time.monotonic()
            passed, before = now - before, now
            store_calm = self.store.serves and self.store.mode == "up" and self.store.slowness == 1
            for node in self.nodes:
                if not (store_calm and node.in_charge and node.store.delay == 0):
                    node.disturbed_at = now
            for name, worker in self.workers.items():
                worker.advance()
                own = max(0.0, passed - OWN_PAUSE_S)
                self.promises.excuse(worker, passed if self.lease_excused(name) else own)
                if now - last >= BEAT_S and self.store.mode == "up" and now >= worker.listed_from:
                    address = f"127.0.0.1:{self.worker_proxies[name].port}"
                    self.store.put("keyed.servers", name, worker.entry(address))
            last = now if now - last >= BEAT_S else last
            await asyncio.sleep(0.01)

    def lease_excused(self, name):
        """Tells whether no node can be expected to renew a worker's lease now."""
        worker, proxy = self.workers[name], self.worker_proxies[name]
        return (
            not self.store.serves
            or not any(node.in_charge for node in self.nodes)
            or proxy.cut
            or proxy.delay > 0
            or worker.late_share > 0
            or time.monotonic() - worker.silent_at < POLL_GIVEN_UP_S
        )

    def claims(self):
        """Returns, for each epoch, who took the lead and whether it still leads."""
        claims = {}
        for node in self.nodes:
            lines = node.log.read_bytes()
            for n in (it.start() for it in re.finditer(rb'"event":"lead_(taken|lost)"', lines)):
                begin, end = lines.rfind(b"\n", 0, n) + 1, lines.find(b"\n", n)
                event = json.loads(lines[begin:end])
                leads = event["event"] == "lead_taken" and begin >= node.log_from
                claims[int(event["epoch"])] = (node, leads)
        return claims

    def leader_of(self, epoch):
        node, _ = self.claims().get(epoch, (None, False))
        return f"{node.name if node else 'nobody known'} (epoch {epoch})"

    def leader(self):
        """Returns the node that leads, or None."""
        claims = self.claims()
        node, leads = claims[max(claims)] if claims else (None, False)
        return node if leads and node.in_charge else None

    async def watch(self):
        """Starts processes again; an end of its own is a breach."""
        while True:
            for node in self.nodes:
                if not node.alive and not node.turn.locked() and not self.stopping:
                    code = node.process.returncode
                    self.promises.breach("FAULT", f"{node.name} ended by itself with {code}")
                    async with node.turn:
                        await node.start()
            await asyncio.sleep(0.1)

    async def call(self, clients, method, job, body=b""):
        """Calls one of the nodes about a job; status None if no answer came."""
        path = (PREFIX if job.advised else PLAIN_PREFIX) + job.id
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        index = self.rng.randrange(len(clients))
        return await clients[index].call(method, path, headers, body, SUBMIT_DEADLINE_S)

    def make_service(self):
        rng = self.service_rng
        step = {"count": rng.randint(1, 3), "cpu": 500, "memMb": 100, "longRunning": True}
        job_id = f"{rng.getrandbits(64):016x}"
        return Job(job_id, f"spec of {job_id}", [step], rng)

    def make_job(self):
        if self.service_rng.random() < SERVICE_SHARE:
            return self.make_service()
        if self.options.restarts:
            return self.restarts.make_job()
        steps = []
        for n in range(self.rng.randint(1, 3)):
            step = {
                "count": self.rng.randint(1, 8),
                "cpu": self.rng.choice([500, 1000, 3000]),
                "memMb": 100,
                "estimateMs": 400,
            }
            if n:
                step["dependsOn"] = [n - 1]
            steps.append(step)
        job_id = f"{self.rng.getrandbits(64):016x}"
        return Job(job_id, f"spec of {job_id}", steps, self.rng)

    async def submit(self, clients, job):
        body = json.dumps({"spec": job.spec, "steps": job.steps}).encode()
        for _ in range(4):
            # Set before the call: a start may be seen before its answer.
            job.maybe_taken = True
            status, _ = await self.call(clients, "POST", job, body)
            if status == 200:
                job.accepted = True
                job.accepted_at = job.accepted_at or time.monotonic()
                return
            if status in (429, 503):
                job.maybe_taken = job.unanswered
            else:
                job.unanswered = True
                if status in (400, 401, 404):
                    self.promises.breach("CONFIG", f"{job.id} was answered {status}")
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))

    async def submit_new(self, clients):
        job = self.make_job()
        self.promises.jobs[job.id] = job
        await self.submit(clients, job)
        return job

    async def client(self):
        clients = [Client(node.ip, CLIENT_PORT) for node in self.nodes]
        while not self.stopping:
            job = await self.submit_new(clients)
            if not job.accepted:
                continue
            if self.rng.random() < 0.1:
                await self.cancel(clients, job)
            elif self.rng.random() < 0.2:
                # A repeat that arrives late changes nothing.
                await self.submit(clients, job)
            await asyncio.sleep(self.rng.uniform(0, self.pause_s))
            await self.look(clients, job)
        for client in clients:
            client.close()

    async def cancel(self, clients, job):
        job.cancelled = True
        for _ in range(20):
            status, _ = await self.call(clients, "DELETE", job)
            if status in (200, 410):
                return
            await asyncio.sleep(0.3)

    async def look(self, clients, job):
        status, body = await self.call(clients, "GET", job)
        if status == 200:
            self.promises.on_state(job, body.split(b'"')[3].decode())
        elif status == 410:
            self.promises.breach("LOST", f"{job.id} is unknown")

    async def ask_pending(self):
        """Asks each node that has been in touch for its pending jobs, again and again."""
        clients = [Client(node.ip, CLIENT_PORT) for node in self.nodes]
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        while True:
            for node, client in zip(self.nodes, clients):
                for path, advised in ((PREFIX, True), (PLAIN_PREFIX, False)):
                    asked = time.monotonic()
                    if asked - node.disturbed_at < CONTACT_S:
                        continue
                    status, body = await client.call("GET", path, headers, b"", 1)
                    waiting = self.promises.waiting(advised, asked)
                    if status == 200 and node.disturbed_at < asked - CONTACT_S:
                        self.promises.on_pending(node.name, json.loads(body)["pending"], waiting)
            await asyncio.sleep(ASK_PENDING_S)

    def pick(self):
        return self.rng.choice(self.nodes)

    async def fault(self):
        """Brings one fault, waits and mends it; several overlap."""
        rng, node = self.rng, self.pick()
        name, worker = rng.choice(list(self.workers.items()))
        proxy = self.worker_proxies[name]
        length = rng.uniform(0.3, 4)
        kind = rng.choice(list(FAULTS))
        self.say(f"{kind} {node.name} {name} {length:.1f} s")
        await FAULTS[kind](self, node, worker, proxy, length)

    async def kill(self, node, worker, proxy, length):
        await node.replace(signal.SIGKILL, length / 2)

    async def terminate(self, node, worker, proxy, length):
        await node.replace(signal.SIGTERM, 0)

    async def herd(self, node, worker, proxy, length):
        await asyncio.gather(*(it.replace(signal.SIGKILL, 0) for it in self.nodes))

    async def freeze(self, node, worker, proxy, length):
        node.pause()
        await asyncio.sleep(length)
        node.resume()

    async def reload(self, node, worker, proxy, length):
        for _ in range(3):
            node.reload()
            self.publish()
            await asyncio.sleep(length / 3)

    async def store_mode(self, node, worker, proxy, length):
        self.store.mode = self.rng.choice(["busy", "silent", "reset", "slow", "lost", "late"])
        await asyncio.sleep(length)
        self.store.mode = "up"

    async def compact(self, node, worker, proxy, length):
        self.store.forget_history()

    async def cut_store(self, node, worker, proxy, length):
        way = self.rng.choice(["silent_to", "silent_from", "refusing"])
        setattr(node.store, way, True)
        if way == "refusing":
            node.store.reset()
        await asyncio.sleep(length)
        node.store.heal()

    async def cut_worker(self, node, worker, proxy, length):
        setattr(proxy, self.rng.choice(["silent_to", "silent_from"]), True)
        await asyncio.sleep(length)
        proxy.heal()

    async def crash_worker(self, node, worker, proxy, length):
        proxy.refusing = True
        proxy.reset()
        worker.restart()
        await asyncio.sleep(length / 2)
        worker.restart()
        proxy.heal()

    async def late_orders(self, node, worker, proxy, length):
        worker.late_share = 0.5
        await asyncio.sleep(length)
        worker.late_share = 0.0

    async def failing_worker(self, node, worker, proxy, length):
        worker.failing = True
        await asyncio.sleep(length / 2)
        worker.failing = False

    async def disturb(self, node, worker, proxy, length):
        for it in (node.store, node.advice, proxy):
            it.delay = self.rng.uniform(0, 0.1)
        self.rng.choice([node.store, proxy]).reset()
        self.rng.choice([node.store, proxy]).silence_open()
        await asyncio.sleep(length)
        for it in (node.store, node.advice, proxy):
            it.heal()

    def renewing_leader(self):
        """Returns the leader once it has renewed the leases of all runs."""
        node = self.leader()
        renewals = self.promises.renewals
        epoch = max(self.claims(), default=0)
        stale = any(it.epoch < epoch for worker, it in renewals.items() if worker.running)
        return None if stale else node

    async def crowd_client(self, n):
        """Submits one short job after another over one connection, until it ends."""
        nodes = [Client(node.ip, CLIENT_PORT) for node in self.nodes]
        while not self.crowd_leaves:
            client = nodes[n % len(nodes)]
            step = {"count": 1, "cpu": 500, "memMb": 100, "estimateMs": 50}
            job_id = f"{self.rng.getrandbits(64):016x}"
            job = Job(job_id, f"spec of {job_id}", [step], self.rng)
            job.lengths = {0: 0.05}
            self.promises.jobs[job.id] = job
            await self.submit([client], job)
            if client.stream is None:
                n += 1
            await asyncio.sleep(CROWD_PAUSE_S)
        for client in nodes:
            client.close()

    async def wait_for(self, condition):
        """Waits for a condition, up to twice the time in which a leader must renew."""
        until = time.monotonic() + 2 * LEASE_MS / 1000
        while not condition() and time.monotonic() < until:
            await asyncio.sleep(0.1)

    async def take_over(self, until):
        """Stops whoever leads, again and again, while the store is slow."""
        clients = [Client(node.ip, CLIENT_PORT) for node in self.nodes]
        services = [self.make_service() for _ in self.workers]
        for job in services:
            self.promises.jobs[job.id] = job
            await self.submit(clients, job)
        accepted = [job for job in services if job.accepted]
        await self.wait_for(lambda: all(self.promises.all_running(job) for job in accepted))
        self.store.slowness = self.options.slowness
        crowd = [
            asyncio.create_task(self.crowd_client(n)) for n in range(CROWD * len(self.nodes))
        ]
        self.say(f"store {self.options.slowness} times slower, {len(crowd)} submitters")
        ways = [signal.SIGTERM, signal.SIGKILL]
        self.rng.shuffle(ways)
        for way in itertools.cycle(ways):
            # Stopped any sooner, it would not have renewed what its predecessor had.
            await self.wait_for(self.renewing_leader)
            await asyncio.sleep(self.rng.uniform(0.5, 2))
            node = self.leader()
            if time.monotonic() > until or not node:
                break
            self.say(f"{node.name}, which leads, gets {way.name}")
            await node.replace(way, self.rng.uniform(0, 2))
        self.store.slowness = 1
        self.crowd_leaves = True
        await asyncio.gather(*crowd)

    async def mend(self):
        """Ends all faults, so that what was accepted can be carried out."""
        self.store.mode = "up"
        for node in self.nodes:
            node.store.heal()
            node.advice.heal()
            if node.paused:
                node.resume()
        for name, worker in self.workers.items():
            worker.late_share, worker.late_poll_share, worker.failing = 0.0, 0.0, False
            worker.listed_from = 0.0
            self.worker_proxies[name].heal()

    async def settle_services(self, clients, until):
        """Waits until all tasks that last run, and cancels their jobs."""
        services = [
            job for job in self.promises.jobs.values()
            if job.accepted and job.lasts and not job.cancelled
        ]  # fmt: skip
        left = services
        while left and time.monotonic() < until:
            left = [job for job in left if not self.promises.all_running(job)]
            await asyncio.sleep(0.2)
        for job in left:
            self.promises.breach("LOST", f"{job.id} lacks tasks that last")
        for job in services:
            await self.cancel(clients, job)

    async def settle(self):
        """Waits until each accepted job has reached its end."""
        clients = [Client(node.ip, CLIENT_PORT) for node in self.nodes]
        await self.settle_services(clients, time.monotonic() + SETTLE_WITHIN_S)
        until = time.monotonic() + SETTLE_WITHIN_S
        final = ("completed", "failed", "cancelled")
        left = [job for job in self.promises.jobs.values() if job.accepted]
        while left and time.monotonic() < until:
            for job in left:
                await self.look(clients, job)
            left = [
                job for job in left
                if job.state not in final or (job.cancelled and self.promises.left_running(job))
            ]  # fmt: skip
            await asyncio.sleep(0.2)
        for job in left:
            running = self.promises.left_running(job)
            self.promises.breach("LOST", f"{job.id} is {job.state} at the end, runs {running}")

    async def ready(self):
        clients = [Client(node.ip, READY_PORT) for node in self.nodes]
        until = time.monotonic() + READY_WITHIN_S
        for node, client in zip(self.nodes, clients):
            while (await client.call("GET", "/-/readyz", {}))[0] != 200:
                if time.monotonic() > until:
                    self.promises.breach("FAULT", f"{node.name} is not ready")
                    return
                await asyncio.sleep(0.1)

    async def run(self):
        self.begun = self.promises.begun = time.monotonic()
        self.promises.leader_of = self.leader_of
        await self.prepare()
        background = [asyncio.create_task(it) for it in (self.beat(), self.watch(), self.ask_pending())]
        faults = []
        try:
            await self.ready()
            callers = [asyncio.create_task(self.client()) for _ in range(self.options.clients)]
            until = time.monotonic() + self.options.seconds
            if self.options.takeovers:
                await self.take_over(until)
            if self.restarts:
                await self.restarts.run(until)
            while time.monotonic() < until and not self.options.takeovers:
                faults = [it for it in faults if not it.done()]
                if len(faults) < self.options.overlap:
                    faults.append(asyncio.create_task(self.fault()))
                await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            await asyncio.gather(*faults)
            await self.mend()
            self.stopping = True
            await asyncio.gather(*callers)
            await self.ready()
            await self.settle()
        finally:
            self.stopping = True
            for task in background:
                task.cancel()
            for worker in self.workers.values():
                self.promises.report_late(worker, "not renewed before the end")
            for node in self.nodes:
                if node.alive:
                    await node.end(signal.SIGKILL)
        jobs = self.promises.jobs.values()
        states = [job.state for job in jobs]
        print(
            f"seed {self.options.seed}: {len(states)} jobs, "
            f"{sum(job.accepted for job in jobs)} accepted, {states.count('completed')} completed, "
            f"{self.promises.starts} starts, {len(self.promises.broken)} broken promises"
        )
        if self.restarts:
            self.restarts.report()
        new = []
        known = [it for seed, it in self.options.known_red if seed == self.options.seed]
        for line in self.promises.broken:
            if any(it in line for it in known):
                print(f"BROKEN, listed in KNOWN-RED.txt: {line}")
            else:
                print(f"BROKEN {line}")
                new.append(line)
        if self.promises.broken:
            print(f"{len(new)} not listed in KNOWN-RED.txt; logs: {self.folder}")
            (self.folder / "workers.log").write_text("\n".join(self.promises.events) + "\n")
        else:
            for path in self.folder.iterdir():
                path.unlink()
            self.folder.rmdir()
        return not new


def known_failure(text):
    seed, message = text.split(":", 1)
    return int(seed), message


FAULTS = {
    it.__name__: it
    for it in (
        Soak.kill, Soak.terminate, Soak.herd, Soak.freeze, Soak.reload, Soak.store_mode,
        Soak.compact, Soak.cut_store, Soak.cut_worker, Soak.crash_worker, Soak.late_orders,
        Soak.failing_worker, Soak.disturb,
    )
}  # fmt: skip


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--program", default="build/bin/rosemarytrail-node")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="runs, each with the next seed")
    parser.add_argument("--seconds", type=float, default=10, help="time with faults, each run")
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--workers", type=int, help="6 by default, 16 with --restarts")
    parser.add_argument("--clients", type=int, default=6)
    parser.add_argument("--overlap", type=int, default=3, help="faults at the same time")
    parser.add_argument(
        "--takeovers", action="store_true", help="stop whoever leads while the store is slow"
    )
    parser.add_argument(
        "--restarts", action="store_true", help="restart workers under their old ids, then cut them"
    )
    parser.add_argument(
        "--slowness", type=float, default=SLOW, help="factor on the store's times with --takeovers"
    )
    parser.add_argument(
        "--known-red",
        type=known_failure,
        action="append",
        default=[],
        metavar="SEED:TEXT",
        help="a listed failure, which is printed and does not fail the run",
    )
    options = parser.parse_args()
    options.workers = options.workers or (16 if options.restarts else 6)
    failed = []
    for seed in range(options.seed, options.seed + options.seeds):
        options.seed = seed
        if not asyncio.run(Soak(options).run()):
            failed.append(seed)
    if failed:
        print(f"failed seeds: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
