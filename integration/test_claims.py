"""Removal of old claims while daemons are killed and the platform fails."""

import functools
import threading
import time
import unittest

from egretlift.idempotency import name_claim
from integration.faults import run_under_faults
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
    """Return the names of the platform's objects of a kind, or None in an outage."""
    status, body = call_json(
        port_of(mesh, "platform", "http"), "GET", f"/objects/{kind}"
    )
    return None if status != 200 else {item["name"] for item in body["objects"]}


def poll_claims(mesh, removed_at, stop):
    """Record for each claim the time at which it was first found to be removed.

    The time is None while the claim exists.
    """
    while not stop.wait(POLL_S):
        names = list_names(mesh, "claim")
        now = time.monotonic()
        for name in names or ():
            removed_at.setdefault(name, None)
        for name in removed_at if names is not None else ():
            if name not in names and removed_at[name] is None:
                removed_at[name] = now


def make_schedule(mesh):
    """Return a schedule of killed daemons, an outage and lost answers to writes."""
    schedule = [
        (2.0, functools.partial(set_faults, mesh, lost_write_share=0.3)),
        (5.0, functools.partial(set_faults, mesh, lost_write_share=0.0)),
        (6.5, functools.partial(set_faults, mesh, outage=True)),
        (9.0, functools.partial(set_faults, mesh, outage=False)),
    ]
    # One of the first zone's hosts holds its lease and removes claims.
    for number, at in ((1, 3.5), (2, 10.0)):
        name = f"daemon/checkout-a-{number}"
        schedule.append((at, functools.partial(kill_process, mesh, name)))
        schedule.append((at + 1.0, functools.partial(start_process, mesh, name)))
    return sorted(schedule, key=lambda entry: entry[0])


def run_claims():
    """Run bookings under faults and wait until all claims are removed.

    Returns
    -------
    violations : dict
        Of `check_history`.
    ages : list of float
        Longest possible age of each claim at its removal, in seconds.
    batches : set of str
        Claim batches that are left.
    counts : dict of str to int
        Calls to the platform by operation.
    """
    removed_at, stop = {}, threading.Event()
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
        thread = threading.Thread(target=poll_claims, args=(mesh, removed_at, stop))
        thread.start()
        try:
            attempts, executions, _ = run_under_faults(mesh, load, make_schedule(mesh))
            wait_for(
                lambda: list_names(mesh, "claim") == set(),
                5 * RETENTION_S,
                "claims have not been removed",
            )
            time.sleep(3 * POLL_S)
        finally:
            stop.set()
            thread.join()
        batches = list_names(mesh, "claim-batch")
        counts = read_counts(mesh)["calls"]
    ages = [
        removed_at[name] - attempt["start"]
        for attempt in attempts
        if attempt["attempt"] == 0
        and (name := name_claim("studio", attempt["identifier"])) in removed_at
    ]
    return check_history(attempts, executions), ages, batches, counts


class TestClaims(unittest.TestCase):
    """Guards against claims that are removed too early or never."""

    def test_removal_under_faults(self):
        violations, ages, batches, counts = run_claims()
        self.assertEqual(
            {rule: [] for rule in violations},
            {rule: list(found) for rule, found in violations.items()},
        )
        self.assertGreater(len(ages), 100)
        # A claim is created after the start of its first attempt and removed before
        # it is found missing, so a smaller age proves that it was removed too early.
        self.assertGreaterEqual(min(ages), RETENTION_S)
        # One removal for each claim, and a few repeated after lost answers and kills.
        self.assertLess(counts["delete claim"], 2 * len(ages))
        # A daemon that is killed between writing a batch and its index leaves one
        # batch behind.
        self.assertLessEqual(len(batches), 1 + 4)
