"""Other daemons and their upstreams, known from the store and from reports.

Each daemon sends a report to the hosts of its zone at short intervals. A host whose
reports stop gets no calls until its next report. The state of hosts of other zones is
known from their entries in the store, from rare reports and from the outcome of calls.
"""

from egretlift.documents import (
    is_address,
    is_header_text,
    is_integer,
    is_number,
    is_port,
    is_text,
)
from egretlift.errors import ObjectInvalid
from egretlift.load import decode_load, encode_load
from egretlift.membership.positions import is_era
from egretlift.membership.upstream import READY

# A host counts as silent after this many report intervals without a report.
REPORT_TIMEOUT_INTERVALS = 3.5
# A host that has not yet reported gets calls for this long after its discovery.
FIRST_REPORT_TIMEOUT_S = 3.0
# Length of the first ejection of a host after a failed connection or a refusal because
# it is unavailable. A report ends it early.
EJECTION_S = 1.0
# A host that answers none of its calls for this long, in seconds and in mean durations
# of its calls, is taken for unresponsive.
UNRESPONSIVE_S = 0.3
UNRESPONSIVE_DURATIONS = 4.0
# The length doubles with each successive failure, at most this many times.
EJECTION_DOUBLINGS_MAXIMUM = 3
# The entry of a host that has not reported for this long is deleted from the store.
ENTRY_RETENTION_S = 600.0
# An upstream that states more slots than this is misread rather than large.
SLOTS_MAXIMUM = 1_000_000
REMEDY = "send the fields of a host with their types"


def is_optional_name(value):
    """Return whether a value is empty or a name that fits into a header."""
    return value == "" or is_header_text(value)


def is_count(value):
    """Return whether a value is a whole number that is not negative."""
    return is_integer(value, 0)


def is_not_negative(value):
    """Return whether a value is a number that is not negative."""
    return is_number(value, 0)


def is_slot_count(value):
    """Return whether a value is a possible number of slots, 0 for none known."""
    return is_integer(value, 0, SLOTS_MAXIMUM)


def is_flag(value):
    """Return whether a value is a boolean; 0 and 1 are not."""
    return isinstance(value, bool)


class HostEntry:
    """Description of a host and its upstream, as published by the host's daemon.

    Attributes
    ----------
    boot : str
        Random identifier of the daemon's process.
    counter : int
        Increases each time the process changes its entry.
    state : str
        Status of the upstream; see `egretlift.membership.upstream`.
    stopping : bool
        Whether the daemon is stopping and accepts no further calls.
    """

    FIELDS = (
        ("host", is_header_text),
        ("zone", is_text),
        ("service", is_text),
        ("address", is_address),
        ("peer_port", is_port),
        ("report_port", is_port),
        ("upstream_id", is_optional_name),
        ("state", is_text),
        ("born", is_not_negative),
        ("sequence", is_not_negative),
        ("slots", is_slot_count),
        ("boot", is_text),
        ("counter", is_count),
        ("stopping", is_flag),
    )
    __slots__ = tuple(name for name, _ in FIELDS)

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])


def encode_entry(entry):
    """Return the values of an entry as a list in the order of ``FIELDS``."""
    return [getattr(entry, name) for name in HostEntry.__slots__]


def decode_entry(values):
    """Return the entry decoded from a list of values.

    Raises
    ------
    ObjectInvalid
        If a value is missing, has the wrong type or is out of range.
    """
    if not isinstance(values, list) or len(values) != len(HostEntry.FIELDS):
        raise ObjectInvalid(f"host entry {values!r:.200}", REMEDY)
    for (name, is_valid), value in zip(HostEntry.FIELDS, values, strict=True):
        if not is_valid(value):
            raise ObjectInvalid(f"host entry: {name} is {value!r:.100}", REMEDY)
    names = HostEntry.__slots__
    return HostEntry(**dict(zip(names, values, strict=True)))


class Report:
    """Periodic message of a daemon: its entry, load and configuration version.

    Attributes
    ----------
    entry : HostEntry or None
        None in a short report, sent while the entry is unchanged.
    host, boot : str
    counter : int
        Copied from the entry; sent in a short report as well.
    number : int
        Sequence number, increasing with each report of a process.
    version : int
        Version of the configuration in force, 0 for none.
    load : Load
        Load of the upstream.
    store_served : bool or None
        Whether the store serves the host; None if the host has not called it recently.
    store_era : int or None
        Era of the store, None if the host has not seen it change.
    """

    __slots__ = (
        "boot",
        "counter",
        "entry",
        "host",
        "load",
        "number",
        "store_era",
        "store_served",
        "version",
    )

    def __init__(self, entry, number, version, load, store_served=None, store_era=None):
        self.entry = entry
        self.host = entry.host
        self.boot = entry.boot
        self.counter = entry.counter
        self.number = number
        self.version = version
        self.load = load
        self.store_served = store_served
        self.store_era = store_era


