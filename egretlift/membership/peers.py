"""Other daemons and their upstreams, from the store and from their reports.

Each daemon sends a report to the others at short intervals. A host whose reports
stay away is not used while others are heard; a host is used again with its next
report. The store's entries are only how daemons find each other.
"""

import json

from egretlift.errors import ObjectInvalid
from egretlift.membership.upstream import READY

# A host is doubted after this many report intervals without a report.
MISSED_REPORTS = 3.5
# Hosts that were never heard are tried for this long after they were learned.
UNHEARD_S = 3.0
# A host that broke a connection is left out for this long, or until its next report.
EJECTION_S = 1.0
# The entry of a host that was not heard for this long is taken out of the store.
RETENTION_S = 600.0
REMEDY = "send the fields of a host with their types"


class HostEntry:
    """What a daemon says of its host and upstream.

    Attributes
    ----------
    boot : str
        Random name of the daemon's process.
    counter : int
        Increases with each change of what the process says.
    state : str
        State of the upstream; see `egretlift.membership.upstream`.
    stopping : bool
        Whether the daemon takes no further calls for its upstream.
    """

    FIELDS = (
        ("host", str),
        ("zone", str),
        ("service", str),
        ("address", str),
        ("peer_port", int),
        ("report_port", int),
        ("upstream_id", str),
        ("state", str),
        ("born", int | float),
        ("sequence", int | float),
        ("slots", int),
        ("boot", str),
        ("counter", int),
        ("stopping", bool),
    )
    __slots__ = tuple(name for name, _ in FIELDS)

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])


def encode_entry(entry):
    """Return the values of an entry in the order of its fields."""
    return [getattr(entry, name) for name in HostEntry.__slots__]


def decode_entry(values):
    """Return the entry in a list of values.

    Raises
    ------
    ObjectInvalid
        A value is missing or has another type.
    """
    if not isinstance(values, list) or len(values) != len(HostEntry.FIELDS):
        raise ObjectInvalid(f"host entry {values!r:.200}", REMEDY)
    for (name, kind), value in zip(HostEntry.FIELDS, values, strict=True):
        if not isinstance(value, kind):
            raise ObjectInvalid(f"host entry: {name} is {value!r}", REMEDY)
    names = HostEntry.__slots__
    return HostEntry(**dict(zip(names, values, strict=True)))


class Load:
    """Load of an upstream as its daemon sees it; durations in seconds."""

    __slots__ = ("duration_s", "limit", "queued", "running")

    def __init__(self, running, limit, queued, duration_s):
        self.running = running
        self.limit = limit
        self.queued = queued
        self.duration_s = duration_s


def encode_load(load):
    """Return a load as text.

    Examples
    --------
    >>> encode_load(Load(3, 16, 0, 0.04))
    '3 16 0 40'
    """
    duration_ms = round(1000 * load.duration_s)
    return f"{load.running} {load.limit} {load.queued} {duration_ms}"


def decode_load(text):
    """Return the load in a text, None if it cannot be read."""
    try:
        running, limit, queued, duration_ms = map(int, text.split())
    except (AttributeError, ValueError):
        return None
    if limit < 1 or min(running, queued, duration_ms) < 0:
        return None
    return Load(running, limit, queued, duration_ms / 1000)


class Report:
    """One report: who sends it, its load, demand and configuration.

    Attributes
    ----------
    demand : dict of str to (float, float)
        By organisation, the requests a second that arrive at the host and the
        tokens that it has.
    version : int
        Configuration in force, 0 for none.
    """

    __slots__ = ("demand", "entry", "load", "number", "version")

    def __init__(self, entry, number, version, load, demand):
        self.entry = entry
        self.number = number
        self.version = version
        self.load = load
        self.demand = demand


def encode_report(report):
    """Return a report as bytes."""
    return json.dumps(
        [
            encode_entry(report.entry),
            report.number,
            report.version,
            encode_load(report.load),
            report.demand,
        ],
        separators=(",", ":"),
    ).encode()


def decode_report(data):
    """Return the report in a datagram.

    Raises
    ------
    ObjectInvalid
        It is no report.
    """
    try:
        values, number, version, load, demand = json.loads(data)
        demand = {
            str(name): (float(arriving), float(tokens))
            for name, (arriving, tokens) in demand.items()
        }
        number, version = int(number), int(version)
    except (AttributeError, TypeError, ValueError) as error:
        raise ObjectInvalid(f"report: {error!r}", REMEDY) from error
    found = decode_load(load)
    if found is None:
        raise ObjectInvalid(f"report: load is {load!r}", REMEDY)
    return Report(decode_entry(values), number, version, found, demand)


