"""Entries of all hosts, read from the store and from other daemons."""

import anyio

from egretlift.clock import read_clock
from egretlift.errors import ObjectInvalid, PlatformUnavailable
from egretlift.membership.departures import find_forgotten, is_final, record_entry
from egretlift.membership.peers import (
    ENTRY_RETENTION_S,
    encode_entry,
    find_abandoned,
    find_departed,
)
from egretlift.membership.positions import make_position, split_position
from egretlift.platform.names import HOST_KIND
from egretlift.recent import remember
from egretlift.sidecar.datagrams import HOSTS, encode_datagram, send_datagram
from egretlift.sidecar.entries import (
    decode_forwarded_entry,
    decode_stored_entry,
    is_invalid,
    record_invalid_entry,
)
from egretlift.sidecar.eras import is_settled, read_position
from egretlift.sidecar.following import BACKOFF_MAXIMUM_S, follow, record_store_status
from egretlift.sidecar.own_entry import (
    FIRST_HEARTBEATS,
    apply_own_entry,
    is_own_newer,
    read_stored_position,
    receive_own_entry,
    request_writing,
)

# More entries would not fit into one packet.
ENTRIES_PER_DATAGRAM = 8
# Number of removed hosts that are remembered, so that a restored store does not bring
# them back.
REMOVALS_MAXIMUM = 256
# Interval at which a daemon looks for abandoned entries in the store.
REMOVAL_INTERVAL_S = 60.0
# Position of an entry that the store may not hold.
UNSTORED_POSITION = 0


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
        return True
    record_entry(board.departures, entry)
    if is_final(entry):
        handle_final_entry(board, found, entry)
    elif board.register_host(entry, read_position(found)):
        board.log_change("host-learned", peer=entry.host, source="store")
    return True


def handle_final_entry(board, found, entry):
    """Handle the last entry of a host that has stopped like the removal of its entry.

    It stays in the store for `ENTRY_RETENTION_S`, for the next process of the host.
    """
    handle_removed_entry(board, found.name, read_position(found))
    known = board.final_entries.get(found.name)
    is_new = known is None or known[0] != found.revision
    if is_new and entry.zone == board.settings.zone:
        value = (found.revision, read_clock())
        remember(board.final_entries, found.name, value, REMOVALS_MAXIMUM)


def remind_host(board, entry):
    """Tell a host of the departure of its upstream if its own entry does not show it.

    ``entry`` is the one in a report of the host, which may have forgotten the departure
    in a restart.
    """
    departed = find_forgotten(board.departures, entry)
    peer = board.peers.get(entry.host)
    if departed is None or peer is None:
        return
    board.count("departures_told")
    board.log_change(
        "departure-told",
        peer=entry.host,
        upstream=departed.upstream_id,
        state=departed.state,
    )
    item = [UNSTORED_POSITION, entry.host, encode_entry(departed)]
    send_datagram(board, encode_datagram(HOSTS, [[item]]), peer)


def handle_invalid_entry(board, found, error):
    """Log an invalid entry once; this host writes its own one again in its place."""
    is_new = record_invalid_entry(board, found, error)
    own = read_stored_position(board)
    is_own = found.name == board.settings.host and not board.stopping
    if is_own and is_new and make_position(found.era, found.revision) > own:
        board.own_era, board.own_revision = found.era, found.revision
        board.own_entry = None
        request_writing(board, "invalid")


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
    remember(board.removals, name, position, REMOVALS_MAXIMUM)
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
    own = read_stored_position(board)
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

    These are entries of hosts without reports for a long time, last entries of hosts
    that stopped as long ago, and those that a restored store has brought back.
    """
    now = read_clock()
    abandoned = find_abandoned(board.ensure_directory().near, now)
    found = {p.entry.host: split_position(p.position)[1] for p in abandoned}
    final = [
        (name, revision)
        for name, (revision, learned_at) in board.final_entries.items()
        if now - learned_at > ENTRY_RETENTION_S and name not in board.peers
    ]
    return [*found.items(), *final, *board.returned_entries.items()]


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
            board.final_entries.pop(name, None)
            event = "entry-removed" if removed else "entry-changed-meanwhile"
            board.log_change(event, peer=name, revision=revision)


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
    record_hosts_listed(board, "store")
    await follow(board, HOST_KIND, apply_host_entries, lambda: False, allow_stale=True)


def record_hosts_listed(board, source):
    """Record that this daemon has read all hosts, and log it the first time.

    ``source`` is "store" or the name of the host that sent its list.
    """
    if board.hosts_listed.is_set():
        return
    board.hosts_listed.set()
    # The replicas of this host are known now and can tell it of a departure.
    board.report_due.set()
    near = len(board.ensure_directory().near)
    board.log_change("hosts-listed", source=source, zone_hosts=1 + near)


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
        if not is_unchanged(board, found)
        # An invalid entry states no era, so that it may seem older than it is.
        and (is_invalid(found) or is_newer(board, found))
        and apply_host_entry(board, found)
    ]


def is_unchanged(board, found):
    """Return whether an entry is the one that was applied last for its host.

    Lists of all hosts are read at short intervals, and most entries in them are.
    """
    peer = board.peers.get(found.name)
    if peer is None or found.spec is None:
        return False
    return 0 < peer.position == read_position(found)


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
