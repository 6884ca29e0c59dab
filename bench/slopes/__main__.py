"""Measure the cost of one more member, object, call or gossip exchange to a daemon.

Most measurements run on three or more sizes and print the values and the slope of the
line fitted through them by least squares::

    python -m bench.slopes imports memory messages
    python -m bench.slopes control calls idle
    python -m bench.slopes mesh restarts spread

``docs/CAPACITY.md`` derives the resources that each role needs from these slopes.
"""

import argparse
import os

from bench.slopes.calls import measure_calls, measure_control
from bench.slopes.memory import measure_imports, measure_memory, measure_state_growth
from bench.slopes.meshes import measure_idle, measure_mesh, measure_restarts
from bench.slopes.messages import (
    measure_join,
    measure_messages,
    measure_repair,
    measure_state,
    measure_ticks,
)
from bench.slopes.records import STATE_KINDS
from bench.slopes.spread import measure_spread

MEASUREMENTS = {
    "ticks": measure_ticks,
    "state": measure_state,
    "join": measure_join,
    "repair": measure_repair,
    "imports": measure_imports,
    "memory": measure_memory,
    "messages": measure_messages,
    "control": measure_control,
    "calls": measure_calls,
    "idle": measure_idle,
    "mesh": measure_mesh,
    "restarts": measure_restarts,
    "spread": measure_spread,
}


def main():
    """Run the measurements named on the command line in their order."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("names", nargs="*", help=", ".join(MEASUREMENTS))
    parser.add_argument("--fill", choices=STATE_KINDS)
    parser.add_argument("--size", type=int)
    arguments = parser.parse_args()
    if arguments.fill:
        return measure_state_growth(arguments.fill, arguments.size)
    for name in arguments.names:
        print(f"# {name}, load average {os.getloadavg()[0]:.1f}", flush=True)
        MEASUREMENTS[name]()
    return None


if __name__ == "__main__":
    main()
