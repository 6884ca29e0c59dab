"""Removal of old claims while removers are killed and the platform fails."""

import functools
import threading
import time
import unittest

from egretlift.idempotency import name_claim
from integration.faults import run_faulty
from integration.history import check_history
from integration.meshes import make_load, make_plan, prepare_mesh, run_mesh, wait_for
from standins.control import call_json
from standins.layout import port_of
from standins.mesh import kill_process, read_counts, set_faults, start_process

RETENTION_S = 6.0
SETTINGS = {
    "gossip_period_s": 0.3,
    "platform_timeout_s": 0.5,
    "zone_lease_s": 2,
    "zone_lease_renewal_s": 0.5,
    "identifier_lifetime_s": 3,
    "claim_retention_s": RETENTION_S,
}
POLL_S = 0.1


def list_names(mesh, kind):
    """Return the names of the platform's objects of a kind, None in an outage."""
    status, body = call_json(
        port_of(mesh, "platform", "http"), "GET", f"/objects/{kind}"
    )
    return None if status != 200 else {item["name"] for item in body["objects"]}


def poll_claims(mesh, gone, stop):
    """Note for each claim the time at which it was first found to be gone."""
    while not stop.wait(POLL_S):
        names = list_names(mesh, "claim")
        now = time.monotonic()
        for name in names or ():
            gone.setdefault(name, None)
        for name in gone if names is not None else ():
            if name not in names and gone[name] is None:
                gone[name] = now


def make_schedule(mesh):
    """Kill the remover, fail the platform and lose answers of writes."""
    schedule = [
        (2.0, functools.partial(set_faults, mesh, lost_write_share=0.3)),
        (5.0, functools.partial(set_faults, mesh, lost_write_share=0.0)),
        (6.5, functools.partial(set_faults, mesh, outage=True)),
        (9.0, functools.partial(set_faults, mesh, outage=False)),
    ]
    # The first zone's hosts, one of which holds its lease.
    for number, at in ((1, 3.5), (2, 10.0)):
        name = f"daemon/checkout-a-{number}"
        schedule.append((at, functools.partial(kill_process, mesh, name)))
        schedule.append((at + 1.0, functools.partial(start_process, mesh, name)))
    return sorted(schedule, key=lambda entry: entry[0])


def run_claims():
    """Return (violations, longest possible ages, batches left, counts)."""
    gone, stop = {}, threading.Event()
    with run_mesh(make_plan({"a": 2, "b": 1}, settings=SETTINGS)) as mesh:
        prepare_mesh(mesh, {"studio": (500, 500)})
        route = {"method": "POST", "path": "/bookings/{id}", "name": "caller"}
        load = make_load(
            mesh,
            {"studio": 1.0},
            [{**route, "identifier": "caller", "timeout_s": 1.0, "body_bytes": 50}],
            rate=20.0,
            phases=[{"duration_s": 12.0, "multiplier": 1.0}],
            resends={"count": 3, "backoff_s": 0.1, "jitter": 0.5},
        )
        thread = threading.Thread(target=poll_claims, args=(mesh, gone, stop))
        thread.start()
        try:
            attempts, executions, _ = run_faulty(mesh, load, make_schedule(mesh))
            wait_for(
                lambda: list_names(mesh, "claim") == set(),
                5 * RETENTION_S,
                "claims are left",
            )
            time.sleep(3 * POLL_S)
        finally:
            stop.set()
            thread.join()
        batches = list_names(mesh, "claim-batch")
        counts = read_counts(mesh)["calls"]
    ages = [
        gone[name] - attempt["start"]
        for attempt in attempts
        if attempt["attempt"] == 0
        and (name := name_claim("studio", attempt["identifier"])) in gone
    ]
    return check_history(attempts, executions), ages, batches, counts


class TestClaims(unittest.TestCase):
    """Guards against claims that are removed too early, or never."""

    def test_removal_under_faults(self):
        violations, ages, batches, counts = run_claims()
        self.assertEqual(
            {rule: [] for rule in violations},
            {rule: list(found) for rule, found in violations.items()},
        )
        self.assertGreater(len(ages), 100)
        # A claim is created after the start of its first attempt and removed before
        # it is found gone, so a smaller age proves an early removal.
        self.assertGreaterEqual(min(ages), RETENTION_S)
        # One removal for each claim, and few more after lost answers and kills.
        self.assertLess(counts["delete claim"], 2 * len(ages))
        # A remover killed between a batch and its index leaves one batch.
        self.assertLessEqual(len(batches), 1 + 4)
