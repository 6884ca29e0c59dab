"""Open-loop load generator.

Requests arrive by a seeded Poisson process, whether or not earlier ones have been
answered. ``run_load`` takes a plan with the fields of ``DEFAULT_PLAN``; the command
line takes the plan as a file and prints the totals::

    python -m standins.load plan.json
"""

import argparse
import asyncio
import contextlib
import json
import random
import time

import aiohttp

from egretlift.outcome import (
    IDENTIFIER_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    TIMEOUT_HEADER,
)
from standins.answers import CHUNK_BYTES, BodyCheck, check_chunk, finish_check
from standins.serving import change_values, open_session
from standins.totals import compute_totals

# Status codes after which a resend cannot succeed.
FINAL_STATUSES = (400, 401, 403, 404, 413, 422)

# name: prefix of the request ids, which must differ between generators that run at
#     the same time.
# start_at: monotonic time of the start, for generators that run at the same time;
#     None starts at once.
# rate: requests a second over all organisations, for a multiplier of 1.
# phases: {"duration_s", "multiplier", "organisations": {name: multiplier},
#     "routes": {name: multiplier}}; the last two are optional.
# targets: lists of caller ports as "address:port" by service; "" is the service of
#     routes without one.
# organisations: fields of DEFAULT_ORGANISATION; routes: fields of DEFAULT_ROUTE.
# resends: largest number, first pause, which doubles each time, and the largest
#     random addition as a share of the pause.
# connections: limit of the client, 0 for none.
# records_path: file to which the attempts are written as JSON Lines.
# grace_s: wait for open requests after the last phase, before they are cancelled.
DEFAULT_PLAN = {
    "name": "r",
    "seed": 0,
    "start_at": None,
    "rate": 100.0,
    "phases": [{"duration_s": 5.0, "multiplier": 1.0}],
    "targets": {},
    "organisations": [],
    "routes": [],
    "resends": {"count": 0, "backoff_s": 0.1, "jitter": 0.5},
    "connections": 0,
    "records_path": None,
    "grace_s": 30.0,
}

# rate and burst are used in the totals only, to find the requests within the rate.
DEFAULT_ORGANISATION = {
    "name": None,
    "key": None,
    "share": 1.0,
    "rate": None,
    "burst": None,
}

# {id} in the path is replaced by the request id. identifier: None, "caller" for one
# made by the caller or "issued" for one that the daemon issues. priority and weight
# are used in the totals only.
DEFAULT_ROUTE = {
    "name": None,
    "service": "",
    "method": "GET",
    "path": "/",
    "priority": "interactive",
    "weight": 1.0,
    "share": 1.0,
    "body_bytes": 0,
    "timeout_s": 2.0,
    "identifier": None,
}


class Load:
    """Plan, random state, client session and records of one run.

    ``lag_s`` is the largest delay of a request behind its scheduled arrival.
    """

    __slots__ = ("attempts", "file", "lag_s", "plan", "random", "requests", "session")

    def __init__(self, plan):
        self.plan = change_values(dict(DEFAULT_PLAN), plan)
        self.plan["organisations"] = [
            change_values(dict(DEFAULT_ORGANISATION), fields)
            for fields in self.plan["organisations"]
        ]
        self.plan["routes"] = [
            change_values(dict(DEFAULT_ROUTE), fields) for fields in self.plan["routes"]
        ]
        self.random = random.Random(self.plan["seed"])
        self.requests = []
        self.attempts = []
        self.lag_s = 0.0
        path = self.plan["records_path"]
        self.file = open(path, "w", buffering=65536) if path else None  # noqa: SIM115
        self.session = None


def scale_shares(rows, multipliers):
    """Return each row's share times its multiplier, 1 by default."""
    return [row["share"] * multipliers.get(row["name"], 1.0) for row in rows]


