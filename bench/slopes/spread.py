"""Simulation of the spread of a change by gossip."""

import heapq
import random
import statistics

from bench.slopes.records import make_member, make_objects
from egretlift.configuration import (
    Catalog,
    digest_catalog,
    list_objects_after,
    merge_objects,
)
from egretlift.membership import (
    MemberTable,
    digest_table,
    merge_members,
    select_updates,
)
from egretlift.settings import Settings


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
