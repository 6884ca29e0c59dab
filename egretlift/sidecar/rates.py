"""Exchange of rate usage between the owners of rates in different zones."""

import anyio

from egretlift.clock import read_clock
from egretlift.documents import is_number, is_text
from egretlift.errors import ObjectInvalid
from egretlift.quotas.home import (
    make_zone_report,
    record_zone_report,
    refill_zone_quota,
)
from egretlift.sidecar.datagrams import RATES, encode_datagram, send_datagram

INTERVAL_S = 1.0
# More organisations would not fit into one packet.
ORGANISATIONS_PER_DATAGRAM = 40
# Zone, sender, whether it was forwarded, and usage.
USAGE_FIELDS = 4
REMEDY = "send a zone, its home, whether it was forwarded, and usage by organisation"


async def send_rates(board):
    """Send the usage of the rates whose owner this host is to the other zones."""
    while True:
        await anyio.sleep(INTERVAL_S * (0.9 + 0.2 * board.random.random()))
        usage = measure_usage(board)
        if not usage:
            continue
        origin = (board.settings.zone, board.settings.host)
        for peers in board.ensure_directory().zones.values():
            send_usage(board, board.random.choice(peers), origin, usage)


def list_owned_organisations(board):
    """Return the organisations with a rate whose owner in this zone is this host."""
    configuration = board.configuration
    if configuration is None:
        return []
    host = board.settings.host
    return [
        organisation
        for organisation in configuration.organisations.values()
        if organisation.rate and board.find_owner(organisation.name) == host
    ]


def refill_quota(board, organisation):
    """Return the zone's share of a rate that this host owns, refilled up to now."""
    quota = board.ensure_zone_quota(organisation.name)
    sizes, now = board.count_zone_hosts(), read_clock()
    refill_zone_quota(
        quota, organisation, sizes, board.view, now, board.settings.bounds
    )
    return quota


def refill_quotas(board):
    """Refill the zone's share of each rate whose owner this host is."""
    for organisation in list_owned_organisations(board):
        refill_quota(board, organisation)


def measure_usage(board):
    """Return (demand, tokens) by name of the organisations whose owner this host is."""
    usage = {}
    sizes = board.count_zone_hosts()
    for organisation in list_owned_organisations(board):
        quota = refill_quota(board, organisation)
        zone_usage = make_zone_report(
            quota, organisation, sizes, board.view, read_clock()
        )
        usage[organisation.name] = zone_usage
    return usage


def send_usage(board, peer, origin, usage, is_forwarded=False):
    """Send the usage of a zone to a host, which forwards it to the owners of its zone.

    ``origin`` is (zone, host) of the sender; a forwarded datagram keeps it.
    """
    items = list(usage.items())
    for start in range(0, len(items), ORGANISATIONS_PER_DATAGRAM):
        part = dict(items[start : start + ORGANISATIONS_PER_DATAGRAM])
        send_datagram(
            board, encode_datagram(RATES, [*origin, is_forwarded, part]), peer
        )


def receive_usage(board, values):
    """Record the usage of another zone, and forward it to other owners in this zone.

    Usage that was forwarded already is not forwarded again.

    Raises
    ------
    ObjectInvalid
        ``values`` is malformed.
    """
    zone, sender, is_forwarded, usage = decode_usage(values)
    if zone == board.settings.zone or board.configuration is None:
        return
    by_owner = {}
    now = read_clock()
    for name, (demand, tokens) in usage.items():
        host = board.find_owner(name)
        if host == board.settings.host:
            if name in board.configuration.organisations:
                record_zone_report(
                    board.ensure_zone_quota(name), zone, sender, demand, tokens, now
                )
        elif host in board.peers and not is_forwarded:
            by_owner.setdefault(host, {})[name] = (demand, tokens)
    for host, found in by_owner.items():
        send_usage(board, board.peers[host], (zone, sender), found, is_forwarded=True)


def decode_usage(values):
    """Return (zone, owner, whether it was forwarded, usage) from a decoded datagram.

    Values that are no numbers, or negative, count as 0, and organisations without a
    valid name or without two values are left out.

    Raises
    ------
    ObjectInvalid
    """
    if len(values) != USAGE_FIELDS:
        raise ObjectInvalid(f"rates: {values!r:.200}", REMEDY)
    zone, sender, is_forwarded, usage = values
    if not is_text(zone) or not is_text(sender) or not isinstance(is_forwarded, bool):
        raise ObjectInvalid(f"rates: zone is {zone!r:.100}", REMEDY)
    if not isinstance(usage, dict):
        raise ObjectInvalid(f"rates: usage is {usage!r:.100}", REMEDY)
    used = {
        name: tuple(value if is_number(value, 0) else 0.0 for value in pair)
        for name, pair in usage.items()
        if is_text(name) and isinstance(pair, list) and len(pair) == 2
    }
    return zone, sender, is_forwarded, used
