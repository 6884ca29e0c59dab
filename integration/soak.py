"""Randomised soak of sidecar daemons: real processes, faults from outside, checks.

::

    python -m integration.soak --seeds 1-50 --seconds 20 --daemons 6

Each seed starts a mesh, sends requests over connections that stay open until their
daemon is gone, and injects overlapping faults. It then ends all faults and checks that
every daemon serves the newest configuration. The exit status is 1 if a check failed.
"""

import argparse
import asyncio
import contextlib
import random
import re
import signal
import time
from pathlib import Path

from egretlift.transport.sockets import reset_connection
from integration.raw import read_memory
from integration.soak_callers import Record, find_violations, run_caller
from standins.crowds import (
    CHUNK_BYTES,
    MEBIBYTE,
    gather_crowd,
    send_chunks,
    send_length,
    send_open_head,
    send_requests,
)
from standins.faulty import DEFECTS, FaultyUpstream
from standins.ports import allocate_port
from standins.proxy import Pair, change_pair, cut_pair, open_pair
from standins.sidecars import ROUTES, SidecarMesh, has_signal, make_configuration

# Pauses of a daemon in series.
PAUSES_MAXIMUM = 3
PAUSE_MAXIMUM_S = 1.5
# Longest time in which a daemon that is asked to stop may end: its grace time, and the
# time for which it may be paused meanwhile.
STOP_TIMEOUT_S = 6.5 + PAUSES_MAXIMUM * PAUSE_MAXIMUM_S
# Time in which all daemons must serve the newest configuration once faults have ended.
RECOVERY_S = 15.0
CALLERS_PER_DAEMON = 3
# Version with which a mesh starts.
FIRST_VERSION = 3
FAULTS_PER_S = 0.8
# Memory of a daemon, and crowds of clients that exceed it; each lasts a short while.
MEMORY_MB = 120
CROWDS = (
    (20, send_chunks(CHUNK_BYTES, 120)),
    (8, send_chunks(2, 8, repeat=20_000)),
    (20, send_length(8_000_000, 7 * MEBIBYTE)),
    (300, send_open_head(200, 200)),
    (50, send_requests(300, path="/nowhere/")),
)
CROWD_SETTLE_S = 2.0
CROWD_PAUSE_S = 4.0
FAULT_LINES = ("event=task-error", "event=request-fault", "Traceback")


class SoakMesh(SidecarMesh):
    """A mesh with proxies in front of the store and of the upstreams.

    Attributes
    ----------
    random : random.Random
    pairs : dict of str to Pair
        Proxies by name: ``store/HOST`` and ``upstream/HOST``.
    stopped : set of str
        Hosts whose daemon a fault has ended; no other fault touches them.
    violations : list of str
    version : int
        Version of the configuration that was written last.
    """

    def __init__(self, count, seed):
        super().__init__(count, limits={"memory_mb": MEMORY_MB, "max_fds": 4100})
        self.random = random.Random(seed)
        self.pairs = {}
        self.stopped = set()
        self.violations = []
        self.version = FIRST_VERSION

    async def __aexit__(self, *details):
        for pair in self.pairs.values():
            await cut_pair(pair)
        await super().__aexit__(*details)

    async def start_upstream(self, sidecar):
        """Start an upstream with defects, and the proxies of its host."""
        sidecar.upstream.faulty = FaultyUpstream(
            sidecar.upstream.upstream_id, self.random
        )
        sidecar.runner = sidecar.upstream.faulty
        port = await sidecar.runner.listen()
        await self.add_pair(f"upstream/{sidecar.name}", sidecar.ports[4], port)
        store_port = allocate_port(self.blocks)
        await self.add_pair(f"store/{sidecar.name}", store_port, self.store_port)
        sidecar.settings["platform"] = {"address": f"127.0.0.1:{store_port}"}
        self.tasks.append(asyncio.create_task(self.send_heartbeats(sidecar)))

    async def add_pair(self, name, listen, target):
        """Open a proxy."""
        pair = self.pairs[name] = Pair(name, listen, target)
        await open_pair(pair)

    def choose_sidecar(self):
        """Return a daemon that no fault has ended, None if there is none."""
        running = [s for s in self.sidecars if s.name not in self.stopped]
        return self.random.choice(running) if running else None

    async def start_again(self, sidecar):
        """Start an ended daemon again."""
        sidecar.process = await sidecar.start(self.folder.name, self.root)
        self.stopped.discard(sidecar.name)


@contextlib.contextmanager
def claim_sidecar(mesh):
    """Choose a daemon for a fault that ends its process; yield None if none is left."""
    sidecar = mesh.choose_sidecar()
    if sidecar is not None:
        mesh.stopped.add(sidecar.name)
    yield sidecar


