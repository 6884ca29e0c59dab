"""Measure what one more member, object, call or exchange costs a daemon.

Each measurement runs on three or more sizes and prints the values and the slope of
the line fitted through them::

    python -m bench.slopes imports memory messages
    python -m bench.slopes control calls idle
    python -m bench.slopes mesh restarts spread

``docs/CAPACITY.md`` derives the needs of each role from these slopes.
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
    merge_objects,
    objects_after,
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
# HTTP/2 frame heads, indexed headers and the gRPC prefix of a call and its answer.
FRAME_BYTES = 200
PORTS = ("caller_port", "peer_port", "control_port", "operators_port")
SETTINGS = {"gossip_period_s": 1}


def fit_slope(points):
    """Return (slope, intercept) of the line through points of (x, y).

    Examples
    --------
    >>> fit_slope([(1, 3.0), (2, 5.0), (4, 9.0)])
    (2.0, 1.0)
    """
    line = statistics.linear_regression(*zip(*points, strict=True))
    return line.slope, line.intercept


def report(name, points, unit):
    """Print the measured points and their slope."""
    slope, intercept = fit_slope(points)
    shown = ", ".join(f"{x:g}: {y:.6g}" for x, y in points)
    print(f"{name}: {shown} {unit}; slope {slope:.4g}, intercept {intercept:.4g}")
    sys.stdout.flush()


def read_rss(pid):
    """Return the resident memory of a process in bytes."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) * 1024


