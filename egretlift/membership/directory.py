"""Index of known hosts by availability zone and service, and rendezvous hashing.

Rendezvous hashing (highest random weight) ranks the hosts for each key by a hash of
key and host. When a host joins or leaves, only the keys for which it ranks first move.
"""

from functools import lru_cache
from hashlib import blake2b

HASH_BYTES = 8
# Hosts of each other zone that a daemon prefers for a service. The number is small so
# that connections are reused and load reports stay recent.
FAR_HOSTS_PER_ZONE = 3


@lru_cache(maxsize=2**16)
def weigh(key, host):
    """Return the rendezvous weight of a host for a key, a 64-bit integer.

    The host with the highest weight is the first choice.

    Examples
    --------
    >>> weigh("northlight", "a") == weigh("northlight", "a")
    True
    """
    digest = blake2b(f"{key}/{host}".encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def rank_by_weight(key, hosts):
    """Return the hosts as a list, ordered by descending weight for a key.

    Examples
    --------
    >>> hosts = ["a", "b", "c"]
    >>> first, *rest = rank_by_weight("northlight", hosts)
    >>> rank_by_weight("northlight", rest) == rest
    True
    """
    return sorted(hosts, key=lambda host: weigh(key, host), reverse=True)


class ServiceHosts:
    """Hosts of one service, grouped by the order in which a daemon tries them.

    Attributes
    ----------
    near : list of Peer
        Hosts of this availability zone.
    far : list of Peer
        Preferred hosts in other zones, at most `FAR_HOSTS_PER_ZONE` of each.
    rest : list of Peer
        Remaining hosts of other zones, tried only if no other host is usable.
    """

    __slots__ = ("far", "near", "rest")

    def __init__(self):
        self.near = []
        self.far = []
        self.rest = []


class Directory:
    """Known hosts other than its own, indexed for one daemon.

    Attributes
    ----------
    near : list of Peer
        Other hosts of this availability zone.
    zones : dict of str to list of Peer
        Hosts of the other zones, by zone.
    services : dict of str to ServiceHosts
        Hosts by service.
    """

    __slots__ = ("near", "services", "zones")

    def __init__(self):
        self.near = []
        self.zones = {}
        self.services = {}


def arrange_hosts(peers, host, zone):
    """Return the directory of a daemon.

    Daemons rank the hosts of other zones differently, so that together they call all
    of them.

    Parameters
    ----------
    peers : dict of str to Peer
    host, zone : str
        Host and zone of the daemon. The host must not be in ``peers``.
    """
    directory = Directory()
    far = {}
    for peer in peers.values():
        entry = peer.entry
        hosts = directory.services.setdefault(entry.service, ServiceHosts())
        if entry.zone == zone:
            directory.near.append(peer)
            hosts.near.append(peer)
        else:
            directory.zones.setdefault(entry.zone, []).append(peer)
            far.setdefault((entry.service, entry.zone), []).append(peer)
    for (service, _), found in far.items():
        found.sort(key=lambda peer: weigh(host, peer.entry.host), reverse=True)
        hosts = directory.services[service]
        hosts.far.extend(found[:FAR_HOSTS_PER_ZONE])
        hosts.rest.extend(found[FAR_HOSTS_PER_ZONE:])
    return directory


def count_hosts(directory, service):
    """Return the number of known hosts of a service, without the daemon's own."""
    hosts = directory.services.get(service)
    return len(hosts.near) + len(hosts.far) + len(hosts.rest) if hosts else 0
