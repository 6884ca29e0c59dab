"""Gossip: exchange of member records, configuration and zone leases.

An exchange is one request and its reply. Members that do not answer are probed through
other members before they are suspected, as in SWIM.
"""

import heapq
import itertools
import json
import time

import anyio

from egretlift.blackboard import count
from egretlift.configuration import (
    compute_staleness,
    digest_catalog,
    list_objects_after,
    record_confirmation,
)
from egretlift.daemon.announcements import publish_own_member
from egretlift.daemon.messages import send_control
from egretlift.daemon.tasks import start_task
from egretlift.daemon.watch import merge_configuration
from egretlift.daemon.zone import merge_holders, update_lease_from_gossip
from egretlift.events import advance_clock, get_event_ring, record_event
from egretlift.membership import (
    digest_table,
    expire_suspects,
    forget_members,
    merge_members,
    refute,
    select_dead_member,
    select_peers,
    select_probe_helpers,
    select_updates,
    suspect_member,
)
from egretlift.routing import retain_hosts
from egretlift.transport.codec import (
    pack_member,
    pack_object,
    unpack_members,
    unpack_objects,
)
from egretlift.transport.control import ControlFailed
from egretlift.transport.generated import control_pb2 as pb

MEMBERS_PER_MESSAGE = 32
# Member records in a reply to a peer whose table differs. A few repair what it has
# missed; many let a new daemon learn of a large mesh within minutes.
MEMBERS_FOR_REPAIR = 8
MEMBERS_FOR_JOINING = 500
# A peer that knows a smaller fraction of the members counts as joining.
JOINED_FRACTION = 0.99
HOLDERS_PER_MESSAGE = 4
# Sends after which a holder is no longer news; as often as a member change is sent in
# a mesh of 16,000 hosts.
HOLDER_SENDS = 42
# A message has to be sent within the timeout of an exchange; the rest follows in the
# next one. An object may have up to 1 MB.
OBJECTS_PER_MESSAGE = 1000
OBJECT_BYTES_PER_MESSAGE = 1_000_000
# Fraction of exchanges tried with a dead member, to detect the end of a partition.
DEAD_MEMBER_FRACTION = 0.2
# Fraction of exchanges with seeds for which no member record is known. Without these,
# groups of daemons that started separately would never merge.
UNKNOWN_ENDPOINT_FRACTION = 0.2
# Changes that arrive within this time are sent in one message.
SPREAD_DELAY_S = 0.01


def make_lease_message(board, zone):
    """Return the message with this host's zone lease, None if there is none to send.

    Parameters
    ----------
    zone : str or None
        Zone of the receiver, None if it is unknown. Hosts of other zones would
        ignore the message.
    """
    lease = board.leases[board.settings.zone]
    if not lease.version or zone not in (None, lease.zone):
        return None
    return pb.ZoneLease(
        zone=lease.zone,
        version=lease.version,
        spec_json=json.dumps(board.lease_specs[lease.zone]),
    )


def pack_objects(objects):
    """Return the messages of the first objects, as many as fit into one exchange.

    At least one is returned, whatever its size, if there are objects.
    """
    messages, size = [], 0
    for item in objects[:OBJECTS_PER_MESSAGE]:
        message = pack_object(item)
        size += message.ByteSize()
        if messages and size > OBJECT_BYTES_PER_MESSAGE:
            break
        messages.append(message)
    return messages


def make_gossip(board, objects=(), members=(), zone=None):
    """Return a gossip request for a receiver in a zone.

    Every request carries this host's member record, the digests of its member table
    and catalog, and some zone lease holders.
    """
    age = compute_staleness(board.catalog, time.monotonic())
    return pb.GossipRequest(
        sender=pack_member(board.me),
        members=[pack_member(member) for member in members],
        member_digest=digest_table(board.members),
        member_count=len(board.members.members),
        revision=board.catalog.revision,
        catalog_digest=digest_catalog(board.catalog),
        catalog_complete=board.catalog_complete,
        staleness_s=age,
        objects=pack_objects(objects),
        zone_lease=make_lease_message(board, zone),
        holders=pack_holders(board),
        order=get_event_ring().order,
    )


def pack_holders(board):
    """Return the messages of a few zone lease holders and count them as sent.

    Those sent least often come first, so that changes precede the rest. The holders
    of all 18 zones would be the largest part of a message that carries no changes.
    """
    sends = {}
    for zone, known in board.holders.items():
        sent, times = board.holders_sent.get(zone, (known, 0))
        sends[zone] = times if sent == known else 0
    draw = board.random.random
    chosen = heapq.nsmallest(
        HOLDERS_PER_MESSAGE, sends, key=lambda zone: (sends[zone], draw())
    )
    for zone in chosen:
        times = min(sends[zone] + 1, HOLDER_SENDS)
        board.holders_sent[zone] = (board.holders[zone], times)
    return [
        pb.Holder(
            zone=zone, epoch=board.holders[zone][0], holder=board.holders[zone][1]
        )
        for zone in chosen
    ]