def read_cpu(pid):
    """Return the processor time of a process in seconds."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def make_member(number, routes=len(ROUTES)):
    """Return a member record of the size expected in two years."""
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
    """Return configuration objects."""
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
    """Return the blackboard of a daemon that runs alone."""
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
    """Return an allocation request of a host by its number."""
    name, started = f"host-{host}", 1_796_360_000_000
    return AllocationRequest(name, started, organisation, demand=10.0, number=number)


def fill_members(count):
    """Return a member table."""
    table = MemberTable("me")
    merge_members(table, 0.0, map(make_member, range(count)))
    table.send_counts.clear()
    return table


def fill_catalog(count):
    """Return a catalog of keys."""
    catalog = Catalog()
    merge_objects(catalog, make_objects(count))
    return catalog


def fill_ledger(count):
    """Return a ledger of identifiers."""
    ledger, settings = Ledger(), Settings({"ledger_records": 10**6})
    for number in range(count):
        text = hashlib.sha256(str(number).encode()).hexdigest()
        open_record(ledger, settings, 0.0, f"o{number % 8}", text, text[::-1])
    return ledger


def fill_grants(count):
    """Return an allocator with grants."""
    allocator = start_allocator("organisation-1", 1, 0.0, 1e6, 1e6, 0.0)
    for number in range(count):
        allocate(allocator, Settings(), 1.0, make_request(number))
    return allocator


def fill_shares(count):
    """Return the shares of a host."""
    from egretlift.quotas import Share

    return [Share(f"organisation-{n}", "me", 1, 0.0) for n in range(count)]


FILLS = {
    "members": (fill_members, (1000, 4000, 16000)),
    "catalog objects": (fill_catalog, (1000, 4000, 16000)),
    "ledger records": (fill_ledger, (5000, 10000, 20000)),
    "allocator grants": (fill_grants, (1000, 4000, 16000)),
    "shares": (fill_shares, (1000, 4000, 16000)),
}


def run_child(*arguments):
    """Return the number that a child process of this module prints."""
    command = [sys.executable, "-m", "bench.slopes", *map(str, arguments)]
    return float(subprocess.check_output(command, text=True))


def measure_fill(name, size):
    """Print the growth of this process by one kind of state, in bytes."""
    before = read_rss(os.getpid())
    state = FILLS[name][0](size)
    print(read_rss(os.getpid()) - before)
    return state


def measure_memory():
    """Print the memory by the number of records of each kind."""
    for name, (_, sizes) in FILLS.items():
        points = [(size, run_child("--fill", name, "--size", size)) for size in sizes]
        report(f"memory of {name}", points, "B")


def measure_imports():
    """Print the resident memory and time of imports, each the least of three."""
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
    """Print bytes and in-process CPU time of messages by what they carry."""
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
    reply = allocate(fill_grants(10), Settings(), 2.0, request)
    sizes = pack_request(request).ByteSize(), pack_allocation(reply).ByteSize()
    print(f"allocate bytes: {sizes[0]} + {sizes[1]} B, frames about {FRAME_BYTES} B")
    anyio.run(measure_exchange)
    allocator, settings = fill_grants(1000), Settings()
    points = []
    for count in (1000, 4000, 16000):
        started = time.process_time()
        for number in range(count):
            request = make_request(number % 1000, number=count + number)
            allocate(allocator, settings, 1.0 + count * 1e-6, request)
        points.append((count, time.process_time() - started))
    report("allocate() CPU by calls", points, "s")


async def measure_exchange():
    """Print the in-process CPU time of an exchange by the size of the mesh."""
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
        for turn in range(100):
            changes = [
                copy_member(make_member(number), version=turn + 5)
                for number in range(changed)
            ]
            request = make_gossip(board, (), changes)
            merge_exchange(board, await answer_gossip(peer, request))
            peer.members.send_counts.clear()
            board.members.send_counts.clear()
        points.append((changed, (time.process_time() - started) / 100))
    report("gossip exchange CPU of both sides by member changes", points, "s")


def make_plan(count, zones=3, **settings):
    """Return the plan of a mesh with small upstreams."""
    names = {f"z{zone}": count // zones for zone in range(zones)}
    upstream = {"routes": ROUTES, "behaviour": {"service_s": 0.0}}
    return {
        "hosts": make_hosts("checkout", names, **upstream),
        "settings": {**SETTINGS, **settings},
    }


def list_daemons(mesh):
    """Return the process identifiers of the daemons."""
    return [mesh.processes[f"daemon/{host}"].pid for host in mesh.hosts]


def read_metric(mesh, host, name):
    """Return the sum of a counter over its labels."""
    port = port_of(mesh, f"daemon/{host}", "operators")
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    with contextlib.closing(connection):
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
    values = re.findall(rf"^egretlift_{name}_total\S* (\S+)$", text, re.MULTILINE)
    return sum(map(float, values))


def measure_steady(mesh, duration_s):
    """Return the mean need of a daemon of an idle mesh, by name."""
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
    needs = {name: (after[name] - before[name]) / elapsed for name in before}
    for name in counters:
        needs[name] /= count
    needs["cpu"] = used / elapsed / count
    needs["memory"] = sum(map(read_rss, list_daemons(mesh))) / count
    return needs


def measure_idle():
    """Print the CPU of an idle daemon by the exchanges a second."""
    cpu, sent = [], []
    for period_s in (2, 0.5, 0.2, 0.1):
        with run_mesh(make_plan(6, gossip_period_s=period_s)) as mesh:
            prepare_mesh(mesh, {"o1": (100, 100)})
            time.sleep(3)
            needs = measure_steady(mesh, 10)
        cpu.append((needs["gossip_exchanges"], needs["cpu"]))
        sent.append((needs["gossip_exchanges"], needs["control_bytes"]))
    report("idle CPU of a daemon by exchanges it starts a second", cpu, "cores")
    report("control bytes a second by exchanges", sent, "B/s")


def has_revision(mesh, revision):
    """Return whether every daemon has reached a configuration revision."""
    states = (read_state(mesh, host) for host in mesh.hosts)
    return all(state["configuration"]["revision"] >= revision for state in states)


def measure_convergence(mesh, count=5):
    """Return the median seconds until all daemons know of (an object, a member)."""
    hosts, times = list(mesh.hosts), ([], [])
    for turn in range(count):
        spec = {"rate": 100 + turn, "burst": 100}
        revision = put_object(mesh, "organisation", "o1", spec)
        written = time.time()
        wait_for(partial(has_revision, mesh, revision), 20, "no convergence")
        times[0].append(find_last(mesh, "configuration-in-force", written, revision))
        host = hosts[turn]
        # Its next announcement would otherwise end the draining at once.
        set_behaviour(mesh, host, announce=False)
        time.sleep(0.1)
        port = port_of(mesh, f"daemon/{host}", "upstream")
        call_json(port, "POST", "/drain")
        left = time.time()
        wait_for(partial(knows_status, mesh, host, "draining"), 20, "no convergence")
        times[1].append(find_last(mesh, "member-changed", left, host))
        set_behaviour(mesh, host, announce=True)
        time.sleep(1.5)
    return tuple(map(statistics.median, times))


def knows_status(mesh, host, status):
    """Return whether every other daemon has seen a member change to a status."""
    needle = f"event=member-changed .*member={host} status={status}"
    others = (other for other in mesh.hosts if other != host)
    return all(re.search(needle, read_text(mesh, other)) for other in others)


def read_text(mesh, host):
    """Return the log of a daemon."""
    return (mesh.directory / f"daemon-{host}.log").read_text(errors="replace")


def find_last(mesh, event, since, value):
    """Return the seconds until the last daemon logged an event with a value."""
    last = since
    for host in mesh.hosts:
        port = port_of(mesh, f"daemon/{host}", "operators")
        _, body = call_json(port, "GET", "/events?after=0")
        walls = [
            item["wall_s"]
            for item in body["events"]
            if item["event"] == event
            and value in (item.get("revision"), item.get("member"))
            and item["wall_s"] >= since - 0.5
        ]
        last = max([last, *walls[:1]])
    return last - since


def measure_mesh():
    """Print needs and convergence by the size of real meshes."""
    rows = {}
    for count in (6, 12, 24):
        with run_mesh(make_plan(count)) as mesh:
            prepare_mesh(mesh, {"o1": (100, 100)})
            time.sleep(4)
            rows[count] = measure_steady(mesh, 15)
            change, member = measure_convergence(mesh)
            rows[count].update(change=change, member=member)
    for name in next(iter(rows.values())):
        report(f"mesh {name}", [(n, row[name]) for n, row in rows.items()], "")
    points = []
    for zones in (2, 4, 8):
        with run_mesh(make_plan(2 * zones, zones)) as mesh:
            prepare_mesh(mesh, {"o1": (100, 100)})
            time.sleep(4)
            needs = measure_steady(mesh, 10)
            print(f"zones {zones}, 2 watchers each: {json.dumps(needs)}", flush=True)
            points.append((2 * zones * zones, needs["watch"]))
    report("watch calls a second by watchers x zones", points, "calls/s")


def measure_restarts():
    """Print platform calls by restarts, in an outage and with claims."""
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
    """Print the CPU time of a daemon by control messages that it answers."""
    with run_mesh(make_plan(1, 1)) as mesh:
        prepare_mesh(mesh, {"o1": (1e6, 1e6)})
        host = next(iter(mesh.hosts))
        wait_for(lambda: read_state(mesh, host)["zone_lease"]["held"], 20, "no lease")
        pid = list_daemons(mesh)[0]
        endpoint = ("127.0.0.1", port_of(mesh, f"daemon/{host}", "control"))
        secret = mesh.plan["secret"]
        board = make_board(1, 4, 18)
        messages = {
            "Gossip": make_gossip(board),
            "Allocate": pack_request(make_request(1, "o1")),
            "Probe": pb.ProbeRequest(),
        }
        idle = measure_usage(pid, lambda: time.sleep(3)) / 3
        for name, message in messages.items():

            async def send(count, name=name, message=message):
                channels = {}
                for _ in range(count):
                    await call_control(channels, secret, endpoint, name, message, 5)
                close_channels(channels)

            server, client = [], []
            for count in (500, 1000, 2000):
                started, mine = time.monotonic(), time.process_time()
                used = measure_usage(pid, lambda n=count: anyio.run(send, n))
                used -= idle * (time.monotonic() - started)
                server.append((count, used))
                client.append((count, time.process_time() - mine))
            report(f"{name}: CPU of the daemon by calls answered", server, "s")
            report(f"{name}: CPU of the sender by calls", client, "s")


def measure_usage(pid, run):
    """Return the processor time that a process uses while a function runs."""
    before = read_cpu(pid)
    run()
    return read_cpu(pid) - before


def send_calls(port, count, connections=8):
    """Send calls and return how many ended whole."""

    def send(part):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        whole = 0
        with contextlib.closing(connection):
            for _ in range(part):
                headers = {"authorization": f"Bearer {make_key('o1')}"}
                connection.request("GET", "/calendar", headers=headers)
                answer = connection.getresponse()
                answer.read()
                whole += answer.status == 200
        return whole

    with concurrent.futures.ThreadPoolExecutor(connections) as pool:
        return sum(pool.map(send, [count // connections] * connections))


def measure_calls():
    """Print the CPU time of daemons by calls, on one host and over two."""
    with run_mesh(make_plan(2, 1)) as mesh:
        prepare_mesh(mesh, {"o1": (1e6, 1e6)})
        hosts = list(mesh.hosts)
        first, second = list_daemons(mesh)
        time.sleep(3)
        port = port_of(mesh, f"daemon/{hosts[0]}", "caller")
        print(f"warm up: {send_calls(port, 400)} of 400 whole", flush=True)
        for name in ("one host", "two hosts"):
            if name == "two hosts":
                # Its upstream announces no more, so host 1 forwards every call.
                upstream = port_of(mesh, f"upstream/{hosts[0]}", "http")
                call_json(upstream, "POST", "/stand-in/behaviour", {"announce": False})
                call_json(
                    port_of(mesh, f"daemon/{hosts[0]}", "upstream"), "POST", "/drain"
                )
                time.sleep(1)
                send_calls(port, 400)
            entry, executing = [], []
            for count in (800, 1600, 3200):
                before = read_cpu(first), read_cpu(second)
                started = time.monotonic()
                whole = send_calls(port, count)
                rate = count / (time.monotonic() - started)
                entry.append((count, read_cpu(first) - before[0]))
                executing.append((count, read_cpu(second) - before[1]))
                print(f"{name}: {whole} of {count} whole, {rate:.0f} calls/s")
            report(f"{name}: CPU of the entry daemon by calls", entry, "s")
            report(f"{name}: CPU of the other daemon by calls", executing, "s")
        growth = read_rss(first), read_rss(second)
        print(f"resident after the calls: {[n / 2**20 for n in growth]} MB")


class LargeTable(dict):
    """Members of one simulated daemon; counts as the size of the whole mesh.

    A full table in each of 16,000 daemons would not fit into one process; only the
    number of members enters how often a change is sent.
    """

    def __init__(self, size):
        self.size = size

    def __len__(self):
        return self.size


def simulate_spread(size, kind, seed, settings=None, latency_s=0.08):
    """Return the times at which daemons learn of a change, sorted.

    Only the functions of the member table and the catalog run; peers are drawn
    uniformly, and a message takes up to ``latency_s``.
    """
    settings, draw = settings or Settings(), random.Random(seed)
    if kind == "member":
        states = [MemberTable(f"h{number}") for number in range(size)]
        for state in states:
            state.members = LargeTable(size)
        change = make_member(1)
    else:
        states = [Catalog() for _ in range(size)]
        change = make_objects(1)[0]
    learnt, events, order = {}, [], 0

    def schedule(at, *event):
        nonlocal order
        order += 1
        heapq.heappush(events, (at, order, *event))

    def tell(at, host, news):
        merge = merge_members if kind == "member" else None
        if merge:
            changed = merge_members(states[host], at, news)
        else:
            changed = merge_objects(states[host], news)
        if changed and host not in learnt:
            learnt[host] = at
            # A member change is kicked on only by its origin; an object by each
            # daemon that learns of it, as in merge_configuration.
            if not merge or host == 0:
                for peer in draw.sample(range(size), settings.gossip_fanout):
                    schedule(at + 0.01 + draw.uniform(0, latency_s), "push", host, peer)

    for host in range(size):
        schedule(draw.uniform(0, settings.gossip_period_s), "tick", host, 0)
    tell(0.0, 0, [change])
    while events and len(learnt) < size:
        at, _, event, host, peer = heapq.heappop(events)
        if event == "tick":
            period_s = settings.gossip_period_s * draw.uniform(0.8, 1.2)
            schedule(at + period_s, "tick", host, 0)
            peer = draw.randrange(size)
        sender, receiver = states[host], states[peer]
        arrival = at if event == "push" else at + draw.uniform(0, latency_s)
        if kind == "member":
            digest = digest_table(sender)
            tell(arrival, peer, select_updates(sender, draw, 32))
            reply = select_updates(receiver, draw, 32, digest)
        else:
            if event == "push" or digest_catalog(sender) != digest_catalog(receiver):
                tell(arrival, peer, objects_after(sender, receiver.revision))
            reply = objects_after(receiver, sender.revision)
        tell(arrival + draw.uniform(0, latency_s), host, reply)
    return sorted(learnt.values())


def measure_spread():
    """Print the spread of a change over simulated meshes of growing size."""
    for kind in ("configuration", "member"):
        for size in (24, 1000, 4000, 16000):
            runs = [simulate_spread(size, kind, seed) for seed in range(3)]
            middle = statistics.median(run[int(0.99 * (size - 1))] for run in runs)
            last = [run[-1] for run in runs]
            shown = ", ".join(f"{value:.2f}" for value in last)
            print(f"{kind}, {size}: p99 {middle:.2f} s, last {shown} s", flush=True)


def measure_join():
    """Print the exchanges until a new daemon knows the members, by their number."""
    for part in (0.5, 0.99):
        points = []
        for size in (1000, 4000, 16000):
            peer, joining = fill_members(size), MemberTable("new")
            draw, exchanges = random.Random(size), 0
            while len(joining.members) < part * size:
                exchanges += 1
                digest = digest_table(joining)
                news = select_updates(peer, draw, 32, digest, MEMBERS_FOR_JOINING)
                merge_members(joining, 0.0, news)
                peer.send_counts.clear()
            points.append((size, exchanges))
        report(f"exchanges until {part:.0%} of the members are known", points, "")


def measure_repair():
    """Print the bytes of a reply by records that are not in both tables."""
    points = []
    for missing in (1, 8, 64):
        board, peer = make_board(1000), make_board(1000 - missing)
        request = make_gossip(board)
        reply = anyio.run(answer_gossip, peer, request)
        points.append((missing, request.ByteSize() + reply.ByteSize()))
    report("bytes of an exchange by records that differ", points, "B")


def measure_state():
    """Print the size and CPU time of the state page by members."""
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
    """Print the CPU time of what runs periodically, by members."""
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
    """Run the named measurements."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("names", nargs="*", help=", ".join(MEASUREMENTS))
    parser.add_argument("--fill", choices=FILLS)
    parser.add_argument("--size", type=int)
    arguments = parser.parse_args()
    if arguments.fill:
        return measure_fill(arguments.fill, arguments.size)
    for name in arguments.names:
        print(f"# {name}, load average {os.getloadavg()[0]:.1f}", flush=True)
        MEASUREMENTS[name]()
    return None


if __name__ == "__main__":
    main()
