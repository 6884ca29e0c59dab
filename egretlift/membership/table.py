"""Membership table of the mesh, spread by gossip with the SWIM protocol.

Member records are replaced only as a whole. The record with the higher (incarnation,
version) wins; if these are equal, the one with the more severe status wins. Only the
member itself raises its version, and can thereby refute that it is suspect or dead.
A restarted host has a higher incarnation than all records of its previous process.
"""

import hashlib
import heapq
import json
import math
import sys

from egretlift.errors import ObjectInvalid

# Draining ranks above suspect: suspects get calls, and a draining host that fails a
# probe must not get new ones.
SEVERITY = {"alive": 0, "suspect": 1, "draining": 2, "dead": 3, "left": 4}
TERMINAL_STATUSES = ("dead", "left")
# SWIM spreads a change to n members in about log2(n) gossip periods. Each host sends it
# in this many times as many messages, to make up for lost ones.
RETRANSMISSION_FACTOR = 3


class Member:
    """Record of one host. Its values never change; a newer record replaces it.

    Parameters
    ----------
    host : str
        Name of the host.
    incarnation : int
        Start time of its daemon in milliseconds, raised if an older record is higher.
    version : int
        Raised by the member with each change of its record.
    zone : str
        Availability zone.
    service : str
        Service of its upstream; empty if there is no upstream.
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
        Members that may receive calls, by service and host.
    send_counts : dict of str to int
        Hosts whose latest change is still being gossiped, oldest change first, with
        the number of times it was sent.
    suspects, gone : dict of str to float
        Monotonic time in seconds at which this host learnt that a member is suspect,
        or that it is dead or has left.
    forgotten : dict of str to (tuple, float)
        Tombstones: rank of each record dropped after its retention, and the time at
        which it was dropped.
    digest : int
        XOR of the hashes of all records.
    checked_at : float or None
        Monotonic time of the last call of ``expire_suspects``.
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
        "send_counts",
    )

    def __init__(self, host):
        self.host = host
        self.members = {}
        self.services = {}
        self.send_counts = {}
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
    """Return a host's own record with its version raised and some fields replaced.

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
    """Return a record as a dict of plain values."""
    item = {field: getattr(member, field) for field in Member.__slots__}
    item["routes"] = [list(route) for route in member.routes]
    return item


