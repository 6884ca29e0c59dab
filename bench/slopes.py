"""Measure the cost of one more member, object, call or gossip exchange to a daemon.

Most measurements run on three or more sizes and print the values and the slope of the
line fitted through them by least squares::

    python -m bench.slopes imports memory messages
    python -m bench.slopes control calls idle
    python -m bench.slopes mesh restarts spread

``docs/CAPACITY.md`` derives the resources that each role needs from these slopes.
"""

import argparse
import concurrent.futures
import contextlib
import hashlib
import heapq
import http.client
import json
import os
import random
import re
import statistics
import subprocess
import sys
import time
from functools import partial
from pathlib import Path

import anyio

from egretlift.blackboard import Blackboard
from egretlift.configuration import (
    Catalog,
    decode_object,
    digest_catalog,
    list_objects_after,
    merge_objects,
)
from egretlift.daemon.gossip import (
    MEMBERS_FOR_JOINING,
    MEMBERS_FOR_REPAIR,
    answer_gossip,
    choose_gossip_target,
    make_gossip,
    merge_exchange,
)
from egretlift.daemon.operators import describe_state
from egretlift.daemon.zone import list_standbys
from egretlift.idempotency import Ledger, open_record
from egretlift.membership import (
    Member,
    MemberTable,
    digest_table,
    expire_suspects,
    forget_members,
    merge_members,
    select_updates,
)
from egretlift.membership.table import copy_member
from egretlift.quotas import (
    AllocationRequest,
    allocate,
    start_allocator,
)
from egretlift.settings import Settings
from egretlift.transport.codec import pack_allocation, pack_request
from egretlift.transport.control import call_control, close_channels
from egretlift.transport.generated import control_pb2 as pb
from integration.meshes import ROUTES, make_key, prepare_mesh, wait_for
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

LIBRARIES = ("aiohttp", "grpclib", "hypercorn", "httpx", "eliot", "aioprometheus")
IMPORTS = {
    "bare": "pass",
    **{name: f"import {name}" for name in LIBRARIES},
    "grpclib+protobuf": "import egretlift.transport.control",
    "hypercorn.asyncio": "import hypercorn.asyncio",
    "all six": "import " + ", ".join(LIBRARIES),
    "daemon": "import egretlift.daemon.main",
}
# HTTP/2 frame headers, indexed header fields and gRPC prefixes of a call and its reply.
FRAME_BYTES = 200
PORTS = ("caller_port", "peer_port", "control_port", "operators_port")
SETTINGS = {"gossip_period_s": 1}


def fit_slope(points):
    """Return (slope, intercept) of the least-squares line through points of (x, y).

    Examples
    --------
    >>> fit_slope([(1, 3.0), (2, 5.0), (4, 9.0)])
    (2.0, 1.0)
    """
    line = statistics.linear_regression(*zip(*points, strict=True))
    return line.slope, line.intercept


def report(name, points, unit):
    """Print the measured points of (x, y) and the line fitted through them."""
    slope, intercept = fit_slope(points)
    formatted = ", ".join(f"{x:g}: {y:.6g}" for x, y in points)
    print(f"{name}: {formatted} {unit}; slope {slope:.4g}, intercept {intercept:.4g}")
    sys.stdout.flush()


def read_rss(pid):
    """Return the resident memory of a process in bytes, from ``/proc``."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) * 1024


def read_cpu(pid):
    """Return the CPU time of a process in seconds, of its main thread only."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def make_member(number, routes=len(ROUTES)):
    """Return a member record of the size that is expected in two years.

    The number selects the service (of 1,800), zone (of 18) and address.
    """
    service = f"service-{number % 1800:04d}"
    return Member(
        host=f"{service}-{number:05d}",
        incarnation=1_796_360_000_000 + number,
        version=3,
        zone=f"region-{number % 6}-{number % 18}",
        service=service,
        address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}",
        status="alive",
        routes=[tuple(route.values()) for route in ROUTES[:routes]],
        **{name: 7400 + place for place, name in enumerate(PORTS)},
    )


