"""Watching the daemons of a mesh: configuration in force, members and single calls.

::

    with watch_hosts(mesh) as watch:
        ...
    watch.steps_back  # objects that went back to an older revision
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


class Watch:
    """What the operators' ports of all daemons showed during a run.

    Attributes
    ----------
    newest : dict of (host, incarnation, object) to int
        Highest revision that the state page has shown.
    steps_back : list of (host, object, int, int)
        Host, object, revision before and lower revision after.
    in_force : dict of (object, revision) to dict of host to float
        Wall time at which a host recorded the change as in force.
    polls : int
        State pages read.
    """

    __slots__ = ("events_read", "in_force", "mesh", "newest", "polls", "steps_back")

    def __init__(self, mesh):
        self.mesh = mesh
        self.newest = {}
        self.steps_back = []
        self.in_force = defaultdict(dict)
        self.events_read = {}
        self.polls = 0


def note_state(watch, state):
    """Compare a state page with the revisions seen before."""
    watch.polls += 1
    host, incarnation = state["host"], state["incarnation"]
    for name, revision in state["configuration"]["objects"].items():
        key = (host, incarnation, name)
        before = watch.newest.get(key, 0)
        if revision < before:
            watch.steps_back.append((host, name, before, revision))
        watch.newest[key] = max(before, revision)
    missing = [
        key
        for key in watch.newest
        if key[:2] == (host, incarnation)
        and key[2] not in state["configuration"]["objects"]
    ]
    watch.steps_back.extend((host, key[2], watch.newest[key], 0) for key in missing)


def note_events(watch, host, incarnation):
    """Read the events since the last poll and keep the changes in force."""
    port = port_of(watch.mesh, f"daemon/{host}", "operators")
    after = watch.events_read.get((host, incarnation), 0)
    status, body = call_json(port, "GET", f"/events?after={after}")
    if status != 200:
        return
    watch.events_read[(host, incarnation)] = body["last"]
    for event in body["events"]:
        if event["event"] == "configuration-in-force":
            change = (f"{event['kind']}/{event['name']}", event["revision"])
            watch.in_force[change].setdefault(host, event["wall_s"])


def poll_host(watch, host, stop):
    """Poll one daemon until told to stop."""
    while not stop.is_set():
        state = read_state(watch.mesh, host)
        if state is not None:
            note_state(watch, state)
            note_events(watch, host, state["incarnation"])
        stop.wait(POLL_PERIOD_S)


@contextlib.contextmanager
def watch_hosts(mesh):
    """Poll all daemons in threads for the body of a with statement."""
    watch, stop = Watch(mesh), threading.Event()
    threads = [
        threading.Thread(target=poll_host, args=(watch, host, stop))
        for host in mesh.hosts
    ]
    for thread in threads:
        thread.start()
    try:
        yield watch
    finally:
        stop.set()
        for thread in threads:
            thread.join()


def measure_latencies(watch, changes, hosts):
    """Return the seconds until each change was in force on the last host, sorted.

    Parameters
    ----------
    watch : Watch
    changes : dict of (object, revision) to float
        Wall time at which each write was sent or accepted.
    hosts : iterable of str
        Hosts that could be reached. A host that skipped a change had a later
        revision of the object; one that never reached it counts as infinite.
    """
    found = []
    for (name, revision), at in changes.items():
        last = 0.0
        for host in hosts:
            times = [
                seen[host]
                for (other, later), seen in list(watch.in_force.items())
                if other == name and later >= revision and host in seen
            ]
            last = max(last, min(times, default=float("inf")) - at)
        found.append(last)
    return sorted(found)


def percentile(values, part):
    """Return the smallest value that at least this part of sorted values reaches.

    Examples
    --------
    >>> percentile([1, 2, 3, 4], 0.5)
    2
    """
    position = max(0, -int(-part * len(values) // 1) - 1)
    return values[min(position, len(values) - 1)]


def send(port, method, path, headers=None, body=None, timeout_s=5.0):
    """Send one request on a connection of its own; return (status, headers, body).

    Returns
    -------
    tuple
        (None, {}, b"") if no whole answer came.
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


def send_keyed(mesh, host, organisation, path="/calendar/1", method="GET", **headers):
    """Send one call with an organisation's key to the caller port of a host."""
    port = port_of(mesh, f"daemon/{host}", "caller")
    fields = {"authorization": f"Bearer {make_key(organisation)}"}
    fields.update({name.replace("_", "-"): text for name, text in headers.items()})
    return send(port, method, path, fields)


def describe_views(mesh):
    """Return each daemon's (members, catalog digest) for comparison.

    Members are compared by host, incarnation and status, without versions, which
    change with each announcement.
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


def wait_until_equal(mesh, timeout_s):
    """Wait until all daemons see all others alive and one configuration.

    Returns
    -------
    float
        Seconds until that was so.

    Raises
    ------
    TimeoutError
        With the different views.
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
            raise TimeoutError(f"views differ after {timeout_s:g} s: {views}")
        time.sleep(0.05)
