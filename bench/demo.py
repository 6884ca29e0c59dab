"""Run a small mesh under real traffic for a minute, from start to graceful stop.

::

    python -m bench.demo

The mesh follows the Pawtrait deployment at a fifth of its size. While the load
runs, the checkout service is ten times slower for three seconds. The exit status
is 1 if a process did not end with status 0, or if a call was not whole (see
`bench.measures`) and the response stated no reason.
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
    merge_attempts,
    read_attempts,
)
from bench.running import (
    finish_load,
    issue_keys,
    make_write_commands,
    run_command,
    run_commands,
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
# Share of the capacity. Leaves room for other programs on a developer's machine.
UTILISATION = 0.5
RATE_FACTOR = 2.0
UPLOAD_BYTES = 2_000_000
LOAD_S, TRIGGER_S, TRIGGER_LENGTH_S = 15.0, 4.0, 3.0
# The rate of an organisation is divided among the daemons by demand, and each starts
# without a share of it, so traffic runs for a while before it is measured.
WARM_UP_S = 5.0


def configure(mesh, rate):
    """Write profiles and organisations, issue keys and wait until they are in force.

    Returns
    -------
    dict of str to str
        Keys by organisation.

    Raises
    ------
    TimeoutError
        If a daemon does not apply the keys within 10 s.
    """
    specs = make_organisations(rate, RATE_FACTOR)
    run_commands(
        mesh,
        make_write_commands("profile", make_profiles(PAWTRAIT))
        + make_write_commands("organisation", specs),
    )
    keys = issue_keys(mesh, specs)
    wait_until_ready(mesh)
    first = port_of(mesh, f"daemon/{next(iter(mesh.hosts))}", "operators")
    limit = time.monotonic() + 10
    while "key/" in (
        run_command(mesh, "in-force", "--behind", operators=f"127.0.0.1:{first}")
    ):
        if time.monotonic() > limit:
            raise TimeoutError(
                "the keys are not in force after 10 s;"
                " run with --directory to keep the daemons' logs"
            )
    return keys


def set_service_factor(mesh, factor):
    """Multiply the service time of every instance of the deep service by a factor."""
    for name, host in mesh.hosts.items():
        if host["upstream"]["service"] == PAWTRAIT["deep_service"]:
            set_behaviour(mesh, name, service_factor=factor)


def warm_up(mesh, plan):
    """Run the traffic of the plan for ``WARM_UP_S``, unmeasured."""
    phases = [{"duration_s": WARM_UP_S}]
    process, _ = start_load(mesh, {**plan, "name": "w", "phases": phases})
    finish_load(process, WARM_UP_S + 20)


def run_traffic(mesh, plan):
    """Run the load and slow the deep service down meanwhile.

    Returns
    -------
    totals : dict
        Totals of the load generator.
    attempts : list of dict
        See `bench.measures.read_attempts`.
    trigger : tuple of (float, float)
        Start and end of the slowdown, in monotonic seconds.
    """
    process, records = start_load(mesh, plan)
    try:
        time.sleep(TRIGGER_S)
        began = time.monotonic()
        set_service_factor(mesh, 10.0)
        time.sleep(TRIGGER_LENGTH_S)
        set_service_factor(mesh, 1.0)
        ended = time.monotonic()
        totals = finish_load(process, LOAD_S + 20)
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()
    return totals, read_attempts(records), (began, ended)


def count_failures_without_reason(attempts):
    """Count attempts that were not whole and whose response stated no reason.

    Returns
    -------
    collections.Counter
        Counts by a text of route, status and error.
    """
    return collections.Counter(
        f"{attempt['route']}: status {attempt['status']}, error {attempt['error']}"
        for attempt in attempts
        if not attempt["whole"] and not attempt["reason"]
    )


def describe_recovery(seconds):
    """Return a recovery time as text; None stands for no recovery."""
    return "not within the run" if seconds is None else f"{seconds:.1f} s"


def print_measures(organisations, totals, attempts, trigger, offered):
    """Print the measures of a run.

    ``trigger`` is the start and end of the slowdown in monotonic seconds, and
    ``offered`` the planned requests a second.
    """
    requests = merge_attempts(attempts)
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
    """Run the demonstration and exit with its status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--directory", help="where to keep logs and records")
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
    without_reason = count_failures_without_reason(results[1])
    for name, status in failed.items():
        print(f"FAILED {name} ended with {status}")
    for failure, count in without_reason.items():
        print(f"FAILED {count} calls not whole without a reason: {failure}")
    print(f"stopped {len(statuses)} processes; {time.monotonic() - began:.0f} s in all")
    raise SystemExit(1 if failed or without_reason else 0)


if __name__ == "__main__":
    main()
