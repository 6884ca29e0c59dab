"""Processor time that sidecar daemons spend on a call, by kind of call.

Two daemons run as real processes in front of simulated upstreams. A load of each kind
keeps a number of calls running, and the processor time of both daemons is divided by
the number of answers::

    python -m bench.call_cost --running 1 16 64 250
    python -m bench.call_cost --against HEAD~3

With ``--against``, the daemons of another commit are measured after those of the
working tree, and the ratio of both is printed.
"""

import argparse
import asyncio
import os
import subprocess
import tempfile
import time
from pathlib import Path

from standins.sidecars import ROOT, ROUTES, SidecarMesh, make_configuration

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Calls a second that the load aims at, whatever the number of running calls.
CALLS_PER_S = 250
SLOTS = 400
DEEP_ROUTES = [
    ["deep", "m.example", "/deep/", "idempotent", 5, 1, 2, 2, False, "ledger"],
    ["inner-deep", "m.example", "/inner/", "idempotent", 5, 1, 2, 2, True, "ledger"],
]
# Path, behaviour of the first upstream, and key, by kind of call.
KINDS = {
    "served here": ("/view/1", "slow", None),
    "sent to a peer": ("/deep/1", "slow", None),
    "nested call": ("/view/1", "call", None),
    "refused": ("/view/1", "slow", "unknown-key"),
}


class UnexpectedAnswer(Exception):
    """A call was answered with another status than its kind has."""


class Cost:
    """Processor time of both daemons for the calls of one kind.

    Attributes
    ----------
    kind : str
    running : int
        Calls kept running at once.
    answers : int
    processor_s : float
    """

    __slots__ = ("answers", "kind", "processor_s", "running")

    def __init__(self, kind, running, answers, processor_s):
        self.kind = kind
        self.running = running
        self.answers = answers
        self.processor_s = processor_s


def read_processor_s(process_id):
    """Return the processor time that a process has used, in seconds."""
    text = Path(f"/proc/{process_id}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_peak_memory_mb(process_id):
    """Return the largest resident memory of a process so far, in megabytes."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"process {process_id} has no VmHWM")


async def keep_calling(mesh, kind, number, ends_at):
    """Send one call after the other until a time; return the number of answers."""
    path, _, key = KINDS[kind]
    options = {} if key is None else {"key": key}
    expected = 200 if key is None else 401
    answers = 0
    while time.monotonic() < ends_at:
        name = f"{kind[0]}{number}n{answers}"
        status, _, text = await mesh.ask(mesh.sidecars[0], path, name, **options)
        if status != expected:
            raise UnexpectedAnswer(f"{kind}: {status} {text}")
        answers += 1
        if key is not None:
            await asyncio.sleep(0.02)
    return answers


async def measure_kind(mesh, kind, running, seconds):
    """Return the cost of a kind of call while a number of calls is running."""
    first, second = mesh.sidecars
    first.upstream.behaviour = KINDS[kind][1]
    second.upstream.behaviour = "slow" if kind == "sent to a peer" else "serve"
    for sidecar in mesh.sidecars:
        sidecar.upstream.slow_s = running / CALLS_PER_S
        sidecar.upstream.call_after_s = running / CALLS_PER_S
    processes = [sidecar.process.pid for sidecar in mesh.sidecars]
    before = sum(map(read_processor_s, processes))
    ends_at = time.monotonic() + seconds
    workers = [keep_calling(mesh, kind, n, ends_at) for n in range(running)]
    answers = sum(await asyncio.gather(*workers))
    spent_s = sum(map(read_processor_s, processes)) - before
    return Cost(kind, running, answers, spent_s)


async def measure_tree(root, levels, seconds):
    """Return (costs, start in processor seconds, peak memory in MB) of a source tree.

    The start and the memory are the mean of both daemons.
    """
    async with SidecarMesh(2, ("checkout", "ledger"), root, SLOTS) as mesh:
        processes = [sidecar.process.pid for sidecar in mesh.sidecars]
        start_s = sum(map(read_processor_s, processes)) / len(processes)
        routes = ROUTES[:2] + DEEP_ROUTES
        mesh.store.put("config", "main", make_configuration(4, rate=0, routes=routes))
        await asyncio.sleep(1.0)
        costs = []
        for kind in KINDS:
            for running in levels:
                costs.append(await measure_kind(mesh, kind, running, seconds))
        memory_mb = sum(map(read_peak_memory_mb, processes)) / len(processes)
    return costs, start_s, memory_mb


def extract_commit(commit, folder):
    """Write the source tree of a commit to a folder and return its path."""
    archive = subprocess.run(
        ["git", "archive", commit], cwd=ROOT, check=True, capture_output=True
    )
    subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
    return Path(folder)


def format_costs(measured, compared):
    """Return a table of costs; ``compared`` is that of another commit, or None."""
    costs, start_s, memory_mb = measured
    lines = [
        f"{'kind':16} {'running':>7} {'answers':>8} {'ms a call':>10} {'ratio':>6}"
    ]
    for index, cost in enumerate(costs):
        spent_ms = 1000 * cost.processor_s / max(1, cost.answers)
        ratio = ""
        if compared is not None:
            other = compared[0][index]
            other_ms = 1000 * other.processor_s / max(1, other.answers)
            ratio = f"{spent_ms / other_ms:.2f}" if other_ms else "-"
        lines.append(
            f"{cost.kind:16} {cost.running:7} {cost.answers:8}"
            f" {spent_ms:10.3f} {ratio:>6}"
        )
    lines.append(f"start {start_s:.2f} s of processor time, {memory_mb:.0f} MB")
    if compared is not None:
        lines.append(f"compared: start {compared[1]:.2f} s, {compared[2]:.0f} MB")
    return "\n".join(lines)


async def compare_trees(options):
    """Measure the working tree, and another commit if one is given; print the table."""
    measured = await measure_tree(ROOT, options.running, options.seconds)
    compared = None
    if options.against:
        with tempfile.TemporaryDirectory() as folder:
            root = extract_commit(options.against, folder)
            compared = await measure_tree(root, options.running, options.seconds)
    print(format_costs(measured, compared))


def main(arguments=None):
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--running", type=int, nargs="+", default=[1, 16, 64, 250])
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--against", metavar="COMMIT")
    asyncio.run(compare_trees(parser.parse_args(arguments)))


if __name__ == "__main__":
    main()
