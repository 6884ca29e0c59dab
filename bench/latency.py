"""Latency that the daemon adds, against the same upstream called directly.

::

    python -m bench.latency --calls 1500 --repetitions 3

Three kinds of call are measured: an idempotent GET with a key and a 200-byte
answer, a booking with an identifier issued beforehand, and a chain in which the
upstream of one daemon calls the service of another. The direct path and the path
through the daemons alternate within each repetition. Callers send their next call
when the last one has been answered; ``open`` instead sends 310 calls a second at
random times, the share of one host of the design's load.
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

from egretlift.identity import digest_key, generate_key
from standins.control import call_json
from standins.mesh import ROOT, port_of, put_object, run_mesh, wait_until_ready

CONNECTIONS = (1, 4, 16)
OPEN_RATE = 310.0
PROFILES = {
    "lookup": {"priority": "interactive", "idempotent": True},
    "booking": {"priority": "critical", "at_most_once": True},
}
HOSTS = ("first", "second")
# Method and path by kind of call.
KINDS = {"get": ("GET", "/small"), "booking": ("POST", "/book")}
KINDS["chain"] = ("GET", "/chain")


def start_upstreams(mesh):
    """Start the two upstreams and return (processes, port of the first)."""
    ports = [port_of(mesh, f"plain/{host}", "http") for host in HOSTS]
    processes = []
    for host, port, following in zip(
        HOSTS, ports, ((HOSTS[1], ports[1]), ()), strict=True
    ):
        daemon_port = port_of(mesh, f"daemon/{host}", "upstream")
        arguments = [host, port, daemon_port, *following]
        processes.append(
            subprocess.Popen(
                [sys.executable, "-m", "bench.plain_upstream", *map(str, arguments)],
                cwd=ROOT,
            )
        )
    return processes, ports[0]


def configure(mesh):
    """Write profiles and an organisation with a high rate; return its key."""
    for name, spec in PROFILES.items():
        put_object(mesh, "profile", name, spec)
    put_object(mesh, "organisation", "caller", {"rate": 1e6, "burst": 1e6})
    key = generate_key("caller", secrets.token_bytes(32))
    spec = {"organisation": "caller"}
    wait_until_ready(
        mesh, revision=put_object(mesh, "key", digest_key(key), spec), timeout_s=60
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
    """Return identifiers that the daemon issues."""
    found = []
    for _ in range(count):
        async with session.post(f"{base}/egretlift/identifiers") as answer:
            found.append((await answer.json())["identifier"])
    return found


async def send_call(session, method, url, headers, durations, failures):
    """Send one call and keep its duration, or why it failed."""
    started = time.perf_counter()
    async with session.request(method, url, headers=headers) as answer:
        body = await answer.read()
    if answer.status == 200 and len(body) == 200:
        durations.append(time.perf_counter() - started)
    else:
        failures.append(answer.headers.get("egretlift-reason", str(answer.status)))


async def drive(kind, base, key, calls, connections, seed, processes=()):
    """Send calls; return (durations, failures, seconds, CPU seconds of processes).

    ``connections`` of None sends them at random times. Identifiers are issued before
    the measured period.
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
            more = {"idempotency-key": identifier} if identifier else {}
            await send_call(
                session, method, base + path, headers | more, durations, failures
            )

        async def work():
            while identifiers:
                await send(identifiers.pop())

        cpu_before = sum(map(read_cpu, processes))
        started = time.perf_counter()
        if connections:
            await asyncio.gather(*(work() for _ in range(connections)))
        else:
            await send_openly(send, identifiers, random.Random(seed))
        elapsed = time.perf_counter() - started
        cpu = sum(map(read_cpu, processes)) - cpu_before
        return durations, failures, elapsed, cpu


async def send_openly(send, identifiers, draw):
    """Send one call for each identifier at random times."""
    due = time.perf_counter()
    tasks = []
    for identifier in identifiers:
        due += draw.expovariate(OPEN_RATE)
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        tasks.append(asyncio.ensure_future(send(identifier)))
    await asyncio.gather(*tasks)


def measure(kind, base, key, calls, connections, seed, processes):
    """Return the figures of one run of calls."""
    durations, failures, elapsed, cpu = asyncio.run(
        drive(kind, base, key, calls, connections, seed, processes)
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
    """Send calls until the rate is shared out and none is refused."""
    limit = time.monotonic() + limit_s
    for kind in KINDS:
        while asyncio.run(drive(kind, base, key, 600, 16, 0))[1]:
            if time.monotonic() > limit:
                raise TimeoutError(f"calls are refused after {limit_s:g} s")


def compare(kind, paths, arguments, processes):
    """Return a list of (connections, repetition, path name, figures)."""
    rows = []
    for repetition in range(arguments.repetitions):
        for connections in (*CONNECTIONS, None):
            for name, (base, key) in paths.items():
                figures = measure(
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
    """Return one line of figures per number of connections."""
    lines = []
    for connections in (*CONNECTIONS, None):
        found = {"direct": [], "daemon": []}
        for used, _, name, figures in rows:
            if used == connections:
                found[name].append(figures)
        line = {"connections": connections or "open"}
        for part in ("p50_ms", "p99_ms"):
            added = [
                through[part] - direct[part]
                for direct, through in zip(*found.values(), strict=True)
            ]
            line[f"direct {part}"] = statistics.median(r[part] for r in found["direct"])
            line[f"added {part}"] = statistics.median(added)
            line[f"{part} range"] = (min(added), max(added))
        for part in ("calls_per_s", "calls_per_core_s"):
            line[part] = statistics.median(row[part] for row in found["daemon"])
        failures = (row["failures"] for row in found["daemon"] + found["direct"])
        line["failures"] = dict(
            sum(map(collections.Counter, failures), collections.Counter())
        )
        lines.append(line)
    return lines


def print_lines(kind, lines):
    """Print the figures of one kind of call as a table in Markdown."""
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
        # Room for one identifier per call, since identifiers live for a day.
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
                    print_lines(kind, summarise(results[kind]))
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
