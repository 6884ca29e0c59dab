"""Fetching newer configurations and lists of known hosts from other daemons."""

import anyio

from egretlift.clock import read_clock
from egretlift.errors import ObjectInvalid
from egretlift.sidecar.configurations import apply_configuration
from egretlift.sidecar.documents import read_document
from egretlift.sidecar.host_entries import receive_entries, record_hosts_listed
from egretlift.transport.exchange import ExchangeBroken, NotSent

CONFIGURATION_PATH = "/egretlift/in-force"
HOSTS_PATH = "/egretlift/hosts"
FETCH_TIMEOUT_S = 0.8
# Delay before a configuration is fetched from another zone, in seconds: hosts of this
# zone mostly have it by then.
OTHER_ZONES_DELAY_S = 0.25
# Pauses between fetches of all hosts: without a list so far, the first, and the others.
HOSTS_RETRY_S = 0.2
HOSTS_FIRST_S = 2.5
HOSTS_INTERVAL_S = 15.0


async def fetch_configuration(board):
    """Fetch a newer configuration from daemons that report one, first in this zone."""
    while True:
        await board.fetch_due.wait()
        board.fetch_due = anyio.Event()
        await fetch_from_sources(board, choose_sources(board, same_zone=True))
        remote = choose_sources(board, same_zone=False)
        if remote:
            await anyio.sleep(OTHER_ZONES_DELAY_S)
            await fetch_from_sources(board, choose_sources(board, same_zone=True))
            await fetch_from_sources(board, remote)
        # Hosts that reported a newer configuration meanwhile are asked next.
        if not board.fetch_due.is_set():
            board.fetch_sources.clear()


def choose_sources(board, same_zone):
    """Return the hosts with a newer configuration, in this zone or in all others."""
    version = board.read_version()
    found = [board.peers.get(host) for host in board.fetch_sources]
    return [
        peer
        for peer in found
        if peer is not None
        and peer.version > version
        and (peer.entry.zone == board.settings.zone) is same_zone
    ]


async def fetch_from_sources(board, sources):
    """Fetch the configuration from each host in turn that still has a newer one."""
    for peer in sources:
        if peer.version <= board.read_version():
            continue
        document = await fetch_document(board, peer, CONFIGURATION_PATH)
        if document and document.get("configuration"):
            apply_configuration(board, document["configuration"], peer.entry.host)


async def fetch_document(board, peer, path):
    """Return a document of another daemon, None if it cannot be fetched."""
    try:
        document = await read_document(board, peer, path, FETCH_TIMEOUT_S)
    except (NotSent, ExchangeBroken, TimeoutError, ObjectInvalid) as error:
        board.log_change("fetch-failed", peer=peer.entry.host, cause=repr(error))
        return None
    return document if isinstance(document, dict) else None


async def fetch_hosts(board):
    """Fetch the known hosts of another daemon at intervals.

    This makes up for forwarded entries that were lost, and replaces the store's list
    while the store is unavailable.
    """
    pause_s = HOSTS_FIRST_S
    started = read_clock()
    while True:
        if not board.hosts_listed.is_set():
            await anyio.sleep(HOSTS_RETRY_S)
        else:
            await anyio.sleep(pause_s * (0.5 + board.random.random()))
            if read_clock() - started > HOSTS_FIRST_S:
                pause_s = HOSTS_INTERVAL_S
        hosts = choose_host_sources(board)
        if hosts:
            await fetch_hosts_from(board, board.peers[board.random.choice(hosts)])


def choose_host_sources(board):
    """Return the hosts to ask for the known hosts, mostly those of this zone.

    The other daemons of the zone may all have started again and know as little as this
    one. A daemon without a list therefore asks those of other zones too.
    """
    hosts = [host for host in board.view.live if host in board.peers]
    if board.hosts_listed.is_set():
        return hosts
    near = {peer.entry.host for peer in board.ensure_directory().near}
    return hosts + [host for host in board.peers if host not in near]


async def fetch_hosts_from(board, peer):
    """Apply the host entries that another daemon knows.

    They count as the list of all hosts only if that daemon has read one.
    """
    document = await fetch_document(board, peer, HOSTS_PATH)
    if document is None:
        return
    try:
        receive_entries(board, [document.get("hosts")])
    except ObjectInvalid as error:
        board.log_change("hosts-invalid", peer=peer.entry.host, cause=str(error))
        return
    if document.get("complete") is True:
        record_hosts_listed(board, peer.entry.host)
