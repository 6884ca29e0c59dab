"""Reading configuration and host entries from the store, and writing the own entry.

Only a few hosts of a zone follow the store; see `egretlift.membership.followers`. They
forward changed entries to the other hosts. The version of the configuration in force
spreads with the reports.
"""

import anyio

from egretlift.admission.slots import refuse_waiting
from egretlift.clock import read_clock
from egretlift.errors import ConflictError, ObjectInvalid, PlatformUnavailable
from egretlift.membership.followers import choose_followers, update_role
from egretlift.membership.peers import (
    encode_entry,
    find_abandoned,
    find_departed,
)
from egretlift.membership.positions import make_position, split_position
from egretlift.membership.upstream import restore_upstream
from egretlift.platform.configuration import decode_configuration
from egretlift.platform.names import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    HOST_KIND,
)
from egretlift.platform.store import HistoryGone
from egretlift.sidecar.datagrams import HOSTS, encode_datagram, send_datagram
from egretlift.sidecar.entries import (
    decode_forwarded_entry,
    decode_stored_entry,
    is_invalid,
    record_invalid_entry,
)
from egretlift.sidecar.eras import (
    is_settled,
    log_listed,
    read_position,
    settle_eras,
    watch_until_restored,
)

# Pauses between failed calls to the store, in seconds: the first and the longest.
BACKOFF_S = 0.1
BACKOFF_MAXIMUM_S = 1.0
# Interval at which a daemon checks whether it has to follow the store.
FOLLOWER_CHECK_INTERVAL_S = 0.2
# Pause after a change of hosts, so that the next read returns several changes at once.
COALESCE_S = 1.0
# Time for which a starting daemon waits for a configuration from its zone.
ZONE_WAIT_S = 1.5
# A failed call to the store counts against a host for this long, in seconds.
STORE_RETRY_S = 10.0
# Heartbeat intervals to wait for the upstream before an entry without it is written.
FIRST_HEARTBEATS = 3
# More entries would not fit into one packet.
ENTRIES_PER_DATAGRAM = 8
# Number of removed hosts that are remembered, so that a restored store does not bring
# them back.
REMOVALS_MAXIMUM = 256
# Interval at which a daemon looks for abandoned entries in the store.
REMOVAL_INTERVAL_S = 60.0


def apply_configuration(board, document, source):
    """Put a configuration in force if it is newer than the current one.

    Returns whether it was put in force; invalid documents are logged and ignored.
    ``source`` is logged: "store" or the name of the host that sent the document.
    """
    try:
        configuration = decode_configuration(document)
    except ObjectInvalid as error:
        board.count("invalid_configurations")
        board.log_change("configuration-invalid", source=source, cause=str(error))
        return False
    current = board.configuration
    if current is not None and configuration.version <= current.version:
        is_same = configuration.version == current.version
        if is_same and document != current.document:
            version = current.version
            board.log_change("configuration-differs", version=version, source=source)
        return False
    board.configuration = configuration
    board.log_change(
        "configuration-in-force",
        version=configuration.version,
        before=current.version if current else 0,
        source=source,
    )
    board.report_due.set()
    return True


def apply_configuration_object(board, found):
    """Apply an object of the configuration's kind if it is the configuration."""
    if found.name == CONFIGURATION_NAME and found.spec is not None:
        apply_configuration(board, found.spec, "store")


def apply_host_entry(board, found):
    """Apply a host's entry, or the removal of one, that was read or forwarded.

    Returns whether the entry is valid. An invalid one is logged and changes nothing
    that is known of its host; this host replaces its own.
    """
    if found.spec is None:
        handle_removed_entry(board, found.name, read_position(found))
        return True
    try:
        entry = decode_stored_entry(found)
    except ObjectInvalid as error:
        handle_invalid_entry(board, found, error)
        return False
    if found.name == board.settings.host:
        apply_own_entry(board, found, entry)
    elif board.register_host(entry, read_position(found)):
        board.log_change("host-learned", peer=entry.host, source="store")
    return True


def handle_invalid_entry(board, found, error):
    """Log an invalid entry once; this host writes its own one again in its place."""
    is_new = record_invalid_entry(board, found, error)
    own = make_position(board.own_era, board.own_revision or 0)
    is_own = found.name == board.settings.host and not board.stopping
    if is_own and is_new and make_position(found.era, found.revision) > own:
        board.own_era, board.own_revision = found.era, found.revision
        board.own_entry = None
        request_writing(board, "invalid")


