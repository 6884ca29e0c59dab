"""Confidentiality and withdrawal of keys, and protection against forged contexts."""

import contextlib
import http.client
import json
import threading
import time
import unittest

from nose2.tools import params

from egretlift.identity import CallContext, hash_key, sign_context
from integration.meshes import (
    ROUTES,
    make_key,
    prepare_mesh,
    run_mesh,
    wait_for,
)
from integration.watching import send_request
from standins.layout import PLAN
from standins.mesh import (
    make_hosts,
    port_of,
    put_object,
    read_records,
    read_state,
    set_behaviour,
)

ORGANISATIONS = {"studio": (500, 500), "dealer": (500, 500)}
# Target for a configuration change, such as a withdrawal, to be in force.
WITHDRAWN_S = 2.0
FORGED = {
    "egretlift-organisation": "dealer",
    "egretlift-priority": "critical",
    "egretlift-deadline-ms": "99999999",
    "egretlift-retries-left": "99",
    "egretlift-load": "0,400,0,0",
    "egretlift-call": "forged",
    "Egretlift-Context": "forged",
}
CHECKOUT, OTHER, LEDGER = "checkout-a-1", "checkout-b-1", "ledger-a-1"


def make_trust_plan():
    """Return the plan of a mesh with a service on two hosts that calls another."""
    call = {"service": "ledger", "method": "POST", "path": "/entries"}
    routes = [
        {"method": "POST", "prefix": "/orders", "profile": "browsing", "calls": [call]},
        *ROUTES,
    ]
    options = {"behaviour": {"service_s": 0.01, "distribution": "fixed"}}
    ledger = [{"method": "*", "prefix": "/", "profile": "browsing"}]
    return {
        "hosts": [
            *make_hosts("checkout", {"a": 1, "b": 1}, routes=routes, **options),
            *make_hosts("ledger", {"a": 1}, routes=ledger, **options),
        ]
    }


def call_host(mesh, host, use, path, headers=None, method="GET"):
    """Send a request to a port of a host; return (status, reason)."""
    port = port_of(mesh, f"daemon/{host}", use)
    status, answered, _ = send_request(port, method, path, headers)
    fields = {name.lower(): text for name, text in answered.items()}
    return status, fields.get("egretlift-reason")


def make_key_header(organisation):
    """Return the header with an organisation's key."""
    return {"Authorization": f"Bearer {make_key(organisation)}"}


def find_headers(mesh, host, path):
    """Return the header values of the last request for a path, by lower-case name.

    Returns None if there was no such request.
    """
    found = [r for r in read_records(mesh, host)["records"] if r["path"] == path]
    requests = read_records(mesh, host)["headers"]
    requests = [r["headers"] for r in requests if r["path"].startswith(path)]
    if not requests or not found:
        return None
    fields = {}
    for name, value in requests[-1]:
        fields.setdefault(name.lower(), []).append(value)
    return fields


def count_executions(mesh):
    """Return the number of executions at all upstreams."""
    return sum(
        read_records(mesh, host)["counts"].get("executions", 0) for host in mesh.hosts
    )


def make_context(**changes):
    """Return a context of a call that no daemon has created."""
    fields = {
        "call_id": "c1",
        "organisation": "dealer",
        "priority": 0,
        "remaining_s": 60.0,
        "retries": 9,
        "depth": 0,
        "identifier": None,
        "origin_host": OTHER,
        "hop": "execute",
    }
    return CallContext(**{**fields, **changes})


def change_payload(text):
    """Return a signed text with one character of its payload changed."""
    middle = len(text) // 4
    other = "A" if text[middle] != "A" else "B"
    return text[:middle] + other + text[middle + 1 :]


