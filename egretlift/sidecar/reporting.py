"""Reports of load and configuration version to this zone and one host of each other."""

import asyncio

import anyio

from egretlift.clock import read_clock
from egretlift.membership.departures import choose_replicas, record_entry
from egretlift.membership.peers import (
    Report,
    decode_report,
    encode_report,
    is_reporting,
    merge_report,
)
from egretlift.membership.zone import ZoneView, is_current, observe_zone
from egretlift.sidecar.datagrams import (
    HOSTS,
    RATES,
    REPORT,
    SUSPECTS,
    DatagramProtocol,
    encode_datagram,
    send_datagram,
)
from egretlift.sidecar.eras import adopt_era
from egretlift.sidecar.host_entries import (
    receive_entries,
    remind_host,
    remove_departed_hosts,
)
from egretlift.sidecar.rates import receive_usage, refill_quotas
from egretlift.sidecar.suspects import receive_suspects

# A change is reported at once, but reports are at least this far apart, in seconds.
REPORT_GAP_S = 0.03
# One in this many reports carries the full entry, for hosts that missed a change.
FULL_REPORT_EVERY = 4


def receive_report(board, values):
    """Record a report of another daemon, and fetch its configuration if it is newer.

    Raises
    ------
    ObjectInvalid
        ``values`` is no report.
    """
    report = decode_report(values)
    host = report.host
    if host == board.settings.host:
        return
    if report.store_era is not None:
        adopt_era(board, report.store_era, host)
    now = read_clock()
    before = board.peers.get(host)
    previous = before and before.entry
    if not merge_report(board.peers, report, now):
        return
    if report.entry is not None:
        board.invalidate_directory(previous, report.entry)
        record_entry(board.departures, report.entry)
        remind_host(board, report.entry)
    if before is None:
        board.log_change("host-learned", peer=host, source="report")
        board.report_due.set()
    if report.store_served is not None and report.version >= board.read_version():
        board.follower_role.news_at = now
    if report.version > board.read_version():
        board.fetch_sources.add(host)
        board.fetch_due.set()


HANDLERS = {
    REPORT: receive_report,
    RATES: receive_usage,
    HOSTS: receive_entries,
    SUSPECTS: receive_suspects,
}


def make_report(board, number):
    """Return the report of this daemon's present state with a sequence number."""
    return Report(
        board.make_entry(),
        number,
        board.read_version(),
        board.measure_load(),
        board.store_ok,
        board.read_reported_era(),
    )


def update_zone_view(board):
    """Build a new view of this zone and drop shares that other hosts own now.

    After a pause of the process all shares are dropped: the other hosts have divided
    the rates among themselves in the meantime.
    """
    was_paused = not is_current(board.view, read_clock(), board.report_interval_s())
    board.set_view(build_zone_view(board))
    if was_paused and board.zone_quotas:
        board.log_change("homes-dropped", cause="pause", homes=len(board.zone_quotas))
        board.zone_quotas.clear()
    host = board.settings.host
    for name in [name for name in board.zone_quotas if board.find_owner(name) != host]:
        del board.zone_quotas[name]
    refill_quotas(board)


def build_zone_view(board):
    """Return a new view of this zone from the reports of its hosts."""
    near = board.ensure_directory().near
    now, interval_s = read_clock(), board.report_interval_s()
    single = make_single_host_view(board)
    own_view = ZoneView() if board.leaving else single
    served = board.store_ok is True or any(
        peer.store_served and is_reporting(peer, now, interval_s) for peer in near
    )
    view = observe_zone(near, own_view, now, interval_s, served)
    view.is_complete = board.hosts_listed.is_set()
    if not view.ready:
        # A leaving host stays an owner while no other host of its zone is ready.
        view.ready = single.ready
    return view


def make_single_host_view(board):
    """Return the view of a zone that has this host only."""
    names = (board.settings.host,)
    return ZoneView(live=names, ready=names if board.configuration else ())


def choose_remote_hosts(board):
    """Return a random host of each other zone, to spread changes between zones."""
    zones = board.ensure_directory().zones.values()
    return [board.random.choice(peers) for peers in zones]


def choose_receivers(board, is_due, to_remote):
    """Return the hosts that get a report: those of the zone, and some of other zones.

    A random host of each other zone gets it if ``to_remote``. While the store does not
    have this host's entry, its replicas get it too: after a change (``is_due``) and
    whenever a random host does.
    """
    directory = board.ensure_directory()
    receivers = list(directory.near)
    if to_remote:
        receivers += choose_remote_hosts(board)
    if board.counter_stored < board.counter and (is_due or to_remote):
        replicas = choose_replicas(board.settings.host, directory.zones)
        receivers += [peer for peer in replicas if peer not in receivers]
    return receivers


def send_report(board, number, is_due, to_remote):
    """Send a report to the hosts of the zone and to some of other zones.

    It is full after a change (``is_due``) and if it goes to other zones: a host there
    gets reports too seldom to have the entry that a short one refers to.
    """
    is_full = is_due or to_remote
    report = make_report(board, number)
    data = encode_datagram(REPORT, encode_report(report, is_short=not is_full))
    for peer in choose_receivers(board, is_due, to_remote):
        send_datagram(board, data, peer)


def choose_report_interval_s(board):
    """Return the time until this host's next report, in seconds."""
    if board.store_ok is None:
        return board.report_interval_s()
    return min(board.report_interval_s(), board.follower_interval_s())


async def send_reports(board):
    """Receive datagrams, and send reports at intervals and after changes."""
    loop = asyncio.get_running_loop()
    settings = board.settings
    transport, _ = await loop.create_datagram_endpoint(
        lambda: DatagramProtocol(board, HANDLERS),
        local_addr=(settings.address, settings.report_port),
    )
    board.datagrams = transport
    number, is_due, last_sent = 0, True, None
    try:
        while True:
            number += 1
            remove_departed_hosts(board)
            update_zone_view(board)
            is_periodic = number % FULL_REPORT_EVERY == 0
            is_changed = board.configuration is not last_sent
            to_remote = is_periodic or is_changed
            send_report(board, number, is_due, to_remote)
            last_sent = board.configuration
            await anyio.sleep(REPORT_GAP_S)
            pause_s = choose_report_interval_s(board)
            pause_s *= 0.9 + 0.2 * board.random.random()
            with anyio.move_on_after(pause_s - REPORT_GAP_S):
                await board.report_due.wait()
            is_due = board.report_due.is_set()
            board.report_due = anyio.Event()
    finally:
        board.datagrams = None
        transport.close()