def restore_state(board, entry):
    """Restore the state of the upstream from an entry of an earlier process."""
    if entry.boot != board.boot and restore_upstream(board.upstream, entry):
        board.log_change("upstream-restored", state=entry.state)
        refuse_waiting(board.slots, entry.state)
        board.mark_entry_changed()


def apply_own_entry(board, found, entry):
    """Apply this host's own entry as the store has it.

    It is written again if this process wrote another one, or if a later one is known,
    which a restored store has lost.
    """
    restore_state(board, entry)
    board.own_era, board.own_revision = found.era, found.revision
    board.own_entry = entry
    position = read_position(found)
    if position < board.own_position:
        request_writing(board, "older")
    elif entry.boot == board.boot and not are_equivalent(entry, board.make_entry()):
        request_writing(board, "different")
    board.own_position = max(position, board.own_position)


def receive_own_entry(board, found):
    """Apply this host's own entry, or its removal, as another daemon knows it.

    After a restart of this daemon the others may know a later entry than the store.
    """
    position = read_position(found)
    if found.spec is None and board.stopping:
        # A host that leaves removes its entry at the end.
        return
    if found.spec is not None:
        try:
            restore_state(board, decode_stored_entry(found))
        except ObjectInvalid as error:
            record_invalid_entry(board, found, error)
            return
    if position > board.own_position:
        board.own_position = position
        if found.spec is None:
            board.own_revision = None
        request_writing(board, "forwarded")


def request_writing(board, cause):
    """Have this host's entry written again."""
    board.entry_missing = True
    board.entry_changed.set()
    board.log_change("own-entry-outdated", cause=cause)


def handle_removed_entry(board, name, position):
    """Handle the removal of a host's entry; this host writes its own one again.

    ``position`` is that of the removal: older entries of the host are not applied.
    """
    if name == board.settings.host:
        if board.own_revision is not None and not board.stopping:
            board.own_revision = board.own_entry = None
            board.entry_missing = True
            board.entry_changed.set()
            board.log_change("own-entry-missing")
        return
    peer = board.peers.get(name)
    if peer is None:
        return
    # A host whose reports arrive stays registered; it writes its entry again.
    peer.position = 0
    peer.removed = True
    board.removals.pop(name, None)
    board.removals[name] = position
    if len(board.removals) > REMOVALS_MAXIMUM:
        del board.removals[next(iter(board.removals))]
    remove_departed_hosts(board)


def remove_departed_hosts(board):
    """Unregister hosts that have shut down; others get their shares of rates."""
    now = read_clock()
    interval_s = board.report_interval_s()
    for peer in find_departed(board.peers, now, interval_s):
        del board.peers[peer.entry.host]
        board.directory = None
        board.log_change("host-removed", peer=peer.entry.host)


def detect_removed_entries(board, objects, list_position):
    """Detect entries that were removed while no watch was running.

    Entries with a position later than the list's are kept: a stale list does not
    contain them. So are, for a while, those that a restored store may have lost.
    """
    listed = {found.name for found in objects}
    era, _ = split_position(list_position)
    known = {name: peer.position for name, peer in board.peers.items()}
    for name, position in known.items():
        is_lost = not is_settled(board, era) and split_position(position)[0] < era
        if name not in listed and 0 < position <= list_position and not is_lost:
            handle_removed_entry(board, name, list_position)
    host = board.settings.host
    own = make_position(board.own_era, board.own_revision or 0)
    if host not in listed and own <= list_position:
        handle_removed_entry(board, host, list_position)


def detect_returned_entries(board, objects):
    """Detect entries that were removed and that a restored store has again."""
    board.returned_entries = {
        found.name: found.revision
        for found in objects
        if found.name in board.removals
        and found.name not in board.peers
        and not is_newer(board, found)
    }


def list_outdated_entries(board):
    """Return (host, revision) of the entries to remove from the store.

    These are entries of hosts without reports for a long time, and those that a
    restored store has brought back.
    """
    abandoned = find_abandoned(board.ensure_directory().near, read_clock())
    found = {p.entry.host: split_position(p.position)[1] for p in abandoned}
    return [*found.items(), *board.returned_entries.items()]