# Values that stand for the entry in a short report: host, boot and counter.
REFERENCE_FIELDS = 3
# A report states the era of the store only after it has changed, so that daemons of an
# earlier version, which know no era, understand the others.
REPORT_FIELDS = 5


def encode_report(report, is_short=False):
    """Return a report as a list for a datagram.

    A short report holds host, boot and counter in place of the whole entry.
    """
    values = [report.host, report.boot, report.counter]
    if not is_short:
        values = encode_entry(report.entry)
    values = [
        values,
        report.number,
        report.version,
        encode_load(report.load),
        report.store_served,
    ]
    if report.store_era is not None:
        values.append(report.store_era)
    return values


def decode_report(document):
    """Return the report in the decoded body of a datagram.

    Raises
    ------
    ObjectInvalid
        If the value is not a valid report.
    """
    if not isinstance(document, list) or not 0 <= len(document) - REPORT_FIELDS <= 1:
        raise ObjectInvalid(f"report: {document!r:.200}", REMEDY)
    values, number, version, load, store_served = document[:REPORT_FIELDS]
    store_era = document[REPORT_FIELDS] if len(document) > REPORT_FIELDS else None
    if not is_integer(number) or not is_integer(version):
        raise ObjectInvalid(f"report: number and version are {document[1:3]!r}", REMEDY)
    found = decode_load(load)
    if found is None:
        raise ObjectInvalid(f"report: load is {load!r:.100}", REMEDY)
    if store_served is not None and not is_flag(store_served):
        raise ObjectInvalid(f"report: store is {store_served!r:.100}", REMEDY)
    if store_era is not None and not is_era(store_era):
        raise ObjectInvalid(f"report: era is {store_era!r:.100}", REMEDY)
    is_short = isinstance(values, list) and len(values) == REFERENCE_FIELDS
    entry = decode_entry_reference(values) if is_short else decode_entry(values)
    report = Report(entry, number, version, found, store_served, store_era)
    if is_short:
        report.entry = None
    return report


class EntryReference:
    """Identity of a sender and the counter of its entry, without the entry itself."""

    __slots__ = ("boot", "counter", "host")

    def __init__(self, host, boot, counter):
        self.host = host
        self.boot = boot
        self.counter = counter


def decode_entry_reference(values):
    """Return the ``EntryReference`` in the values of a short report."""
    host, boot, counter = values
    if not (is_header_text(host) and is_text(boot) and is_count(counter)):
        raise ObjectInvalid(f"report: sender is {values!r:.200}", REMEDY)
    return EntryReference(host, boot, counter)


class Peer:
    """State that this daemon keeps for another host.

    Attributes
    ----------
    entry : HostEntry
        Latest entry of the host.
    last_report_at : float or None
        Monotonic time of the last report in seconds; None before the first.
    discovered_at : float
        Monotonic time at which the host was discovered, or its entry was last replaced
        from the store.
    waiting_since : float
        When the host last answered, or was sent the first of its calls in progress.
    ejected_until : float
        Monotonic time until which the host gets no calls after a failed connection or
        a refusal.
    load : Load or None
        Last reported load; None before the first.
    load_at : float
        Monotonic time at which the load was reported.
    number : int
        Sequence number of the last report, -1 before the first.
    outstanding : int
        Calls of this daemon in progress at the host.
    sent : int
        Calls that this daemon sent since the load was reported.
    failed : float
        Exponentially decaying fraction of calls that failed at the host's upstream.
    failed_at : float
        Monotonic time at which ``failed`` was updated.
    version : int
        Configuration version in the last report.
    store_served : bool or None
        See `Report`.
    successive_failures : int
        Ejections since the last report or answer.
    position : int
        Position of the entry among the changes of the store, 0 if the store does not
        hold one; see `egretlift.membership.positions`.
    removed : bool
        Whether the entry was deleted from the store.
    """

    __slots__ = (
        "ejected_until",
        "entry",
        "failed",
        "failed_at",
        "last_report_at",
        "discovered_at",
        "load",
        "load_at",
        "number",
        "outstanding",
        "position",
        "removed",
        "sent",
        "store_served",
        "successive_failures",
        "version",
        "waiting_since",
    )

    def __init__(self, entry, now):
        self.entry = entry
        self.last_report_at = None
        self.discovered_at = now
        self.ejected_until = float("-inf")
        self.load = None
        self.load_at = now
        self.number = -1
        self.outstanding = 0
        self.waiting_since = now
        self.version = 0
        self.store_served = None
        self.successive_failures = 0
        self.position = 0
        self.removed = False
        self.sent = 0
        self.failed = 0.0
        self.failed_at = now


def merge_stored_entry(peers, entry, position, now, interval_s):
    """Merge an entry read from the store; return whether the host is new.

    While reports of the host arrive, the reported entry is kept, since the stored one
    may be older. The stored entry replaces it only if the same process wrote both and
    the stored one has the higher counter.
    """
    peer = peers.get(entry.host)
    if peer is None:
        peer = peers[entry.host] = Peer(entry, now)
        peer.position = position
        remove_predecessors(peers, entry)
        return True
    if position > peer.position:
        peer.position = position
        peer.removed = False
        if is_newer(entry, peer.entry) or not is_reporting(peer, now, interval_s):
            peer.entry = entry
            peer.discovered_at = now
    return False


