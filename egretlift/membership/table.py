"""Table of the members of the mesh, spread by gossip in the manner of SWIM.

A member record is replaced only as a whole. The record with the higher
(incarnation, version) wins; at the same version the more severe status wins.
Only a member itself raises its version, so it can refute what others say of it,
and a restarted host has a higher incarnation than any news of the former one.
"""

import hashlib
import heapq
import json
import math
import sys

from egretlift.errors import ObjectInvalid

# Draining is above suspect: a draining host that fails a probe must not become a
# target of new calls again.
SEVERITY = {"alive": 0, "suspect": 1, "draining": 2, "dead": 3, "left": 4}
GONE = ("dead", "left")
# SWIM spreads a change to n members in about log2(n) periods; the factor covers
# lost messages.
SEND_FACTOR = 3


class Member:
    """What the mesh knows about one host. A record is never changed in place.

    Parameters
    ----------
    host : str
        Name of the host.
    incarnation : int
        Start time of its daemon in milliseconds.
    version : int
        Raised by the member with each change of its record.
    zone : str
        Availability zone.
    service : str
        Service of its upstream; empty without one.
    address : str
        IP address.
    caller_port, peer_port, control_port, operators_port : int
        TCP ports.
    status : str
        ``alive``, ``draining``, ``suspect``, ``dead`` or ``left``.
    routes : tuple of (method, prefix, profile)
        Routes announced by the upstream.
    """

    __slots__ = (
        "host",
        "incarnation",
        "version",
        "zone",
        "service",
        "address",
        "caller_port",
        "peer_port",
        "control_port",
        "operators_port",
        "status",
        "routes",
    )

    def __init__(self, **fields):
        for field in self.__slots__:
            setattr(self, field, fields[field])
        self.routes = tuple(map(tuple, self.routes))

    def __repr__(self):
        version = f"{self.incarnation}.{self.version}"
        return f"Member({self.host} {version} {self.status})"


class MemberTable:
    """Members known to one host.

    Parameters
    ----------
    host : str
        Name of this host.

    Attributes
    ----------
    members : dict of str to Member
        Record of each host, also of this one.
    services : dict of str to dict of str to Member
        Members of each service that may receive calls, by host.
    unsent : dict of str to int
        Times that each recent change was sent, least recent change first.
    suspects, gone : dict of str to float
        Time at which this host learnt of the suspicion or the end, in seconds.
    forgotten : dict of str to (tuple, float)
        Rank of a record dropped after its retention, and the time it was dropped.
    digest : int
        XOR of the hashes of all records.
    checked_at : float or None
        Time of the last ``expire_suspects``.
    """

    __slots__ = (
        "checked_at",
        "digest",
        "forgotten",
        "gone",
        "host",
        "members",
        "services",
        "suspects",
        "unsent",
    )

    def __init__(self, host):
        self.host = host
        self.members = {}
        self.services = {}
        self.unsent = {}
        self.suspects = {}
        self.gone = {}
        self.forgotten = {}
        self.digest = 0
        self.checked_at = None


def copy_member(member, **changes):
    """Return a copy of a record with some fields replaced."""
    fields = {field: getattr(member, field) for field in Member.__slots__}
    return Member(**{**fields, **changes})


def advance_member(member, **changes):
    """Return the next version of a host's own record.

    Examples
    --------
    >>> ports = dict.fromkeys(
    ...     ("caller_port", "peer_port", "control_port", "operators_port"), 1
    ... )
    >>> text = dict(host="a", zone="z", service="s", address="127.0.0.1")
    >>> me = Member(
    ...     incarnation=1, version=1, status="alive", routes=(), **text, **ports
    ... )
    >>> advance_member(me, status="draining")
    Member(a 1.2 draining)
    """
    return copy_member(member, version=member.version + 1, **changes)


def encode_member(member):
    """Return a record as a plain dict."""
    item = {field: getattr(member, field) for field in Member.__slots__}
    item["routes"] = [list(route) for route in member.routes]
    return item


def decode_member(item):
    """Return the record in a plain dict.

    Raises
    ------
    ObjectInvalid
        If a field is missing or has another type.

    See Also
    --------
    encode_member : The inverse.
    """
    if not isinstance(item, dict) or not check_member(item):
        raise ObjectInvalid("member record is malformed", "run one version everywhere")
    # Interned, since thousands of records share few zones and services.
    shared = {field: sys.intern(item[field]) for field in ("zone", "service", "status")}
    return Member(**{**item, **shared})