class TestTrust(unittest.TestCase):
    """Guards against leaked keys and callers that impersonate others."""

    @classmethod
    def setUpClass(cls):
        cls.stack = contextlib.ExitStack()
        cls.mesh = cls.stack.enter_context(run_mesh(make_trust_plan()))
        try:
            prepare_mesh(cls.mesh, ORGANISATIONS)
            for host in (CHECKOUT, OTHER):
                wait_for(
                    lambda host=host: cls.call(host, "/calendar/0")[0] == 200,
                    15.0,
                    f"{host} serves no keyed call",
                )
        except BaseException:
            cls.stack.close()
            raise

    @classmethod
    def tearDownClass(cls):
        cls.stack.close()

    @classmethod
    def call(cls, host, path, headers=None, method="GET"):
        fields = {**make_key_header("studio"), **(headers or {})}
        return call_host(cls.mesh, host, "caller", path, fields, method)

    def drain_upstream(self, host):
        """Drain a host's upstream, so that the host forwards its requests to a peer."""
        set_behaviour(self.mesh, host, announce=False)
        send_request(port_of(self.mesh, f"daemon/{host}", "upstream"), "POST", "/drain")

    def restore_upstream(self, host):
        """Make an upstream announce itself again and wait until it serves."""
        set_behaviour(self.mesh, host, announce=True)
        wait_for(
            lambda: read_state(self.mesh, host)["upstream"] == "serving",
            10.0,
            f"{host} does not serve again",
        )

    @params("local", "peer")
    def test_no_upstream_sees_a_key_or_a_forged_header(self, served_by):
        if served_by == "peer":
            self.drain_upstream(CHECKOUT)
        path = f"/orders/{served_by}"
        try:
            status, _ = self.call(CHECKOUT, path, FORGED, "POST")
        finally:
            if served_by == "peer":
                self.restore_upstream(CHECKOUT)
        self.assertEqual(200, status)
        ran_at = CHECKOUT if served_by == "local" else OTHER
        headers = find_headers(self.mesh, ran_at, path)
        self.assertEqual(["studio"], headers["egretlift-organisation"])
        self.assertEqual(["interactive"], headers["egretlift-priority"])
        self.assertEqual(1, len(headers["egretlift-call"]))
        self.assertNotIn("forged", headers["egretlift-call"])
        self.assertLessEqual(int(headers["egretlift-deadline-ms"][0]), 3000)
        inner = find_headers(self.mesh, LEDGER, "/entries")
        self.assertEqual(["studio"], inner["egretlift-organisation"])
        self.assertEqual(["interactive"], inner["egretlift-priority"])
        allowed = {
            "egretlift-call",
            "egretlift-deadline-ms",
            "egretlift-organisation",
            "egretlift-priority",
        }
        for host in self.mesh.hosts:
            for request in read_records(self.mesh, host)["headers"]:
                text = json.dumps(request)
                self.assertNotIn(make_key("studio").partition(".")[2], text)
                self.assertNotIn("bearer", text.lower())
                names = {name.lower() for name, _ in request["headers"]}
                own = {name for name in names if name.startswith("egretlift-")}
                self.assertLessEqual(own, allowed)

    def test_forged_headers_replace_no_key(self):
        before = count_executions(self.mesh)
        status, reason = call_host(self.mesh, CHECKOUT, "caller", "/calendar/1", FORGED)
        self.assertEqual((401, "key-missing"), (status, reason))
        self.assertEqual(before, count_executions(self.mesh))

    @params("absent", "text", "foreign", "changed", "shortened")
    def test_peer_port_needs_the_mesh_secret(self, kind):
        signed = sign_context(PLAN["secret"], make_context())
        text = {
            "absent": "",
            "text": "forged",
            "foreign": sign_context("another secret", make_context()),
            "changed": change_payload(signed),
            "shortened": signed[:-2],
        }[kind]
        before = count_executions(self.mesh)
        headers = {**FORGED, **make_key_header("studio")}
        headers["Egretlift-Context"] = text
        found = call_host(self.mesh, CHECKOUT, "peer", "/calendar/1", headers)
        self.assertEqual((403, "context-forged"), found)
        self.assertEqual(before, count_executions(self.mesh))

    def start_slow_call(self, host, path):
        """Start a call that takes about 2 s; return its thread and call token."""
        set_behaviour(self.mesh, host, service_s=2.0)
        thread = threading.Thread(target=self.call, args=(host, path))
        thread.start()
        wait_for(
            lambda: find_headers(self.mesh, host, path), 5.0, f"{path} does not run"
        )
        set_behaviour(self.mesh, host, service_s=0.01)
        return thread, find_headers(self.mesh, host, path)["egretlift-call"][0]

    def test_upstreams_cannot_use_other_calls(self):
        thread, token = self.start_slow_call(OTHER, "/calendar/slow")
        headers = {**FORGED, "egretlift-call": token, **make_key_header("dealer")}
        path = "/call/ledger/entries/own"
        own = call_host(self.mesh, OTHER, "upstream", path, headers, "POST")
        foreign = call_host(self.mesh, CHECKOUT, "upstream", path, headers, "POST")
        thread.join()
        ended = call_host(self.mesh, OTHER, "upstream", path, headers, "POST")
        self.assertEqual(200, own[0])
        self.assertEqual((409, "call-unknown"), foreign)
        self.assertEqual((409, "call-unknown"), ended)
        inner = find_headers(self.mesh, LEDGER, "/entries/own")
        self.assertEqual(["studio"], inner["egretlift-organisation"])
        self.assertEqual(["interactive"], inner["egretlift-priority"])
        self.assertLessEqual(int(inner["egretlift-deadline-ms"][0]), 3000)
        headers.pop("egretlift-call")
        without = call_host(self.mesh, OTHER, "upstream", path, headers, "POST")
        self.assertEqual((401, "key-missing"), without)


