"""At-most-once execution: histories of bookings that are resent under faults.

Run more seeds with ``python -m integration.test_once --seeds 1-20``.
"""

import argparse
import random
import sys
import unittest

from nose2.tools import params

from integration.faults import make_schedule, run_under_faults
from integration.history import check_history
from integration.meshes import make_load, make_plan, prepare_mesh, run_mesh

DURATION_S = 8.0
CI_SEEDS = (1, 2)


def run_seed(seed):
    """Run a seeded load under faults; return (violations, attempts, executions)."""
    rng = random.Random(seed)
    plan = make_plan({"a": 2, "b": 2, "c": 2}, settings={"gossip_period_s": 0.3})
    with run_mesh(plan) as mesh:
        prepare_mesh(mesh, {"studio": (2000, 2000), "dealer": (2000, 2000)})
        route = {"method": "POST", "path": "/bookings/{id}", "body_bytes": 200}
        routes = [
            {**route, "name": "caller", "identifier": "caller", "timeout_s": 1.0},
            {**route, "name": "issued", "identifier": "issued", "timeout_s": 1.0},
        ]
        load = make_load(
            mesh,
            {"studio": 1.0, "dealer": 1.0},
            routes,
            seed=seed,
            rate=80.0,
            phases=[{"duration_s": DURATION_S, "multiplier": 1.0}],
            resends={"count": 6, "backoff_s": 0.1, "jitter": 0.5},
        )
        schedule = make_schedule(rng, mesh, DURATION_S, count=8)
        attempts, executions, _ = run_under_faults(mesh, load, schedule)
    return check_history(attempts, executions), attempts, executions


class TestOnce(unittest.TestCase):
    """Guards against a booking that runs twice or is wrongly reported as not run."""

    @params(*CI_SEEDS)
    def test_history(self, seed):
        violations, attempts, executions = run_seed(seed)
        self.assertEqual({rule: [] for rule in violations}, shorten(violations))
        whole = sum(attempt["whole"] for attempt in attempts)
        # Few served calls would make the checks above meaningless.
        self.assertGreater(whole, 100)


def shorten(violations):
    """Return violations with at most three examples of each rule."""
    return {
        rule: list(found.items() if isinstance(found, dict) else found)[:3]
        for rule, found in violations.items()
    }


def main():
    """Run a range of seeds and print one line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-20", help="first-last")
    first, last = map(int, parser.parse_args().seeds.split("-"))
    failed = 0
    for seed in range(first, last + 1):
        violations, attempts, executions = run_seed(seed)
        counts = {rule: len(found) for rule, found in violations.items() if found}
        failed += bool(counts)
        whole = sum(attempt["whole"] for attempt in attempts)
        runs = sum(len(items) for items in executions.values())
        print(
            f"seed {seed}: {len(attempts)} attempts, {whole} whole, {runs} runs,"
            f" violations {counts or 'none'}",
            flush=True,
        )
        if counts:
            print(shorten(violations), flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
