"""Compare egretlift with two simpler policies under faults and overload.

::

    python -m bench.experiment --output results.json --plot results.png

Every scenario runs on a new mesh of real processes for each deployment and policy.
The baselines are settings of the same daemon: ``none`` has no admission control and
three tries per hop, ``fixed`` has concurrency limits equal to the slots of each
upstream and three tries per hop. A run consists of a warm-up, a period before the
trigger, the trigger and a period after it; only the last three are measured. The
trigger is the fault or overload of the scenario.
"""

import argparse
import collections
import datetime
import json
import os
import secrets
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor

from bench.deployments import (
    DEPLOYMENTS,
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
from bench.running import finish_load, start_load
from egretlift.identity import generate_key, hash_key
from standins.mesh import (
    kill_process,
    put_object,
    read_all_executions,
    set_behaviour,
    set_faults,
    set_link,
    start_mesh,
    start_process,
    stop_mesh,
    wait_until_ready,
)
from standins.totals import mark_in_rate

# Makes the capacities of the two meshes about equal, near 230 requests a second,
# which is far below the limit of the load generator.
FRACTIONS = {"pawtrait": 0.2, "bayt": 0.1}
SERVICE_S = 0.1
COLD_START_S = 3.0
UPLOAD_BYTES = 300_000
# Share of the capacity. Without one of three zones, two thirds of it are left.
UTILISATION = 0.55
# Rate limit of an organisation over what it sends: large, so that the traffic of a
# zone does not exceed the zone's share of the rate.
RATE_FACTOR = 2.0
WARM_UP_S, BEFORE_S, TRIGGER_S, AFTER_S = 4.0, 4.0, 4.0, 8.0
GREEDY_ORGANISATION = "harbour"
AGGRESSIVE_RESENDS = {"count": 3, "backoff_s": 0.1, "jitter": 0.5}

BASELINE = {"retry-policy": "fixed", "fixed-tries": 3}
POLICIES = {
    "egretlift": {},
    "fixed": {"admission-policy": "fixed", **BASELINE},
    "none": {"admission-policy": "none", **BASELINE},
}


def list_service_hosts(mesh, service):
    """Return the names of the hosts of one service."""
    return [
        name
        for name, host in mesh.hosts.items()
        if host["upstream"]["service"] == service
    ]


def set_service_factor(mesh, deployment, factor):
    """Multiply the service time of every instance of the deep service by a factor."""
    for name in list_service_hosts(mesh, deployment["deep_service"]):
        set_behaviour(mesh, name, service_factor=factor)


def list_zone_processes(mesh, deployment):
    """Return the processes of the last zone, upstreams first."""
    zone = deployment["zones"][-1]
    names = [name for name, host in mesh.hosts.items() if host["zone"] == zone]
    return [f"{kind}/{name}" for kind in ("upstream", "daemon") for name in names]


def kill_zone(mesh, deployment):
    """Kill all processes of the last zone at once."""
    for name in list_zone_processes(mesh, deployment):
        kill_process(mesh, name)


def restore_zone(mesh, deployment):
    """Start the processes of the last zone again."""
    for name in list_zone_processes(mesh, deployment):
        start_process(mesh, name)


def restart_cold(mesh, deployment):
    """Kill and restart every upstream of the deep service at once.

    Each is slow for ``COLD_START_S`` after its start.
    """
    names = [
        f"upstream/{n}" for n in list_service_hosts(mesh, deployment["deep_service"])
    ]
    for name in names:
        kill_process(mesh, name)
    for name in names:
        start_process(mesh, name)


# Functions called at the start and the end of the trigger, multipliers of the load
# during the trigger, resends by the callers, and the rate limit of each organisation
# over what it sends outside the trigger.
SCENARIOS = {
    "steady": {},
    "slow-deep-service": {
        "start": lambda mesh, deployment: set_service_factor(mesh, deployment, 10.0),
        "end": lambda mesh, deployment: set_service_factor(mesh, deployment, 1.0),
        "resends": AGGRESSIVE_RESENDS,
    },
    "greedy-organisation": {
        "phase": {"organisations": {GREEDY_ORGANISATION: 5 * RATE_FACTOR}}
    },
    # The surge is within the organisations' rates, so only admission control sheds it.
    "surge": {"phase": {"multiplier": 3.0}, "rate_factor": 4.0},
    "platform-outage": {
        "start": lambda mesh, _: set_faults(mesh, outage=True),
        "end": lambda mesh, _: set_faults(mesh, outage=False),
    },
    "zone-lost": {
        "start": kill_zone,
        "end": restore_zone,
        "resends": AGGRESSIVE_RESENDS,
    },
    # The trigger lasts longer than the cold start and includes it.
    "cold-restart": {"start": restart_cold, "resends": AGGRESSIVE_RESENDS},
}


def make_plan(deployment, fraction, policy, folder, zone_delays):
    """Return the plan of a mesh, with the settings of the policy."""
    hosts = make_deployment_hosts(
        deployment, fraction, SERVICE_S, cold_start_s=COLD_START_S
    )
    for host in hosts:
        if policy == "fixed":
            host["settings"] = {"limit-initial": max(2, host["upstream"]["slots"])}
    return {
        "hosts": hosts,
        "links": "zones" if zone_delays else None,
        "settings": make_settings(deployment, fraction) | POLICIES[policy],
        "directory": folder,
    }


def set_zone_delays(mesh, deployment):
    """Delay each link from one zone to another by half of ``zone_delay_s``."""
    for source in deployment["zones"]:
        for target in deployment["zones"]:
            if source != target:
                delay_s = deployment["zone_delay_s"] / 2
                set_link(mesh, source, target, delay_s=delay_s)


def configure(mesh, deployment, rate, rate_factor):
    """Write all objects, wait until they are in force, return keys by organisation."""
    for name, spec in make_profiles(deployment).items():
        put_object(mesh, "profile", name, spec)
    keys = {}
    for name, spec in make_organisations(rate, rate_factor).items():
        put_object(mesh, "organisation", name, spec)
        keys[name] = generate_key(name, secrets.token_bytes(32))
        spec = {"organisation": name}
        revision = put_object(mesh, "key", hash_key(keys[name]), spec)
    wait_until_ready(mesh, revision=revision)
    return keys


def run_trigger(mesh, deployment, scenario, plan):
    """Run the load and the trigger.

    Returns
    -------
    totals : dict
        Totals of the load generator.
    attempts : list of dict
        See `bench.measures.read_attempts`.
    trigger : tuple of (float, float)
        Start and end of the trigger, in monotonic seconds.
    """
    process, records = start_load(mesh, plan)
    try:
        # The load generator opens the file of its records just before it begins.
        while not records.exists():
            time.sleep(0.02)
        time.sleep(BEFORE_S)
        began = time.monotonic()
        scenario.get("start", lambda *_: None)(mesh, deployment)
        time.sleep(max(0.0, began + TRIGGER_S - time.monotonic()))
        scenario.get("end", lambda *_: None)(mesh, deployment)
        ended = time.monotonic()
        totals = finish_load(process, AFTER_S + 40)
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()
    return totals, read_attempts(records), (began, ended)


def count_executions(mesh):
    """Return the mean executions of requests that ran, at the service with the most.

    A request is one attempt of a caller; a resend counts as another request.
    """
    counts = collections.defaultdict(collections.Counter)
    for host, rows in read_all_executions(mesh).items():
        for row in rows:
            service = mesh.hosts[host]["upstream"]["service"]
            counts[service][row["request_id"]] += 1
    return max(sum(found.values()) / len(found) for found in counts.values() if found)


def compute_goodput(organisations, attempts, trigger, capacity):
    """Return goodput during the trigger as a share of the possible goodput.

    The possible goodput is the number of requests sent within the rates, or the
    capacity if that is less. It is given the mean weight of all requests sent during
    the trigger.

    Returns
    -------
    by_count, by_weight : float
        Whole requests and their weight, over what was possible.
    """
    in_rate = mark_in_rate({"organisations": organisations}, attempts)
    weights, whole, sent_in_rate = {}, set(), 0
    for attempt in attempts:
        if trigger[0] <= attempt["scheduled"] < trigger[1]:
            weights[attempt["request"]] = attempt["weight"]
            sent_in_rate += attempt["attempt"] == 0 and attempt["request_id"] in in_rate
            if attempt["whole"]:
                whole.add(attempt["request"])
    possible = max(1.0, min(sent_in_rate, capacity * (trigger[1] - trigger[0])))
    mean_weight = sum(weights.values()) / max(1, len(weights)) or 1.0
    whole_weight = sum(weights[request] for request in whole)
    return len(whole) / possible, whole_weight / mean_weight / possible


def summarise(mesh, organisations, results, capacity):
    """Return the measures of one run."""
    totals, attempts, trigger = results
    requests = merge_attempts(attempts)
    first, last = requests[0][0], requests[-1][0]
    worst, refused = count_within_rate(organisations, attempts)
    by_count, by_weight = compute_goodput(organisations, attempts, trigger, capacity)
    return {
        "goodput": by_count,
        "weighted_goodput": by_weight,
        "whole_share": totals["whole"] / totals["requests"],
        "recovery_s": find_recovery(requests, (first, trigger[0]), trigger[1], last),
        "worst_served": worst,
        "refused_within_rate": refused,
        "executions": count_executions(mesh),
        "refusals": totals["refusals"],
        "errors": totals["errors"],
        "mismatched": totals["mismatched"],
        "contradictions": totals["contradictions"],
        "requests": totals["requests"],
        "lag_s": totals["generator_lag_s"],
        "seconds": totals["seconds"],
        "load_average": os.getloadavg()[0],
    }


def run_scenario(name, deployment_name, policy, seed, zone_delays):
    """Run one scenario on a new mesh and return its measures.

    ``bad_statuses`` holds the exit statuses other than 0, by process.
    """
    scenario = SCENARIOS[name]
    deployment, fraction = DEPLOYMENTS[deployment_name], FRACTIONS[deployment_name]
    capacity = compute_capacity(deployment, fraction, SERVICE_S)
    rate, factor = UTILISATION * capacity, scenario.get("rate_factor", RATE_FACTOR)
    with tempfile.TemporaryDirectory(prefix="experiment-") as folder:
        mesh = start_mesh(make_plan(deployment, fraction, policy, folder, zone_delays))
        statuses = {}
        try:
            if zone_delays:
                set_zone_delays(mesh, deployment)
            keys = configure(mesh, deployment, rate, factor)
            plan = make_load_plan(deployment, mesh, keys, rate, factor, UPLOAD_BYTES)
            warm_up = {"name": "w", "phases": [{"duration_s": WARM_UP_S}]}
            finish_load(start_load(mesh, plan | warm_up)[0], WARM_UP_S + 20)
            phases = [
                {"duration_s": BEFORE_S},
                {"duration_s": TRIGGER_S, **scenario.get("phase", {})},
                {"duration_s": AFTER_S},
            ]
            plan |= {"name": "r", "seed": seed, "phases": phases}
            plan |= {"resends": scenario.get("resends", {})}
            results = run_trigger(mesh, deployment, scenario, plan)
        finally:
            statuses = stop_mesh(mesh)
        measures = summarise(mesh, plan["organisations"], results, capacity)
    return measures | {"bad_statuses": {n: s for n, s in statuses.items() if s}}


def run_deployment(deployment_name, arguments):
    """Run every scenario and policy on one deployment; return a list of rows.

    A run that raises an exception gets a row with ``failed`` instead of measures.
    """
    rows = []
    for seed in arguments.seeds:
        for name in arguments.scenarios:
            for policy in arguments.policies:
                row = {"deployment": deployment_name, "scenario": name}
                row |= {"policy": policy, "seed": seed}
                try:
                    row |= run_scenario(
                        name, deployment_name, policy, seed, arguments.zone_delays
                    )
                except Exception as error:
                    row["failed"] = repr(error)[:500]
                rows.append(row)
                print(format_row(row), flush=True)
    return rows


def format_row(row):
    """Return a row as a line of a Markdown table."""
    cells = [row["deployment"], row["scenario"], row["policy"], str(row["seed"])]
    if "failed" in row:
        return f"| {' | '.join(cells)} | failed: {row['failed']} |"
    shares = ("goodput", "weighted_goodput", "worst_served", "refused_within_rate")
    cells += ["-" if row[name] is None else f"{row[name]:.1%}" for name in shares]
    recovery = row["recovery_s"]
    cells.append("none" if recovery is None else f"{recovery:.1f}")
    return f"| {' | '.join(cells)} | {row['executions']:.2f} |"


def main():
    """Run the experiment, print a row per run and write the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    names = {"deployments": DEPLOYMENTS, "scenarios": SCENARIOS, "policies": POLICIES}
    for flag, choices in names.items():
        parser.add_argument(
            f"--{flag}", nargs="+", choices=choices, default=list(choices)
        )
    parser.add_argument("--at-once", type=int, default=1, choices=(1, 2))
    parser.add_argument("--zone-delays", action="store_true")
    parser.add_argument("--output", default="results.json")
    parser.add_argument("--plot", help="file for the plot")
    arguments = parser.parse_args()
    with ThreadPoolExecutor(arguments.at_once) as pool:
        rows = sum(
            pool.map(
                lambda name: run_deployment(name, arguments), arguments.deployments
            ),
            [],
        )
    now = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
    with open(arguments.output, "w") as file:
        json.dump({"finished": now, "cores": os.cpu_count(), "rows": rows}, file)
    if arguments.plot:
        # Imported here, since only the plot needs matplotlib.
        from bench.plot import plot_results

        plot_results(rows, arguments.plot)


if __name__ == "__main__":
    main()