async def forget_hosts(board):
    """Remove outdated entries of hosts from the store.

    A host without reports may still run behind a long network partition; it writes its
    entry again as soon as it notices that it is missing.
    """
    while True:
        await anyio.sleep(REMOVAL_INTERVAL_S * (0.5 + board.random.random()))
        for name, revision in list_outdated_entries(board):
            try:
                removed = await board.store.delete_object(HOST_KIND, name, revision)
            except PlatformUnavailable as error:
                board.log_change("entry-not-removed", peer=name, cause=str(error))
                break
            board.returned_entries.pop(name, None)
            event = "entry-removed" if removed else "entry-changed-meanwhile"
            board.log_change(event, peer=name, revision=revision)


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
    live = set(board.view.live)
    flags = {
        peer.entry.host: peer.store_served
        for peer in board.ensure_directory().near
        if peer.entry.host in live
    }
    flags[host] = board.store_ok
    served = [name for name, flag in flags.items() if flag is not False]
    unserved = [name for name, flag in flags.items() if flag is False]
    chosen = choose_followers(zones, served, unserved)
    follows = update_role(board.follower_role, host in chosen, now)
    if board.store_ok and not follows:
        board.store_ok = None
    return follows


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
        await anyio.sleep(FOLLOWER_CHECK_INTERVAL_S * (0.5 + board.random.random()))
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


async def follow_configuration(board):
    """Keep the configuration in force up to date from the store.

    A starting daemon reads it itself if it gets none from its zone in time.
    """
    await board.hosts_listed.wait()
    listed = read_clock()

    def may_read():
        has_waited = read_clock() - listed > ZONE_WAIT_S
        return has_waited and board.configuration is None

    await follow(board, CONFIGURATION_KIND, apply_configuration_objects, may_read)


def apply_configuration_objects(board, objects, list_position):
    """Apply objects of the configuration's kind, listed or changed."""
    for found in objects:
        apply_configuration_object(board, found)


async def follow_hosts(board):
    """Keep the known hosts up to date from the store.

    Each daemon reads all hosts once at its start. That list may be some seconds old;
    reports and the entries forwarded by followers bring it up to date.
    """
    if board.settings.is_first_start:
        # Read before the hosts have written their entries, the list would be empty.
        with anyio.move_on_after((FIRST_HEARTBEATS + 1) * board.settings.heartbeat_s):
            await board.entry_stored.wait()
    is_read = False
    while not is_read and not board.hosts_listed.is_set():
        try:
            await read_hosts(board)
            is_read = True
        except PlatformUnavailable as error:
            record_store_status(board, False, str(error))
            with anyio.move_on_after(BACKOFF_MAXIMUM_S * (0.5 + board.random.random())):
                await board.hosts_listed.wait()
    board.hosts_listed.set()
    await follow(board, HOST_KIND, apply_host_entries, lambda: False, allow_stale=True)


async def read_hosts(board):
    """Read a possibly stale list of all hosts, and this host's current entry."""
    if not board.settings.is_first_start:
        found = await board.store.get_object(HOST_KIND, board.settings.host)
        if found is not None:
            apply_host_entry(board, found)
    _, objects = await board.store.list_objects(HOST_KIND, allow_stale=True)
    apply_newer_entries(board, objects)


def apply_newer_entries(board, objects):
    """Apply the entries that are newer than the known ones; return the valid ones."""
    return [
        found
        for found in objects
        # An invalid entry states no era, so that it may seem older than it is.
        if (is_invalid(found) or is_newer(board, found))
        and apply_host_entry(board, found)
    ]


def apply_host_entries(board, objects, list_position):
    """Apply entries of hosts from the store and forward the new ones to the zone."""
    if list_position is not None:
        detect_removed_entries(board, objects, list_position)
        detect_returned_entries(board, objects)
    send_entries(board, apply_newer_entries(board, objects))


def send_entries(board, objects):
    """Send changed entries to the hosts of this zone.

    A datagram may be lost; therefore each daemon periodically reads all entries from
    another one, see `egretlift.sidecar.fetching.fetch_hosts`.
    """
    items = []
    for found in objects:
        values = (found.spec or {}).get("entry")
        items.append([read_position(found), found.name, values])
    for start in range(0, len(items), ENTRIES_PER_DATAGRAM):
        part = items[start : start + ENTRIES_PER_DATAGRAM]
        data = encode_datagram(HOSTS, [part])
        for peer in board.ensure_directory().near:
            send_datagram(board, data, peer)


