"""Retries over a chain of 18 levels whose deepest upstream fails.

Levels 0 to 16 rotate over three services and the deepest one has its own, so that
a request passes each host several times under different routes. Run longer with
``python -m integration.test_retries --duration 20 --policy fixed``.
"""

import argparse
import sys
import time
import unittest
from collections import Counter, defaultdict

from integration.faults import run_faulty
from integration.meshes import make_load, prepare_mesh, run_mesh
from standins.mesh import list_callers, make_hosts, set_behaviour

LEVELS = 18
RETRIES = 2  # default of a profile
ROTATING = ("front", "middle", "inner")
DEEPEST = "deepest"
HOSTS = {"a": 1, "b": 1}
PARALLEL = 3
REPEATS = 3
DEADLINE_S = 1.5
# Budgets for one service: its two callers and, for the first, its two entry hosts;
# each starts with one retry.
STOCK = 4
# Chains by first letter of the route: plain, repeating upstreams, parallel calls.
CHAINS = ("n", "r", "p")
FAULTS = {
    "fails": {"failure_share": 1.0},
    "slow": {"service_factor": 500.0},
    "lost": {"lost_share": 1.0},
    "truncated": {"truncated_share": 1.0},
    "mixed": {"failure_share": 0.3, "lost_share": 0.3, "truncated_share": 0.3},
}
HEALTHY = {
    "failure_share": 0.0,
    "service_factor": 1.0,
    "lost_share": 0.0,
    "truncated_share": 0.0,
}


def service_of(level):
    """Return the service that runs a level."""
    return DEEPEST if level == LEVELS - 1 else ROTATING[level % len(ROTATING)]


def make_calls(chain, level):
    """Return the outgoing calls of a level."""
    if level == LEVELS - 1:
        return {}
    call = {"service": service_of(level + 1), "path": f"/{chain}{level + 1}/"}
    if chain == "r":
        return {"calls": [{**call, "repeats": REPEATS}]}
    if chain == "p" and level == LEVELS - 2:
        calls = [{**call, "path": f"{call['path']}{n}"} for n in range(PARALLEL)]
        return {"parallel": True, "calls": calls}
    return {"calls": [call]}


def make_chain(policy):
    """Return the plan of a mesh whose services call each other."""
    hosts = []
    for service in (*ROTATING, DEEPEST):
        routes = [
            {
                "method": "*",
                "prefix": f"/{chain}{level}/",
                "profile": "browsing",
                **make_calls(chain, level),
            }
            for chain in CHAINS
            for level in range(LEVELS)
            if service_of(level) == service
        ]
        behaviour = {"service_s": 0.002}
        hosts += make_hosts(service, HOSTS, routes=routes, behaviour=behaviour)
    settings = {"gossip_period_s": 0.3, "retry_policy": policy}
    return {"hosts": hosts, "settings": settings}


def run_fault(mesh, fault, duration_s, rate, chains=CHAINS):
    """Run a load while the deepest upstreams have a fault.

    Returns (attempts, executions of each chain and level by request).
    """
    deepest = [f"{DEEPEST}-{zone}-1" for zone in HOSTS]
    for host in deepest:
        set_behaviour(mesh, host, **{**HEALTHY, **FAULTS[fault]})
    routes = [
        {"name": chain, "path": f"/{chain}0/", "timeout_s": DEADLINE_S}
        for chain in chains
    ]
    load = make_load(
        mesh,
        {"studio": 1.0},
        routes,
        service=ROTATING[0],
        name=f"{fault}-",
        rate=rate,
        phases=[{"duration_s": duration_s, "multiplier": 1.0}],
        resends={"count": 2, "backoff_s": 0.02, "jitter": 0.5},
        grace_s=5.0,
    )
    attempts, executions, _ = run_faulty(mesh, load, [])
    for host in deepest:
        set_behaviour(mesh, host, **HEALTHY)
    time.sleep(0.2)
    return attempts, count_levels(executions, f"{fault}-")


def count_levels(executions, prefix):
    """Return the executions by (chain, level), then by request."""
    counts = defaultdict(Counter)
    for items in executions.values():
        for item in items:
            if item["request_id"] and item["request_id"].startswith(prefix):
                route = item["path"].split("/")[1]
                counts[route[0], int(route[1:])][item["request_id"]] += 1
    return counts


def first_attempts(chain, level):
    """Return the executions of a level that are no retries."""
    return PARALLEL if chain == "p" and level == LEVELS - 1 else 1