def merge_report(peers, report, now):
    """Merge a report of another daemon; return whether it was used.

    Ignored are reports that arrive out of order, and short reports of a host or
    process whose entry is not known yet.
    """
    peer = peers.get(report.host)
    is_new_process = peer is None or peer.entry.boot != report.boot
    if is_new_process and report.entry is None:
        return False
    if peer is None:
        peer = peers[report.host] = Peer(report.entry, now)
        remove_predecessors(peers, report.entry)
    elif not is_new_process and report.number <= peer.number:
        return False
    if report.entry is not None and not is_newer(peer.entry, report.entry):
        peer.entry = report.entry
    peer.number = report.number
    peer.version = report.version
    peer.store_served = report.store_served
    peer.last_report_at = now
    readmit(peer)
    set_load(peer, report.load, now)
    return True


def is_newer(entry, other):
    """Return whether one process wrote both entries, and ``entry`` after ``other``."""
    return entry.boot == other.boot and entry.counter > other.counter


def set_load(peer, load, now):
    """Store a reported load and reset the count of calls sent since."""
    peer.load = load
    peer.load_at = now
    peer.sent = 0


def remove_predecessors(peers, entry):
    """Remove other hosts with the address and peer port of a new host."""
    endpoint = (entry.address, entry.peer_port)
    for host, other in list(peers.items()):
        found = (other.entry.address, other.entry.peer_port)
        if host != entry.host and found == endpoint:
            del peers[host]


def is_reporting(peer, now, interval_s):
    """Return whether the last report of a host is recent enough.

    That is, less than `REPORT_TIMEOUT_INTERVALS` report intervals old.
    """
    return (
        peer.last_report_at is not None
        and now - peer.last_report_at < REPORT_TIMEOUT_INTERVALS * interval_s
    )


def find_abandoned(peers, now):
    """Return the hosts whose entries in the store have expired.

    These have neither reported nor been replaced for `ENTRY_RETENTION_S`.

    Parameters
    ----------
    peers : iterable of Peer
        Hosts of this zone; those of other zones do not report regularly.
    now : float
        Monotonic time in seconds.
    """
    oldest = now - ENTRY_RETENTION_S
    return [
        peer
        for peer in peers
        if peer.position
        and peer.discovered_at < oldest
        and (peer.last_report_at is None or peer.last_report_at < oldest)
    ]


def find_departed(peers, now, interval_s):
    """Return the peers that have shut down: no entry in the store and no reports.

    A host deletes its entry from the store as the last step of its shutdown. Its last
    reports may arrive afterwards and make it known again, marked as stopping.
    """
    return [
        peer
        for peer in peers.values()
        if (peer.removed or (peer.entry.stopping and not peer.position))
        and not is_reporting(peer, now, interval_s)
    ]


def eject(peer, now):
    """Send no calls to a host until its next report or until the ejection expires.

    Hosts of other zones report too rarely to end an ejection, so its length doubles
    with each successive failure, from `EJECTION_S` up to eight times that. Calls that
    fail while the host is ejected count as the same failure.
    """
    if now < peer.ejected_until:
        return
    peer.ejected_until = now + EJECTION_S * 2 ** min(
        peer.successive_failures, EJECTION_DOUBLINGS_MAXIMUM
    )
    peer.successive_failures += 1


def readmit(peer):
    """End the ejection of a host that has reported or answered."""
    peer.ejected_until = float("-inf")
    peer.successive_failures = 0


def is_unresponsive(peer, now):
    """Return whether a host has not answered any of its calls for unusually long.

    It may be behind a network partition that began a moment ago: its connections are
    silent then, and new calls to it would be lost as well.
    """
    if not peer.outstanding:
        return False
    duration_s = peer.load.duration_s if peer.load else 0.0
    limit_s = max(UNRESPONSIVE_S, UNRESPONSIVE_DURATIONS * duration_s)
    return now - peer.waiting_since > limit_s


def may_call(peer, zone, now, interval_s):
    """Return whether a call may be sent to a host.

    Parameters
    ----------
    peer : Peer
    zone : str
        Zone of this daemon. Only hosts of the same zone report regularly, so the
        silence of a host is not held against it in other zones.
    now : float
        Monotonic time in seconds.
    interval_s : float
        Report interval in seconds.
    """
    entry = peer.entry
    if entry.state != READY or entry.stopping or now < peer.ejected_until:
        return False
    if peer.successive_failures and peer.outstanding:
        # One call at a time tries a host that has failed, until it answers.
        return False
    if entry.zone != zone:
        return not peer.removed
    if peer.last_report_at is None:
        return now - peer.discovered_at < FIRST_REPORT_TIMEOUT_S
    return is_reporting(peer, now, interval_s)
