"""Tests of load balancing by the power of two choices."""

import random
import unittest
from collections import Counter
from types import SimpleNamespace

from nose2.tools import params

from egretlift.outcome import Outcome
from egretlift.routing import (
    HostRecords,
    choose_host,
    finish_call,
    rank_hosts,
    record_answer,
    record_refused_connection,
    retain_hosts,
    start_call,
)
from egretlift.settings import Settings

SETTINGS = Settings()


def make_members(text):
    """Return members from words such as ``a1`` (zone a, alive) or ``a2:dead``."""
    found = []
    for word in text.split():
        host, _, status = word.partition(":")
        found.append(SimpleNamespace(host=host, zone=host[0], status=status or "alive"))
    return found


def make_load(in_flight, limit=60, queued=0):
    return SimpleNamespace(in_flight=in_flight, limit=limit, queued=queued)


def answer(records, host, now, load=None, outcome=Outcome.WHOLE, duration_s=0.05):
    record_answer(records, host, SETTINGS, now, outcome, duration_s, load)


def count_choices(records, table, now=0.0, zone="a", number=400):
    source = random.Random(1)
    return Counter(
        choice and choice.host
        for choice in (
            choose_host(records, table, SETTINGS, now, source, zone)
            for _ in range(number)
        )
    )


class TestChoice(unittest.TestCase):
    """Guards against calls to hosts that are unavailable or more loaded than others."""

    @params(
        ("a1 a2 b1", {"a1", "a2"}),
        ("a1:draining a2 b1", {"a2"}),
        ("a1:dead a2:left b1 b2", {"b1", "b2"}),
        ("a1:suspect b1", {"b1"}),
        ("a1:suspect b1:dead", {"a1"}),
        ("a1:draining", {None}),
        ("", {None}),
    )
    def test_status_and_zone(self, text, chosen):
        self.assertEqual(set(count_choices(HostRecords(), make_members(text))), chosen)

    @params((30, 5, 0), (59, 58, 0), (60, 10, 400), (55, 40, 0))
    def test_other_zone_when_clearly_less_loaded(self, near, far, elsewhere):
        records = HostRecords()
        answer(records, "a1", 0.0, make_load(near))
        answer(records, "b1", 0.0, make_load(far))
        choices = count_choices(records, make_members("a1 b1"))
        self.assertEqual(choices["b1"], elsewhere)

    def test_reported_load_ages_out(self):
        records, table = HostRecords(), make_members("a1 b1")
        answer(records, "a1", 0.0, make_load(60, queued=100))
        self.assertEqual(set(count_choices(records, table, 0.1)), {"b1"})
        self.assertEqual(set(count_choices(records, table, 3.0)), {"a1"})

    def test_own_calls_spread_before_reports(self):
        # Calls sent before the first reported load must not all go to one host.
        records, table = HostRecords(), make_members("a1 a2 a3")
        source = random.Random(2)
        for _ in range(90):
            chosen = choose_host(records, table, SETTINGS, 0.0, source, "a")
            start_call(records, chosen.host)
        counts = [records.hosts[host].outstanding for host in ("a1", "a2", "a3")]
        self.assertLess(max(counts) - min(counts), 6)

    @params((Outcome.WHOLE, 0.5), (Outcome.FAILED_WAS_RUN, 0.001))
    def test_slow_or_failing_host_is_less_likely(self, outcome, duration_s):
        # A host that fails fast reports a low load and would attract all calls.
        records, table = HostRecords(), make_members("a1 a2 a3")
        for n in range(30):
            for host in ("a2", "a3"):
                answer(records, host, n / 100, make_load(10))
            answer(records, "a1", n / 100, make_load(5), outcome, duration_s)
        self.assertLess(count_choices(records, table, 0.3)["a1"], 40)
        self.assertGreater(count_choices(records, table, 20.0)["a1"], 80)


class TestEjection(unittest.TestCase):
    """Guards against calls to an unreachable host and against its lasting exclusion."""

    def test_refused_connection(self):
        records, table = HostRecords(), make_members("a1 a2")
        record_refused_connection(records, "a1", SETTINGS, 0.0)
        self.assertEqual(set(count_choices(records, table, 0.9)), {"a2"})
        self.assertEqual(set(count_choices(records, table, 1.1)), {"a1", "a2"})
        record_refused_connection(records, "a2", SETTINGS, 1.1)
        record_refused_connection(records, "a1", SETTINGS, 1.1)
        self.assertEqual(set(count_choices(records, table, 1.2)), {"a1", "a2"})
        answer(records, "a1", 1.2, make_load(1))
        self.assertEqual(set(count_choices(records, table, 1.3)), {"a1"})

    def test_ranks_for_a_critical_call(self):
        table = make_members("a1 a2 b1 b2 b3 c1:dead")
        source = random.Random(3)
        ranked = rank_hosts(HostRecords(), table, SETTINGS, 0.0, source, "a", 4, ["b1"])
        hosts = [member.host for member in ranked]
        self.assertEqual(set(hosts), {"a1", "a2", "b2", "b3"})
        self.assertEqual(set(hosts[:2]), {"a1", "a2"})

    def test_forgotten_hosts(self):
        # Hosts are replaced thousands of times a day; their records must not pile up.
        records = HostRecords()
        for host in ("a1", "a2", "a3"):
            start_call(records, host)
        finish_call(records, "a3")
        retain_hosts(records, ["a1"])
        self.assertEqual(set(records.hosts), {"a1", "a2"})