def find_excess(counts, sends):
    """Return what exceeds the bounds of section 5.1 of the design.

    Parameters
    ----------
    counts : dict
        Of `count_levels`.
    sends : Counter
        Sends of the callers by chain.
    """
    found = []
    totals = Counter()
    for (chain, level), requests in counts.items():
        most = max(requests.values())
        bound = first_attempts(chain, level) + RETRIES
        if most > bound:
            found.append(f"{chain}{level}: {most} for one request, bound {bound}")
        for request, count in requests.items():
            totals[chain, request] += count
    for (chain, request), total in totals.items():
        first = sum(first_attempts(chain, level) for level in range(LEVELS))
        if total > first + LEVELS * RETRIES:
            found.append(f"{chain} {request}: {total} over all levels")
    return found + find_excess_average(counts, sends)


def find_excess_average(counts, sends):
    """Return the levels with more than 1.1 executions a send and the stock."""
    by_level = Counter()
    first = Counter()
    for (_, level), requests in counts.items():
        by_level[level] += sum(requests.values())
    for level in range(LEVELS):
        for chain, count in sends.items():
            first[level] += count * first_attempts(chain, level)
    return [
        f"level {level}: {count} executions of {first[level]} first attempts"
        for level, count in sorted(by_level.items())
        if count > 1.1 * first[level] + STOCK
    ]


def describe(fault, attempts, counts):
    """Return one line of figures of a run."""
    sends = Counter(attempt["route"] for attempt in attempts)
    deepest = Counter()
    for (chain, level), requests in counts.items():
        if level == LEVELS - 1:
            deepest[chain] = sum(requests.values())
    most = max((max(c.values()) for c in counts.values()), default=0)
    total = sum(sum(c.values()) for c in counts.values())
    reached = {c: f"{deepest[c]}/{n}" for c, n in sorted(sends.items())}
    reasons = Counter(attempt["reason"] for attempt in attempts)
    return (
        f"{fault}: {sum(sends.values())} sends, {total} executions, at most {most}"
        f" of one request at one level, deepest/sends {reached},"
        f" reasons {dict(reasons)}"
    )


def run_policy(policy, faults, duration_s, rate, chains=CHAINS):
    """Yield (fault, attempts, counts, excess) of a run of each fault."""
    with run_mesh(make_chain(policy)) as mesh:
        prepare_mesh(mesh, {"studio": (5000, 5000)})
        names = [f"{service}-{zone}-1" for service in ROTATING for zone in HOSTS]
        assert len(list_callers(mesh, ROTATING[0])) == len(HOSTS), names
        for fault in faults:
            attempts, counts = run_fault(mesh, fault, duration_s, rate, chains)
            sends = Counter(attempt["route"] for attempt in attempts)
            yield fault, attempts, counts, find_excess(counts, sends)


class TestRetries(unittest.TestCase):
    """Guards against retries that multiply over the levels of a chain."""

    def test_bounds_over_the_chain(self):
        """Callers resend, upstreams repeat and make parallel calls."""
        for fault, attempts, counts, excess in run_policy("budget", FAULTS, 4.0, 8.0):
            with self.subTest(fault=fault):
                print(describe(fault, attempts, counts), flush=True)
                self.assertEqual([], excess)
                reached = {chain for chain, level in counts if level == LEVELS - 1}
                # A run that never reached the fault would prove nothing.
                self.assertEqual(set(CHAINS), reached)
                if fault == "fails":
                    # An allowance used up on the way down retries nothing there.
                    plain = counts["n", LEVELS - 1]
                    self.assertGreater(max(plain.values()), 1)


def main():
    """Run all faults and print one line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policy", default="budget", help="retry policy")
    parser.add_argument("--duration", type=float, default=20.0, help="seconds a fault")
    parser.add_argument("--rate", type=float, default=8.0, help="requests a second")
    parser.add_argument("--faults", default=",".join(FAULTS))
    parser.add_argument("--chains", default=",".join(CHAINS))
    given = parser.parse_args()
    faults, chains = given.faults.split(","), given.chains.split(",")
    failed = 0
    runs = run_policy(given.policy, faults, given.duration, given.rate, chains)
    for fault, attempts, counts, excess in runs:
        print(describe(fault, attempts, counts), flush=True)
        print(f"  excess: {excess[:4] or 'none'} ({len(excess)})", flush=True)
        failed += bool(excess)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
