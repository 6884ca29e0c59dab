"""Following the store: which hosts do, and how they read and watch it.

Only a few hosts of a zone follow the store; see `egretlift.membership.followers`. They
forward changed entries to the other hosts.
"""

import anyio

from egretlift.clock import read_clock
from egretlift.errors import PlatformUnavailable
from egretlift.membership.followers import (
    NEWS_TIMEOUT_INTERVALS,
    choose_followers,
    count_followers,
    find_standby_time,
    rank_candidates,
    update_role,
    update_standby,
)
from egretlift.membership.positions import split_position
from egretlift.platform.store import HistoryGone
from egretlift.sidecar.eras import log_listed, watch_until_restored

# Pauses between failed calls to the store, in seconds: the first and the longest.
BACKOFF_S = 0.1
BACKOFF_MAXIMUM_S = 1.0
# Interval at which a daemon checks whether it has to follow the store.
FOLLOWER_CHECK_INTERVAL_S = 0.2
# Pause after a change of hosts, so that the next read returns several changes at once.
COALESCE_S = 1.0
# A failed call to the store counts against a host for this long, in seconds.
STORE_RETRY_S = 10.0


def is_follower(board):
    """Return whether this host has to follow the store for its zone.

    Forgets an old failure of the store, and the store's status once the host stops
    following it.
    """
    host, now = board.settings.host, read_clock()
    if board.store_ok is False and now - board.store_lost_at > STORE_RETRY_S:
        board.store_ok = None
    zones = 1 + len(board.ensure_directory().zones)
    is_restart = board.configuration is None and not board.settings.is_first_start
    if is_restart and host in choose_followers(zones, list_candidates(board)):
        return True
    ranked = rank_live_hosts(board)
    chosen = ranked[: count_followers(zones)]
    is_elected = update_role(board.follower_role, host in chosen, now)
    are_served = are_chosen_served(board, chosen, now)
    is_standby = follow_as_standby(board, ranked.index(host), are_served, now)
    # A host that is chosen no more goes on until those that are have begun.
    hands_over = board.store_ok is True and not are_served
    follows = is_elected or is_standby or hands_over
    if board.store_ok and not follows:
        board.store_ok = None
    return follows


def rank_live_hosts(board):
    """Return the live hosts of this zone in the order in which they are chosen."""
    host, live = board.settings.host, set(board.view.live)
    flags = {
        peer.entry.host: peer.store_served
        for peer in board.ensure_directory().near
        if peer.entry.host in live
    }
    flags[host] = board.store_ok
    served = [name for name, flag in flags.items() if flag is not False]
    refused = [name for name, flag in flags.items() if flag is False]
    return rank_candidates(served, refused)


def are_chosen_served(board, chosen, now):
    """Return whether each other chosen host has reported of late that it is served."""
    heard_after = now - NEWS_TIMEOUT_INTERVALS * board.follower_interval_s()
    return all(
        name == board.settings.host
        or is_served_since(board.peers.get(name), heard_after)
        for name in chosen
    )


def follow_as_standby(board, rank, are_served, now):
    """Return whether this host follows the store for followers that are silent.

    A host that the store has turned away takes over from nobody. ``are_served`` is what
    `are_chosen_served` returns.
    """
    role = board.follower_role
    due_at = find_standby_time(role, rank, board.follower_interval_s())
    was_standby = role.is_standby
    must_end = are_served or board.store_ok is False
    is_standby = update_standby(role, due_at, now, must_end)
    if is_standby and not was_standby:
        silent_s = round(now - role.news_at, 2)
        board.count("standby_takeovers")
        board.log_change("standby-follows", rank=rank, silent_s=silent_s)
    return is_standby


def is_served_since(peer, moment):
    """Return whether a host has reported after a moment that the store serves it."""
    return (
        peer is not None
        and peer.store_served is True
        and peer.last_report_at is not None
        and peer.last_report_at >= moment
    )


def find_check_pause_s(board):
    """Return the time until this host checks again whether it has to follow the store.

    A check is due at the moment at which it would take over as a standby.
    """
    pause_s = FOLLOWER_CHECK_INTERVAL_S * (0.5 + board.random.random())
    ranked = rank_live_hosts(board)
    rank = ranked.index(board.settings.host)
    due_at = find_standby_time(board.follower_role, rank, board.follower_interval_s())
    until_due_s = due_at - read_clock()
    return min(pause_s, until_due_s) if until_due_s > 0 else pause_s


