"""Resources that the daemons of real meshes use."""

import contextlib
import http.client
import json
import re
import statistics
import time
from functools import partial

from bench.slopes.fit import read_cpu, read_rss, report
from integration.meshes import ROUTES, prepare_mesh, wait_for
from standins.mesh import (
    call_json,
    make_hosts,
    port_of,
    put_object,
    read_counts,
    read_state,
    restart_process,
    run_mesh,
    set_behaviour,
    set_faults,
    wait_until_ready,
)

SETTINGS = {"gossip_period_s": 1}


def make_plan(count, zones=3, **settings):
    """Return the plan of a mesh of ``count`` hosts whose upstreams respond at once."""
    names = {f"z{zone}": count // zones for zone in range(zones)}
    upstream = {"routes": ROUTES, "behaviour": {"service_s": 0.0}}
    return {
        "hosts": make_hosts("checkout", names, **upstream),
        "settings": {**SETTINGS, **settings},
    }


def list_daemons(mesh):
    """Return the process identifiers of the daemons, in the order of the hosts."""
    return [mesh.processes[f"daemon/{host}"].pid for host in mesh.hosts]


def read_metric(mesh, host, name):
    """Return the sum of a counter of a daemon over all its labels.

    The name is without ``egretlift_`` and ``_total``.
    """
    port = port_of(mesh, f"daemon/{host}", "operators")
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    with contextlib.closing(connection):
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
    values = re.findall(rf"^egretlift_{name}_total\S* (\S+)$", text, re.MULTILINE)
    return sum(map(float, values))


def measure_idle_usage(mesh, duration_s):
    """Return what an idle mesh uses, by name.

    Control bytes, gossip exchanges and platform calls a second, CPU cores and bytes of
    resident memory are means per daemon. Calls that the platform received (``watch``,
    ``list`` and ``put``) are totals of the mesh, a second.
    """
    counters = ("control_bytes", "gossip_exchanges", "platform_calls")

    def read():
        found = dict.fromkeys(counters, 0.0)
        for host in mesh.hosts:
            for name in counters:
                found[name] += read_metric(mesh, host, name)
        calls = read_counts(mesh)["calls"]
        found.update({kind: calls.get(kind, 0) for kind in ("watch", "list", "put")})
        return found

    before = read()
    used = sum(map(read_cpu, list_daemons(mesh)))
    started = time.monotonic()
    time.sleep(duration_s)
    elapsed = time.monotonic() - started
    used = sum(map(read_cpu, list_daemons(mesh))) - used
    after = read()
    count = len(mesh.hosts)
    usage = {name: (after[name] - before[name]) / elapsed for name in before}
    for name in counters:
        usage[name] /= count
    usage["cpu"] = used / elapsed / count
    usage["memory"] = sum(map(read_rss, list_daemons(mesh))) / count
    return usage


def measure_idle():
    """Print CPU and control bytes of an idle daemon by gossip exchanges a second."""
    cpu, sent = [], []
    for period_s in (2, 0.5, 0.2, 0.1):
        with run_mesh(make_plan(6, gossip_period_s=period_s)) as mesh:
            prepare_mesh(mesh, {"o1": (100, 100)})
            time.sleep(3)
            usage = measure_idle_usage(mesh, 10)
        cpu.append((usage["gossip_exchanges"], usage["cpu"]))
        sent.append((usage["gossip_exchanges"], usage["control_bytes"]))
    report("idle CPU of a daemon by exchanges it starts a second", cpu, "cores")
    report("control bytes a second by exchanges", sent, "B/s")


def has_revision(mesh, revision):
    """Return whether every daemon has reached a configuration revision."""
    states = (read_state(mesh, host) for host in mesh.hosts)
    return all(state["configuration"]["revision"] >= revision for state in states)


def measure_convergence(mesh, count=5):
    """Return median seconds until all daemons know of a change.

    Returns
    -------
    tuple of (float, float)
        For a changed organisation, and for a member that starts to drain.
    """
    hosts, times = list(mesh.hosts), ([], [])
    for iteration in range(count):
        spec = {"rate": 100 + iteration, "burst": 100}
        revision = put_object(mesh, "organisation", "o1", spec)
        written = time.time()
        wait_for(partial(has_revision, mesh, revision), 20, "daemons lack a change")
        times[0].append(
            measure_time_to_last_event(
                mesh, "configuration-in-force", written, revision
            )
        )
        host = hosts[iteration]
        # Otherwise the next announcement of the upstream would end the draining.
        set_behaviour(mesh, host, announce=False)
        time.sleep(0.1)
        port = port_of(mesh, f"daemon/{host}", "upstream")
        call_json(port, "POST", "/drain")
        left = time.time()
        wait_for(
            partial(has_seen_status, mesh, host, "draining"),
            20,
            "daemons lack a change",
        )
        times[1].append(measure_time_to_last_event(mesh, "member-changed", left, host))
        set_behaviour(mesh, host, announce=True)
        time.sleep(1.5)
    return tuple(map(statistics.median, times))


def has_seen_status(mesh, host, status):
    """Return whether every other daemon logged that a member changed to a status."""
    pattern = f"event=member-changed .*member={host} status={status}"
    other_hosts = (other for other in mesh.hosts if other != host)
    return all(re.search(pattern, read_log(mesh, other)) for other in other_hosts)


def read_log(mesh, host):
    """Return the log of a daemon."""
    return (mesh.directory / f"daemon-{host}.log").read_text(errors="replace")


def measure_time_to_last_event(mesh, event, since, value):
    """Return the seconds from ``since`` until the last daemon recorded an event.

    The event must have the value as its revision or member. The first such event of
    each daemon counts, from 0.5 s before ``since`` (wall-clock time) on. Daemons
    without one are left out. The result is 0 if no event is later than ``since``.
    """
    last = since
    for host in mesh.hosts:
        port = port_of(mesh, f"daemon/{host}", "operators")
        _, body = call_json(port, "GET", "/events?after=0")
        wall_times = [
            item["wall_s"]
            for item in body["events"]
            if item["event"] == event
            and value in (item.get("revision"), item.get("member"))
            and item["wall_s"] >= since - 0.5
        ]
        last = max([last, *wall_times[:1]])
    return last - since


def measure_mesh():
    """Print idle usage and convergence of real meshes by their size."""
    rows = {}
    for count in (6, 12, 24):
        with run_mesh(make_plan(count)) as mesh:
            prepare_mesh(mesh, {"o1": (100, 100)})
            time.sleep(4)
            rows[count] = measure_idle_usage(mesh, 15)
            change, member = measure_convergence(mesh)
            rows[count].update(change=change, member=member)
    for name in next(iter(rows.values())):
        report(f"mesh {name}", [(n, row[name]) for n, row in rows.items()], "")
    points = []
    for zones in (2, 4, 8):
        with run_mesh(make_plan(2 * zones, zones)) as mesh:
            prepare_mesh(mesh, {"o1": (100, 100)})
            time.sleep(4)
            usage = measure_idle_usage(mesh, 10)
            print(f"zones {zones}, 2 watchers each: {json.dumps(usage)}", flush=True)
            points.append((2 * zones * zones, usage["watch"]))
    report("watch calls a second by watchers x zones", points, "calls/s")


def measure_restarts():
    """Print platform calls by restarts of daemons, and during and after an outage."""
    with run_mesh(make_plan(12)) as mesh:
        prepare_mesh(mesh, {"o1": (1000, 1000)})
        time.sleep(4)
        names = [f"daemon/{host}" for host in mesh.hosts if host[-1] in "34"]
        points = []
        for count in (1, 2, 4):
            before, started = read_counts(mesh)["calls"], time.monotonic()
            for name in names[:count]:
                restart_process(mesh, name, 10)
            wait_until_ready(mesh)
            time.sleep(1)
            after, elapsed = read_counts(mesh)["calls"], time.monotonic() - started
            difference = {key: after[key] - before.get(key, 0) for key in after}
            print(f"restarts {count}, {elapsed:.1f} s: {json.dumps(difference)}")
            points.append((count, difference.get("list", 0)))
        report("platform lists by restarts", points, "calls")
        before = read_counts(mesh)["calls"]
        set_faults(mesh, outage=True)
        time.sleep(10)
        after = read_counts(mesh)["calls"]
        set_faults(mesh, outage=False)
        time.sleep(10)
        later = read_counts(mesh)["calls"]
        for name, first, last in (("outage", before, after), ("return", after, later)):
            rates = {key: (last[key] - first.get(key, 0)) / 10 for key in last}
            print(f"platform calls a second, {name}: {json.dumps(rates)}", flush=True)
