"""Measure the latency that the daemon adds over calling the same upstream directly.

::

    python -m bench.latency --calls 1500 --repetitions 3

Three kinds of call are measured: an idempotent GET with a key and a 200-byte
response, a booking with an identifier issued beforehand, and a chain in which the
upstream of one daemon calls the service of another. The direct path and the path
through the daemons alternate within each repetition. The load is a closed loop:
callers send their next call when the last one has been answered. ``open`` is an open
loop that sends 310 calls a second at random times, one host's share of the load in
the design.
"""

import argparse
import asyncio
import collections
import json
import os
import random
import secrets
import statistics
import subprocess
import sys
import tempfile
import time

import aiohttp

from egretlift.identity import generate_key, hash_key
from standins.control import call_json
from standins.mesh import ROOT, port_of, put_object, run_mesh, wait_until_ready

CONNECTIONS = (1, 4, 16)
# Calls a second.
OPEN_LOOP_RATE = 310.0
PROFILES = {
    "lookup": {"priority": "interactive", "idempotent": True},
    "booking": {"priority": "critical", "at_most_once": True},
}
HOSTS = ("first", "second")
# Method and path by kind of call.
KINDS = {"get": ("GET", "/small"), "booking": ("POST", "/book")}
KINDS["chain"] = ("GET", "/chain")


def start_upstreams(mesh):
    """Start the two upstreams and return (processes, port of the first).

    The first one calls the second one on ``/chain``.
    """
    ports = [port_of(mesh, f"plain/{host}", "http") for host in HOSTS]
    processes = []
    for host, port, next_arguments in zip(
        HOSTS, ports, ((HOSTS[1], ports[1]), ()), strict=True
    ):
        daemon_port = port_of(mesh, f"daemon/{host}", "upstream")
        arguments = [host, port, daemon_port, *next_arguments]
        processes.append(
            subprocess.Popen(
                [sys.executable, "-m", "bench.plain_upstream", *map(str, arguments)],
                cwd=ROOT,
            )
        )
    return processes, ports[0]


def configure(mesh):
    """Write profiles and an organisation, wait until they are in force, return its key.

    The rate of the organisation is high enough that no call exceeds it.
    """
    for name, spec in PROFILES.items():
        put_object(mesh, "profile", name, spec)
    put_object(mesh, "organisation", "caller", {"rate": 1e6, "burst": 1e6})
    key = generate_key("caller", secrets.token_bytes(32))
    spec = {"organisation": "caller"}
    wait_until_ready(
        mesh, revision=put_object(mesh, "key", hash_key(key), spec), timeout_s=60
    )
    for host in HOSTS:
        port = port_of(mesh, f"daemon/{host}", "caller")
        while call_json(port, "GET", "/egretlift/ready")[0] != 200:
            time.sleep(0.1)
    return key


def read_cpu(process):
    """Return the CPU seconds that a process has used."""
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def fetch_identifiers(session, base, count):
    """Return a number of identifiers issued by the daemon."""
    found = []
    for _ in range(count):
        async with session.post(f"{base}/egretlift/identifiers") as response:
            found.append((await response.json())["identifier"])
    return found


async def send_call(session, method, url, headers, durations, failures):
    """Send one call and append its duration in seconds, or the reason of its failure.

    A call fails unless it returns status 200 and 200 bytes. The reason is that of the
    daemon, or the status if it states none.
    """
    started = time.perf_counter()
    async with session.request(method, url, headers=headers) as response:
        body = await response.read()
    if response.status == 200 and len(body) == 200:
        durations.append(time.perf_counter() - started)
    else:
        failures.append(response.headers.get("egretlift-reason", str(response.status)))