def plan_arrivals(load):
    """Yield (seconds from the start, organisation, route) of each request.

    The sequence depends only on the plan and its seed. Multipliers of organisations and
    routes also change the total rate.
    """
    plan, rng = load.plan, load.random
    organisations, routes = plan["organisations"], plan["routes"]
    base_shares = sum(scale_shares(organisations, {})), sum(scale_shares(routes, {}))
    phase_start = 0.0
    for phase in plan["phases"]:
        phase_end = phase_start + phase["duration_s"]
        shares = scale_shares(organisations, phase.get("organisations", {}))
        route_shares = scale_shares(routes, phase.get("routes", {}))
        rate = plan["rate"] * phase.get("multiplier", 1.0)
        rate *= sum(shares) / base_shares[0] * sum(route_shares) / base_shares[1]
        arrival = phase_start
        while rate > 0:
            arrival += rng.expovariate(rate)
            if arrival >= phase_end:
                break
            (organisation,) = rng.choices(organisations, shares)
            (route,) = rng.choices(routes, route_shares)
            yield arrival, organisation, route
        phase_start = phase_end


async def make_body(size):
    """Yield a request body of ``size`` bytes in chunks."""
    for offset in range(0, size, CHUNK_BYTES):
        yield b"u" * min(CHUNK_BYTES, size - offset)


def make_headers(organisation, route, request_id, identifier):
    """Return the headers of one attempt."""
    headers = {
        "x-request-id": request_id,
        TIMEOUT_HEADER: str(int(route["timeout_s"] * 1000)),
    }
    if organisation["key"]:
        headers["authorization"] = f"Bearer {organisation['key']}"
    if identifier:
        headers[IDENTIFIER_HEADER] = identifier
    if route["body_bytes"]:
        headers["content-length"] = str(route["body_bytes"])
    return headers


async def fetch_identifier(load, organisation, target, timeout_s):
    """Return an identifier issued by a daemon, or None if the call fails."""
    headers = {"authorization": f"Bearer {organisation['key']}"}
    url = f"http://{target}/egretlift/identifiers"
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    with contextlib.suppress(aiohttp.ClientError, OSError, ValueError, KeyError):
        async with load.session.post(url, headers=headers, timeout=timeout) as answer:
            return (await answer.json(content_type=None))["identifier"]
    return None


def matches_attempt(fields, attempt, route):
    """Return whether an answer belongs to the attempt and confirms its whole body.

    A resend with an identifier may receive the answer to an earlier attempt of the
    same request. ``fields`` is None for a damaged answer.
    """
    if fields is None or fields.get("received_bytes", 0) != route["body_bytes"]:
        return False
    echoed = str(fields.get("request_id"))
    if attempt["identifier"]:
        return echoed.rpartition(".")[0] == attempt["request"]
    return echoed == attempt["request_id"]


async def send_attempt(load, organisation, route, attempt):
    """Send one attempt and record its answer or error."""
    url = f"http://{attempt['target']}{attempt['path']}"
    headers = make_headers(
        organisation, route, attempt["request_id"], attempt["identifier"]
    )
    body = make_body(route["body_bytes"]) if route["body_bytes"] else None
    # Longer than the timeout sent to the daemon, so that a refusal at the deadline
    # still arrives.
    timeout = aiohttp.ClientTimeout(total=route["timeout_s"] + 0.25)
    check = BodyCheck()
    attempt["start"] = time.monotonic()
    try:
        async with load.session.request(
            route["method"], url, headers=headers, data=body, timeout=timeout
        ) as answer:
            attempt["status"] = answer.status
            attempt["outcome"] = answer.headers.get(OUTCOME_HEADER)
            attempt["reason"] = answer.headers.get(REASON_HEADER)
            async for chunk in answer.content.iter_any():
                check_chunk(check, chunk)
        if answer.status < 400:
            attempt["matches"] = matches_attempt(finish_check(check), attempt, route)
            attempt["whole"] = attempt["matches"]
    except (aiohttp.ClientError, OSError, asyncio.CancelledError) as error:
        attempt["error"] = type(error).__name__
        if isinstance(error, asyncio.CancelledError):
            raise
    finally:
        record_attempt(load, attempt)


def record_attempt(load, attempt):
    """Record an attempt that has ended, and append it to the file if there is one."""
    attempt["end"] = time.monotonic()
    load.attempts.append(attempt)
    if load.file is not None:
        load.file.write(json.dumps(attempt) + "\n")


def make_attempt(load, request, number, target, identifier):
    """Return the record of an attempt that is about to be sent."""
    return {
        "request": request["request"],
        "request_id": f"{request['request']}.{number}",
        "attempt": number,
        "organisation": request["organisation"],
        "route": request["route"],
        "priority": request["priority"],
        "weight": request["weight"],
        "path": request["path"],
        "scheduled": request["scheduled"],
        "target": target,
        "identifier": identifier,
        "start": None,
        "end": None,
        "status": None,
        "outcome": None,
        "reason": None,
        "error": None,
        "whole": False,
        "matches": None,
    }


