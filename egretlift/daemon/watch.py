"""Following the platform's configuration with watches.

Only the holder and the standbys of the zone lease watch, since the platform
counts every waiting watch. Other daemons learn by gossip, and ask the platform
only until they have a first complete catalog.
"""

import time

import anyio

from egretlift.blackboard import count
from egretlift.configuration import (
    confirm_freshness,
    decode_object,
    merge_objects,
)
from egretlift.daemon.zone import get_own_lease, is_watcher, update_lease, update_seeds
from egretlift.daemon.zone_shares import update_zone_share
from egretlift.errors import EgretliftError
from egretlift.events import record_event
from egretlift.quotas.zone_lease import record_platform

CONFIGURATION_KINDS = ("profile", "organisation", "key")
WATCHED_KINDS = (*CONFIGURATION_KINDS, "zone-lease", "zone-share", "zone-seed")
RETRY_PAUSE_S = 0.5
IDLE_PAUSE_S = 0.2


def apply_objects(board, items):
    """Give objects read from the platform to their owners."""
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
    take_configuration(board, configuration, "platform")


def take_configuration(board, objects, source):
    """Merge configuration objects and spread what is new."""
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
        board.fresh_objects.extend(changed)
        board.kick_gossip.set()


def record_platform_outcome(board, error=None):
    """Record whether the last platform call succeeded.

    The zone lease has to know, since a standby confirms to its holder only that
    the platform does not answer the standby either.
    """
    now = time.monotonic()
    record_platform(get_own_lease(board), error is None)
    if error is None:
        if board.platform_failed_at is not None:
            record_event("platform-reached")
        board.platform_failed_at = None
        board.platform_reached_at = now
    elif board.platform_failed_at is None:
        board.platform_failed_at = now
        record_event("platform-unreachable", error=str(error))


async def read_all_objects(board):
    """Read all watched kinds and return the revision to watch from."""
    revisions = []
    for kind in WATCHED_KINDS:
        count(board, "platform_calls", "list")
        revision, items = await board.platform.list_objects(kind)
        revisions.append(revision)
        apply_objects(board, items)
    board.catalog_complete = True
    confirm_freshness(board.catalog, time.monotonic(), 0.0)
    return min(revisions)


async def watch_once(board, after):
    """Wait for one batch of changes and return the revision to go on from."""
    count(board, "platform_calls", "watch")
    revision, items = await board.platform.watch(WATCHED_KINDS, after)
    apply_objects(board, items)
    confirm_freshness(board.catalog, time.monotonic(), 0.0)
    return max(after, revision)


async def follow_platform(board):
    """Keep the catalog up to date for as long as the daemon runs."""
    after = None
    # A daemon whose peers can give it the catalog need not ask the platform.
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
