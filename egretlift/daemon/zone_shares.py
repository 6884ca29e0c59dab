"""Zone shares: the part of each organisation's rate that a zone may use.

The holders of the zone leases keep them in objects on the platform.
"""

import time

import anyio

from egretlift.blackboard import count
from egretlift.configuration import find_organisation
from egretlift.daemon.objects import accept_object, is_shares
from egretlift.daemon.tasks import start_task
from egretlift.daemon.zone import TICK_S, get_own_lease
from egretlift.errors import ConflictError, EgretliftError
from egretlift.quotas import (
    ZoneShares,
    expire_grants,
    find_zone_demand,
    fits_limits,
    holds_lease,
    resize_allocator,
    start_allocator,
    zone_lease,
    zone_shares,
)


def ensure_allocator(board, organisation, now):
    """Return the allocator of an organisation, created empty if there is none.

    Returns
    -------
    Allocator or None
        None for an organisation that is not configured.
    """
    allocator = board.allocators.get(organisation)
    if allocator is None and find_organisation(board.catalog, organisation) is not None:
        wait_s = max(0.0, board.quarantine_until - now)
        allocator = start_allocator(
            organisation, board.allocator_epoch, now, 0.0, 0.0, wait_s
        )
        board.allocators[organisation] = allocator
        shares = ZoneShares(organisation, board.settings.zone, board.allocator_epoch)
        board.zone_shares[organisation] = shares
        known = board.share_objects.get(organisation)
        if known is not None:
            zone_shares.observe_shares(shares, *known)
        update_allocator_size(board, allocator, now)
    return allocator


def update_zone_share(board, item, now):
    """Update an organisation's zone shares from an object read from the platform."""
    if not accept_object(board, item, is_shares):
        return
    version, name = item["revision"], item["name"]
    known = board.share_objects.get(name)
    if known is None or version > known[0]:
        board.share_objects[name] = (version, item["spec"])
    state = board.zone_shares.get(name)
    if state is not None:
        zone_shares.observe_shares(state, version, item["spec"])
        update_allocator_size(board, board.allocators[name], now)


def update_allocator_size(board, allocator, now):
    """Resize an allocator to the zone's part of the organisation's current quota.

    Returns
    -------
    tuple of (float, float, (float, float))
        Rate and burst of the whole organisation, 0 without a quota, and the (rate,
        burst) of the zone; rates in calls/s.
    """
    quota = find_organisation(board.catalog, allocator.organisation)
    state = board.zone_shares[allocator.organisation]
    usable = zone_shares.find_usable_share(state) if quota else 0
    rate, burst = (quota.rate, quota.burst) if quota else (0.0, 0.0)
    part = zone_shares.scale_limits(usable, rate, burst)
    if part != (allocator.rate, allocator.burst):
        resize_allocator(allocator, now, *part)
    return rate, burst, part


def list_other_zones(board):
    """Return the sorted other zones whose lease holder is known and alive."""
    found = []
    for zone, (_, holder) in board.holders.items():
        member = board.members.members.get(holder)
        alive = member is not None and member.status == "alive"
        if alive and zone != board.settings.zone:
            found.append(zone)
    return sorted(found)


def can_draw_elsewhere(board, state, burst):
    """Return whether this zone's hosts can draw tokens from another zone's share.

    True only for a burst too small to be divided between zones. While it is true,
    this zone asks for no part of the burst.
    """
    holding = [zone for zone in state.zones if zone_shares.get_share(state, zone)]
    if not zone_shares.is_indivisible(burst, len(board.holders)):
        return False
    others = list_other_zones(board)
    return any(zone in others for zone in holding if zone != board.settings.zone)


def plan_share_write(board, allocator, now):
    """Return the next write of an organisation's zone shares, or None."""
    settings = board.settings
    state = board.zone_shares[allocator.organisation]
    expire_grants(allocator, settings, now)
    rate, burst, _ = update_allocator_size(board, allocator, now)
    if rate <= 0:
        return None
    demand = find_zone_demand(allocator, settings, now)
    if demand is not None and can_draw_elsewhere(board, state, burst):
        demand = 0.0
    zone_shares.record_demand(state, now, demand)
    zone_shares.plan_transfer(state, now, rate, burst)
    _, _, part = update_allocator_size(board, allocator, now)
    within = fits_limits(allocator, settings, now, *part)
    lost = [
        zone
        for zone, lease in board.leases.items()
        if zone != settings.zone and zone_lease.is_abandoned(lease, settings)
    ]
    return zone_shares.plan_reclaim(state, now, lost) or zone_shares.plan_write(
        state, settings, now, rate, burst, within, list_other_zones(board)
    )


async def write_share(board, organisation, spec, version):
    """Write zone shares as planned; after a conflict apply the current object."""
    count(board, "platform_calls", "zone-share")
    try:
        item = await board.platform.put_object(
            "zone-share", organisation, spec, version
        )
    except ConflictError as error:
        item = error.current
    except EgretliftError:
        return
    finally:
        board.share_writes.discard(organisation)
    if item is not None:
        update_zone_share(board, item, time.monotonic())


async def keep_zone_shares(board):
    """Adjust the zone's part of each rate while this host holds the zone lease."""
    settings = board.settings
    while True:
        await anyio.sleep(TICK_S)
        now = time.monotonic()
        if not holds_lease(get_own_lease(board), settings, now):
            continue
        for organisation, allocator in list(board.allocators.items()):
            if organisation in board.share_writes:
                continue
            write = plan_share_write(board, allocator, now)
            if write is not None:
                board.share_writes.add(organisation)
                start_task(board, write_share, organisation, *write)