def merge_member_messages(board, messages):
    """Merge member records and refute false ones of this host."""
    now = time.monotonic()
    # A long message is a reply to a joining daemon, with records that all others know,
    # so they are neither logged nor sent on.
    is_news = len(messages) <= MEMBERS_PER_MESSAGE + 2
    for member in merge_members(board.members, now, unpack_members(messages)):
        if member.host == board.me.host:
            continue
        if not is_news:
            board.members.send_counts.pop(member.host, None)
            continue
        record_event(
            "member-changed",
            member=member.host,
            status=member.status,
            incarnation=member.incarnation,
        )
    corrected = refute(board.members, now, board.me)
    if corrected is not None:
        board.me = corrected
        board.gossip_wanted.set()


def merge_exchange(board, message):
    """Merge the fields that gossip requests and replies have in common."""
    advance_clock(get_event_ring(), message.order)
    merge_member_messages(board, [message.sender, *message.members])
    merge_configuration(board, unpack_objects(message.objects), message.sender.host)
    same = message.catalog_digest == digest_catalog(board.catalog)
    if message.catalog_complete and same:
        record_confirmation(board.catalog, time.monotonic(), message.staleness_s)
        if not board.catalog_complete:
            board.catalog_complete = True
            record_event("catalog-complete", revision=board.catalog.revision)
    if message.HasField("zone_lease"):
        update_lease_from_gossip(board, message.zone_lease)
    merge_holders(board, message.holders)


def find_missing_objects(board, revision, digest):
    """Return the objects that a peer with this revision and digest may lack.

    A peer with the same highest revision and another digest lacks an older object, so
    the whole catalog is returned. It starts at a random object, since one message may
    not hold all of it and every object has to be sent sooner or later.
    """
    catalog = board.catalog
    if digest == digest_catalog(catalog) or revision > catalog.revision:
        return []
    if revision < catalog.revision:
        return list_objects_after(catalog, revision)
    objects = list_objects_after(catalog, 0)
    start = board.random.randrange(len(objects) or 1)
    return objects[start:] + objects[:start]


def choose_reply_size(board, request):
    """Return the number of records for a reply to a peer whose table differs.

    In a large mesh some change is always being spread, so tables differ nearly always;
    only a peer that knows few members has just joined.
    """
    known = len(board.members.members)
    joining = 0 < request.member_count < JOINED_FRACTION * known
    return MEMBERS_FOR_JOINING if joining else MEMBERS_FOR_REPAIR


async def answer_gossip(board, request):
    """Merge a gossip request of another daemon and return the reply."""
    count(board, "control_bytes", "received", request.ByteSize())
    merge_exchange(board, request)
    members = select_updates(
        board.members,
        board.random,
        MEMBERS_PER_MESSAGE,
        request.member_digest,
        choose_reply_size(board, request),
    )
    known = board.members.members.get(request.sender.host)
    if known is not None and known not in members:
        # A member declared dead has to learn of it, so that it can refute it.
        members.append(known)
    missing = find_missing_objects(board, request.revision, request.catalog_digest)
    reply = pb.GossipReply(
        sender=pack_member(board.me),
        members=[pack_member(member) for member in members],
        revision=board.catalog.revision,
        catalog_digest=digest_catalog(board.catalog),
        catalog_complete=board.catalog_complete,
        staleness_s=compute_staleness(board.catalog, time.monotonic()),
        objects=pack_objects(missing),
        zone_lease=make_lease_message(board, request.sender.zone or None),
        holders=pack_holders(board),
        order=get_event_ring().order,
        wants_objects=not missing
        and request.catalog_digest != digest_catalog(board.catalog),
    )
    count(board, "control_bytes", "sent", reply.ByteSize())
    return reply


async def exchange(board, member, objects=()):
    """Exchange gossip with a member and return whether it answered.

    If the reply asks for configuration objects, a second request sends them.
    """
    count(board, "gossip_exchanges")
    changes = select_updates(board.members, board.random, MEMBERS_PER_MESSAGE)
    try:
        request = make_gossip(board, objects, changes, member.zone)
        reply = await send_control(board, member, "Gossip", request)
        merge_exchange(board, reply)
        if reply.wants_objects:
            missing = find_missing_objects(board, reply.revision, reply.catalog_digest)
            if missing:
                request = make_gossip(board, missing, zone=member.zone)
                merge_exchange(
                    board, await send_control(board, member, "Gossip", request)
                )
    except ControlFailed:
        count(board, "gossip_failed")
        return False
    return True


