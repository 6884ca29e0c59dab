"""What the servers of a process share: memory, connections and turns."""

import heapq
import math

from egretlift.transport.turns import Turns

# One in so many idle connections is closed when there are too many connections.
CLOSED_SHARE = 32


class ServerGroup:
    """What the servers of a process share.

    Attributes
    ----------
    account : MemoryAccount
        Bounds the memory of all connections.
    turns : Turns
        Turns of the connections that have much to parse.
    connections : set of ServerConnection
        Connections of all servers.
    connections_maximum : float
        Number of connections above which idle ones are closed.
    report : callable
        Called with the number of connections that are closed for their number.
    """

    __slots__ = ("account", "connections", "connections_maximum", "report", "turns")

    def __init__(self, account, connections_maximum=math.inf):
        self.account = account
        self.turns = Turns()
        self.connections = set()
        self.connections_maximum = connections_maximum
        self.report = ignore_report


def ignore_report(count):
    """Report nothing."""


def close_surplus(group, newest):
    """Close connections if there are too many, those first that did nothing longest.

    Connections with a request that is handled stay. If all are of that kind, the newest
    is closed. Several are closed at once, so that each new one does not need a search.
    """
    if len(group.connections) <= group.connections_maximum:
        return
    idle = [item for item in group.connections if not item.pending and item != newest]
    count = max(1, len(idle) // CLOSED_SHARE)
    surplus = heapq.nsmallest(count, idle, key=get_progress_at) or [newest]
    group.report(len(surplus))
    for connection in surplus:
        connection.drop()


def get_progress_at(connection):
    """Return when a connection last did something, in seconds."""
    return connection.progress_at
