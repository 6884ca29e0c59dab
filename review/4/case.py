"""Case 4: a restarted daemon sends requests to an instance that has left."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.client import Client
from review.mesh import BOUNDS, DOMAIN, RESTART_S, Mesh, run_case

HEARTBEAT_LATE_S = 5.0
STOP_AFTER_S = 0.3
LINGER_S = 10.0
DEADLINE_S = 2.0
PER_MACHINE_S = 10
LAYOUT = [(f"ie-east-{zone}", "scheduler") for zone in "aabbcc"]
ROUTES = [
    ["calendar", DOMAIN, "/calendar/", "idempotent", 2, 1, 2, 2, False, "scheduler"],
]


def work(message):
    """Return the work of a request in seconds, and the body of its answer."""
    return 0.05, b"free"


async def scenario(record, trouble):
    """Return whether the instance that has left got no request after its drain."""
    async with Mesh(record, LAYOUT, ROUTES, work) as mesh:
        machine = mesh.machines[0]
        instance = machine.instance
        clients = [Client(other, DEADLINE_S) for other in mesh.machines[:2]]
        ends_at = time.monotonic() + LINGER_S
        traffic = [
            asyncio.create_task(
                client.send_steadily(
                    PER_MACHINE_S, f"{number:04x}", "GET", ["/calendar/1"], ends_at
                )
            )
            for number, client in enumerate(clients)
        ]
        await asyncio.sleep(0.5)
        late = asyncio.create_task(instance.beat(HEARTBEAT_LATE_S))
        await asyncio.sleep(0.1)
        acknowledged = await instance.leave()
        left_at = time.monotonic()
        record.tell("DELETE of", instance.name, "acknowledged:", acknowledged)
        started_at = left_at
        if trouble:
            await asyncio.sleep(STOP_AFTER_S)
            record.tell("SIGTERM to", machine.name)
            seconds, killed = await machine.stop()
            record.tell(f"ended {seconds:.2f} s after SIGTERM, killed: {killed}")
            await asyncio.sleep(RESTART_S)
            started_at = time.monotonic()
            await machine.start()
            record.tell(f"started again {started_at - left_at:.2f} s after the leave")
        record.tell("late heartbeat acknowledged:", await late)
        arrived_s = time.monotonic() - left_at
        record.tell(f"it arrived {arrived_s:.2f} s after the leave")
        await asyncio.gather(*traffic)
        sent = {}
        for client in clients:
            sent.update(client.sent)
            record.tell(client.machine.name, client.count_statuses())
        # The machine is in touch again `stability_s` after its start.
        bound_from = max(
            left_at + BOUNDS["drain_s"], started_at + BOUNDS["stability_s"]
        )
        late_runs = [
            (at - left_at, request_id)
            for at, request_id, _ in instance.runs
            if at > left_at + BOUNDS["drain_s"] and sent.get(request_id, 0) > bound_from
        ]
        for seconds, request_id in late_runs:
            record.write(f"{request_id} ran {seconds:.2f} s after the leave")
        record.tell("requests that reached the instance too late:", len(late_runs))
        return acknowledged and not late_runs


TROUBLE = os.environ.get("TROUBLE", "1") != "0"
run_case(Path(__file__).with_name("record.txt"), TROUBLE, scenario)
