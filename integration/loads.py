"""Load from several generator processes.

One process cannot send 1000 requests a second.
"""

import contextlib
import json
import subprocess
import sys
import time

import anyio

from integration.faults import run_schedule
from standins.mesh import ROOT, read_all_executions

# Time for the generators to start; all begin their load at the same moment.
STARTUP_S = 2.0


def start_generators(mesh, plan, count, start_at):
    """Start load generators that each send an equal part of the rate of a plan.

    Returns
    -------
    list of (str, subprocess.Popen)
        Name and process of each generator.
    """
    processes = []
    for number in range(count):
        name = f"{plan.get('name', 'r')}{number}-"
        own = {
            **plan,
            "name": name,
            "seed": plan.get("seed", 0) + 1000 * number,
            "rate": plan["rate"] / count,
            "start_at": start_at,
            "records_path": str(mesh.directory / f"attempts-{name}.jsonl"),
        }
        path = mesh.directory / f"plan-{name}.json"
        path.write_text(json.dumps(own))
        with open(mesh.directory / f"totals-{name}.json", "w") as totals:
            command = [sys.executable, "-m", "standins.load", str(path)]
            processes.append((name, subprocess.Popen(command, cwd=ROOT, stdout=totals)))
    return processes


def read_generator(mesh, name):
    """Return the attempts of one generator and its largest lag in seconds."""
    totals = json.loads((mesh.directory / f"totals-{name}.json").read_text())
    with open(mesh.directory / f"attempts-{name}.jsonl") as file:
        return [json.loads(line) for line in file], totals["generator_lag_s"]


def run_loads(mesh, plan, count, schedule=()):
    """Run a load from several processes and, concurrently, a schedule of actions.

    Returns
    -------
    attempts : list of dict
        Records of the load generators.
    executions : dict of str to list of dict
        Records of the upstreams by host.
    started : float
        Monotonic time at which the load began; times of the schedule count from it.
    lag_s : float
        Largest delay between the due time of a request and its sending.
    """
    started = time.monotonic() + STARTUP_S
    processes = start_generators(mesh, plan, count, started)
    try:
        time.sleep(max(0.0, started - time.monotonic()))
        anyio.run(run_schedule, sorted(schedule, key=lambda entry: entry[0]))
        for name, process in processes:
            if process.wait(timeout=120):
                raise RuntimeError(
                    f"load generator {name} exited with status {process.returncode}"
                )
    finally:
        for _, process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()
    time.sleep(0.5)
    attempts, lag_s = [], 0.0
    for name, _ in processes:
        own, lag = read_generator(mesh, name)
        attempts += own
        lag_s = max(lag_s, lag)
    return attempts, read_all_executions(mesh), started, lag_s
