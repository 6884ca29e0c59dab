"""The zone lease: holding, renewing, confirming and releasing it.

The holder grants hosts shares of its zone's part of each rate. If it fails, a
standby takes the lease over.
"""

import math
import time

import anyio

from egretlift.blackboard import count
from egretlift.daemon.messages import send_control
from egretlift.daemon.objects import accept_object, is_lease, is_seed
from egretlift.daemon.tasks import start_task
from egretlift.documents import parse_document
from egretlift.errors import (
    ConflictError,
    EgretliftError,
    NotFound,
    ObjectInvalid,
)
from egretlift.events import record_event
from egretlift.quotas import (
    LeaseState,
    holds_lease,
    record_confirmation,
    zone_lease,
)
from egretlift.transport.control import ControlFailed
from egretlift.transport.generated import control_pb2 as pb

TICK_S = 0.1


def get_own_lease(board):
    """Return the state of this host's own zone lease as this host knows it."""
    return board.leases[board.settings.zone]


def ensure_lease(board, zone):
    """Return the state of a zone's lease, created if it is not yet known."""
    lease = board.leases.get(zone)
    if lease is None:
        lease = board.leases[zone] = LeaseState(
            zone, board.settings.host, board.incarnation, time.monotonic()
        )
    return lease


def update_lease(board, item, now, sent_at=None):
    """Update the state of a zone lease from an object read from the platform.

    Parameters
    ----------
    sent_at : float, optional
        Monotonic time at which the object was asked for; ``now`` if None.
    """
    if not accept_object(board, item, is_lease):
        return
    lease = ensure_lease(board, item["name"])
    sent_at = now if sent_at is None else sent_at
    if item["revision"] > lease.version:
        board.lease_specs[item["name"]] = item["spec"]
    zone_lease.observe_lease(
        lease, board.settings, now, sent_at, item["revision"], item["spec"]
    )
    known = board.holders.get(lease.zone, (0, ""))
    seen = (lease.lease.epoch, lease.lease.holder)
    board.holders[lease.zone] = max(known, seen)
    handle_epoch_change(board)


def update_lease_from_gossip(board, message):
    """Update the state of this zone's lease from a gossip message.

    Messages of other zones, of versions already known and with a malformed
    specification are ignored.
    """
    if message.zone != board.settings.zone:
        return
    if message.version <= get_own_lease(board).version:
        return
    try:
        spec = parse_document(message.spec_json.encode())
    except ObjectInvalid:
        spec = None
    if not is_lease(spec) or "holder" not in spec:
        # If applied, it would make this host lose the lease.
        count(board, "leases_malformed")
        return
    item = {
        "kind": "zone-lease",
        "name": message.zone,
        "revision": message.version,
        "spec": spec,
    }
    # It is not known when the peer read the lease from the platform.
    update_lease(board, item, time.monotonic(), -math.inf)


def merge_holders(board, messages):
    """Update the known holders of zone leases; the higher epoch wins."""
    for message in messages:
        known = board.holders.get(message.zone, (0, ""))
        board.holders[message.zone] = max(known, (message.epoch, message.holder))


def is_watcher(board):
    """Return whether this host watches the platform for its zone.

    It does as holder or standby, and while it knows no version of the lease.
    """
    lease = get_own_lease(board)
    me = (board.settings.host, board.incarnation)
    holds = lease.held_epoch > 0
    named = (lease.lease.holder, lease.lease.incarnation) == me
    return holds or named or me in lease.lease.standbys or lease.version == 0


def handle_epoch_change(board):
    """Discard the allocators when the epoch in which this host holds has changed."""
    lease = get_own_lease(board)
    if lease.held_epoch == board.allocator_epoch:
        return
    board.allocator_epoch = lease.held_epoch
    board.allocators = {}
    board.zone_shares = {}
    if lease.held_epoch:
        board.quarantine_until = lease.quarantine_until
        record_event("zone-lease-held", zone=lease.zone, epoch=lease.held_epoch)
    else:
        record_event("zone-lease-lost", zone=lease.zone)


async def check_platform(board):
    """Read the zone's lease to find out whether this host reaches the platform.

    A standby whose watch waits on a dead connection would otherwise consider the
    platform reachable until the watch ends, which takes longer than the lease.
    """
    if board.checking_platform:
        return
    board.checking_platform = True
    lease, sent_at = get_own_lease(board), time.monotonic()
    count(board, "platform_calls", "zone-lease")
    try:
        item = await board.platform.get_object("zone-lease", lease.zone)
    except NotFound:
        zone_lease.record_reachability(lease, True)
    except EgretliftError:
        zone_lease.record_reachability(lease, False)
    else:
        zone_lease.record_reachability(lease, True)
        update_lease(board, item, time.monotonic(), sent_at)
    finally:
        board.checking_platform = False


async def answer_lease_question(board, question):
    """Confirm the holder's lease if this standby cannot reach the platform either.

    A confirmation is a promise not to take the lease over for one lease time.
    """
    if question.zone == board.settings.zone and get_own_lease(board).reachable:
        # The result serves the next question, which follows a tenth of a lease later.
        start_task(board, check_platform)
    confirmed = question.zone == board.settings.zone and zone_lease.confirm_lease(
        get_own_lease(board),
        board.settings,
        time.monotonic(),
        question.holder,
        question.incarnation,
        question.epoch,
    )
    return pb.LeaseConfirmation(confirmed=confirmed, epoch=question.epoch)


