"""What a daemon knows of the other hosts' use of a rate."""

import time
import unittest

from egretlift.membership.peers import learn_report, learn_stored
from egretlift.membership.tests.test_peers import make_entry, make_report
from egretlift.platform import requests as dialect
from egretlift.platform.bootfile import decode_settings
from egretlift.platform.tests.test_decoding import SETTINGS
from egretlift.quotas.demand import RateBucket
from egretlift.serving.routes import Organisation
from egretlift.sidecar.board import OTHERS_AGE_S, Board

ORGANISATION = Organisation("n", ("k",), 1, 60, 60)


def make_board():
    """Return a board that hears host b and has heard nothing of host c."""
    board = Board(decode_settings(SETTINGS), dialect, None)
    now = time.monotonic()
    learn_report(board.peers, make_report(host="b"), now)
    quiet = make_entry(host="c", address="10.0.0.3")
    learn_stored(board.peers, quiet, 5, now, board.report_interval_s())
    return board


class TestOthers(unittest.TestCase):
    """Hosts that are heard, and hosts that are not."""

    def test_heard_and_silent_hosts(self):
        """Guards against a silent host whose part others use."""
        others = make_board().find_others("n")
        self.assertEqual(others.heard, [(2.0, 3.0)])
        self.assertEqual(others.unheard, [1 / 3])

    def test_hosts_that_fall_silent(self):
        """Guards against parts that are noted for the wrong host after a silence."""
        board = make_board()
        bucket = RateBucket(time.monotonic())
        board.demand_before = 0.0
        board.note_parts(ORGANISATION, bucket)
        noted = board.peers["b"].parts["n"]
        self.assertGreater(noted, 0.3)
        board.peers["b"].heard_at -= 10.0
        board.note_parts(ORGANISATION, bucket)
        self.assertEqual(board.peers["b"].parts["n"], noted)
        others, heard = board.look_up_others("n", time.monotonic())
        self.assertEqual((others.heard, heard), ([], []))
        self.assertEqual(sorted(others.unheard), sorted([noted, 1 / 3]))

    def test_age_of_what_is_known(self):
        """Guards against parts of a rate from a time before the last reports."""
        board = make_board()
        board.find_others("n")
        further = make_report(2, host="d", address="10.0.0.4")
        learn_report(board.peers, further, time.monotonic())
        time.sleep(1.2 * OTHERS_AGE_S)
        self.assertEqual(len(board.find_others("n").heard), 2)


if __name__ == "__main__":
    unittest.main()
