"""Resident memory of imports and of each kind of state."""

import os
import subprocess
import sys
import time

from bench.slopes.fit import read_rss, report
from bench.slopes.records import STATE_KINDS

LIBRARIES = ("aiohttp", "grpclib", "hypercorn", "httpx", "eliot", "aioprometheus")


IMPORTS = {
    "bare": "pass",
    **{name: f"import {name}" for name in LIBRARIES},
    "grpclib+protobuf": "import egretlift.transport.control",
    "hypercorn.asyncio": "import hypercorn.asyncio",
    "all six": "import " + ", ".join(LIBRARIES),
    "daemon": "import egretlift.daemon.main",
}


def measure_in_child(*arguments):
    """Run this module in a child process and return the number that it prints.

    Memory of earlier measurements does not count in a new process.
    """
    command = [sys.executable, "-m", "bench.slopes", *map(str, arguments)]
    return float(subprocess.check_output(command, text=True))


def measure_state_growth(name, size):
    """Print how many bytes of resident memory one kind of state adds to this process.

    The state is returned so that it is still referenced when memory is read.
    """
    before = read_rss(os.getpid())
    state = STATE_KINDS[name][0](size)
    print(read_rss(os.getpid()) - before)
    return state


def measure_memory():
    """Print the memory of each kind of state by its number of records."""
    for name, (_, sizes) in STATE_KINDS.items():
        points = [
            (size, measure_in_child("--fill", name, "--size", size)) for size in sizes
        ]
        report(f"memory of {name}", points, "B")


def measure_imports():
    """Print memory and duration of imports, of the run with least memory of three."""
    code = "import re\nt=open('/proc/self/status').read()\n"
    code += r"print(re.search(r'VmRSS:\s+(\d+)', t)[1])"
    for name, line in IMPORTS.items():
        found = []
        for _ in range(3):
            started = time.monotonic()
            text = subprocess.check_output(
                [sys.executable, "-c", f"{line}\n{code}"], text=True
            )
            found.append((int(text) / 1024, time.monotonic() - started))
        memory, duration = min(found)
        print(f"import {name}: {memory:.1f} MB resident, {duration:.2f} s", flush=True)
