"""A small mesh under real traffic, from start to graceful stop, in a minute.

::

    python -m bench.demo

The mesh follows the Pawtrait deployment at a fifth of its size. While the load
runs, the checkout service is ten times slower for three seconds. The exit status
is 1 if a process did not end with status 0, or if a call was not whole and the
answer stated no reason.
"""

import argparse
import collections
import tempfile
import time

from bench.deployments import (
    PAWTRAIT,
    compute_capacity,
    make_deployment_hosts,
    make_load_plan,
    make_organisations,
    make_profiles,
    make_settings,
)
from bench.measures import (
    count_within_rate,
    find_recovery,
    join_requests,
    read_attempts,
)
from bench.running import (
    finish_load,
    give_keys,
    make_writes,
    run_operator,
    run_operators,
    start_load,
)
from standins.mesh import (
    port_of,
    set_behaviour,
    start_mesh,
    stop_mesh,
    wait_until_ready,
)

FRACTION = 0.2
SERVICE_S = 0.1
# Of the capacity; leaves room for the other work of a developer's machine.
UTILISATION = 0.5
RATE_FACTOR = 2.0
UPLOAD_BYTES = 2_000_000
LOAD_S, TRIGGER_S, TRIGGER_LENGTH_S = 15.0, 4.0, 3.0
# Rate shares start empty and are divided by demand, so traffic runs for a while
# before it is measured.
WARM_UP_S = 5.0


def configure(mesh, rate):
    """Write profiles and organisations, give keys and wait until in force."""
    specs = make_organisations(rate, RATE_FACTOR)
    run_operators(
        mesh,
        make_writes("profile", make_profiles(PAWTRAIT))
        + make_writes("organisation", specs),
    )
    keys = give_keys(mesh, specs)
    wait_until_ready(mesh)
    first = port_of(mesh, f"daemon/{next(iter(mesh.hosts))}", "operators")
    limit = time.monotonic() + 10
    while "key/" in (
        run_operator(mesh, "in-force", "--behind", operators=f"127.0.0.1:{first}")
    ):
        if time.monotonic() > limit:
            raise TimeoutError("the keys are not in force after 10 s")
    return keys


def slow_down(mesh, factor):
    """Change the speed of every instance of the deep service."""
    for name, host in mesh.hosts.items():
        if host["upstream"]["service"] == PAWTRAIT["deep_service"]:
            set_behaviour(mesh, name, service_factor=factor)


def warm_up(mesh, plan):
    """Run the same traffic before the measured one."""
    phases = [{"duration_s": WARM_UP_S}]
    process, _ = start_load(mesh, {**plan, "name": "w", "phases": phases})
    finish_load(process, WARM_UP_S + 20)


def run_traffic(mesh, plan):
    """Run the load with the trigger; return (totals, attempts, trigger times)."""
    process, records = start_load(mesh, plan)
    try:
        time.sleep(TRIGGER_S)
        began = time.monotonic()
        slow_down(mesh, 10.0)
        time.sleep(TRIGGER_LENGTH_S)
        slow_down(mesh, 1.0)
        ended = time.monotonic()
        totals = finish_load(process, LOAD_S + 20)
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()
    return totals, read_attempts(records), (began, ended)


def count_unexplained(attempts):
    """Return the calls that were not whole for no stated reason, by what came."""
    return collections.Counter(
        f"{attempt['route']}: status {attempt['status']}, error {attempt['error']}"
        for attempt in attempts
        if not attempt["whole"] and not attempt["reason"]
    )


def describe_recovery(seconds):
    """Return a recovery time as text."""
    return "not within the run" if seconds is None else f"{seconds:.1f} s"


def print_measures(organisations, totals, attempts, trigger, offered):
    """Print the four measures and what they were counted from."""
    requests = join_requests(attempts)
    first, last = requests[0][0], requests[-1][0]
    recovery = find_recovery(requests, (first, trigger[0]), trigger[1], last)
    worst, refused = count_within_rate(organisations, attempts)
    print(f"requests            {totals['requests']} ({offered:.0f} a second)")
    print(
        f"goodput             {totals['goodput']:.1f} whole requests a second,"
        f" {totals['weighted_goodput']:.1f} by weight of"
        f" {totals['offered_weight']:.1f} offered"
    )
    print(f"recovery time       {describe_recovery(recovery)} after the slow checkout")
    print(f"worst-served        {worst:.2%} of an organisation's requests in its rate")
    print(f"refused within rate {refused:.2%} at the organisation with the most")
    p99 = totals["latency_s"].get("p99", float("nan"))
    print(f"latency             p99 {p99 * 1000:.0f} ms")
    print(f"refusals            {totals['refusals'] or 'none'}")


def main():
    """Run the demonstration and end with its exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--directory", help="keeps logs and records here")
    arguments = parser.parse_args()
    began = time.monotonic()
    rate = UTILISATION * compute_capacity(PAWTRAIT, FRACTION, SERVICE_S)
    with tempfile.TemporaryDirectory(prefix="demo-") as folder:
        mesh = start_mesh(
            {
                "hosts": make_deployment_hosts(PAWTRAIT, FRACTION, SERVICE_S),
                "settings": make_settings(PAWTRAIT, FRACTION),
                "directory": arguments.directory or folder,
            }
        )
        try:
            print(f"started {len(mesh.processes)} processes, logs in {mesh.directory}")
            keys = configure(mesh, rate)
            print(f"gave {len(keys)} keys; load for {LOAD_S:g} s", flush=True)
            plan = make_load_plan(PAWTRAIT, mesh, keys, rate, RATE_FACTOR, UPLOAD_BYTES)
            warm_up(mesh, plan)
            phases = [{"duration_s": LOAD_S}]
            results = run_traffic(
                mesh, {**plan, "name": "d", "seed": arguments.seed, "phases": phases}
            )
        finally:
            statuses = stop_mesh(mesh)
    print_measures(plan["organisations"], *results, rate)
    failed = {name: status for name, status in statuses.items() if status}
    unexplained = count_unexplained(results[1])
    for name, status in failed.items():
        print(f"FAILED {name} ended with {status}")
    for what, count in unexplained.items():
        print(f"FAILED {count} calls not whole without a reason: {what}")
    print(f"stopped {len(statuses)} processes; {time.monotonic() - began:.0f} s in all")
    raise SystemExit(1 if failed or unexplained else 0)


if __name__ == "__main__":
    main()