def list_candidates(board):
    """Return the hosts of this zone that are live or have not reported so far.

    A starting daemon has received no reports, but knows the others from the store.
    """
    near = board.ensure_directory().near
    live = set(board.view.live)
    return [
        board.settings.host,
        *(
            peer.entry.host
            for peer in near
            if peer.last_report_at is None or peer.entry.host in live
        ),
    ]


async def wait_until_reader(board, may_read):
    """Wait until this host has to read from the store; return whether it had to before.

    Parameters
    ----------
    may_read : callable
        Returns whether the host may read although it does not follow the store.
    """
    is_continued = True
    while not (is_follower(board) or may_read()):
        is_continued = False
        await anyio.sleep(find_check_pause_s(board))
    return is_continued


class Watch:
    """Progress in following the objects of a kind.

    Attributes
    ----------
    kind : str
    allow_stale : bool
        Whether what is read may be some seconds old.
    position : int or None
        Position to watch from, None if the objects must be listed.
    listings : int
        Value of `Board.listings_due` at the last list.
    before : int or None
        Position that was reached last, None before the first list.
    """

    __slots__ = ("allow_stale", "before", "kind", "listings", "position")

    def __init__(self, kind, allow_stale):
        self.kind = kind
        self.allow_stale = allow_stale
        self.position = None
        self.listings = 0
        self.before = None


async def read_next(board, watch):
    """Return the listed objects with the list's position, or changed ones and None."""
    if watch.position is not None and watch.listings == board.listings_due:
        found = await watch_until_restored(
            board, watch.kind, watch.position, watch.allow_stale
        )
        if found is not None:
            watch.position = watch.before = found[0]
            return found[1], None
    due = board.listings_due
    # A stale list could be one from before the store was restored.
    allow_stale = watch.allow_stale and watch.before is None
    position, objects = await board.store.list_objects(watch.kind, allow_stale)
    if watch.before is not None:
        log_listed(board, watch.kind, objects, watch.before, position)
    # The list may itself have shown that the store was restored.
    is_current = split_position(position)[0] == (board.store_era or 0)
    watch.listings = board.listings_due if is_current else due
    watch.position = watch.before = position
    return objects, position


async def follow(board, kind, apply, may_read, allow_stale=False):
    """Follow the objects of a kind in the store: list them, then watch for changes.

    Parameters
    ----------
    board : Board
    kind : str
    apply : callable
        Called with the board, the objects that were listed or have changed, and the
        position of the list, None for changes.
    may_read : callable
        See `wait_until_reader`.
    allow_stale : bool
        Whether what is read may be some seconds old. Changes are then read in batches.
    """
    pause_s = BACKOFF_S
    watch = Watch(kind, allow_stale)
    while True:
        if not await wait_until_reader(board, may_read):
            # The store may have been restored while another host followed it.
            watch.position = None
        try:
            objects, list_position = await read_next(board, watch)
            apply(board, objects, list_position)
            record_store_status(board, True, kind)
            pause_s = BACKOFF_S
            if objects and allow_stale:
                await anyio.sleep(COALESCE_S)
        except HistoryGone:
            era, revision = split_position(watch.position)
            board.log_change("history-gone", kind=kind, era=era, revision=revision)
            watch.position = None
        except PlatformUnavailable as error:
            # A store that was away may have been restored from an older copy.
            watch.position = None
            record_store_status(board, False, str(error))
            await anyio.sleep(pause_s * (0.5 + board.random.random()))
            pause_s = min(BACKOFF_MAXIMUM_S, 2 * pause_s)


def record_store_status(board, is_served, cause):
    """Record whether the store serves this host, and log and report a change."""
    if not is_served:
        board.store_lost_at = read_clock()
    before = board.store_ok
    if before is not is_served:
        board.store_ok = is_served
        board.report_due.set()
        followed = "store-followed" if before is None else "store-regained"
        board.log_change(followed if is_served else "store-lost", cause=cause)
