"""Seeded schedules of faults against a running mesh.

::

    schedule = make_schedule(random, mesh, duration_s=8.0)
    attempts, executions, totals = run_under_faults(mesh, plan, schedule)

A schedule is a list of (seconds from the start, action), where an action is a
function without arguments. Each fault adds an action that starts it and one that
undoes it, so that no fault outlasts its schedule.
"""

import functools
import json
import time

import anyio

from standins.load import run_load
from standins.mesh import (
    freeze_process,
    is_running,
    kill_process,
    read_all_executions,
    resume_process,
    set_behaviour,
    set_faults,
    set_link,
    start_process,
)

SETTLE_S = 1.0


def kill_daemon(mesh, random, at, length_s):
    """Kill a daemon and restart it, without its state, after a third of the time."""
    name = f"daemon/{random.choice(list(mesh.hosts))}"
    return [
        (at, functools.partial(kill_if_running, mesh, name)),
        (at + length_s / 3, functools.partial(start_if_stopped, mesh, name)),
    ]


def kill_if_running(mesh, name):
    """Kill a process unless another fault has killed or paused it."""
    if is_running(mesh, name) and name not in mesh.frozen:
        kill_process(mesh, name)


def start_if_stopped(mesh, name):
    """Start a process unless it is running."""
    if not is_running(mesh, name):
        start_process(mesh, name)


def freeze_daemon(mesh, random, at, length_s):
    """Pause a daemon, possibly until its leases have expired, and resume it."""
    name = f"daemon/{random.choice(list(mesh.hosts))}"

    def freeze():
        if is_running(mesh, name):
            freeze_process(mesh, name)

    def resume():
        if name in mesh.frozen:
            resume_process(mesh, name)

    return [(at, freeze), (at + length_s, resume)]


def fail_link(mesh, random, at, length_s):
    """Cut, freeze or delay the links between two zones, or lose one direction.

    The links are those from one random zone to another. Links in the opposite
    direction keep working.
    """
    zones = sorted({host["zone"] for host in mesh.hosts.values()})
    source, target = random.sample(zones, 2)
    fault = random.choice(
        (
            {"mode": "cut"},
            {"mode": "freeze"},
            {"lost": "to-client"},
            {"lost": "to-target"},
            {"delay_s": 0.7},
        )
    )
    undo = {"mode": "pass", "lost": None, "delay_s": 0.0}
    return [
        (at, functools.partial(set_link, mesh, source, target, **fault)),
        (at + length_s, functools.partial(set_link, mesh, source, target, **undo)),
    ]


def fail_platform(mesh, random, at, length_s):
    """Make the platform fail, answer slowly or lose answers to writes."""
    fault = random.choice(
        ({"outage": True}, {"delay_s": 0.5}, {"lost_write_share": 0.5})
    )
    undo = {"outage": False, "delay_s": 0.0, "lost_write_share": 0.0}
    return [
        (at, functools.partial(set_faults, mesh, **fault)),
        (at + length_s, functools.partial(set_faults, mesh, **undo)),
    ]


def fail_upstream(mesh, random, at, length_s):
    """Make an upstream lose, delay or truncate answers to calls that it has run."""
    host = random.choice(list(mesh.hosts))
    fault = random.choice(
        ({"lost_share": 0.5}, {"answer_delay_s": 0.8}, {"truncated_share": 0.5})
    )
    undo = {"lost_share": 0.0, "answer_delay_s": 0.0, "truncated_share": 0.0}
    return [
        (at, functools.partial(set_behaviour, mesh, host, **fault)),
        (at + length_s, functools.partial(set_behaviour, mesh, host, **undo)),
    ]


FAULTS = (kill_daemon, freeze_daemon, fail_link, fail_platform, fail_upstream)


def make_schedule(random, mesh, duration_s, count=6, faults=FAULTS, longest_s=3.0):
    """Return a schedule of random faults, ordered by time.

    Parameters
    ----------
    random : random.Random
    mesh : Mesh
    duration_s : float
        Length of the schedule in seconds.
    count : int
        Number of faults.
    faults : sequence of callable
        Functions that return the actions of one fault.
    longest_s : float
        Longest duration of a fault in seconds.
    """
    schedule = []
    for _ in range(count):
        fault = random.choice(faults)
        length_s = random.uniform(0.3, longest_s)
        at = random.uniform(0.5, max(0.6, duration_s - length_s - 0.5))
        schedule.extend(fault(mesh, random, at, length_s))
    return sorted(schedule, key=lambda entry: entry[0])


async def run_schedule(schedule):
    """Run the actions of a schedule at their times; errors of actions propagate."""
    started = time.monotonic()
    for at, action in schedule:
        await anyio.sleep(max(0.0, started + at - time.monotonic()))
        await anyio.to_thread.run_sync(action)


async def run_load_and_schedule(plan, schedule):
    """Run a load and a schedule concurrently; return the totals of the load."""
    totals = {}

    async def load():
        totals.update(await run_load(plan))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load)
        tasks.start_soon(run_schedule, schedule)
    return totals


def run_under_faults(mesh, plan, schedule):
    """Run a load under faults and return its history.

    Returns
    -------
    attempts : list of dict
        Records of the load generator.
    executions : dict of str to list of dict
        Records of the upstreams by host.
    totals : dict
        Totals of the load generator.
    """
    path = mesh.directory / f"attempts-{plan.get('name', 'r')}.jsonl"
    totals = anyio.run(
        run_load_and_schedule, {**plan, "records_path": str(path)}, schedule
    )
    time.sleep(SETTLE_S)
    with open(path) as file:
        attempts = [json.loads(line) for line in file]
    return attempts, read_all_executions(mesh), totals