async def kill_daemon(mesh):
    """Kill a daemon and start it again after up to a second."""
    with claim_sidecar(mesh) as sidecar:
        if sidecar is None:
            return
        sidecar.signal(signal.SIGKILL)
        await sidecar.process.wait()
        await asyncio.sleep(mesh.random.random())
        await mesh.start_again(sidecar)


async def stop_daemon(mesh):
    """Stop a daemon, with further signals in series, and start it again."""
    with claim_sidecar(mesh) as sidecar:
        if sidecar is None:
            return
        # A daemon that is still starting has no port open and may end at once.
        may_end_at_once = not has_signal(sidecar.process.pid, "SigCgt", signal.SIGTERM)
        sidecar.signal(signal.SIGTERM)
        for _ in range(mesh.random.choice((0, 0, 1, 2))):
            await asyncio.sleep(mesh.random.choice((0.0, 0.2, 1.0)))
            if sidecar.process.returncode is None:
                sidecar.signal(mesh.random.choice((signal.SIGHUP, signal.SIGTERM)))
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                status = await sidecar.process.wait()
            if status != 0 and not (may_end_at_once and status == -signal.SIGTERM):
                mesh.violations.append(f"{sidecar.name} stopped with status {status}")
        except TimeoutError:
            mesh.violations.append(f"{sidecar.name} did not stop in time")
            sidecar.signal(signal.SIGKILL)
            await sidecar.process.wait()
        await mesh.start_again(sidecar)


async def pause_daemon(mesh):
    """Suspend a daemon's process for some time, in series."""
    sidecar = mesh.choose_sidecar()
    if sidecar is None:
        return
    process = sidecar.process
    for _ in range(mesh.random.randint(1, PAUSES_MAXIMUM)):
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSE_MAXIMUM_S * mesh.random.random())
            process.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.2 * mesh.random.random())


async def reload_daemon(mesh):
    """Tell a daemon, which may be starting or stopping, to read its settings again."""
    process = mesh.random.choice(mesh.sidecars).process
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(signal.SIGHUP)


async def disturb_link(mesh):
    """Cut, silence, delay or reset the connections of a host to store or upstream."""
    pair = mesh.random.choice(list(mesh.pairs.values()))
    changes = mesh.random.choice(
        (
            {"mode": "cut"},
            {"mode": "freeze"},
            {"lost": "to-client"},
            {"lost": "to-target"},
            {"delay_s": 0.1},
        )
    )
    await change_pair(pair, changes)
    await asyncio.sleep(0.5 + 1.5 * mesh.random.random())
    await change_pair(pair, {"mode": "pass", "lost": None, "delay_s": 0.0})
    for transport in list(pair.transports):
        reset_connection(transport)


async def disturb_store(mesh):
    """Let the store refuse, lose answers, forget its history or be silent."""
    fault = mesh.random.choice(("down", "unwritable", "lost", "silent", "forget"))
    if fault == "forget":
        mesh.store.forget_history()
        return
    mesh.store.fault = fault
    await asyncio.sleep(2.0 * mesh.random.random())
    mesh.store.fault = ""


async def restore_store(mesh):
    """Let the store go away and come back from a copy that is some seconds old."""
    copy = mesh.store.copy()
    await asyncio.sleep(0.5 + 3.5 * mesh.random.random())
    mesh.store.keeps_watches = mesh.random.random() < 0.5
    mesh.store.fault = "down"
    await asyncio.sleep(1.5 * mesh.random.random())
    mesh.store.restore(copy)
    mesh.store.fault = ""
    # The operator writes again what is lost.
    mesh.store.put("config", "main", make_version(mesh.version))


async def spoil_answers(mesh):
    """Let an upstream answer with two kinds of defects for some time."""
    upstream = mesh.random.choice(mesh.sidecars).upstream.faulty
    upstream.defects = dict.fromkeys(mesh.random.sample(DEFECTS, 2), 0.2)
    await asyncio.sleep(1.0 + 2.0 * mesh.random.random())
    upstream.defects = {}


async def change_configuration(mesh):
    """Write a version that adds a route, several in quick succession at times."""
    for _ in range(mesh.random.choice((1, 1, 4))):
        mesh.version += mesh.random.randint(1, 5)
        mesh.store.put("config", "main", make_version(mesh.version))
        await asyncio.sleep(0.1 * mesh.random.random())


def make_version(version):
    """Return a configuration with a route whose prefix names its version, if later."""
    if version == FIRST_VERSION:
        return make_configuration(version)
    name, prefix = f"views-{version}", f"/view-{version}/"
    route = [name, "m.example", prefix, *ROUTES[0][3:]]
    return make_configuration(version, routes=[*ROUTES, route])


FAULTS = (
    kill_daemon,
    stop_daemon,
    pause_daemon,
    reload_daemon,
    disturb_link,
    disturb_store,
    restore_store,
    spoil_answers,
    change_configuration,
)