async def send_request(load, organisation, route, request):
    """Send a request, and resend it until it is whole or cannot succeed.

    The plan limits the number of resends and sets the pauses between them.
    """
    plan = load.plan
    targets = plan["targets"][route["service"]]
    # Separate from the random state of the arrivals, which would otherwise depend on
    # the order of the answers.
    rng = random.Random(f"{plan['seed']}/{request['request']}")
    identifier = request["request"] if route["identifier"] == "caller" else None
    resends = {**DEFAULT_PLAN["resends"], **plan["resends"]}
    for number in range(1 + resends["count"]):
        if number:
            pause = resends["backoff_s"] * 2 ** (number - 1)
            await asyncio.sleep(pause * (1 + resends["jitter"] * rng.random()))
        target = rng.choice(targets)
        if route["identifier"] == "issued" and identifier is None:
            identifier = await fetch_identifier(
                load, organisation, target, route["timeout_s"]
            )
            if identifier is None:
                attempt = make_attempt(load, request, number, target, None)
                attempt.update(error="NoIdentifier", start=time.monotonic())
                record_attempt(load, attempt)
                continue
        attempt = make_attempt(load, request, number, target, identifier)
        await send_attempt(load, organisation, route, attempt)
        if attempt["whole"] or attempt["status"] in FINAL_STATUSES:
            return


def register_request(load, arrival, organisation, route):
    """Add a request to the records and return its record."""
    name = f"{load.plan['name']}{len(load.requests)}"
    request = {
        "request": name,
        "organisation": organisation["name"],
        "route": route["name"],
        "priority": route["priority"],
        "weight": route["weight"],
        "path": route["path"].replace("{id}", name),
        "scheduled": arrival,
    }
    load.requests.append(request)
    return request


async def send_all(load):
    """Send the requests at their scheduled times and wait for the answers.

    Returns the start as monotonic time and the number of requests that were
    cancelled because they were not answered within ``grace_s``.
    """
    tasks, failures = set(), []
    started = load.plan["start_at"] or time.monotonic()

    def handle_done(task):
        tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            failures.append(task.exception())

    for arrival, organisation, route in plan_arrivals(load):
        due = started + arrival
        pause = due - time.monotonic()
        # When the generator is late, a pause of zero still lets other tasks run.
        await asyncio.sleep(max(0.0, pause))
        load.lag_s = max(load.lag_s, time.monotonic() - due)
        request = register_request(load, due, organisation, route)
        task = asyncio.ensure_future(send_request(load, organisation, route, request))
        tasks.add(task)
        task.add_done_callback(handle_done)
    planned_s = sum(phase["duration_s"] for phase in load.plan["phases"])
    await asyncio.sleep(max(0.0, started + planned_s - time.monotonic()))
    pending = set(tasks)
    if pending:
        _, pending = await asyncio.wait(pending, timeout=load.plan["grace_s"])
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)
    if failures:
        raise ExceptionGroup(
            "unexpected errors in requests of the load generator", failures[:5]
        )
    return started, len(pending)


async def run_load(plan):
    """Run a plan and return its totals.

    Parameters
    ----------
    plan : dict
        Fields of ``DEFAULT_PLAN``; missing fields take their defaults.

    Returns
    -------
    dict
        The totals, see `standins.totals.compute_totals`, with ``abandoned``, the number
        of cancelled requests, and ``generator_lag_s``, the largest delay of a request
        behind its scheduled arrival.
    """
    load = Load(plan)
    connector = aiohttp.TCPConnector(limit=load.plan["connections"])
    try:
        async with open_session(connector=connector) as load.session:
            started, abandoned = await send_all(load)
    finally:
        if load.file is not None:
            load.file.close()
    totals = compute_totals(load.plan, load.requests, load.attempts, started)
    return {**totals, "abandoned": abandoned, "generator_lag_s": load.lag_s}


def main():
    """Run a plan from a file and print the totals as JSON."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("plan", help="file with the plan as JSON; see DEFAULT_PLAN")
    with open(parser.parse_args().plan) as file:
        plan = json.load(file)
    print(json.dumps(asyncio.run(run_load(plan)), indent=1))


if __name__ == "__main__":
    main()
