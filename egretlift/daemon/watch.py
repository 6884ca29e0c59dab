"""Watches that keep the configuration in step with the platform.

Only the holder and the standbys of the zone lease watch, since the platform counts
every open watch. Other daemons receive changes by gossip, and ask the platform only
until they have a first complete catalog.
"""

import time

import anyio

from egretlift.blackboard import count
from egretlift.configuration import (
    decode_object,
    merge_objects,
    record_confirmation,
)
from egretlift.daemon.zone import get_own_lease, is_watcher, update_lease, update_seeds
from egretlift.daemon.zone_shares import update_zone_share
from egretlift.errors import EgretliftError
from egretlift.events import record_event
from egretlift.quotas.zone_lease import record_reachability

CONFIGURATION_KINDS = ("profile", "organisation", "key")
WATCHED_KINDS = (*CONFIGURATION_KINDS, "zone-lease", "zone-share", "zone-seed")
RETRY_PAUSE_S = 0.5
IDLE_PAUSE_S = 0.2


def apply_objects(board, items):
    """Apply objects read from the platform, each according to its kind."""
    now = time.monotonic()
    configuration = []
    for item in items:
        if item["kind"] in CONFIGURATION_KINDS:
            configuration.append(decode_object(item))
        elif item["kind"] == "zone-lease":
            update_lease(board, item, now)
        elif item["kind"] == "zone-share":
            update_zone_share(board, item, now)
        elif item["kind"] == "zone-seed":
            update_seeds(board, item)
    merge_configuration(board, configuration, "platform")


def merge_configuration(board, objects, source):
    """Merge configuration objects into the catalog and gossip those that changed it.

    Parameters
    ----------
    source : str
        ``platform`` or the host that sent the objects, for the event log.
    """
    changed = merge_objects(board.catalog, objects)
    for item in changed:
        record_event(
            "configuration-in-force",
            kind=item.kind,
            name=item.name,
            revision=item.revision,
            withdrawn=item.withdrawn,
            source=source,
        )
    if changed:
        board.unsent_objects.extend(changed)
        board.gossip_wanted.set()


def record_platform_outcome(board, error=None):
    """Record whether the last platform call succeeded.

    The state of the zone lease needs this, because a standby confirms the lease to
    its holder only while the standby cannot reach the platform either.
    """
    now = time.monotonic()
    record_reachability(get_own_lease(board), error is None)
    if error is None:
        if board.platform_failed_at is not None:
            record_event("platform-reached")
        board.platform_failed_at = None
        board.platform_reached_at = now
    elif board.platform_failed_at is None:
        board.platform_failed_at = now
        record_event("platform-unreachable", error=str(error))


async def read_all_objects(board):
    """List the objects of all watched kinds and return the revision to watch from.

    It is the lowest revision of the lists, so that the watch misses no change made
    between two of them.
    """
    revisions = []
    for kind in WATCHED_KINDS:
        count(board, "platform_calls", "list")
        revision, items = await board.platform.list_objects(kind)
        revisions.append(revision)
        apply_objects(board, items)
    board.catalog_complete = True
    record_confirmation(board.catalog, time.monotonic(), 0.0)
    return min(revisions)


async def watch_once(board, after):
    """Wait for a batch of changes and return the revision for the next watch."""
    count(board, "platform_calls", "watch")
    revision, items = await board.platform.watch(WATCHED_KINDS, after)
    apply_objects(board, items)
    record_confirmation(board.catalog, time.monotonic(), 0.0)
    return max(after, revision)


async def follow_platform(board):
    """Keep the catalog up to date until the daemon stops."""
    after = None
    # Gossip may deliver the catalog first, which saves a read of the platform.
    await anyio.sleep(board.random.uniform(0, IDLE_PAUSE_S))
    while True:
        if board.catalog_complete and not is_watcher(board):
            after = None
            await anyio.sleep(IDLE_PAUSE_S)
            continue
        try:
            if after is None:
                after = await read_all_objects(board)
            else:
                after = await watch_once(board, after)
            record_platform_outcome(board)
        except EgretliftError as error:
            record_platform_outcome(board, error)
            after = None
            await anyio.sleep(RETRY_PAUSE_S * board.random.uniform(0.5, 1.5))