class Endpoint:
    """Address and control port of a daemon whose member record is not known."""

    __slots__ = ("address", "control_port")
    zone = None

    def __init__(self, address, control_port):
        self.address = address
        self.control_port = control_port


def choose_gossip_target(board):
    """Return the member or endpoint for the next periodic exchange, None if none."""
    if board.random.random() < DEAD_MEMBER_FRACTION:
        lost = select_dead_member(board.members, board.random)
        if lost is not None:
            return lost
    peers = select_peers(board.members, board.random, 1)
    if not peers or board.random.random() < UNKNOWN_ENDPOINT_FRACTION:
        unknown = list_unknown_endpoints(board)
        if unknown:
            return Endpoint(*board.random.choice(unknown))
    return peers[0] if peers else None


def list_unknown_endpoints(board):
    """Return the sorted seeds from settings and platform that no known member uses."""
    known = {
        (member.address, member.control_port)
        for member in board.members.members.values()
    }
    found = {*board.settings.seeds, *itertools.chain(*board.zone_seeds.values())}
    return sorted(found - known)


async def probe_indirectly(board, member):
    """Suspect a member that this daemon cannot reach, unless another one can.

    Up to three other members are asked to probe it.
    """
    helpers = select_probe_helpers(board.members, board.random, member.host)
    reached = []

    async def ask(helper):
        request = pb.ProbeRequest(
            address=member.address, control_port=member.control_port
        )
        timeout_s = 2 * board.settings.gossip_timeout_s
        try:
            reply = await send_control(board, helper, "Probe", request, timeout_s)
            reached.append(reply.reachable)
        except ControlFailed:
            pass

    async with anyio.create_task_group() as tasks:
        for helper in helpers:
            tasks.start_soon(ask, helper)
    if any(reached):
        return
    suspect = suspect_member(board.members, time.monotonic(), member)
    if suspect is not None:
        record_event("member-suspected", member=member.host, helpers=len(helpers))
        board.gossip_wanted.set()


async def answer_probe(board, request):
    """Probe the daemon that a request names; a request that names none is answered."""
    if not request.address:
        return pb.ProbeReply(reachable=True)
    target = Endpoint(request.address, request.control_port)
    try:
        await send_control(board, target, "Probe", pb.ProbeRequest())
    except ControlFailed:
        return pb.ProbeReply(reachable=False)
    return pb.ProbeReply(reachable=True)


async def gossip_once(board):
    """Exchange with one target and probe it indirectly if it does not answer."""
    target = choose_gossip_target(board)
    if target is None or await exchange(board, target):
        return
    if not isinstance(target, Endpoint) and target.status not in ("dead", "left"):
        await probe_indirectly(board, target)


async def gossip_periodically(board):
    """Start an exchange each gossip period, or five times as often without peers."""
    settings = board.settings
    while True:
        # The random factor keeps the daemons' exchanges from synchronising.
        isolated = not select_peers(board.members, board.random, 1)
        period_s = settings.gossip_period_s * (0.2 if isolated else 1.0)
        await anyio.sleep(period_s * board.random.uniform(0.8, 1.2))
        start_task(board, gossip_once)


async def spread_changes(board):
    """Send changes to ``gossip_fanout`` members ``SPREAD_DELAY_S`` after the first."""
    while True:
        await board.gossip_wanted.wait()
        await anyio.sleep(SPREAD_DELAY_S)
        board.gossip_wanted = anyio.Event()
        objects, board.unsent_objects = board.unsent_objects, []
        peers = select_peers(board.members, board.random, board.settings.gossip_fanout)
        for peer in peers:
            start_task(board, exchange, peer, objects)


async def expire_members(board):
    """Declare suspects dead after the suspicion period; drop members long gone."""
    while True:
        await anyio.sleep(0.5)
        now = time.monotonic()
        for member in expire_suspects(board.members, board.settings, now):
            record_event("member-dead", member=member.host)
            board.gossip_wanted.set()
        forget_members(board.members, board.settings, now)
        if len(board.host_records.hosts) > len(board.members.members):
            retain_hosts(board.host_records, board.members.members)


async def announce_departure(board):
    """Tell ``gossip_fanout`` members that this host leaves the mesh."""
    publish_own_member(board, "left")
    peers = select_peers(board.members, board.random, board.settings.gossip_fanout)
    async with anyio.create_task_group() as tasks:
        for peer in peers:
            tasks.start_soon(exchange, board, peer)