def list_standbys(board):
    """Return (host, incarnation) of the standbys to name in the zone lease.

    They are live hosts of the zone other than this one, at most ``zone_standbys``;
    current standbys come first, then the order of names decides.
    """
    settings = board.settings
    current = {host for host, _ in get_own_lease(board).lease.standbys}
    found = [
        member
        for member in board.members.members.values()
        if member.zone == settings.zone
        and member.status == "alive"
        and member.host != settings.host
    ]
    found.sort(key=lambda member: (member.host not in current, member.host))
    chosen = found[: settings.zone_standbys]
    return [(member.host, member.incarnation) for member in chosen]


async def write_lease(board, spec, version, sent_at):
    """Write the zone lease to the platform as planned and record the result.

    Parameters
    ----------
    spec : dict
    version : int
        Version that the object must still have.
    sent_at : float
        Monotonic time from which the lease counts.
    """
    lease, settings = get_own_lease(board), board.settings
    count(board, "platform_calls", "zone-lease")
    try:
        item = await board.platform.put_object(
            "zone-lease", settings.zone, spec, version
        )
    except ConflictError as error:
        zone_lease.record_reachability(lease, True)
        if error.current is not None:
            update_lease(board, error.current, time.monotonic(), sent_at)
        return
    except EgretliftError:
        zone_lease.record_reachability(lease, False)
        return
    zone_lease.record_reachability(lease, True)
    board.lease_specs[settings.zone] = item["spec"]
    zone_lease.record_written(
        lease, settings, time.monotonic(), sent_at, item["revision"], item["spec"]
    )
    handle_epoch_change(board)
    board.gossip_wanted.set()


async def keep_zone_lease(board):
    """Renew or take over the zone lease until the daemon stops."""
    lease, settings = get_own_lease(board), board.settings
    # Wait for an existing lease to be read, so that the first write respects it.
    await anyio.sleep(settings.gossip_period_s * board.random.uniform(0.2, 0.6))
    while True:
        await anyio.sleep(TICK_S)
        now = time.monotonic()
        write = zone_lease.plan_write(lease, settings, now, list_standbys(board))
        handle_epoch_change(board)
        if write is not None:
            await write_lease(board, *write, now)


async def confirm_zone_lease(board):
    """Ask the standbys for confirmations while this holder's renewal is late."""
    settings, lease = board.settings, get_own_lease(board)
    while True:
        await anyio.sleep(settings.zone_lease_s / 10)
        late = time.monotonic() - lease.renewed_at > settings.zone_lease_renewal_s
        if not lease.held_epoch or not late:
            continue
        async with anyio.create_task_group() as tasks:
            for standby in zone_lease.list_required_standbys(lease) or ():
                tasks.start_soon(ask_standby, board, standby)


async def ask_standby(board, standby):
    """Ask one standby for its confirmation and record it if it is given."""
    settings, lease = board.settings, get_own_lease(board)
    member = board.members.members.get(standby[0])
    if member is None or member.incarnation != standby[1]:
        return
    epoch, asked_at = lease.held_epoch, time.monotonic()
    question = pb.LeaseQuestion(
        zone=lease.zone,
        holder=settings.host,
        incarnation=board.incarnation,
        epoch=epoch,
    )
    try:
        reply = await send_control(board, member, "Confirm", question)
    except ControlFailed:
        return
    if reply.confirmed and epoch:
        record_confirmation(lease, settings, time.monotonic(), asked_at, standby, epoch)


async def release_zone_lease(board):
    """Release the zone lease at a graceful stop, so that a standby can take over."""
    lease, settings = get_own_lease(board), board.settings
    if not lease.held_epoch:
        return
    zone_lease.begin_release(lease)
    now = time.monotonic()
    write = zone_lease.plan_write(lease, settings, now)
    if write is None:
        return
    with anyio.move_on_after(2 * settings.platform_timeout_s):
        await write_lease(board, *write, now)
    record_event("zone-lease-released", zone=lease.zone)


def update_seeds(board, item):
    """Store the endpoints at which new daemons can join a zone."""
    if accept_object(board, item, is_seed):
        endpoints = item["spec"].get("endpoints", ())
        board.zone_seeds[item["name"]] = [tuple(endpoint) for endpoint in endpoints]


async def publish_seeds(board):
    """Keep the zone's seeds on the platform: endpoints of the holder and its standbys.

    Through these objects zones find each other and restarted hosts find the mesh.
    """
    while True:
        await anyio.sleep(board.settings.gossip_period_s)
        await publish_seeds_once(board)


async def publish_seeds_once(board):
    """Write the zone's seeds if this host holds the lease and they have changed."""
    lease = get_own_lease(board)
    if not lease.held_epoch:
        return
    hosts = [lease.lease.holder, *(host for host, _ in lease.lease.standbys)]
    found = (board.members.members.get(host) for host in hosts)
    endpoints = [[member.address, member.control_port] for member in found if member]
    if endpoints == board.seeds_written:
        return
    count(board, "platform_calls", "zone-seed")
    try:
        await board.platform.put_object(
            "zone-seed", lease.zone, {"endpoints": endpoints}
        )
    except EgretliftError:
        return
    board.seeds_written = endpoints


def describe_zone_lease(board):
    """Return the zone lease as a dict for the state page."""
    state, settings = get_own_lease(board), board.settings
    return {
        "zone": state.zone,
        "holder": state.lease.holder,
        "epoch": state.lease.epoch,
        "standbys": [host for host, _ in state.lease.standbys],
        "held": holds_lease(state, settings, time.monotonic()),
        "version": state.version,
    }
