"""Datagrams between daemons: reports, usage of rates, host entries and suspects.

A datagram is a JSON list of its kind and a list of values, which depend on the kind.
"""

import asyncio
import json

from egretlift.documents import parse_document
from egretlift.errors import ObjectInvalid

REPORT = "report"
RATES = "rates"
HOSTS = "hosts"
SUSPECTS = "suspects"
REMEDY = "send a list of a known kind and its values"


def encode_datagram(kind, values):
    """Return a datagram as bytes.

    Examples
    --------
    >>> decode_datagram(encode_datagram("rates", ["z", 1, {}]))
    ('rates', ['z', 1, {}])
    """
    return json.dumps([kind, values], separators=(",", ":")).encode()


def decode_datagram(data):
    """Return (kind, values) of a datagram.

    Raises
    ------
    ObjectInvalid
        The data is no datagram of a known kind.
    """
    document = parse_document(data)
    if not isinstance(document, list) or len(document) != 2:
        raise ObjectInvalid(f"datagram: {document!r:.200}", REMEDY)
    kind, values = document
    if kind not in (REPORT, RATES, HOSTS, SUSPECTS) or not isinstance(values, list):
        raise ObjectInvalid(f"datagram: kind is {kind!r:.100}", REMEDY)
    return kind, values


class DatagramProtocol(asyncio.DatagramProtocol):
    """Receives the datagrams of other daemons.

    Parameters
    ----------
    board : Board
    handlers : dict of str to callable
        By kind; each takes the board and the values, and raises ``ObjectInvalid`` for
        malformed values.
    """

    __slots__ = ("board", "handlers")

    def __init__(self, board, handlers):
        self.board = board
        self.handlers = handlers

    def datagram_received(self, data, address):
        """Pass a datagram on to the handler of its kind."""
        try:
            kind, values = decode_datagram(data)
            self.handlers[kind](self.board, values)
        except ObjectInvalid as error:
            self.board.count("invalid_datagrams")
            self.board.log_change("datagram-invalid", sender=address, cause=str(error))

    def error_received(self, error):
        """Ignore unreachable ports: missing reports show that a host is down."""


def send_datagram(board, data, peer):
    """Send a datagram to another daemon, without a guarantee that it arrives."""
    if board.datagrams is None:
        return
    entry = peer.entry
    try:
        board.datagrams.sendto(data, (entry.address, entry.report_port))
    except ValueError:
        # uvloop raises it for an address of another family than the socket's.
        board.count("datagrams_unsent")
