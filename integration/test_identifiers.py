"""Edge cases of identifiers: expired, reused, refused, shared and at depth 1."""

import http.client
import json
import time
import unittest

from integration.meshes import (
    ROUTES,
    make_key,
    prepare_mesh,
    run_mesh,
    write_organisation,
)
from standins.mesh import list_callers, make_hosts, read_all_executions

# Expired records are removed from the ledger every 10 s.
CLEANUP_S = 11.0
SETTINGS = {
    "gossip_period_s": 0.3,
    "identifier_lifetime_s": 2,
    "ledger_records": 40,
    "ledger_answer_bytes": 2000,
}


def send(target, identifier, organisation="studio", path="/bookings/1", body=b"b"):
    """Send a booking with an identifier; return (status, outcome, reason, body)."""
    connection = http.client.HTTPConnection(target, timeout=10)
    headers = {
        "authorization": f"Bearer {make_key(organisation)}",
        "idempotency-key": identifier,
        "x-request-id": identifier,
    }
    try:
        connection.request("POST", path, body, headers)
        answer = connection.getresponse()
        found = [answer.headers.get(f"egretlift-{n}") for n in ("outcome", "reason")]
        return answer.status, *found, answer.read()
    finally:
        connection.close()


def issue_identifier(target, organisation="studio"):
    """Return an identifier issued by a daemon."""
    connection = http.client.HTTPConnection(target, timeout=10)
    headers = {"authorization": f"Bearer {make_key(organisation)}"}
    connection.request("POST", "/egretlift/identifiers", headers=headers)
    try:
        return json.loads(connection.getresponse().read())["identifier"]
    finally:
        connection.close()


def make_two_services():
    """Return the hosts of checkout and of sales, which checkout calls.

    Checkout calls sales under the identifier of its own call, twice.
    """
    call = {"service": "sales", "method": "POST", "path": "/bookings/9"}
    deep = {"method": "POST", "prefix": "/bookings/deep", "profile": "booking"}
    chained = {**deep, "calls": [{**call, "identifier": True, "repeats": 2}]}
    options = {"behaviour": {"service_s": 0.01}}
    return [
        *make_hosts("checkout", {"a": 3}, routes=[chained, *ROUTES], **options),
        *make_hosts("sales", {"a": 2}, routes=ROUTES, **options),
    ]


class TestIdentifiers(unittest.TestCase):
    """Guards against repeated executions and wrong answers in edge cases."""

    @classmethod
    def setUpClass(cls):
        cls.context = run_mesh({"hosts": make_two_services(), "settings": SETTINGS})
        cls.mesh = cls.context.__enter__()
        cls.addClassCleanup(cls.context.__exit__, None, None, None)
        quotas = {"studio": (2000, 2000), "dealer": (2000, 2000)}
        prepare_mesh(cls.mesh, quotas)
        cls.checkout = list_callers(cls.mesh, "checkout")
        cls.sales = list_callers(cls.mesh, "sales")

    def list_runs(self, identifier, service=""):
        """Return the organisation of each execution of an identifier, sorted.

        Only hosts whose name starts with ``service`` are searched.
        """
        time.sleep(0.2)
        return sorted(
            item["organisation"]
            for host, items in read_all_executions(self.mesh).items()
            for item in items
            if item["identifier"] == identifier and host.startswith(service)
        )

    def test_resends_after_the_record_has_gone(self):
        """Guards against a repeated execution when a claim outlives its record."""
        self.assertEqual("whole", send(self.checkout[0], "old")[1])
        name = issue_identifier(self.checkout[0])
        self.assertEqual("whole", send(self.checkout[1], name)[1])
        time.sleep(SETTINGS["identifier_lifetime_s"] + CLEANUP_S)
        for target in self.checkout:
            self.assertEqual("unknown", send(target, "old")[1])
            self.assertEqual("unknown", send(target, name)[1])
        self.assertEqual(["studio"], self.list_runs("old"))
        self.assertEqual(["studio"], self.list_runs(name))

    def test_other_request(self):
        for identifier in ("reused", issue_identifier(self.checkout[0])):
            self.assertEqual("whole", send(self.checkout[0], identifier)[1])
            for path, body in (("/bookings/1", b"c"), ("/bookings/2", b"b")):
                found = send(self.checkout[1], identifier, path=path, body=body)
                self.assertEqual((422, "identifier-reused"), found[0:3:2])
            # The same path and body, but another service.
            found = send(self.sales[0], identifier)
            self.assertEqual((422, "identifier-reused"), found[0:3:2])
            self.assertEqual(["studio"], self.list_runs(identifier))

    def test_organisations_with_the_same_identifier(self):
        for organisation in ("studio", "dealer", "studio", "dealer"):
            for target in self.checkout:
                self.assertEqual("whole", send(target, "shared", organisation)[1])
        self.assertEqual(["dealer", "studio"], self.list_runs("shared"))

    def test_answer_larger_than_is_kept(self):
        path = "/bookings/1?bytes=5000"
        self.assertEqual("whole", send(self.checkout[0], "large", path=path)[1])
        found = send(self.checkout[1], "large", path=path)
        self.assertEqual((409, "whole", "answer-not-kept"), found[:3])
        self.assertEqual(["studio"], self.list_runs("large"))

    def test_refused_claim_can_be_sent_again(self):
        """Guards against "unknown" for a call that was refused without being run."""
        write_organisation(self.mesh, "small", 0.5, 1)
        limit = time.monotonic() + 20
        while send(self.checkout[0], f"probe{limit}", "small")[1] != "whole":
            self.assertLess(time.monotonic(), limit)
            time.sleep(0.3)
        outcomes = []
        while "whole" not in outcomes and time.monotonic() < limit:
            outcomes.append(send(self.checkout[len(outcomes) % 3], "again", "small")[1])
        self.assertEqual({"refused-not-run", "whole"}, set(outcomes))
        self.assertEqual(["small"], self.list_runs("again"))

    def test_depth_one(self):
        found = send(self.checkout[0], "chain", path="/bookings/deep")
        self.assertEqual("whole", found[1])
        self.assertEqual(
            "whole", send(self.checkout[1], "chain", path="/bookings/deep")[1]
        )
        self.assertEqual(["studio"], self.list_runs("chain", "checkout"))
        self.assertEqual(["studio"], self.list_runs("chain/0", "sales"))

    def test_full_ledger(self):
        """Guards against "not run" for a call that ran, and claims that never run."""
        target = self.sales[0]
        found = {n: send(target, f"fill{n}")[1:3] for n in range(60)}
        refused = [n for n in found if found[n][1] == "ledger-full"]
        self.assertTrue(refused)
        for number in refused:
            self.assertEqual([], self.list_runs(f"fill{number}"))
        # The ledger of another host has room. Success there shows that the refusal
        # left no claim behind.
        self.assertEqual("whole", send(self.sales[1], f"fill{refused[0]}")[1])


if __name__ == "__main__":
    unittest.main()