async def run_calls(kind, base, key, calls, connections, seed, processes=()):
    """Send calls in a closed loop, or in an open loop if ``connections`` is None.

    Identifiers are issued before the measured period.

    Parameters
    ----------
    kind : str
        Key of ``KINDS``.
    base : str
        URL of the daemon or the upstream, without path.
    key : str or None
        Key of the organisation; None for calls that pass no daemon.
    calls : int
        Number of calls.
    connections : int or None
        Connections that send calls at the same time.
    seed : int
        Seed of the random times of an open loop.
    processes : iterable of Popen
        Processes whose CPU time is measured.

    Returns
    -------
    durations : list of float
        Seconds of each successful call.
    failures : list of str
        Reason of each failed call.
    elapsed : float
        Seconds from the first call to the end of the last one.
    cpu : float
        CPU seconds that the processes used meanwhile.
    """
    method, path = KINDS[kind]
    durations, failures = [], []
    connector = aiohttp.TCPConnector(limit=connections or 0)
    headers = {"authorization": f"Bearer {key}"} if key else {}
    async with aiohttp.ClientSession(connector=connector) as session:
        identifiers = [None] * calls
        if kind == "booking" and key:
            identifiers = await fetch_identifiers(session, base, calls)

        async def send(identifier):
            identifier_header = {"idempotency-key": identifier} if identifier else {}
            await send_call(
                session,
                method,
                base + path,
                headers | identifier_header,
                durations,
                failures,
            )

        async def run_worker():
            while identifiers:
                await send(identifiers.pop())

        cpu_before = sum(map(read_cpu, processes))
        started = time.perf_counter()
        if connections:
            await asyncio.gather(*(run_worker() for _ in range(connections)))
        else:
            await send_open_loop(send, identifiers, random.Random(seed))
        elapsed = time.perf_counter() - started
        cpu = sum(map(read_cpu, processes)) - cpu_before
        return durations, failures, elapsed, cpu


async def send_open_loop(send, identifiers, rng):
    """Send one call for each identifier, with exponential gaps between their starts.

    A call does not wait for earlier ones to be answered.
    """
    due = time.perf_counter()
    tasks = []
    for identifier in identifiers:
        due += rng.expovariate(OPEN_LOOP_RATE)
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        tasks.append(asyncio.ensure_future(send(identifier)))
    await asyncio.gather(*tasks)


def measure_run(kind, base, key, calls, connections, seed, processes):
    """Return the latencies, throughput and failures of one run of calls.

    Throughput per core is None if no CPU time was measured.

    Raises
    ------
    RuntimeError
        If fewer than half of the calls succeeded.
    """
    durations, failures, elapsed, cpu = asyncio.run(
        run_calls(kind, base, key, calls, connections, seed, processes)
    )
    if len(durations) < calls / 2:
        raise RuntimeError(f"{kind}: {len(failures)} failed: {sorted(set(failures))}")
    cuts = statistics.quantiles(durations, n=100)
    return {
        "p50_ms": cuts[49] * 1000,
        "p99_ms": cuts[98] * 1000,
        "calls_per_s": len(durations) / elapsed,
        "calls_per_core_s": len(durations) / cpu if cpu else None,
        "failures": dict(collections.Counter(failures)),
    }


def warm_up(base, key, limit_s=20.0):
    """Send calls of each kind until none fails.

    The rate of the organisation is first divided among the daemons, and calls are
    refused until then.

    Raises
    ------
    TimeoutError
        If calls still fail after ``limit_s``.
    """
    limit = time.monotonic() + limit_s
    for kind in KINDS:
        while asyncio.run(run_calls(kind, base, key, 600, 16, 0))[1]:
            if time.monotonic() > limit:
                raise TimeoutError(f"calls still fail after {limit_s:g} s of warm-up")


def compare(kind, paths, arguments, processes):
    """Measure one kind of call on each path, at each number of connections.

    Returns
    -------
    list of tuple
        Connections (None in the open loop), repetition, name of the path and the
        result of `measure_run`.
    """
    rows = []
    for repetition in range(arguments.repetitions):
        for connections in (*CONNECTIONS, None):
            for name, (base, key) in paths.items():
                figures = measure_run(
                    kind,
                    base,
                    key,
                    arguments.calls,
                    connections,
                    arguments.seed + repetition,
                    processes if key else [],
                )
                rows.append((connections, repetition, name, figures))
    return rows


