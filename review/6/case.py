"""Lookups that wait in a daemon's queue behind bookings while many users come."""

import asyncio
import itertools
from pathlib import Path

from review.common_2.client import send
from review.common_2.mesh import Mesh, make_configuration, make_route, run_case

KEY = "key-of-northlight"
SLOTS = 17
WORK_S = 0.2
# Requests a second of each host's clients. An instance runs 85 a second.
BOOKINGS_PER_S = 52
LOOKUPS_PER_S = 24
BURST_FACTOR = 1.8
BURST_AT_S, BURST_S = 3.0, 12.0
END_S = 20.0
DEADLINE_MS = 5000
LOOKUP_TIMEOUT_S = 2.5
# The rule: no final answer so long after the timeout of the route, of eight requests
# or more and of over a quarter of those that last longer than the timeout.
TOLERANCE_S = 0.5
COUNT_MINIMUM = 8
SHARE_MAXIMUM = 0.25


async def send_at_rate(sending, per_s, has_burst, send_one):
    """Send requests at a steady rate, which rises during the burst."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    due = started
    while due < started + END_S:
        await asyncio.sleep(max(0.0, due - loop.time()))
        sending.append(asyncio.create_task(send_one()))
        since_s = due - started
        in_burst = has_burst and BURST_AT_S <= since_s < BURST_AT_S + BURST_S
        due += 1 / (per_s * (BURST_FACTOR if in_burst else 1.0))


async def scenario(record, has_trouble):
    """Let clients send bookings and lookups, with 1.8 times as many for a while."""
    layout = [("a", "scheduler", SLOTS), ("b", "scheduler", SLOTS)]
    routes = [
        make_route("books", "/book/", "scheduler", "non_idempotent", 5, priority=0),
        make_route("views", "/view/", "scheduler", timeout_s=LOOKUP_TIMEOUT_S),
    ]
    tenants = [["northlight", [KEY], 1, 0, 0]]
    numbers = itertools.count()
    sending = []
    async with Mesh(record, layout, make_configuration(3, routes, tenants)) as mesh:
        for host in mesh.hosts:
            host.instance.work_s = lambda path: WORK_S

        def make_sender(host, prefix, method):
            async def send_one():
                number = next(numbers)
                path = f"/{prefix}/{number}"
                name = f"{prefix}-{number}"
                return await send(record, host, name, path, KEY, DEADLINE_MS, method)

            return send_one

        await asyncio.gather(
            *(
                send_at_rate(sending, per_s, has_trouble, make_sender(host, *kind))
                for host in mesh.hosts
                for kind, per_s in (
                    (("book", "POST"), BOOKINGS_PER_S),
                    (("view", "GET"), LOOKUPS_PER_S),
                )
            )
        )
        attempts = await asyncio.gather(*sending)
    return judge(record, [a for a in attempts if a.request_id.startswith("view")])


def judge(record, lookups):
    """Return how the rule was broken."""
    durations = [attempt.ended_at - attempt.sent_at for attempt in lookups]
    lasting = [s for s in durations if s > LOOKUP_TIMEOUT_S]
    late = [s for s in durations if s > LOOKUP_TIMEOUT_S + TOLERANCE_S]
    given_up = sum(attempt.ending == "given up" for attempt in lookups)
    summary = (
        f"{len(lookups)} lookups: {len(lasting)} lasted longer than the route's"
        f" timeout of {LOOKUP_TIMEOUT_S} s, {len(late)} of them had no answer"
        f" {TOLERANCE_S} s after it, {given_up} got none until their client left"
    )
    print(summary)
    if len(late) >= COUNT_MINIMUM and len(late) > SHARE_MAXIMUM * len(lasting):
        return [f"CONFIG: {summary}"]
    return []


run_case(Path(__file__).parent, scenario)
