"""Requests that find no token of their organisation's rate on this host."""

import unittest
from unittest import mock

import anyio

from egretlift.clock import read_clock
from egretlift.membership.zone import ZoneView
from egretlift.quotas.purse import TOKEN_WAIT_S, WAITING_MINIMUM, LocalTokens
from egretlift.serving.routes import Configuration, Organisation
from egretlift.sidecar import tokens

ORGANISATION = Organisation("n", ("k",), 1, 100.0, 100.0)


class HostSettings:
    """Settings of the host, which owns the rate in its zone."""

    host = "h"


class Board:
    """A board with one organisation, whose rate this host owns."""

    def __init__(self):
        self.settings = HostSettings
        self.configuration = Configuration(1, [], [ORGANISATION], None, {})
        self.local = LocalTokens(read_clock())
        self.awaited_tokens = {}
        self.peers = {}
        self.view = ZoneView()
        self.refused = 0

    def ensure_local_tokens(self, name):
        """Return the tokens of the only organisation."""
        return self.local

    def find_owner(self, name):
        """Return this host."""
        return self.settings.host

    def log_change(self, event, /, **fields):
        """Count the refusals."""
        self.refused += event == "rate-used-up"


async def take_tokens(requests, empty_s, batch, time_s):
    """Return (requests admitted, seconds of the slowest) of requests sent at once.

    The owner grants nothing for ``empty_s`` seconds, and ``batch`` tokens at a time
    afterwards. The requests have ``time_s`` seconds.
    """
    board, results = Board(), []
    began = read_clock()

    async def grant(board, organisation, counted, wanted, rank):
        return batch if read_clock() - began >= empty_s else 0

    async def ask():
        results.append(await tokens.take_token(board, "n", 2, began + time_s))

    with mock.patch.object(tokens, "grant_from_quota", grant):
        async with anyio.create_task_group() as group:
            for _ in range(requests):
                group.start_soon(ask)
    return sum(results), read_clock() - began


class TestWaiting(unittest.TestCase):
    """Who waits for a token, and how long."""

    def test_wait_for_tokens(self):
        """Guards against refusals within the rate for a short lack of tokens.

        Load: all hosts have restarted, and the owner of a rate has no token for a
        moment; or an organisation exceeds its rate, whose callers must not wait.
        """
        for name, requests, empty_s, batch, time_s, admitted, limit_s in (
            ("at once", 1, 0.0, 1, 6.0, 1, 0.1),
            ("a moment later", WAITING_MINIMUM, 0.2, 4, 6.0, WAITING_MINIMUM, 0.4),
            ("one after the other", WAITING_MINIMUM, 0.0, 1, 6.0, WAITING_MINIMUM, 0.6),
            ("never", 2, 9.0, 1, 6.0, 0, TOKEN_WAIT_S + 0.3),
            ("far more than the rate", 200, 0.2, 4, 6.0, WAITING_MINIMUM, 0.4),
            ("little time", 2, 0.3, 2, 0.8, 0, 0.25),
        ):
            with self.subTest(name):
                found, slowest_s = anyio.run(
                    take_tokens, requests, empty_s, batch, time_s
                )
                self.assertEqual(found, admitted)
                self.assertLess(slowest_s, limit_s)


if __name__ == "__main__":
    unittest.main()
