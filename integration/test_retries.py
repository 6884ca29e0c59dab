"""Retries over a call chain of 18 levels whose last upstream fails.

Levels 0 to 16 alternate among three services and the deepest level has a service of
its own, so that a request passes each host several times on different routes. Run
longer with
``python -m integration.test_retries --duration 20 --policy fixed``.
"""

import argparse
import sys
import time
import unittest
from collections import Counter, defaultdict

from integration.faults import run_under_faults
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
# Retries with which the budgets for one service start: one for each of its two callers
# and, for the first service, for each of its two entry hosts.
INITIAL_RETRIES = 4
# Kinds of chains by the first letter of their routes: plain, with upstreams that repeat
# calls, and with parallel calls.
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


def get_service(level):
    """Return the name of the service at a level of the chain."""
    return DEEPEST if level == LEVELS - 1 else ROTATING[level % len(ROTATING)]


def make_calls(chain, level):
    """Return the entries of a route that describe its outgoing calls."""
    if level == LEVELS - 1:
        return {}
    call = {"service": get_service(level + 1), "path": f"/{chain}{level + 1}/"}
    if chain == "r":
        return {"calls": [{**call, "repeats": REPEATS}]}
    if chain == "p" and level == LEVELS - 2:
        calls = [{**call, "path": f"{call['path']}{n}"} for n in range(PARALLEL)]
        return {"parallel": True, "calls": calls}
    return {"calls": [call]}


def make_chain(policy):
    """Return the plan of a mesh whose services form the chains."""
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
            if get_service(level) == service
        ]
        behaviour = {"service_s": 0.002}
        hosts += make_hosts(service, HOSTS, routes=routes, behaviour=behaviour)
    settings = {"gossip_period_s": 0.3, "retry_policy": policy}
    return {"hosts": hosts, "settings": settings}


def run_fault(mesh, fault, duration_s, rate, chains=CHAINS):
    """Run a load while the upstreams of the last level have a fault.

    Returns (attempts, counts), with the counts of `count_levels`.
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
    attempts, executions, _ = run_under_faults(mesh, load, [])
    for host in deepest:
        set_behaviour(mesh, host, **HEALTHY)
    time.sleep(0.2)
    return attempts, count_levels(executions, f"{fault}-")


def count_levels(executions, prefix):
    """Return the number of executions by (chain, level), then by request."""
    counts = defaultdict(Counter)
    for items in executions.values():
        for item in items:
            if item["request_id"] and item["request_id"].startswith(prefix):
                route = item["path"].split("/")[1]
                counts[route[0], int(route[1:])][item["request_id"]] += 1
    return counts


def count_first_attempts(chain, level):
    """Return the number of executions of a level without retries, for one request."""
    return PARALLEL if chain == "p" and level == LEVELS - 1 else 1


def find_excess(counts, sends):
    """Return a description of each excess over the bounds of the design, 5.1.

    Parameters
    ----------
    counts : dict
        Of `count_levels`.
    sends : Counter
        Attempts of the callers by chain.
    """
    found = []
    totals = Counter()
    for (chain, level), requests in counts.items():
        highest = max(requests.values())
        bound = count_first_attempts(chain, level) + RETRIES
        if highest > bound:
            found.append(f"{chain}{level}: {highest} for one request, bound {bound}")
        for request, count in requests.items():
            totals[chain, request] += count
    for (chain, request), total in totals.items():
        first = sum(count_first_attempts(chain, level) for level in range(LEVELS))
        if total > first + LEVELS * RETRIES:
            found.append(f"{chain} {request}: {total} over all levels")
    return found + find_average_excess(counts, sends)


def find_average_excess(counts, sends):
    """Return a description of each level with too many executions on average.

    The bound is 1.1 executions for each first attempt, plus the retries with which
    the budgets start.
    """
    by_level = Counter()
    first = Counter()
    for (_, level), requests in counts.items():
        by_level[level] += sum(requests.values())
    for level in range(LEVELS):
        for chain, count in sends.items():
            first[level] += count * count_first_attempts(chain, level)
    return [
        f"level {level}: {count} executions of {first[level]} first attempts"
        for level, count in sorted(by_level.items())
        if count > 1.1 * first[level] + INITIAL_RETRIES
    ]


def describe_run(fault, attempts, counts):
    """Return one line that summarises a run."""
    sends = Counter(attempt["route"] for attempt in attempts)
    deepest = Counter()
    for (chain, level), requests in counts.items():
        if level == LEVELS - 1:
            deepest[chain] = sum(requests.values())
    highest = max((max(c.values()) for c in counts.values()), default=0)
    total = sum(sum(c.values()) for c in counts.values())
    reached = {c: f"{deepest[c]}/{n}" for c, n in sorted(sends.items())}
    reasons = Counter(attempt["reason"] for attempt in attempts)
    return (
        f"{fault}: {sum(sends.values())} sends, {total} executions, at most {highest}"
        f" of one request at one level, deepest/sends {reached},"
        f" reasons {dict(reasons)}"
    )


def run_policy(policy, faults, duration_s, rate, chains=CHAINS):
    """Run each fault in one mesh; yield (fault, attempts, counts, excess)."""
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
        """Callers and upstreams retry, and upstreams make parallel calls."""
        for fault, attempts, counts, excess in run_policy("budget", FAULTS, 4.0, 8.0):
            with self.subTest(fault=fault):
                print(describe_run(fault, attempts, counts), flush=True)
                self.assertEqual([], excess)
                reached = {chain for chain, level in counts if level == LEVELS - 1}
                # The check is void if no call reached the failing upstreams.
                self.assertEqual(set(CHAINS), reached)
                if fault == "fails":
                    # Retries must be left for the last level, not all used up on
                    # the levels before it.
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
    arguments = parser.parse_args()
    faults, chains = arguments.faults.split(","), arguments.chains.split(",")
    failed = 0
    runs = run_policy(
        arguments.policy, faults, arguments.duration, arguments.rate, chains
    )
    for fault, attempts, counts, excess in runs:
        print(describe_run(fault, attempts, counts), flush=True)
        print(f"  excess: {excess[:4] or 'none'} ({len(excess)})", flush=True)
        failed += bool(excess)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