def decode_member(item):
    """Return the record decoded from a dict of plain values.

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
    """Return whether a dict has all fields of a member with valid values."""
    texts = ("host", "zone", "service", "address", "status")
    ports = ("caller_port", "peer_port", "control_port", "operators_port")
    routes = item.get("routes")
    return (
        all(type(item.get(field)) is str for field in texts)
        and all(type(item.get(field)) is int for field in (*ports, *VERSION_FIELDS))
        and all(0 <= item[field] <= 65535 for field in ports)
        and item["host"] != ""
        and item["status"] in SEVERITY
        and isinstance(routes, list | tuple)
        and all(check_route(route) for route in routes)
    )


VERSION_FIELDS = ("incarnation", "version")


def check_route(route):
    """Return whether a value is a list of method, prefix and profile."""
    return (
        isinstance(route, list | tuple)
        and len(route) == 3
        and all(type(part) is str for part in route)
    )


def rank_member(member):
    """Return the tuple whose order decides between two records of a host."""
    return member.incarnation, member.version, SEVERITY[member.status]


def serialise_member(member):
    """Return a record as JSON text in a canonical form."""
    return json.dumps(encode_member(member), separators=(",", ":"))


def hash_member(member):
    """Return a 128-bit hash of a record as an integer."""
    data = serialise_member(member).encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=16).digest())


def supersedes(member, known):
    """Return whether a record replaces another of the same host."""
    if known is None:
        return True
    rank, known_rank = rank_member(member), rank_member(known)
    if rank != known_rank:
        return rank > known_rank
    # Two records of equal rank differ only if two daemons use the same host name.
    # Every table still has to choose the same record.
    return member is not known and serialise_member(member) > serialise_member(known)


def is_forgotten(table, member):
    """Return whether a record was already dropped after its retention.

    True also for older records of the host that report it as suspect, dead or left.
    """
    if member.host not in table.forgotten or member.status not in (
        *TERMINAL_STATUSES,
        "suspect",
    ):
        return False
    return rank_member(member) <= table.forgotten[member.host][0]


def store_member(table, now, member):
    """Store a record in place of the known one, if any, and schedule it for gossip."""
    host, known = member.host, table.members.get(member.host)
    if known is not None:
        remove_member(table, known)
    service_members = table.services.get(member.service)
    if service_members:
        # Hosts of a service usually announce the same routes; they share one tuple.
        other = next(iter(service_members.values()))
        if other.routes == member.routes:
            member.routes = other.routes
    table.members[host] = member
    table.digest ^= hash_member(member)
    table.forgotten.pop(host, None)
    table.send_counts[host] = 0
    if member.status in TERMINAL_STATUSES:
        table.gone[host] = now
    elif member.status == "suspect":
        table.suspects[host] = now
    if member.service and member.status in ("alive", "suspect"):
        table.services.setdefault(member.service, {})[host] = member


def remove_member(table, member):
    """Remove a stored record from the table and its indexes."""
    host = member.host
    del table.members[host]
    table.digest ^= hash_member(member)
    for part in (table.send_counts, table.suspects, table.gone):
        part.pop(host, None)
    service_members = table.services.get(member.service, {})
    if service_members.pop(host, None) and not service_members:
        del table.services[member.service]


def merge_members(table, now, updates):
    """Merge records received from a peer, or a new record of this host itself.

    Parameters
    ----------
    table : MemberTable
    now : float
        Monotonic time in seconds.
    updates : iterable of Member

    Returns
    -------
    list of Member
        The records that were stored because they supersede the known ones.
    """
    changed = []
    for member in updates:
        known = table.members.get(member.host)
        if supersedes(member, known) and not is_forgotten(table, member):
            store_member(table, now, member)
            changed.append(member)
    return changed


def suspect_member(table, now, member):
    """Mark a member as suspect after it answered neither gossip nor a probe.

    A draining member keeps its status, but is declared dead after the same period.

    Parameters
    ----------
    table : MemberTable
    now : float
        Monotonic time in seconds.
    member : Member
        The record at the time of the gossip exchange. If a newer one has arrived
        since, nothing changes.

    Returns
    -------
    Member or None
        The suspect record, or None if no record was stored.
    """
    known = table.members.get(member.host)
    if known is None or member.host == table.host:
        return None
    if rank_member(known) != rank_member(member) or known.status in TERMINAL_STATUSES:
        return None
    if known.status == "draining":
        table.suspects.setdefault(known.host, now)
        return None
    changed = merge_members(table, now, [copy_member(known, status="suspect")])
    return changed[0] if changed else None


def expire_suspects(table, settings, now):
    """Declare suspects dead after ``suspect_period_s``; return their new records.

    More than half of that period between two calls means that this daemon was paused.
    That time does not count, since no refutation could be received in it.
    """
    elapsed_s = 0.0 if table.checked_at is None else now - table.checked_at
    if elapsed_s > settings.suspect_period_s / 2:
        for host in table.suspects:
            table.suspects[host] = min(table.suspects[host] + elapsed_s, now)
    table.checked_at = now
    overdue = [
        copy_member(table.members[host], status="dead")
        for host, since in table.suspects.items()
        if now - since >= settings.suspect_period_s and host != table.host
    ]
    return merge_members(table, now, overdue)


def forget_members(table, settings, now):
    """Drop dead and left members after ``member_retention_s``; return their hosts.

    The rank of a dropped record is kept as a tombstone for the same time again.
    Otherwise gossip from a peer that drops it later would restore the record for a
    full retention.
    """
    limit = now - settings.member_retention_s
    for host in [h for h, (_, at) in table.forgotten.items() if at <= limit]:
        del table.forgotten[host]
    dropped = [h for h, at in table.gone.items() if at <= limit and h != table.host]
    for host in dropped:
        member = table.members[host]
        remove_member(table, member)
        table.forgotten[host] = (rank_member(member), now)
    return dropped


def refute(table, now, me):
    """Store this host's own record so that it supersedes all others of this host.

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
        The record that replaces ``me``, with a raised version, if a record received
        from others supersedes ``me``; otherwise None. A received record has a higher
        incarnation if the clock was set back between two starts of the daemon; the
        incarnation is then raised above it.
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
    # A small sample nearly always suffices. Filtering all of 16,000 members each time
    # would exceed the CPU budget of the daemon.
    picks = random.sample(members, min(len(members), 4 * count + 8))
    found = [member for member in picks if accepts(member)]
    if len(found) < count and len(picks) < len(members):
        found = [member for member in members if accepts(member)]
        random.shuffle(found)
    return found[:count]