async def inject_faults(mesh, seconds):
    """Start faults at random moments, so that some overlap, and await their ends."""
    end = time.monotonic() + seconds
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end:
            group.create_task(mesh.random.choice(FAULTS)(mesh))
            await asyncio.sleep(mesh.random.expovariate(FAULTS_PER_S))


async def send_crowds(mesh, seconds, draw):
    """Send crowds to random daemons, and report daemons that take too much memory."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        sidecar = draw.choice(mesh.sidecars)
        count, parts = draw.choice(CROWDS)
        process, port = sidecar.process, sidecar.ports[draw.choice((0, 1))]
        async with gather_crowd(port, count, parts, CROWD_SETTLE_S):
            if process.returncode is None and is_running(process.pid):
                memory_mb = read_memory(process, "VmHWM")
                if memory_mb > MEMORY_MB:
                    mesh.violations.append(f"{sidecar.name} took {memory_mb:.0f} MB")
        await asyncio.sleep(CROWD_PAUSE_S * draw.random())


def is_running(pid):
    """Return whether a process exists and has memory; one that has ended has none."""
    try:
        return "VmHWM" in Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False


async def watch_processes(mesh):
    """Report daemons that end although no fault ended them."""
    while True:
        for sidecar in mesh.sidecars:
            status = sidecar.process.returncode
            if status is not None and sidecar.name not in mesh.stopped:
                mesh.violations.append(f"{sidecar.name} ended by itself: {status}")
                mesh.stopped.add(sidecar.name)
                await mesh.start_again(sidecar)
        await asyncio.sleep(0.05)


async def serves_newest(mesh, sidecar):
    """Return whether a daemon serves the route that the newest version added."""
    is_first = mesh.version == FIRST_VERSION
    path = "/view/1" if is_first else f"/view-{mesh.version}/1"
    try:
        async with asyncio.timeout(2.0):
            status, _, _ = await mesh.ask(
                sidecar, path, f"{sidecar.name}-{time.time()}"
            )
    except (OSError, TimeoutError):
        return False
    return status == 200


async def check_recovery(mesh):
    """Report daemons that don't serve the newest configuration after the faults."""
    end = time.monotonic() + RECOVERY_S
    waiting = list(mesh.sidecars)
    while waiting and time.monotonic() < end:
        waiting = [s for s in waiting if not await serves_newest(mesh, s)]
        await asyncio.sleep(0.2)
    for sidecar in waiting:
        mesh.violations.append(f"{sidecar.name} does not serve the newest version")


def check_logs(mesh):
    """Report faults of the daemons and versions that went back, as their logs say."""
    for sidecar in mesh.sidecars:
        text = (Path(mesh.folder.name) / f"{sidecar.name}.log").read_text()
        for line in text.splitlines():
            if any(mark in line for mark in FAULT_LINES):
                mesh.violations.append(f"{sidecar.name}: {line[:300]}")
            found = re.search(
                r"configuration-in-force.* version=(\d+) before=(\d+)", line
            )
            if found and int(found[1]) <= int(found[2]):
                mesh.violations.append(f"{sidecar.name} went back: {line[:200]}")


async def run_soak(seed, seconds, count):
    """Run the soak with one seed and return (violations, totals of answers)."""
    async with SoakMesh(count, seed) as mesh:
        record, end = Record(), time.monotonic() + seconds
        watching = asyncio.create_task(watch_processes(mesh))
        async with asyncio.TaskGroup() as group:
            group.create_task(inject_faults(mesh, seconds))
            crowds = random.Random(f"{seed}-crowds")
            group.create_task(send_crowds(mesh, seconds, crowds))
            for index, sidecar in enumerate(mesh.sidecars * CALLERS_PER_DAEMON):
                caller = random.Random(f"{seed}-{index}")
                port = sidecar.ports[1]
                group.create_task(run_caller(record, port, f"c{index}", caller, end))
        await check_recovery(mesh)
        watching.cancel()
        check_logs(mesh)
        ran = [run for s in mesh.sidecars for run in s.upstream.faulty.ran]
        return mesh.violations + find_violations(record, ran), record.totals


def parse_seeds(text):
    """Return the seeds in a range such as "1-50", or the single one.

    Examples
    --------
    >>> list(parse_seeds("3-5")), list(parse_seeds("7"))
    ([3, 4, 5], [7])
    """
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main():
    """Run seeds from the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=parse_seeds, default=range(1, 2))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--daemons", type=int, default=4)
    options = parser.parse_args()
    failed = 0
    for seed in options.seeds:
        violations, totals = asyncio.run(
            run_soak(seed, options.seconds, options.daemons)
        )
        print(f"seed {seed}: {len(violations)} violations, {totals}", flush=True)
        for violation in violations[:20]:
            print(f"  {violation}", flush=True)
        failed += bool(violations)
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
