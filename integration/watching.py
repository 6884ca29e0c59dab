"""Monitoring of the daemons of a mesh, and single calls to them.

::

    with monitor_hosts(mesh) as observations:
        ...
    observations.regressions  # objects that went back to an older revision
"""

import contextlib
import http.client
import json
import threading
import time
from collections import defaultdict

from integration.meshes import make_key
from standins.control import call_json
from standins.mesh import port_of, read_state

POLL_PERIOD_S = 0.1


class Observations:
    """What the operators' ports of all daemons reported during a run.

    Attributes
    ----------
    newest : dict of (host, incarnation, object) to int
        Highest revision that the state page has reported.
    regressions : list of (host, object, int, int)
        Host, object, revision before and lower revision after.
    in_force : dict of (object, revision) to dict of host to float
        Wall time at which a host reported the change as in force.
    polls : int
        Number of state pages read.
    """

    __slots__ = ("events_read", "in_force", "mesh", "newest", "polls", "regressions")

    def __init__(self, mesh):
        self.mesh = mesh
        self.newest = {}
        self.regressions = []
        self.in_force = defaultdict(dict)
        self.events_read = {}
        self.polls = 0


def record_state(observations, state):
    """Record a state page, and the objects whose revision has decreased.

    An object that is missing from the page counts as revision 0.
    """
    observations.polls += 1
    host, incarnation = state["host"], state["incarnation"]
    for name, revision in state["configuration"]["objects"].items():
        key = (host, incarnation, name)
        before = observations.newest.get(key, 0)
        if revision < before:
            observations.regressions.append((host, name, before, revision))
        observations.newest[key] = max(before, revision)
    missing = [
        key
        for key in observations.newest
        if key[:2] == (host, incarnation)
        and key[2] not in state["configuration"]["objects"]
    ]
    observations.regressions.extend(
        (host, key[2], observations.newest[key], 0) for key in missing
    )


def record_events(observations, host, incarnation):
    """Read the events since the last poll and record the changes put in force."""
    port = port_of(observations.mesh, f"daemon/{host}", "operators")
    after = observations.events_read.get((host, incarnation), 0)
    status, body = call_json(port, "GET", f"/events?after={after}")
    if status != 200:
        return
    observations.events_read[(host, incarnation)] = body["last"]
    for event in body["events"]:
        if event["event"] == "configuration-in-force":
            change = (f"{event['kind']}/{event['name']}", event["revision"])
            observations.in_force[change].setdefault(host, event["wall_s"])


def poll_host(observations, host, stop):
    """Poll one daemon until the event ``stop`` is set."""
    while not stop.is_set():
        state = read_state(observations.mesh, host)
        if state is not None:
            record_state(observations, state)
            record_events(observations, host, state["incarnation"])
        stop.wait(POLL_PERIOD_S)


@contextlib.contextmanager
def monitor_hosts(mesh):
    """Poll all daemons, each in a thread, for the body of a with statement."""
    observations, stop = Observations(mesh), threading.Event()
    threads = [
        threading.Thread(target=poll_host, args=(observations, host, stop))
        for host in mesh.hosts
    ]
    for thread in threads:
        thread.start()
    try:
        yield observations
    finally:
        stop.set()
        for thread in threads:
            thread.join()


def measure_latencies(observations, changes, hosts):
    """Return the seconds until each change was in force on the last host, sorted.

    Parameters
    ----------
    observations : Observations
    changes : dict of (object, revision) to float
        Wall time at which each write was sent or accepted.
    hosts : iterable of str
        Hosts that could be reached. A host that skipped a revision counts from a
        later one of the object; if none was in force there, the result is infinite.
    """
    found = []
    for (name, revision), at in changes.items():
        last = 0.0
        for host in hosts:
            times = [
                seen[host]
                for (other, later), seen in list(observations.in_force.items())
                if other == name and later >= revision and host in seen
            ]
            last = max(last, min(times, default=float("inf")) - at)
        found.append(last)
    return sorted(found)


def compute_percentile(values, fraction):
    """Return the smallest of sorted values that this fraction of them does not exceed.

    Examples
    --------
    >>> compute_percentile([1, 2, 3, 4], 0.5)
    2
    """
    position = max(0, -int(-fraction * len(values) // 1) - 1)
    return values[min(position, len(values) - 1)]


def send_request(port, method, path, headers=None, body=None, timeout_s=5.0):
    """Send one request on a new connection; return (status, headers, body).

    Returns
    -------
    tuple
        (None, {}, b"") if no complete answer arrived.
    """
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.headers), answer.read()
    except (OSError, http.client.HTTPException):
        return None, {}, b""
    finally:
        connection.close()


def send_with_key(
    mesh, host, organisation, path="/calendar/1", method="GET", **headers
):
    """Send one call with an organisation's key to the caller port of a host.

    Returns (status, headers, body) as `send_request` does. Underscores in the names
    of further headers become hyphens.
    """
    port = port_of(mesh, f"daemon/{host}", "caller")
    fields = {"authorization": f"Bearer {make_key(organisation)}"}
    fields.update({name.replace("_", "-"): text for name, text in headers.items()})
    return send_request(port, method, path, fields)


def describe_views(mesh):
    """Return each daemon's members and catalog digest as JSON, by host.

    Members are given by host, incarnation and status. Their versions are left out,
    since they change with each announcement. The value of a daemon that does not
    answer is None.
    """
    views = {}
    for host in mesh.hosts:
        state = read_state(mesh, host)
        if state is None:
            views[host] = None
            continue
        members = sorted(
            (member["host"], member["incarnation"], member["status"])
            for member in state["members"]
        )
        views[host] = json.dumps([members, state["configuration"]["digest"]])
    return views


def wait_until_converged(mesh, timeout_s):
    """Wait until all daemons agree on the members, all alive, and the configuration.

    Returns
    -------
    float
        Seconds until they agreed.

    Raises
    ------
    TimeoutError
        If they do not agree in time; the text holds their views.
    """
    started = time.monotonic()
    while True:
        views = describe_views(mesh)
        agreed = set(views.values())
        if len(agreed) == 1 and None not in agreed:
            members, _ = json.loads(agreed.pop())
            alive = [host for host, _, status in members if status == "alive"]
            if set(alive) == set(mesh.hosts):
                return time.monotonic() - started
        if time.monotonic() - started > timeout_s:
            raise TimeoutError(
                f"views have not converged after {timeout_s:g} s: {views}"
            )
        time.sleep(0.05)