def select_peers(table, random, count):
    """Return up to ``count`` random members to gossip with.

    Suspects are included, since only a member that learns that it is suspect can refute
    it. Dead and left members and this host are not.
    """
    return sample_members(
        table,
        random,
        count,
        lambda member: (
            member.host != table.host and member.status not in TERMINAL_STATUSES
        ),
    )


def select_dead_member(table, random):
    """Return a random dead member, None if there is none.

    After a partition in which each side declared the other dead, occasional gossip with
    dead members merges the two sides again.
    """
    hosts = [h for h in table.gone if table.members[h].status == "dead"]
    return table.members[random.choice(hosts)] if hosts else None


def select_probe_helpers(table, random, target, count=3):
    """Return up to ``count`` random alive members for an indirect probe of a host."""
    return sample_members(
        table,
        random,
        count,
        lambda member: (
            member.host not in (table.host, target) and member.status == "alive"
        ),
    )


def find_service_members(table, service):
    """Return the members that may receive calls of a service.

    Suspects are included, since a host that answers gossip slowly under load must not
    lose its calls. Draining, dead and left members are not.
    """
    return list(table.services.get(service, {}).values())


def select_updates(table, random, limit, peer_digest=None, fill=None):
    """Return the records for one gossip message and count them as sent.

    Parameters
    ----------
    table : MemberTable
    random : random.Random
    limit : int
        Largest number of changed records.
    peer_digest : str, optional
        Digest of the peer's table. If it equals the digest of this table, nothing is
        sent. If it differs, random records are added to the changes, so that the tables
        converge even where changes were lost. If None, only changes are sent.
    fill : int, optional
        Number of records up to which random ones are added; ``limit`` if None.

    Returns
    -------
    list of Member
        Changes first, ordered by how often they were sent, fewest first, and then by
        age, latest first. A change is sent about 3 log2(n) times for n members.
    """
    if peer_digest == digest_table(table):
        return []
    recent = reversed(table.send_counts.items())
    hosts = [h for h, _ in heapq.nsmallest(limit, recent, key=lambda pair: pair[1])]
    send_limit = math.ceil(RETRANSMISSION_FACTOR * math.log2(len(table.members) + 1))
    for host in hosts:
        table.send_counts[host] += 1
        if table.send_counts[host] >= send_limit:
            del table.send_counts[host]
    found = [table.members[host] for host in hosts]
    fill = limit if fill is None else fill
    if peer_digest is None or len(found) >= fill:
        return found
    chosen = set(hosts)
    return found + sample_members(
        table, random, fill - len(found), lambda member: member.host not in chosen
    )


def digest_table(table):
    """Return the digest of all records as 32 hexadecimal digits.

    Tables with equal records have equal digests.
    """
    return f"{table.digest:032x}"
