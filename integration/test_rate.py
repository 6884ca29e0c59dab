"""Rate and burst limits over all hosts, checked from the records of executions.

Every time window is checked.

Run more seeds with ``python -m integration.test_rate --seeds 1-10``.
"""

import argparse
import random
import sys
import unittest
from collections import defaultdict

from nose2.tools import params

from integration.faults import (
    fail_link,
    fail_platform,
    freeze_daemon,
    kill_daemon,
    make_schedule,
    run_under_faults,
)
from integration.history import largest_excess
from integration.meshes import make_load, make_plan, prepare_mesh, run_mesh
from standins.totals import mark_in_rate

ZONES = {"a": 3, "b": 3, "c": 3}
ORGANISATIONS = {
    "o1": (60, 60),
    "o2": (40, 40),
    "o3": (20, 20),
    "o4": (20, 20),
    "o5": (10, 10),
    "o6": (10, 10),
    "o7": (5, 5),
    "o8": (5, 5),
}
ORGANISATION_ROWS = [
    {"name": name, "rate": rate, "burst": burst}
    for name, (rate, burst) in ORGANISATIONS.items()
]
# Sends five times its rate; the others send three quarters of theirs.
GREEDY = "o3"
ROUTE = {"name": "browse", "path": "/calendar/{id}", "timeout_s": 1.5}
# An execution is recorded at the upstream after the daemon took the token for it.
# Varying delays between the two can move calls into a window.
RECORD_JITTER_S = 0.05


def get_offered_rate(name):
    """Return the calls that an organisation sends per second."""
    rate, _ = ORGANISATIONS[name]
    return 5 * rate if name == GREEDY else 0.75 * rate


def measure_excess(executions):
    """Return the largest excess over rate and burst by organisation, in calls."""
    times = defaultdict(list)
    for items in executions.values():
        for item in items:
            times[item["organisation"]].append(item["arrived"])
    return {
        name: largest_excess(times[name], rate, burst + rate * RECORD_JITTER_S)
        for name, (rate, burst) in ORGANISATIONS.items()
    }


def count_refusals(attempts, began):
    """Return (requests within rate, those of them refused) by organisation.

    A request is within rate if a single token bucket of the organisation's rate and
    burst, full at the start, would have admitted it. Only requests from the time
    ``began`` on are counted.
    """
    inside = mark_in_rate({"organisations": ORGANISATION_ROWS}, attempts)
    counts = {name: [0, 0] for name in ORGANISATIONS}
    for attempt in attempts:
        if attempt["request_id"] in inside and attempt["start"] >= began:
            counts[attempt["organisation"]][0] += 1
            counts[attempt["organisation"]][1] += attempt["reason"] is not None
    return counts


def compute_refused_share(counts):
    """Return the share refused of all organisations that keep to their rate."""
    within_rate = [counts[name] for name in counts if name != GREEDY]
    return sum(refused for _, refused in within_rate) / sum(
        sent for sent, _ in within_rate
    )


def run_rates(seed, faults, duration_s, count=5, longest_s=4.0, warm_up_s=3.0):
    """Run a load under faults; return (excess, refusals, attempts).

    Refusals are counted after a warm-up of ``warm_up_s`` seconds; faults may occur
    at any time.
    """
    rng = random.Random(seed)
    with run_mesh(make_plan(ZONES, settings={"gossip_period_s": 0.3})) as mesh:
        prepare_mesh(mesh, ORGANISATIONS)
        shares = {name: get_offered_rate(name) for name in ORGANISATIONS}
        load = make_load(
            mesh,
            shares,
            [ROUTE],
            seed=seed,
            rate=sum(shares.values()),
            phases=[{"duration_s": warm_up_s + duration_s, "multiplier": 1.0}],
        )
        schedule = []
        if faults:
            schedule = make_schedule(
                rng, mesh, warm_up_s + duration_s, count, faults, longest_s
            )
        attempts, executions, _ = run_under_faults(mesh, load, schedule)
    began = min(attempt["start"] for attempt in attempts) + warm_up_s
    return measure_excess(executions), count_refusals(attempts, began), attempts


FAULTS = (kill_daemon, freeze_daemon, fail_link, fail_platform)


class TestRate(unittest.TestCase):
    """Guards against windows in which an organisation exceeds its rate and burst."""

    @params((1, FAULTS), (2, (freeze_daemon, kill_daemon)))
    def test_every_window_under_faults(self, seed, faults):
        excess, _, attempts = run_rates(seed, faults, 10.0)
        self.assertLessEqual(max(excess.values()), 0.0, excess)
        whole = sum(attempt["whole"] for attempt in attempts)
        self.assertGreater(whole, 300)

    def test_steady_refusals_within_rate(self):
        excess, refused, _ = run_rates(3, (), 10.0, warm_up_s=5.0)
        self.assertLessEqual(max(excess.values()), 0.0, excess)
        self.assertLessEqual(compute_refused_share(refused), 0.001, refused)


def main():
    """Run a range of seeds and print one line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-10", help="first-last")
    parser.add_argument("--steady", action="store_true", help="without faults")
    arguments = parser.parse_args()
    first, last = map(int, arguments.seeds.split("-"))
    failed = 0
    for seed in range(first, last + 1):
        faults = () if arguments.steady else FAULTS
        excess, refused, attempts = run_rates(seed, faults, 10.0)
        worst = max(excess.values())
        failed += worst > 0
        shares = {name: f"{bad}/{sent}" for name, (sent, bad) in refused.items()}
        whole = sum(attempt["whole"] for attempt in attempts)
        print(
            f"seed {seed}: {len(attempts)} sent, {whole} whole, largest excess"
            f" {worst:.2f} calls, in-rate refused {compute_refused_share(refused):.4f}"
            f" {shares}",
            flush=True,
        )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
