"""View of a daemon on its own availability zone: quorum and owners of keys.

A view is made with each report and expires soon after. A process that resumes after a
pause finds its view expired and owns no keys until it has made a new one.
"""

from egretlift.membership.directory import weigh
from egretlift.membership.peers import FIRST_REPORT_TIMEOUT_S, is_reporting

# A view expires after this many report intervals.
VIEW_LIFETIME_INTERVALS = 2.0
# A host that stopped reporting is presumed partitioned for this long, then dead.
# While the store is unreachable it stays presumed partitioned, since only the store
# would tell the two cases apart.
DEAD_AFTER_S = 10.0


class ZoneView:
    """Hosts of a zone, this one included, at one moment.

    Attributes
    ----------
    made_at : float
        Monotonic time at which the view was made, in seconds.
    live : tuple of str
        Hosts whose reports arrive and that are not stopping.
    ready : tuple of str
        Live hosts that have a configuration; only these own keys.
    silent_count : int
        Number of hosts that may be alive although their reports do not arrive.
    host_count : int
        Number of all hosts that may be alive.
    is_complete : bool
        Whether this host has read which hosts the zone has. Until then a started
        process knows only those whose reports it happened to receive.
    """

    __slots__ = (
        "host_count",
        "is_complete",
        "live",
        "made_at",
        "ready",
        "silent_count",
    )

    def __init__(
        self,
        made_at=float("-inf"),
        live=(),
        ready=(),
        reporting_count=0,
        silent_count=0,
        is_complete=True,
    ):
        self.made_at = made_at
        self.live = live
        self.ready = ready
        self.silent_count = silent_count
        self.host_count = 1 + reporting_count + silent_count
        self.is_complete = is_complete


def observe_zone(near, own, now, interval_s, store_served):
    """Return the current view of a zone.

    Parameters
    ----------
    near : iterable of Peer
        Other hosts of the zone.
    own : ZoneView
        View that contains only this host.
    now : float
        Monotonic time in seconds.
    interval_s : float
        Report interval in seconds.
    store_served : bool
        Whether the store recently served this host or one whose reports arrive.
    """
    live, ready = list(own.live), list(own.ready)
    reporting_count = silent_count = 0
    for peer in near:
        if is_reporting(peer, now, interval_s):
            reporting_count += 1
            if not peer.entry.stopping:
                live.append(peer.entry.host)
                if peer.version:
                    ready.append(peer.entry.host)
        elif may_be_alive(peer, now, store_served):
            silent_count += 1
    return ZoneView(now, tuple(live), tuple(ready), reporting_count, silent_count)


def may_be_alive(peer, now, store_served):
    """Return whether a host that does not report is presumed alive but partitioned."""
    if peer.removed:
        return False
    if not store_served:
        return True
    if peer.last_report_at is None:
        return now - peer.discovered_at < FIRST_REPORT_TIMEOUT_S
    return now - peer.last_report_at < DEAD_AFTER_S


def has_quorum(view):
    """Return whether reports arrive from more than half of the zone's known hosts.

    This host counts among them. Two sides of a partition cannot both have a quorum, and
    a host that does not know the others has none.

    Examples
    --------
    >>> has_quorum(ZoneView(reporting_count=1, silent_count=1))
    True
    >>> has_quorum(ZoneView(reporting_count=0, silent_count=1))
    False
    """
    reporting_count = view.host_count - view.silent_count
    return view.is_complete and 2 * reporting_count > view.host_count


def is_current(view, now, interval_s):
    """Return whether a view has not expired."""
    return now - view.made_at < VIEW_LIFETIME_INTERVALS * interval_s


def find_owner(view, key):
    """Return the host of this zone that owns a key.

    None if the view has no quorum or no host is ready.

    Examples
    --------
    >>> view = ZoneView(ready=("a", "b"), reporting_count=1)
    >>> find_owner(view, "northlight") in ("a", "b")
    True
    """
    if not view.ready or not has_quorum(view):
        return None
    return max(view.ready, key=lambda host: weigh(key, host))