class Peer:
    """What this daemon knows of another host.

    Attributes
    ----------
    heard_at : float or None
        Monotonic time of the last report.
    learned_at : float
        When the host was first known, or learned anew from the store.
    ejected_until : float
        Until when the host is left out after a failed connection.
    outstanding : int
        Calls of this daemon that run there.
    sent : int
        Calls of this daemon since the load was reported.
    failed : float
        Decaying part of calls that failed at the host's upstream.
    parts : dict of str to float
        Part of each organisation's rate that the host had when it was last heard.
    revision : int
        Store revision of the entry, 0 if it is not from the store.
    removed : bool
        Whether the entry was in the store and is there no more.
    """

    __slots__ = (
        "ejected_until",
        "entry",
        "failed",
        "failed_at",
        "heard_at",
        "learned_at",
        "load",
        "load_at",
        "number",
        "outstanding",
        "parts",
        "removed",
        "report",
        "revision",
        "sent",
    )

    def __init__(self, entry, now):
        self.entry = entry
        self.heard_at = None
        self.learned_at = now
        self.ejected_until = float("-inf")
        self.load = None
        self.load_at = now
        self.number = -1
        self.outstanding = 0
        self.parts = {}
        self.report = None
        self.revision = 0
        self.removed = False
        self.sent = 0
        self.failed = 0.0
        self.failed_at = now


def learn_stored(peers, entry, revision, now, interval_s):
    """Take in an entry of the store; return whether the host was unknown.

    A host that is heard speaks for itself; its stored entry may be older.
    """
    peer = peers.get(entry.host)
    if peer is None:
        peer = peers[entry.host] = Peer(entry, now)
        peer.revision = revision
        forget_address(peers, entry)
        return True
    if revision > peer.revision:
        peer.revision = revision
        peer.removed = False
        if not is_heard(peer, now, interval_s):
            peer.entry = entry
            peer.learned_at = now
    return False


def learn_report(peers, report, now):
    """Take in a report of another daemon; return whether it was news."""
    entry = report.entry
    peer = peers.get(entry.host)
    if peer is None:
        peer = peers[entry.host] = Peer(entry, now)
        forget_address(peers, entry)
    elif peer.entry.boot == entry.boot and report.number <= peer.number:
        return False
    peer.entry = entry
    peer.number = report.number
    peer.report = report
    peer.heard_at = now
    peer.ejected_until = float("-inf")
    set_load(peer, report.load, now)
    return True


def set_load(peer, load, now):
    """Note the load that a host reported."""
    peer.load = load
    peer.load_at = now
    peer.sent = 0


def forget_address(peers, entry):
    """Forget other hosts at the endpoint of a host that was just learned."""
    endpoint = (entry.address, entry.peer_port)
    for host, other in list(peers.items()):
        found = (other.entry.address, other.entry.peer_port)
        if host != entry.host and found == endpoint:
            del peers[host]


def is_heard(peer, now, interval_s):
    """Return whether reports of a host arrive."""
    return (
        peer.heard_at is not None and now - peer.heard_at < MISSED_REPORTS * interval_s
    )


def find_abandoned(peers, now):
    """Return the peers in the store that were not heard for a long time."""
    oldest = now - RETENTION_S
    return [
        peer
        for peer in peers.values()
        if peer.revision
        and peer.learned_at < oldest
        and (peer.heard_at is None or peer.heard_at < oldest)
    ]


def find_departed(peers, now, interval_s):
    """Return the peers that ended for good: without an entry, and silent.

    A host takes its entry out of the store as its last act, and its last reports may
    arrive later.
    """
    return [
        peer
        for peer in peers.values()
        if (peer.removed or (peer.entry.stopping and not peer.revision))
        and not is_heard(peer, now, interval_s)
    ]


def eject(peer, now):
    """Leave a host out until its next report, or for a while."""
    peer.ejected_until = now + EJECTION_S


def may_call(peer, service, now, interval_s):
    """Return whether a host's upstream may get a call of a service."""
    entry = peer.entry
    if entry.service != service or entry.state != READY or entry.stopping:
        return False
    if now < peer.ejected_until:
        return False
    if peer.heard_at is None:
        return now - peer.learned_at < UNHEARD_S
    return is_heard(peer, now, interval_s)
