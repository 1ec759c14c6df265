"""Starts a cell of daemons and stand-ins on loopback, for scripts.

All ports are free ones of the system, all processes are children of the
script, and all end with it.
"""
import hashlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("ROSEMARYTRAIL_BIN", ROOT / "build" / "bin"))
ADDRESS = "127.0.0.1"
OPERATOR_SECRET = "operator-secret"
SALT = "00112233445566778899aabbccddeeff"


def hash_secret(salt, secret):
    text = (salt + ":" + secret).encode()
    return hashlib.blake2b(text, digest_size=32).hexdigest()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind((ADDRESS, 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def call(port, method, path, body=None, headers=None, timeout=15):
    """Sends one request; an answer of status 0 tells of a broken transport."""
    connection = http.client.HTTPConnection(ADDRESS, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        got = connection.getresponse()
        return Answer(got.status, dict(got.getheaders()), got.read())
    except OSError as ec:
        return Answer(0, {}, str(ec).encode())
    except http.client.HTTPException as ec:
        return Answer(0, {}, repr(ec).encode())
    finally:
        connection.close()


def wait_until(condition, seconds, period=0.05):
    """Waits for a condition; returns the time it took, or None."""
    began = time.monotonic()
    while time.monotonic() - began < seconds:
        if condition():
            return time.monotonic() - began
        time.sleep(period)
    return None


class Daemon:
    def __init__(self, cell, number, settings, path):
        self.cell = cell
        self.number = number
        self.settings = settings
        self.path = path
        self.port = settings["api_port"]
        self.process = None

    def start(self):
        log = open(self.cell.folder / f"daemon-{self.number}.log", "ab")
        self.process = subprocess.Popen(
            [BIN / "rosemarytraild", f"--settings={self.path}"],
            stdout=log, stderr=log)

    def call(self, method, path, body=None, headers=None, timeout=15):
        return call(self.port, method, path, body, headers, timeout)

    def operator(self, method, path, body=None, headers=None):
        headers = {"X-Operator-Key": OPERATOR_SECRET, **(headers or {})}
        return self.call(method, path, body, headers)

    def ready(self):
        return self.call("GET", "/ready", timeout=2).status == 200

    def send(self, number):
        self.process.send_signal(number)

    def end(self, seconds=30):
        """Waits for the process to end; returns its exit code."""
        return self.process.wait(timeout=seconds)


class Cell:
    """Log, VM list, one process with all workers, and daemons."""

    def __init__(self, daemons=3, workers=6, settings=None, worker_flags=(),
                 log_control=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rosemarytrail-"))
        self.others = []
        ports = free_ports(4 + 2 * daemons)
        self.log_port, self.list_port = ports[0], ports[1]
        self.worker_port, self.service_port = ports[2], ports[3]
        self.workers = workers
        log_flags = [f"--port={self.log_port}"]
        if log_control:
            log_flags.append("--control=" + json.dumps(log_control))
        self.spawn("rosemarytrail-standin-log", *log_flags)
        self.spawn("rosemarytrail-standin-vm-list", f"--port={self.list_port}")
        self.spawn("rosemarytrail-standin-worker", f"--port={self.worker_port}",
                   f"--service_port={self.service_port}", f"--count={workers}",
                   "--zone=zone-1,zone-2,zone-3",
                   f"--vm_list_url=http://{ADDRESS}:{self.list_port}",
                   *worker_flags)
        self.daemons = []
        for n in range(daemons):
            self.daemons.append(self.make_daemon(
                n, ports[4 + 2 * n], ports[5 + 2 * n], settings or {}))

    def spawn(self, program, *flags):
        log = open(self.folder / f"{program}.log", "ab")
        process = subprocess.Popen([BIN / program, *flags], stdout=log,
                                   stderr=log)
        self.others.append(process)
        return process

    def make_daemon(self, number, api_port, peer_port, settings):
        values = {
            "address": ADDRESS, "api_port": api_port, "peer_port": peer_port,
            "availability_zone": f"zone-{number % 3 + 1}",
            "log_url": f"http://{ADDRESS}:{self.log_port}",
            "vm_list_url": f"http://{ADDRESS}:{self.list_port}",
            "operator_key_salt": SALT,
            "operator_key_hash": hash_secret(SALT, OPERATOR_SECRET),
            **settings}
        path = self.folder / f"daemon-{number}.json"
        path.write_text(json.dumps(values))
        return Daemon(self, number, values, path)

    def start(self, seconds=30):
        for it in self.daemons:
            it.start()
        return wait_until(lambda: all(it.ready() for it in self.daemons),
                          seconds)

    def stop(self):
        running = [it.process for it in self.daemons if it.process]
        for it in running + self.others:
            if it.poll() is None:
                it.send_signal(signal.SIGCONT)
                it.kill()
        for it in running + self.others:
            it.wait()

    def publish(self, document, daemon=None, replaces=0):
        name = (f"team/{document['team']}" if document["kind"] == "team"
                else f"key/{document['key']}")
        return (daemon or self.daemons[0]).operator(
            "PUT", f"/v1/config/{name}", json.dumps(document),
            {"If-Match": str(replaces)})

    def publish_team(self, team, millicores=10**7, memory_mib=10**8, weight=1):
        return self.publish({
            "kind": "team", "team": team, "weight": weight,
            "limit": {"millicores": millicores, "memory_mib": memory_mib,
                      "accelerators": 0}})

    def publish_key(self, key, team, secret="secret"):
        return self.publish({
            "kind": "key", "key": key, "team": team, "account": key,
            "salt": SALT, "hash": hash_secret(SALT, secret),
            "withdrawn": False})

    def log_control(self, **fields):
        return call(self.log_port, "POST", "/control", json.dumps(fields))

    def inventory(self):
        """Tasks that the workers themselves say are running, by worker."""
        found = {}
        for n in range(self.workers):
            vm = f"vm-{n}" if self.workers > 1 else "vm"
            prefix = f"/{vm}" if self.workers > 1 else ""
            batch = {"epoch": 0, "token": 0, "lease_ms": 0, "renew": False,
                     "commands": []}
            got = call(self.worker_port, "POST", prefix + "/v1/batch",
                       json.dumps(batch))
            if got.status == 412:
                # The same epoch changes nothing and shows the tasks.
                batch["epoch"] = got.json()["epoch"]
                got = call(self.worker_port, "POST", prefix + "/v1/batch",
                           json.dumps(batch))
            if got.status != 200:
                continue
            found[vm] = [it for it in got.json()["tasks"]
                         if it["phase"] == "running"]
        return found


def metrics(daemon):
    """Counters of a daemon by their full names."""
    values = {}
    text = daemon.operator("GET", "/metrics").body.decode()
    for line in text.splitlines():
        if line and not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            values[name] = float(value)
    return values
