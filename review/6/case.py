"""Photographs that the clients of one machine upload at the same time."""

import asyncio
from pathlib import Path

from review.common_2.client import send, send_in_turn
from review.common_2.memory import limit_memory
from review.common_2.mesh import Mesh, make_configuration, make_route, run_case

KEY = "key-of-northlight"
MAX_BODY_BYTES = 67_108_864
UPLOAD_BYTES = 12_000_000
# The machine has eight clients, and 1.8 times as many in the burst.
USUAL_UPLOADS, BURST_UPLOADS = 8, 14
LOOKUP_CLIENTS = 8
WORK_S = 0.4
DEADLINE_MS = 6000
# Half of what the link of a machine carries, which is 1,000 Mbit/s, so that no packet
# waits.
SENT_BYTES_PER_S = 62_500_000
LOST_MAXIMUM = 3


async def scenario(record, has_trouble):
    """Upload photographs beside lookups on kept connections."""
    layout = [("a", "yard-photos", 108), ("b", "yard-photos", 108)]
    routes = [
        make_route("photos", "/photo/", "yard-photos", timeout_s=6),
        make_route("lookups", "/", "yard-photos", timeout_s=6),
    ]
    tenants = [["northlight", [KEY], 1, 0, 0]]
    configuration = make_configuration(3, routes, tenants)
    configuration["limits"]["max_body_bytes"] = MAX_BODY_BYTES
    stop = asyncio.Event()
    async with Mesh(record, layout, configuration) as mesh:
        first = mesh.hosts[0]
        for host in mesh.hosts:
            host.instance.work_s = lambda path: WORK_S
        check = asyncio.create_task(limit_memory(first))
        lookups = [
            asyncio.create_task(
                send_in_turn(record, first, f"lookup{number}", KEY, stop)
            )
            for number in range(LOOKUP_CLIENTS)
        ]
        await asyncio.sleep(2.0)
        body = bytes(UPLOAD_BYTES)
        count = BURST_UPLOADS if has_trouble else USUAL_UPLOADS
        uploads = await asyncio.gather(
            *(
                send(
                    record,
                    first,
                    f"photo-{number}",
                    f"/photo/{number}",
                    KEY,
                    DEADLINE_MS,
                    "POST",
                    body,
                    send_bytes_per_s=SENT_BYTES_PER_S / count,
                )
                for number in range(count)
            )
        )
        await asyncio.sleep(1.0)
        stop.set()
        looked_up = [a for attempts in await asyncio.gather(*lookups) for a in attempts]
        ran = {request_id for h in mesh.hosts for _, request_id, _ in h.instance.runs}
        has_ended = first.process.poll() is not None
        check.cancel()
        await asyncio.gather(check, return_exceptions=True)
    lost = [a for a in looked_up if a.status is None and a.request_id in ran]
    unanswered = sum(attempt.status is None for attempt in uploads)
    summary = (
        f"the daemon {'ended' if has_ended else 'went on'}; of {len(looked_up)}"
        f" lookups on kept connections {len(lost)} were passed on to a sound instance"
        f" and their connections closed without an answer; {unanswered} of"
        f" {len(uploads)} uploads got no answer"
    )
    print(summary)
    return [f"LOST: {summary}"] if len(lost) > LOST_MAXIMUM else []


run_case(Path(__file__).parent, scenario)
