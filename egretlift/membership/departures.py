"""Departures of upstreams, as other daemons remember them.

The daemon beside an upstream forgets at its end that the upstream has left. Its entry
in the store tells the next process, unless the store was away when the upstream left.
The daemons that received the report of the departure therefore keep it, and send it to
the next process of that host if its own reports do not show it.

All daemons of a zone may end at once. While the store does not have a host's entry,
some hosts of other zones, its replicas, therefore get its reports too.
"""

from heapq import nlargest

from egretlift.membership.directory import weigh
from egretlift.membership.upstream import (
    DEPARTED_STATUSES,
    GONE,
    name_start,
    rank_announcement,
    rank_status,
)
from egretlift.recent import remember

# Hosts of which the latest departure is kept.
DEPARTURES_MAXIMUM = 1024
# Hosts of each other zone that keep the departures of a host.
REPLICAS_PER_ZONE = 2


def is_final(entry):
    """Return whether a host has stopped after its upstream had left.

    Its entry stays in the store for a while, in place of a removal.
    """
    return entry.stopping and entry.state == GONE


def record_entry(departures, entry):
    """Keep an entry of a host if it tells the latest departure of an upstream there.

    Parameters
    ----------
    departures : dict of str to HostEntry
        By host.
    entry : HostEntry
    """
    if entry.state not in DEPARTED_STATUSES or not entry.upstream_id:
        return
    known = departures.get(entry.host)
    if known is None or rank_departure(entry) >= rank_departure(known):
        remember(departures, entry.host, entry, DEPARTURES_MAXIMUM)


def rank_departure(entry):
    """Return the sort key of a departure: start of the upstream, then its status."""
    return (entry.born, rank_status(entry.state), rank_announcement(entry))


def find_forgotten(departures, entry):
    """Return the departure that a host's own entry should show and does not, or None.

    Examples
    --------
    >>> from types import SimpleNamespace as Entry
    >>> left = Entry(host="h", boot="1", upstream_id="i-1", born=7, state="gone")
    >>> new = Entry(host="h", boot="2", upstream_id="i-1", born=7, state="ready")
    >>> find_forgotten({"h": left}, new) is left
    True
    >>> new.born = 8
    >>> find_forgotten({"h": left}, new) is None
    True
    """
    departed = departures.get(entry.host)
    if departed is None or departed.boot == entry.boot:
        return None
    if not entry.upstream_id or entry.born < departed.born:
        return departed
    is_same = name_start(entry) == name_start(departed)
    if is_same and rank_status(entry.state) < rank_status(departed.state):
        return departed
    return None


def choose_replicas(host, zones):
    """Return the hosts of other zones that keep the departures of a host.

    They are the best-ranked ones by rendezvous hashing, so that the next process of the
    host asks those that the process before has told.

    Parameters
    ----------
    host : str
    zones : dict of str to list of Peer
        Hosts of each other zone.

    Examples
    --------
    >>> from types import SimpleNamespace as Namespace
    >>> peers = [Namespace(entry=Namespace(host=name)) for name in "abcd"]
    >>> replicas = choose_replicas("h", {"east": peers})
    >>> len(replicas), replicas == choose_replicas("h", {"east": peers[::-1]})
    (2, True)
    """
    return [
        replica
        for peers in zones.values()
        for replica in nlargest(
            REPLICAS_PER_ZONE, peers, key=lambda peer: weigh(host, peer.entry.host)
        )
    ]
