"""Tests of the exchange of large catalogs."""

import unittest
from unittest import mock

import anyio
from nose2.tools import params

from egretlift.blackboard import Blackboard
from egretlift.configuration import decode_object, digest_catalog, merge_objects
from egretlift.daemon.gossip import answer_gossip, make_gossip, merge_exchange
from egretlift.settings import Settings

LARGEST_MESSAGE_BYTES = 2_000_000


def make_board(host, objects):
    """Return the blackboard of a daemon with the given catalog objects."""
    settings = Settings({"host": host, "zone": "a", "mesh_secret": "secret"})
    board = Blackboard(settings, 1)
    merge_objects(board.catalog, objects)
    return board


def make_objects(count, size):
    """Return profiles with revisions from 1, each of about ``size`` bytes."""
    spec = {"priority": "interactive", "note": "x" * size}
    return [
        decode_object({"kind": "profile", "name": f"p{n}", "revision": n, "spec": spec})
        for n in range(1, count + 1)
    ]


async def exchange_until_equal(asking, answering, limit):
    """Return after how many exchanges two catalogs are equal, None past the limit."""
    for number in range(1, limit + 1):
        reply = await answer_gossip(answering, make_gossip(asking))
        assert reply.ByteSize() < LARGEST_MESSAGE_BYTES
        merge_exchange(asking, reply)
        if digest_catalog(asking.catalog) == digest_catalog(answering.catalog):
            return number
    return None


class TestLargeCatalogs(unittest.TestCase):
    """Guards against a catalog larger than one message that is never sent whole."""

    @params((2500, 10, 0), (2500, 10, 1), (30, 200_000, 0), (30, 200_000, 1))
    def test_catalog_completes(self, count, size, newest):
        objects = make_objects(count, size)
        # A new daemon that first receives the newest change lacks all older objects.
        asking = make_board("h1", objects[len(objects) - newest :])
        answering = make_board("h2", objects)
        # Events recorded before logging starts would appear in the log of a later test.
        with (
            mock.patch("egretlift.daemon.watch.record_event"),
            mock.patch("egretlift.daemon.gossip.record_event"),
        ):
            found = anyio.run(exchange_until_equal, asking, answering, 60)
        self.assertIsNotNone(found)
