#!/usr/bin/env python3
"""Measures requests through a real cell on loopback, in one run.

Three daemons, six upstreams: time added to the direct call for GET and POST,
then a rolling planned restart of all daemons, and a third of the upstreams
that leave, under load.
"""
import json
import signal
import subprocess
import sys
import threading
import time

from cell import ADDRESS, BIN, Cell, call, wait_until

KEY = {"Authorization": "Bearer k1.secret"}
WORKERS = 6
SERVICE_MS = 10
SECONDS = 5
# A quarter of the slots each for the direct and the proxied requests.
QUARTER = WORKERS * 8 * 1000 // SERVICE_MS // 4
JOB = {"kind": "job", "name": "plugs", "team": "t1", "class": "service",
       "tasks": WORKERS, "service": "plugs", "run_time_ms": 0,
       "request": {"millicores": 500, "memory_mib": 256, "accelerators": 0}}


def run_load(cell, name, targets, phases, connections=256):
    """Runs the load tool; returns its results, and prints its table."""
    path = cell.folder / f"{name}.json"
    out = cell.folder / f"{name}-out.json"
    path.write_text(json.dumps({
        "seed": 1, "threads": 2, "connections": connections,
        "targets": targets, "phases": phases}))
    done = subprocess.run(
        [BIN / "rosemarytrail-load", f"--experiment={path}", f"--out={out}"],
        check=True, capture_output=True, text=True)
    print(done.stdout, end="", flush=True)
    return json.loads(out.read_text())["phases"]


def proxied(cell, name="proxy"):
    urls = [f"http://{ADDRESS}:{it.port}/v1/services/plugs/x"
            for it in cell.daemons]
    return {"name": name, "urls": urls, "key": "k1.secret",
            "ready_path": "/ready"}


def direct(cell):
    base = f"http://{ADDRESS}:{cell.service_port}"
    return {"name": "direct",
            "urls": [f"{base}/vm-{n}/plugs/x" for n in range(WORKERS)]}


def start_service(cell):
    cell.publish_team("t1")
    cell.publish_key("k1", "t1")
    submit = wait_until(lambda: cell.daemons[0].call(
        "POST", "/v1/jobs", json.dumps(JOB), KEY).status == 201, 20)
    serves = wait_until(lambda: all(
        it.call("GET", "/v1/services/plugs/x", headers=KEY).status == 200
        for it in cell.daemons), 30)
    return submit is not None and serves is not None


def set_service_time(cell):
    for n in range(WORKERS):
        call(cell.service_port, "POST", f"/vm-{n}/control",
             json.dumps({"service_ms": SERVICE_MS}))


def restart_all(cell, ended, exits):
    for it in cell.daemons:
        time.sleep(2)
        it.send(signal.SIGTERM)
        exits.append(it.end(40))
        it.start()
        exits.append("ready" if wait_until(it.ready, 30) else "not ready")
    # A third of the upstreams leave: they end what they run, and refuse.
    for leaving in (True, False):
        time.sleep(2)
        for n in range(WORKERS // 3):
            got = call(cell.service_port, "POST", f"/vm-{n}/control",
                       json.dumps({"leaving": leaving}))
            exits.append(got.status)
    time.sleep(2)
    ended.set()


def main():
    cell = Cell(daemons=3, workers=WORKERS)
    try:
        if cell.start() is None or not start_service(cell):
            print("the cell did not start")
            return 1
        set_service_time(cell)
        run_load(cell, "get", [direct(cell), proxied(cell)],
                 [{"name": "warm-up", "seconds": 1, "rate": QUARTER,
                   "warm_up": True},
                  {"name": "GET", "seconds": SECONDS, "rate": QUARTER}])
        run_load(cell, "post", [direct(cell), proxied(cell)],
                 [{"name": "POST", "seconds": SECONDS, "rate": 100,
                   "post_fraction": 1.0}])
        ended, exits = threading.Event(), []
        thread = threading.Thread(target=restart_all,
                                  args=(cell, ended, exits))
        thread.start()
        lost = 0
        while not ended.is_set():
            for phase in run_load(
                    cell, "restart", [proxied(cell)],
                    [{"name": "restart", "seconds": SECONDS, "rate": 200,
                      "post_fraction": 0.2, "timeout_ms": 5000}]):
                for it in phase["targets"]:
                    lost += it["failed"] + it["crossed"] + it["not_sent"]
                    lost += it["refused"] - it["not_run"]
                    if it["codes"]:
                        print("codes", it["codes"], "not run", it["not_run"])
        thread.join()
        print("restarts:", exits, "lost requests:", lost)
        return 0 if lost == 0 else 1
    finally:
        cell.stop()


if __name__ == "__main__":
    sys.exit(main())
