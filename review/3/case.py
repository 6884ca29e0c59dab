"""Case 3: restarted daemons of a zone each act as the owner of the zone's rate."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.client import Client
from review.mesh import BOUNDS, DOMAIN, RESTART_S, TENANT, Mesh, run_case

RATE, BURST = 100, 100
PER_MACHINE_S = 60
DEADLINE_S = 2.0
CALM_S = 12.0
TURNED_AWAY_S = 9.0
AFTER_S = 5.0
ZONES = [f"ie-east-{zone}" for zone in "abc"]
SERVICES = ["scheduler", "checkout", "proofing", "galleries"]
LAYOUT = [(zone, service) for zone in ZONES for service in SERVICES]
ROUTES = [
    [f"r-{name}", DOMAIN, f"/{name}/", "idempotent", 2, 1, 2, 2, False, name]
    for name in SERVICES
]
TARGETS = [f"/{name}/1" for name in SERVICES]


def work(message):
    """Return the work of a request in seconds, and the body of its answer."""
    return 0.02, b"free"


def find_largest_window(sent, runs):
    """Return (requests, start) of the window with most requests sent and run in it."""
    window_s = BOUNDS["quota_window_s"]
    found = sorted((sent[request_id], at) for at, request_id, _ in runs)
    best = (0, 0.0)
    for index, (start, _) in enumerate(found):
        count = sum(
            at <= start + window_s
            for begun, at in found[index:]
            if begun <= start + window_s
        )
        best = max(best, (count, start))
    return best


async def kill_and_restart(record, machine):
    """Kill a daemon and start it again a short time later."""
    machine.signal(signal.SIGKILL)
    await machine.process.wait()
    await asyncio.sleep(RESTART_S)
    await machine.start()
    while not await machine.is_ready():
        await asyncio.sleep(0.1)
    record.write(machine.name, "is ready again")


async def scenario(record, trouble):
    """Return whether the tenant got no more than its rate."""
    async with Mesh(record, LAYOUT, ROUTES, work, rate=RATE, burst=BURST) as mesh:
        ours = [machine for machine in mesh.machines if machine.zone == ZONES[0]]
        clients = [Client(machine, DEADLINE_S) for machine in ours]
        ends_at = time.monotonic() + CALM_S + TURNED_AWAY_S + AFTER_S
        traffic = [
            asyncio.create_task(
                client.send_steadily(
                    PER_MACHINE_S, f"{number:04x}", "GET", TARGETS, ends_at
                )
            )
            for number, client in enumerate(clients)
        ]
        await asyncio.sleep(CALM_S)
        if trouble:
            record.tell("the store turns the machines of", ZONES[0], "away")
            mesh.store.turn_away(machine.name for machine in ours)
            record.tell("SIGKILL to the daemons of", ZONES[0])
            restarts = [
                asyncio.create_task(kill_and_restart(record, machine))
                for machine in ours
            ]
        await asyncio.sleep(TURNED_AWAY_S)
        if trouble:
            mesh.store.turn_away([])
            record.tell("the store serves all machines")
            await asyncio.gather(*restarts)
        await asyncio.gather(*traffic)
        sent = {}
        for client in clients:
            sent.update(client.sent)
            record.tell(client.machine.name, client.count_statuses())
        runs = [run for machine in mesh.machines for run in machine.instance.runs]
        runs = [run for run in runs if run[2] == TENANT]
        for second in range(int(CALM_S + TURNED_AWAY_S + AFTER_S)):
            start = min(sent.values()) + second
            ran = sum(start <= at < start + 1 for at, _, _ in runs)
            record.write(f"runs in second {second}: {ran}")
        count, start = find_largest_window(sent, runs)
        limit = (RATE * BOUNDS["quota_window_s"] + BURST) * (
            1 + BOUNDS["quota_overage"]
        ) + BOUNDS["quota_slack"]
        record.tell(
            f"most runs in {BOUNDS['quota_window_s']} s: {count}, from second "
            f"{start - min(sent.values()):.1f} on; allowed: {limit:.0f}"
        )
        return count <= limit


TROUBLE = os.environ.get("TROUBLE", "1") != "0"
run_case(Path(__file__).with_name("record.txt"), TROUBLE, scenario)
