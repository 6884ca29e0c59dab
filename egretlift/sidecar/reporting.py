"""Reports of load and of the version in force, to the zone and a few hosts besides."""

import asyncio

import anyio

from egretlift.clock import read_clock
from egretlift.membership.peers import (
    Report,
    decode_report,
    encode_report,
    is_heard,
    learn_report,
)
from egretlift.membership.zone import ZoneView, is_current, observe_zone
from egretlift.sidecar.datagrams import (
    HOSTS,
    RATES,
    REPORT,
    DatagramProtocol,
    encode_datagram,
    send_datagram,
)
from egretlift.sidecar.rates import receive_usage, refill_homes
from egretlift.sidecar.watching import receive_entries, remove_departed_hosts

# Changes are reported at once, but no more often than this.
REPORT_GAP_S = 0.03
# Every so many reports one carries the whole entry, for hosts that missed a change.
FULL_REPORT_EVERY = 4


def receive_report(board, values):
    """Use what another daemon reports."""
    report = decode_report(values)
    host = report.host
    if host == board.settings.host:
        return
    now = read_clock()
    before = board.peers.get(host)
    previous = before and before.entry
    if not learn_report(board.peers, report, now):
        return
    if report.entry is not None:
        board.refresh_directory(previous, report.entry)
    if before is None:
        board.log_change("host-learned", peer=host, source="report")
        board.report_due.set()
    if report.version > board.read_version():
        board.fetch_sources.add(host)
        board.fetch_due.set()


HANDLERS = {REPORT: receive_report, RATES: receive_usage, HOSTS: receive_entries}


def make_report(board, number):
    """Return the report of this daemon."""
    return Report(
        board.make_entry(),
        number,
        board.read_version(),
        board.measure_load(),
        board.store_ok,
    )


def update_zone_view(board):
    """Make a new view of this zone, and give up the rates that others hold now.

    What a process held before a pause it holds no longer: the others have divided it.
    """
    was_paused = not is_current(board.view, read_clock(), board.report_interval_s())
    board.set_view(build_zone_view(board))
    if was_paused and board.homes:
        board.log_change("homes-dropped", cause="pause", homes=len(board.homes))
        board.homes.clear()
    host = board.settings.host
    for name in [name for name in board.homes if board.find_home(name) != host]:
        del board.homes[name]
    refill_homes(board)


def build_zone_view(board):
    """Return what this host sees of its zone."""
    near = board.find_directory().near
    now, interval_s = read_clock(), board.report_interval_s()
    single = make_single_host_view(board)
    own_view = ZoneView() if board.leaving else single
    served = board.store_ok is True or any(
        peer.store_served and is_heard(peer, now, interval_s) for peer in near
    )
    view = observe_zone(near, own_view, now, interval_s, served)
    if not view.ready:
        # A host that leaves and is the last one keeps the zone's duties.
        view.ready = single.ready
    return view


def make_single_host_view(board):
    """Return the view of a zone that has this host alone."""
    names = (board.settings.host,)
    return ZoneView(live=names, ready=names if board.configuration else ())


def choose_remote_hosts(board):
    """Return one host of each other zone, so that news crosses zones in any case."""
    zones = board.find_directory().zones.values()
    return [board.random.choice(peers) for peers in zones]


def send_report(board, number, is_full, to_remote):
    """Send a report to the hosts of the zone, and to one of each other zone.

    Those of other zones hear of this host too seldom for a short report.
    """
    report = make_report(board, number)
    data = encode_datagram(REPORT, encode_report(report, is_short=not is_full))
    for peer in [
        *board.find_directory().near,
        *(choose_remote_hosts(board) if to_remote else ()),
    ]:
        send_datagram(board, data, peer)


async def send_reports(board):
    """Send reports at intervals, and at once after a change."""
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
            send_report(board, number, is_due or to_remote, to_remote)
            last_sent = board.configuration
            await anyio.sleep(REPORT_GAP_S)
            pause_s = board.report_interval_s() * (0.9 + 0.2 * board.random.random())
            with anyio.move_on_after(pause_s - REPORT_GAP_S):
                await board.report_due.wait()
            is_due = board.report_due.is_set()
            board.report_due = anyio.Event()
    finally:
        board.datagrams = None
        transport.close()