def summarise(rows):
    """Return one dict of figures per number of connections.

    Latencies and throughput are medians over the repetitions, failures are the sum
    over both paths. The added latency is the difference between the two paths of one
    repetition, and its range that over the repetitions.
    """
    lines = []
    for connections in (*CONNECTIONS, None):
        found = {"direct": [], "daemon": []}
        for used, _, name, figures in rows:
            if used == connections:
                found[name].append(figures)
        line = {"connections": connections or "open"}
        for figure in ("p50_ms", "p99_ms"):
            added = [
                via_daemon[figure] - direct[figure]
                for direct, via_daemon in zip(*found.values(), strict=True)
            ]
            line[f"direct {figure}"] = statistics.median(
                r[figure] for r in found["direct"]
            )
            line[f"added {figure}"] = statistics.median(added)
            line[f"{figure} range"] = (min(added), max(added))
        for figure in ("calls_per_s", "calls_per_core_s"):
            line[figure] = statistics.median(row[figure] for row in found["daemon"])
        failures = (row["failures"] for row in found["daemon"] + found["direct"])
        line["failures"] = dict(
            sum(map(collections.Counter, failures), collections.Counter())
        )
        lines.append(line)
    return lines


def print_table(kind, lines):
    """Print the figures of one kind of call as a Markdown table."""
    print(f"\n| {kind} | direct p50 / p99 | added p50 | added p99 (range) |", end="")
    print(" calls/s | calls per core s | not whole |\n|" + " --- |" * 7)
    for row in lines:
        low, high = row["p99_ms range"]
        print(
            f"| {row['connections']} | {row['direct p50_ms']:.2f} /"
            f" {row['direct p99_ms']:.2f} | {row['added p50_ms']:.2f} |"
            f" {row['added p99_ms']:.2f} ({low:.2f} to {high:.2f}) |"
            f" {row['calls_per_s']:.0f} | {row['calls_per_core_s']:.0f} |"
            f" {row['failures'] or 0} |",
            flush=True,
        )


def main():
    """Run the comparison and print its tables."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--calls", type=int, default=1500)
    parser.add_argument("--repetitions", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--kinds", nargs="*", default=list(KINDS), choices=KINDS)
    parser.add_argument("--output", help="file for all figures as JSON")
    arguments = parser.parse_args()
    results = {}
    with tempfile.TemporaryDirectory(prefix="latency-") as folder:
        hosts = [{"name": name, "zone": "a"} for name in HOSTS]
        # Identifiers are kept for a day, so the ledger must hold one for each call.
        settings = {"ledger-records": 200_000, "ledger-total-bytes": 100_000_000}
        plan = {"hosts": hosts, "directory": folder, "settings": settings}
        with run_mesh(plan) as mesh:
            upstreams, port = start_upstreams(mesh)
            try:
                key = configure(mesh)
                caller = port_of(mesh, "daemon/first", "caller")
                paths = {
                    "direct": (f"http://127.0.0.1:{port}", None),
                    "daemon": (f"http://127.0.0.1:{caller}", key),
                }
                warm_up(*paths["daemon"])
                daemons = [mesh.processes[f"daemon/{host}"] for host in HOSTS]
                print(
                    f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores"
                )
                for kind in arguments.kinds:
                    used = daemons if kind == "chain" else daemons[:1]
                    results[kind] = compare(kind, paths, arguments, used)
                    print_table(kind, summarise(results[kind]))
                print(f"load average {os.getloadavg()[0]:.1f} at the end")
            finally:
                for process in upstreams:
                    process.terminate()
                    process.wait()
    if arguments.output:
        with open(arguments.output, "w") as file:
            json.dump(results, file, indent=1)


if __name__ == "__main__":
    main()