def receive_entries(board, values):
    """Apply entries that another daemon sent.

    Raises
    ------
    ObjectInvalid
        ``values`` is not a list of one list. Its items are [position, name, entry];
        of these, malformed ones are logged and left out.
    """
    is_list = isinstance(values, list) and len(values) == 1
    if not is_list or not isinstance(values[0], list):
        remedy = "send position, name and entry of each host"
        raise ObjectInvalid(f"hosts: {values!r:.200}", remedy)
    objects = [decode_forwarded_entry(item) for item in values[0]]
    host = board.settings.host
    for found in objects:
        if found.name == host:
            receive_own_entry(board, found)
    apply_newer_entries(board, [found for found in objects if found.name != host])


def is_newer(board, found):
    """Return whether an entry or a removal is newer than what is known."""
    if found.name == board.settings.host:
        return is_own_newer(board, found)
    position = read_position(found)
    peer = board.peers.get(found.name)
    if peer is None:
        removed_at = board.removals.get(found.name, -1)
        return found.spec is not None and position > removed_at
    # The revision of a removal may be the last one of the removed entry.
    known = max(peer.position, board.removals.get(found.name, 0))
    return position > known or (found.spec is None and position >= known)


def is_own_newer(board, found):
    """Return whether the store has had this host's entry later than known."""
    if board.own_revision is None:
        return found.spec is not None
    known = (board.own_era, board.own_revision)
    position = (found.era, found.revision)
    return position > known or (found.spec is None and position >= known)


def are_equivalent(one, other):
    """Return whether two entries agree in all that a starting daemon reads in them."""
    names = ("zone", "address", "upstream_id", "state", "born", "slots")
    return all(getattr(one, name) == getattr(other, name) for name in names)


async def keep_entry(board):
    """Write this host's entry whenever it changes."""
    # After a restart the stored entry mostly stays valid: the upstream's heartbeats
    # show whether it does.
    if not board.settings.is_first_start:
        await board.hosts_listed.wait()
    with anyio.move_on_after(FIRST_HEARTBEATS * board.settings.heartbeat_s):
        while board.upstream.current is None:
            await board.entry_changed.wait()
            board.entry_changed = anyio.Event()
    stored = board.own_entry
    while True:
        entry, wanted = board.make_entry(), board.counter
        if board.entry_missing:
            board.entry_missing = False
            stored = None
        if stored is None or not are_equivalent(stored, entry):
            if not await write_entry(board, entry):
                await anyio.sleep(BACKOFF_MAXIMUM_S * (0.5 + board.random.random()))
                continue
            stored = entry
        board.counter_stored = wanted
        board.entry_stored.set()
        board.entry_stored = anyio.Event()
        if board.counter == wanted:
            await board.entry_changed.wait()
        board.entry_changed = anyio.Event()


async def write_entry(board, entry):
    """Write an entry and return whether the store accepted it."""
    host, era = board.settings.host, board.store.era
    spec = {"entry": encode_entry(entry), "era": era or 0}
    try:
        found = await board.store.put_object(HOST_KIND, host, spec, board.own_revision)
    except ConflictError as error:
        record_own_object(board, error.current)
        board.log_change("entry-conflict", revision=board.own_revision)
        return False
    except PlatformUnavailable as error:
        board.log_change("entry-not-stored", cause=str(error))
        return False
    record_own_object(board, found)
    board.log_change("entry-stored", state=entry.state, upstream=entry.upstream_id)
    if is_era_outdated(board, era):
        # Other hosts order entries by the era in which they were written.
        request_writing(board, "era")
    return True


def is_era_outdated(board, era):
    """Return whether the store is in a later era than the one in a written entry.

    At the first start of all hosts there is no entry of an earlier era.
    """
    if era is None and board.settings.is_first_start:
        return False
    return (board.store.era or 0) > (era or 0)


def record_own_object(board, found):
    """Record which object the store has for this host, None for none."""
    board.own_revision = found.revision if found else None
    if found is not None:
        board.own_era = found.era
        board.own_position = max(board.own_position, read_position(found))


async def check_own_entry(board):
    """Read this host's entry, and have it written again if it is gone or older.

    Raises
    ------
    PlatformUnavailable
    """
    found = await board.store.get_object(HOST_KIND, board.settings.host)
    if found is None:
        handle_removed_entry(board, board.settings.host, 0)
    elif is_own_newer(board, found):
        apply_host_entry(board, found)


async def keep_entry_restored(board):
    """Check this host's entry each time that the store was restored."""
    await settle_eras(board, check_own_entry)