def check_member(item):
    """Return whether a dict has the fields of a member."""
    texts = ("host", "zone", "service", "address", "status")
    ports = ("caller_port", "peer_port", "control_port", "operators_port")
    routes = item.get("routes")
    return (
        all(type(item.get(field)) is str for field in texts)
        and all(type(item.get(field)) is int for field in (*ports, *VERSIONS))
        and all(0 <= item[field] <= 65535 for field in ports)
        and item["host"] != ""
        and item["status"] in SEVERITY
        and isinstance(routes, list | tuple)
        and all(check_route(route) for route in routes)
    )


VERSIONS = ("incarnation", "version")


def check_route(route):
    """Return whether a value is a list of method, prefix and profile."""
    return (
        isinstance(route, list | tuple)
        and len(route) == 3
        and all(type(part) is str for part in route)
    )


def rank_member(member):
    """Return what decides between two records of a host."""
    return member.incarnation, member.version, SEVERITY[member.status]


def write_member(member):
    """Return a record as text that is equal for equal records."""
    return json.dumps(encode_member(member), separators=(",", ":"))


def hash_member(member):
    """Return a 128-bit hash of a record as a number."""
    data = write_member(member).encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=16).digest())


def supersedes(member, known):
    """Return whether a record replaces another of the same host."""
    if known is None:
        return True
    rank, known_rank = rank_member(member), rank_member(known)
    if rank != known_rank:
        return rank > known_rank
    # Equal ranks with other content need two daemons of one name; every table
    # still has to choose the same record.
    return member is not known and write_member(member) > write_member(known)


def is_forgotten(table, member):
    """Return whether this is repeated news of a record already dropped."""
    if member.host not in table.forgotten or member.status not in (*GONE, "suspect"):
        return False
    return rank_member(member) <= table.forgotten[member.host][0]


def store_member(table, now, member):
    """Store the record of a host in place of the known one."""
    host, known = member.host, table.members.get(member.host)
    if known is not None:
        drop_member(table, known)
    peers = table.services.get(member.service)
    if peers:
        # The hosts of a service announce the same routes; one tuple serves all.
        other = next(iter(peers.values()))
        if other.routes == member.routes:
            member.routes = other.routes
    table.members[host] = member
    table.digest ^= hash_member(member)
    table.forgotten.pop(host, None)
    table.unsent[host] = 0
    if member.status in GONE:
        table.gone[host] = now
    elif member.status == "suspect":
        table.suspects[host] = now
    if member.service and member.status in ("alive", "suspect"):
        table.services.setdefault(member.service, {})[host] = member


def drop_member(table, member):
    """Remove the record of a host from all parts of the table."""
    host = member.host
    del table.members[host]
    table.digest ^= hash_member(member)
    for part in (table.unsent, table.suspects, table.gone):
        part.pop(host, None)
    peers = table.services.get(member.service, {})
    if peers.pop(host, None) and not peers:
        del table.services[member.service]


def merge_members(table, now, updates):
    """Merge records from a peer, or this host's own new record.

    Parameters
    ----------
    table : MemberTable
    now : float
        Monotonic time in seconds.
    updates : iterable of Member

    Returns
    -------
    list of Member
        The records that changed the table.
    """
    changed = []
    for member in updates:
        known = table.members.get(member.host)
        if supersedes(member, known) and not is_forgotten(table, member):
            store_member(table, now, member)
            changed.append(member)
    return changed


def suspect_member(table, now, member):
    """Record that a member answered neither an exchange nor a probe.

    A draining member keeps its status, but is declared dead after the same time.

    Parameters
    ----------
    table : MemberTable
    now : float
        Monotonic time in seconds.
    member : Member
        The record at the time of the exchange; if the member has sent news of
        itself since, nothing happens.

    Returns
    -------
    Member or None
        The suspect record if the table changed.
    """
    known = table.members.get(member.host)
    if known is None or member.host == table.host:
        return None
    if rank_member(known) != rank_member(member) or known.status in GONE:
        return None
    if known.status == "draining":
        table.suspects.setdefault(known.host, now)
        return None
    changed = merge_members(table, now, [copy_member(known, status="suspect")])
    return changed[0] if changed else None


def expire_suspects(table, settings, now):
    """Declare dead the suspects that did not refute in time; return their records.

    If this daemon was paused, the time of the pause does not count, since a
    refutation could not be received.
    """
    gap = 0.0 if table.checked_at is None else now - table.checked_at
    if gap > settings.suspect_period_s / 2:
        for host in table.suspects:
            table.suspects[host] = min(table.suspects[host] + gap, now)
    table.checked_at = now
    overdue = [
        copy_member(table.members[host], status="dead")
        for host, since in table.suspects.items()
        if now - since >= settings.suspect_period_s and host != table.host
    ]
    return merge_members(table, now, overdue)