def repeat_calls(port, key, until, statuses):
    """Send calls on one connection and append (time, status) of each to a list.

    Times are monotonic; the last call starts before ``until``.
    """
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    while time.monotonic() < until:
        headers = {"Authorization": f"Bearer {key}"}
        connection.request("GET", "/calendar/1", headers=headers)
        began = time.monotonic()
        answer = connection.getresponse()
        answer.read()
        statuses.append((began, answer.status))
        time.sleep(0.01)
    connection.close()


def read_with_pauses(port, key, size, found):
    """Read a large answer over some seconds and append its size to a list."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    headers = {"Authorization": f"Bearer {key}"}
    connection.request("GET", f"/calendar/1?bytes={size}", headers=headers)
    answer, count = connection.getresponse(), 0
    while chunk := answer.read(size // 30):
        count += len(chunk)
        time.sleep(0.1)
    found.append(count)
    connection.close()


class TestWithdrawal(unittest.TestCase):
    """Guards against a withdrawn key that still works on open connections."""

    def test_withdrawn_key_stops_on_open_connections(self):
        size = 20_000_000
        plan = {"hosts": make_hosts("checkout", {"a": 2, "b": 2}, routes=ROUTES)}
        with run_mesh(plan) as mesh:
            prepare_mesh(mesh, ORGANISATIONS)
            ports = [port_of(mesh, f"daemon/{host}", "caller") for host in mesh.hosts]
            for host in mesh.hosts:
                wait_for(
                    lambda host=host: (
                        call_host(
                            mesh,
                            host,
                            "caller",
                            "/calendar/1",
                            make_key_header("studio"),
                        )[0]
                        == 200
                    ),
                    15.0,
                    f"{host} serves no keyed call",
                )
            statuses, sizes = [], []
            until = time.monotonic() + 4.5
            threads = [
                threading.Thread(
                    target=repeat_calls,
                    args=(port, make_key("studio"), until, statuses),
                )
                for port in ports
            ]
            threads.append(
                threading.Thread(
                    target=read_with_pauses,
                    args=(ports[0], make_key("studio"), size, sizes),
                )
            )
            for thread in threads:
                thread.start()
            time.sleep(1.0)
            withdrawn = time.monotonic()
            spec = {"organisation": "studio", "withdrawn": True}
            put_object(mesh, "key", hash_key(make_key("studio")), spec)
            for thread in threads:
                thread.join()
        served_after_s = [at - withdrawn for at, status in statuses if status == 200]
        after = {code for at, code in statuses if at > withdrawn + WITHDRAWN_S}
        self.assertLess(max(served_after_s), WITHDRAWN_S)
        self.assertEqual({401}, after)
        # The answer in transit belongs to a call made while the key was valid.
        self.assertEqual([size], sizes)
