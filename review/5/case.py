"""Case 5: proper requests are refused with 413 and 431 below the stated limits."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.mesh import DOMAIN, LIMITS, Mesh, make_fields, run_case
from review.wire import encode_request, read_message, split_address

DEADLINE_S = 5.0
COUNT = 20
USUAL_BODY_BYTES, LARGE_BODY_BYTES = 8_000_000, 20_000_000
USUAL_FIELD_BYTES, LARGE_FIELD_BYTES = 4_000, 12_000
ROUTES = [
    ["proof", DOMAIN, "/proof/", "idempotent", 5, 1.2, 2, 2, False, "proofing"],
]
LAYOUT = [(f"ie-east-{zone}", "proofing") for zone in "abc"]
OWN_STATUSES_ALLOWED = (408, 421, 429)


def work(message):
    """Return the work of a request in seconds, and the body of its answer."""
    return 0.05, b"stored %d bytes" % len(message.body)


async def send(machine, request_id, fields, body):
    """Send one request on a connection of its own and return the answer, or None."""
    reader, writer = await asyncio.open_connection(*split_address(machine.outbound))
    try:
        async with asyncio.timeout(DEADLINE_S):
            head = [*make_fields(request_id, DEADLINE_S), *fields]
            data = encode_request("POST", "/proof/1", head, body)
            assert len(data) - len(body) <= LIMITS["max_header_bytes"]
            assert len(body) <= LIMITS["max_body_bytes"]
            writer.write(data)
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        writer.close()


def is_denied(answer):
    """Return whether an answer is a 3xx or 4xx of the daemon's own that counts."""
    return (
        answer is not None
        and 300 <= answer.status < 500
        and answer.status not in OWN_STATUSES_ALLOWED
        and "x-server-seal" not in answer.fields
    )


async def scenario(record, trouble):
    """Return whether no more requests were denied than the rule allows."""
    body = bytes(LARGE_BODY_BYTES if trouble else USUAL_BODY_BYTES)
    field = "c" * (LARGE_FIELD_BYTES if trouble else USUAL_FIELD_BYTES)
    async with Mesh(record, LAYOUT, ROUTES, work) as mesh:
        machine = mesh.machines[0]
        requests = [(f"b{n:015x}", [], body) for n in range(COUNT)]
        requests += [(f"f{n:015x}", [("Cookie", field)], b"") for n in range(COUNT)]
        denied = 0
        for request_id, fields, content in requests:
            answer = await send(machine, request_id, fields, content)
            status = answer.status if answer else 0
            size = sum(len(value) for _, value in fields) + len(content)
            record.write(request_id, f"{size} bytes: status", status)
            denied += is_denied(answer)
        allowed = 5 + len(requests) / 500
        record.tell(f"{denied} of {len(requests)} denied, allowed: {allowed:.2f}")
        return denied <= allowed


run_case(__file__, scenario)