def forget_members(table, settings, now):
    """Drop dead and departed members after the retention; return their hosts.

    The rank of a dropped record is kept for as long again, since a peer that
    drops it later would otherwise bring it back for a full retention.
    """
    limit = now - settings.member_retention_s
    for host in [h for h, (_, at) in table.forgotten.items() if at <= limit]:
        del table.forgotten[host]
    dropped = [h for h, at in table.gone.items() if at <= limit and h != table.host]
    for host in dropped:
        member = table.members[host]
        drop_member(table, member)
        table.forgotten[host] = (rank_member(member), now)
    return dropped


def refute(table, now, me):
    """Bring this host's own record into the table above any news of it.

    Parameters
    ----------
    table : MemberTable
    now : float
        Monotonic time in seconds.
    me : Member
        This host's own record.

    Returns
    -------
    Member or None
        The new own record, which replaces ``me``, if others said something that
        ranks above it. News of a higher incarnation comes from a clock that was
        set back between two starts; the incarnation is then raised above it.
    """
    known = table.members.get(me.host)
    if not supersedes(me, known) and known is not me:
        incarnation, version = me.incarnation, max(known.version, me.version) + 1
        if known.incarnation > incarnation:
            incarnation, version = known.incarnation + 1, 1
        me = copy_member(me, incarnation=incarnation, version=version)
        return merge_members(table, now, [me])[0]
    merge_members(table, now, [me])
    return None


def sample_members(table, random, count, accepts):
    """Return up to ``count`` random members that satisfy a condition."""
    members = list(table.members.values())
    # A few random picks nearly always suffice; a pass over 16,000 members does not
    # fit the daemon's share of a core.
    picks = random.sample(members, min(len(members), 4 * count + 8))
    found = [member for member in picks if accepts(member)]
    if len(found) < count and len(picks) < len(members):
        found = [member for member in members if accepts(member)]
        random.shuffle(found)
    return found[:count]


def select_peers(table, random, count):
    """Return random members for an exchange.

    Suspects are included, since they have to hear of the suspicion to refute it.
    """
    return sample_members(
        table,
        random,
        count,
        lambda member: member.host != table.host and member.status not in GONE,
    )


def select_lost_peer(table, random):
    """Return a random dead member or None.

    An exchange with one from time to time joins the halves of a mesh again after
    a partition in which each declared the other dead.
    """
    hosts = [h for h in table.gone if table.members[h].status == "dead"]
    return table.members[random.choice(hosts)] if hosts else None


def select_probe_helpers(table, random, target, count=3):
    """Return random members that can probe a host in place of this one."""
    return sample_members(
        table,
        random,
        count,
        lambda member: (
            member.host not in (table.host, target) and member.status == "alive"
        ),
    )


def hosts_of(table, service):
    """Return the members that may receive calls of a service.

    Suspects are included: a slow answer to gossip under load must not take
    capacity away. Draining, dead and departed members are not.
    """
    return list(table.services.get(service, {}).values())


def members_to_send(table, random, limit, peer_digest=None, fill=None):
    """Return the records for one message to a peer and count them as sent.

    Parameters
    ----------
    table : MemberTable
    random : random.Random
    limit : int
        Largest number of records.
    peer_digest : str, optional
        Digest of the peer's table. If it equals this table's, nothing is sent.
        If it differs, the message is filled with random records, which repairs
        what the sends of changes missed. If it is unknown, only changes are sent.
    fill : int, optional
        Number of records up to which the message is filled; ``limit`` if None.

    Returns
    -------
    list of Member
        Changes first, those sent least often and then the latest. A change is
        sent about 3 log2(n) times for n members.
    """
    if peer_digest == digest_table(table):
        return []
    recent = reversed(table.unsent.items())
    hosts = [h for h, _ in heapq.nsmallest(limit, recent, key=lambda pair: pair[1])]
    most = math.ceil(SEND_FACTOR * math.log2(len(table.members) + 1))
    for host in hosts:
        table.unsent[host] += 1
        if table.unsent[host] >= most:
            del table.unsent[host]
    found = [table.members[host] for host in hosts]
    fill = limit if fill is None else fill
    if peer_digest is None or len(found) >= fill:
        return found
    chosen = set(hosts)
    return found + sample_members(
        table, random, fill - len(found), lambda member: member.host not in chosen
    )


def digest_table(table):
    """Return the digest of all records; equal tables have equal digests."""
    return f"{table.digest:032x}"