def make_objects(count, kind="key"):
    """Return configuration objects of a kind, with the names and specs of keys."""
    return [
        decode_object(
            {
                "kind": kind,
                "name": hashlib.sha256(str(number).encode()).hexdigest(),
                "revision": number + 1,
                "spec": {"organisation": f"organisation-{number % 100}"},
            }
        )
        for number in range(count)
    ]


def make_board(members=100, objects=100, zones=18):
    """Return the state of a daemon that runs alone, filled with records."""
    secret = "mesh secret for tests only"
    settings = {"host": "me", "zone": "region-0-0", "mesh_secret": secret}
    board = Blackboard(Settings(settings), 1)
    merge_members(board.members, 0.0, map(make_member, range(members)))
    merge_objects(board.catalog, make_objects(objects))
    board.members.send_counts.clear()
    board.catalog_complete = True
    for zone in range(zones):
        holder = f"service-{zone:04d}-{zone:05d}"
        board.holders[f"region-{zone % 6}-{zone}"] = (100, holder)
    return board


def make_request(host, organisation="organisation-1", number=1):
    """Return the allocation request of a host, given by its number.

    ``number`` is the sequence number of the request.
    """
    name, started = f"host-{host}", 1_796_360_000_000
    return AllocationRequest(name, started, organisation, demand=10.0, number=number)


def build_member_table(count):
    """Return a member table of a number of members."""
    table = MemberTable("me")
    merge_members(table, 0.0, map(make_member, range(count)))
    table.send_counts.clear()
    return table


def build_catalog(count):
    """Return a catalog of a number of keys."""
    catalog = Catalog()
    merge_objects(catalog, make_objects(count))
    return catalog


def build_ledger(count):
    """Return a ledger of a number of identifiers, of eight organisations."""
    ledger, settings = Ledger(), Settings({"ledger_records": 10**6})
    for number in range(count):
        text = hashlib.sha256(str(number).encode()).hexdigest()
        open_record(ledger, settings, 0.0, f"o{number % 8}", text, text[::-1])
    return ledger


def build_allocator(count):
    """Return an allocator that has granted shares to a number of hosts."""
    allocator = start_allocator("organisation-1", 1, 0.0, 1e6, 1e6, 0.0)
    for number in range(count):
        allocate(allocator, Settings(), 1.0, make_request(number))
    return allocator


def build_shares(count):
    """Return the shares of a host in a number of organisations."""
    from egretlift.quotas import Share

    return [Share(f"organisation-{n}", "me", 1, 0.0) for n in range(count)]


