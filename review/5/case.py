"""Case 5: a change is not in force in time where the hosts that watch the store end."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.client import Client
from review.mesh import BOUNDS, DOMAIN, Mesh, make_configuration, run_case

DARK_S = 2.0
DEADLINE_S = 2.0
PER_MACHINE_S = 20
CALM_S = 5.0
OBSERVED_S = 8.0
KILLED_SHARE = 0.55
ZONES = [f"ie-east-{zone}" for zone in "abc"]
SERVICES = ["scheduler", "checkout", "proofing", "galleries"]
LAYOUT = [(zone, service) for zone in ZONES for service in SERVICES]


def make_routes(added):
    """Return the routes before a change, or after it with one added and one dropped."""
    names = ["added" if added else "dropped", *SERVICES]
    services = ["scheduler", *SERVICES]
    return [
        [f"r-{name}", DOMAIN, f"/{name}/", "idempotent", 2, 1, 2, 2, False, service]
        for name, service in zip(names, services, strict=True)
    ]


def work(message):
    """Return the work of a request in seconds, and the body of its answer."""
    return 0.02, b"free"


async def power_off(record, machine):
    """Let a daemon lose power, and start it again when power is back."""
    machine.signal(signal.SIGKILL)
    await machine.process.wait()
    await asyncio.sleep(DARK_S)
    await machine.start()


async def scenario(record, trouble):
    """Return whether the other daemons get the new version in time."""
    async with Mesh(record, LAYOUT, make_routes(False), work) as mesh:
        store = mesh.store
        await asyncio.sleep(CALM_S)
        readers = store.find_watching("config")
        record.tell("machines that watch the configuration:", *sorted(readers))
        struck = [machine for machine in mesh.machines if machine.name in readers]
        assert len(struck) <= KILLED_SHARE * len(mesh.machines)
        others = [machine for machine in mesh.machines if machine not in struck]
        restarts = []
        if trouble:
            record.tell("power is lost for", DARK_S, "s at these machines")
            restarts = [asyncio.create_task(power_off(record, m)) for m in struck]
            await asyncio.sleep(0.05)
        spec = make_configuration(make_routes(True), 1000, 1000)
        spec["version"] = 9
        store.change("config", "main", spec)
        acknowledged_at = time.monotonic()
        record.tell("version 9 is acknowledged")
        clients = [Client(machine, DEADLINE_S) for machine in others]
        await asyncio.gather(
            *(
                client.send_steadily(
                    PER_MACHINE_S,
                    f"{number:04x}",
                    "GET",
                    ["/added/1", "/dropped/1"],
                    acknowledged_at + OBSERVED_S,
                )
                for number, client in enumerate(clients)
            )
        )
        await asyncio.gather(*restarts)
        late = 0
        for client in clients:
            old = [
                at - acknowledged_at
                for request_id, at in client.sent.items()
                if is_old(request_id, client.statuses[request_id])
            ]
            late += sum(s > BOUNDS["config_apply_s"] for s in old)
            last = max(old, default=0.0)
            record.tell(client.machine.name, f"old version until {last:.2f} s")
        record.tell("requests handled too late by the old version:", late)
        return not late


def is_old(request_id, status):
    """Return whether an answer is one that only the old version allows."""
    is_added = int(request_id[4:], 16) % 2 == 1
    return status == (404 if is_added else 200)


TROUBLE = os.environ.get("TROUBLE", "1") != "0"
run_case(Path(__file__).with_name("record.txt"), TROUBLE, scenario)
