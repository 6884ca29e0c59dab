"""Tests of the ages of claims and their removal in batches."""

import random
import unittest

from nose2.tools import params

from egretlift import idempotency as ip
from egretlift.settings import Settings

SETTINGS = Settings({"claim_retention_s": 480.0, "identifier_lifetime_s": 5.0})


def simulate(seed, restart_share, clock_rate, length_s=3000):
    """Return the ages of claims at removal, and the claims that are left.

    In each second, with probability ``restart_share``, a new remover takes over, whose
    monotonic clock has a different zero. A claim is created every 3 s.
    """
    draw = random.Random(seed)
    index, batches, claims, state = None, {}, {}, None
    ages = []
    for now in range(length_s):
        if now % 3 == 0 and now < length_s / 2:
            claims[f"c{now}"] = (now + 1, now)
        if state is None or draw.random() < restart_share:
            offset = draw.uniform(0, 1e6)
            clock = offset + now * clock_rate
            state = ip.restore_state(clock, *index) if index else ip.RemovalState(clock)
        clock = offset + now * clock_rate
        found = [
            {"name": name, "revision": revision}
            for name, (revision, _) in claims.items()
            if revision > state.read_revision
        ]
        ip.collect_claims(state, clock, now + 1, found)
        closed = ip.make_batch(state, SETTINGS, clock)
        if closed:
            batch, names = closed
            batches[batch.name] = names
            index = (now, ip.make_index_spec(state, SETTINGS, clock, batch))
            ip.record_batch(state, clock, now, batch, names)
        due = ip.find_due_batch(state, SETTINGS, clock)
        if due:
            ages.extend(now - claims.pop(name)[1] for name, _ in batches[due.name])
            state.batches.remove(due)
        if due or ip.is_index_due(state, SETTINGS, clock):
            index = (now, ip.make_index_spec(state, SETTINGS, clock))
            ip.record_index(state, clock, now)
    return ages, claims


class TestRemoval(unittest.TestCase):
    """Guards against claims removed before their retention ends, or never."""

    @params((1, 0.0, 1.0), (2, 0.005, 1.01), (3, 0.005, 0.99), (4, 0.02, 1.01))
    def test_ages(self, seed, restart_share, clock_rate):
        ages, left = simulate(seed, restart_share, clock_rate)
        self.assertGreaterEqual(min(ages), SETTINGS.claim_retention_s)
        self.assertEqual({}, left)
        if not restart_share:
            self.assertLess(max(ages), 1.05 * SETTINGS.claim_retention_s)

    def test_batches_are_bounded(self):
        """Guards against a batch above the platform's size limit of a value."""
        state = ip.RemovalState(0.0)
        claims = [{"name": "f" * 64, "revision": n} for n in range(1, 9001)]
        ip.collect_claims(state, 0.0, 9000, claims)
        batch, names = ip.make_batch(state, SETTINGS, 0.0)
        self.assertLess(len(str(names)), 1_000_000)
        ip.record_batch(state, 0.0, 1, batch, names)
        self.assertEqual((8000, 1000), (state.after, len(state.collected)))
        self.assertIsNone(ip.make_batch(state, SETTINGS, 1.0))