STATE_KINDS = {
    "members": (build_member_table, (1000, 4000, 16000)),
    "catalog objects": (build_catalog, (1000, 4000, 16000)),
    "ledger records": (build_ledger, (5000, 10000, 20000)),
    "allocator grants": (build_allocator, (1000, 4000, 16000)),
    "shares": (build_shares, (1000, 4000, 16000)),
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


def measure_messages():
    """Print bytes and CPU time of messages by the number of records that they carry.

    Messages are made and read in this process, without a connection.
    """
    empty = make_board(100, 100, 0)
    for name, sizes, fill in (
        ("members", (0, 8, 16, 32), lambda n: {"members": map(make_member, range(n))}),
        ("objects", (0, 10, 100, 1000), lambda n: {"objects": make_objects(n)}),
    ):
        points = [(n, make_gossip(empty, **fill(n)).ByteSize()) for n in sizes]
        report(f"gossip bytes by {name}", points, "B")
    zones = [(n, make_gossip(make_board(100, 100, n)).ByteSize()) for n in (3, 9, 18)]
    report("gossip bytes by zones", zones, "B")
    request = make_request(1)
    reply = allocate(build_allocator(10), Settings(), 2.0, request)
    sizes = pack_request(request).ByteSize(), pack_allocation(reply).ByteSize()
    print(f"allocate bytes: {sizes[0]} + {sizes[1]} B, frames about {FRAME_BYTES} B")
    anyio.run(measure_exchange)
    allocator, settings = build_allocator(1000), Settings()
    points = []
    for count in (1000, 4000, 16000):
        started = time.process_time()
        for number in range(count):
            request = make_request(number % 1000, number=count + number)
            allocate(allocator, settings, 1.0 + count * 1e-6, request)
        points.append((count, time.process_time() - started))
    report("allocate() CPU by calls", points, "s")


async def measure_exchange():
    """Print the CPU time of a gossip exchange by members and by changed members.

    Both sides run in this process, without a connection.
    """
    points = []
    for members in (1000, 4000, 16000):
        board, peer = make_board(members), make_board(members)
        started = time.process_time()
        for _ in range(200):
            changes = select_updates(board.members, board.random, 32)
            reply = await answer_gossip(peer, make_gossip(board, (), changes))
            merge_exchange(board, reply)
        points.append((members, (time.process_time() - started) / 200))
    report("gossip exchange CPU of both sides by members, no change", points, "s")
    points = []
    for changed in (0, 8, 16, 32):
        board, peer = make_board(1000), make_board(1000)
        started = time.process_time()
        for iteration in range(100):
            changes = [
                copy_member(make_member(number), version=iteration + 5)
                for number in range(changed)
            ]
            request = make_gossip(board, (), changes)
            merge_exchange(board, await answer_gossip(peer, request))
            peer.members.send_counts.clear()
            board.members.send_counts.clear()
        points.append((changed, (time.process_time() - started) / 100))
    report("gossip exchange CPU of both sides by member changes", points, "s")


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


def measure_control():
    """Print the CPU time of a daemon by the control calls that it answers.

    The CPU time that the daemon uses when idle is subtracted.
    """
    with run_mesh(make_plan(1, 1)) as mesh:
        prepare_mesh(mesh, {"o1": (1e6, 1e6)})
        host = next(iter(mesh.hosts))
        wait_for(
            lambda: read_state(mesh, host)["zone_lease"]["held"],
            20,
            "the zone lease is not held",
        )
        pid = list_daemons(mesh)[0]
        endpoint = ("127.0.0.1", port_of(mesh, f"daemon/{host}", "control"))
        secret = mesh.plan["secret"]
        board = make_board(1, 4, 18)
        messages = {
            "Gossip": make_gossip(board),
            "Allocate": pack_request(make_request(1, "o1")),
            "Probe": pb.ProbeRequest(),
        }
        idle = measure_cpu_while(pid, lambda: time.sleep(3)) / 3
        for name, message in messages.items():

            async def send(count, name=name, message=message):
                channels = {}
                for _ in range(count):
                    await call_control(channels, secret, endpoint, name, message, 5)
                close_channels(channels)

            server, client = [], []
            for count in (500, 1000, 2000):
                started, client_cpu_before = time.monotonic(), time.process_time()
                used = measure_cpu_while(pid, lambda n=count: anyio.run(send, n))
                used -= idle * (time.monotonic() - started)
                server.append((count, used))
                client.append((count, time.process_time() - client_cpu_before))
            report(f"{name}: CPU of the daemon by calls answered", server, "s")
            report(f"{name}: CPU of the sender by calls", client, "s")


def measure_cpu_while(pid, run):
    """Return the CPU seconds that a process uses while a function runs."""
    before = read_cpu(pid)
    run()
    return read_cpu(pid) - before


def send_calls(port, count, connections=8):
    """Send calls over parallel connections and return how many got status 200."""

    def send(part):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        whole = 0
        with contextlib.closing(connection):
            for _ in range(part):
                headers = {"authorization": f"Bearer {make_key('o1')}"}
                connection.request("GET", "/calendar", headers=headers)
                response = connection.getresponse()
                response.read()
                whole += response.status == 200
        return whole

    with concurrent.futures.ThreadPoolExecutor(connections) as pool:
        return sum(pool.map(send, [count // connections] * connections))


def measure_calls():
    """Print the CPU time of daemons by calls, executed on the first or second host."""
    with run_mesh(make_plan(2, 1)) as mesh:
        prepare_mesh(mesh, {"o1": (1e6, 1e6)})
        hosts = list(mesh.hosts)
        first, second = list_daemons(mesh)
        time.sleep(3)
        port = port_of(mesh, f"daemon/{hosts[0]}", "caller")
        print(f"warm up: {send_calls(port, 400)} of 400 whole", flush=True)
        for name in ("one host", "two hosts"):
            if name == "two hosts":
                # The upstream of the first host stops announcing itself, so that host
                # forwards every call to the second one.
                upstream = port_of(mesh, f"upstream/{hosts[0]}", "http")
                call_json(upstream, "POST", "/stand-in/behaviour", {"announce": False})
                call_json(
                    port_of(mesh, f"daemon/{hosts[0]}", "upstream"), "POST", "/drain"
                )
                time.sleep(1)
                send_calls(port, 400)
            entry, other = [], []
            for count in (800, 1600, 3200):
                before = read_cpu(first), read_cpu(second)
                started = time.monotonic()
                whole = send_calls(port, count)
                rate = count / (time.monotonic() - started)
                entry.append((count, read_cpu(first) - before[0]))
                other.append((count, read_cpu(second) - before[1]))
                print(f"{name}: {whole} of {count} whole, {rate:.0f} calls/s")
            report(f"{name}: CPU of the entry daemon by calls", entry, "s")
            report(f"{name}: CPU of the other daemon by calls", other, "s")
        resident = read_rss(first), read_rss(second)
        print(f"resident after the calls: {[n / 2**20 for n in resident]} MB")


class MembersOfFixedLength(dict):
    """Members of one simulated daemon, whose length is the size of the whole mesh.

    A full table in each of 16,000 daemons would not fit into one process. How often a
    change is sent depends only on the number of members.
    """

    def __init__(self, size):
        self.size = size

    def __len__(self):
        return self.size


def simulate_spread(size, kind, seed, settings=None, latency_s=0.08):
    """Simulate gossip and return the sorted times at which daemons learn of a change.

    Only the functions of the member table and the catalog are the real ones. Peers are
    drawn uniformly, and a message takes up to ``latency_s``. The first time is 0, that
    of the daemon at which the change happens.

    Parameters
    ----------
    size : int
        Number of daemons.
    kind : {"configuration", "member"}
        What changes.
    seed : int
        Seed of the random choices.
    settings : Settings, optional
        Settings of the daemons; the defaults if omitted.
    latency_s : float
        Longest time that a message takes.
    """
    settings, rng = settings or Settings(), random.Random(seed)
    if kind == "member":
        states = [MemberTable(f"h{number}") for number in range(size)]
        for state in states:
            state.members = MembersOfFixedLength(size)
        change = make_member(1)
    else:
        states = [Catalog() for _ in range(size)]
        change = make_objects(1)[0]
    learned_at, events, order = {}, [], 0

    def schedule(at, *event):
        nonlocal order
        order += 1
        heapq.heappush(events, (at, order, *event))

    def deliver(at, host, changes):
        merge = merge_members if kind == "member" else None
        if merge:
            changed = merge_members(states[host], at, changes)
        else:
            changed = merge_objects(states[host], changes)
        if changed and host not in learned_at:
            learned_at[host] = at
            # Only its origin pushes a member change at once. An object is pushed by
            # each daemon that learns of it, as in merge_configuration.
            if not merge or host == 0:
                for peer in rng.sample(range(size), settings.gossip_fanout):
                    schedule(at + 0.01 + rng.uniform(0, latency_s), "push", host, peer)

    for host in range(size):
        schedule(rng.uniform(0, settings.gossip_period_s), "tick", host, 0)
    deliver(0.0, 0, [change])
    while events and len(learned_at) < size:
        at, _, event, host, peer = heapq.heappop(events)
        if event == "tick":
            period_s = settings.gossip_period_s * rng.uniform(0.8, 1.2)
            schedule(at + period_s, "tick", host, 0)
            peer = rng.randrange(size)
        sender, receiver = states[host], states[peer]
        arrival = at if event == "push" else at + rng.uniform(0, latency_s)
        if kind == "member":
            digest = digest_table(sender)
            deliver(arrival, peer, select_updates(sender, rng, 32))
            reply = select_updates(receiver, rng, 32, digest)
        else:
            if event == "push" or digest_catalog(sender) != digest_catalog(receiver):
                deliver(arrival, peer, list_objects_after(sender, receiver.revision))
            reply = list_objects_after(receiver, sender.revision)
        deliver(arrival + rng.uniform(0, latency_s), host, reply)
    return sorted(learned_at.values())


def measure_spread():
    """Print how long a change takes to reach 99% and all of the simulated daemons."""
    for kind in ("configuration", "member"):
        for size in (24, 1000, 4000, 16000):
            runs = [simulate_spread(size, kind, seed) for seed in range(3)]
            median_p99 = statistics.median(run[int(0.99 * (size - 1))] for run in runs)
            last = [run[-1] for run in runs]
            formatted = ", ".join(f"{value:.2f}" for value in last)
            print(
                f"{kind}, {size}: p99 {median_p99:.2f} s, last {formatted} s",
                flush=True,
            )


def measure_join():
    """Print the exchanges until a new daemon knows half and 99% of the members.

    The points are by the number of members.
    """
    for part in (0.5, 0.99):
        points = []
        for size in (1000, 4000, 16000):
            peer, new_table = build_member_table(size), MemberTable("new")
            rng, exchanges = random.Random(size), 0
            while len(new_table.members) < part * size:
                exchanges += 1
                digest = digest_table(new_table)
                changes = select_updates(peer, rng, 32, digest, MEMBERS_FOR_JOINING)
                merge_members(new_table, 0.0, changes)
                peer.send_counts.clear()
            points.append((size, exchanges))
        report(f"exchanges until {part:.0%} of the members are known", points, "")


def measure_repair():
    """Print the bytes of an exchange by the records that one of the tables lacks."""
    points = []
    for missing in (1, 8, 64):
        board, peer = make_board(1000), make_board(1000 - missing)
        request = make_gossip(board)
        reply = anyio.run(answer_gossip, peer, request)
        points.append((missing, request.ByteSize() + reply.ByteSize()))
    report("bytes of an exchange by records that differ", points, "B")


def measure_state():
    """Print the bytes and CPU time of a daemon's state page by members."""
    sizes, times = [], []
    for members in (1000, 4000, 16000):
        board = make_board(members, 1000)
        started = time.process_time()
        text = json.dumps(describe_state(board))
        times.append((members, time.process_time() - started))
        sizes.append((members, len(text)))
    report("bytes of the state page by members", sizes, "B")
    report("CPU of the state page by members", times, "s")


def measure_ticks():
    """Print the CPU time of periodic tasks by members."""
    settings = Settings()
    runs = {
        "list_standbys, 10 a second": list_standbys,
        "choose_gossip_target, 1 a second": choose_gossip_target,
        "expire_suspects and forget_members, 2 a second": lambda board: (
            expire_suspects(board.members, settings, 1.0),
            forget_members(board.members, settings, 1.0),
        ),
        "select_updates with repair, 1 a second": lambda board: select_updates(
            board.members, board.random, 32, "other", MEMBERS_FOR_REPAIR
        ),
    }
    boards = {members: make_board(members) for members in (1000, 4000, 16000)}
    for name, run in runs.items():
        points = []
        for members, board in boards.items():
            started = time.process_time()
            for _ in range(50):
                run(board)
            points.append((members, (time.process_time() - started) / 50))
        report(f"CPU of {name}, by members", points, "s")


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
