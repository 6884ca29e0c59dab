"""Tests of the admission queue."""

import unittest
from collections import Counter

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from nose2.tools import params

from egretlift.admission import (
    AdmissionState,
    Load,
    QueuedCall,
    cancel_call,
    format_load,
    parse_load,
    refuse_expired,
    release_slot,
    report_load,
    request_slot,
)
from egretlift.admission.tests.simulation import Upstream
from egretlift.outcome import Outcome, Priority
from egretlift.settings import Settings

CRITICAL, INTERACTIVE, BACKGROUND = Priority


def make_full_state(policy="adaptive", limit=1, **values):
    """Return settings, a state with all slots in use, and its INTERACTIVE calls."""
    values |= {"limit_initial": limit, "limit_minimum": 1, "admission_policy": policy}
    settings = Settings(values)
    state = AdmissionState(settings)
    running = [QueuedCall(str(n), "z", INTERACTIVE, 1, 0.0, 9.0) for n in range(limit)]
    for queued in running:
        request_slot(state, settings, 0.0, queued)
    return settings, state, running


def request_slots(state, settings, text, now=0.0, deadline=9.0):
    """Request a slot for each word such as ``Ca1`` and return the decisions.

    The first letter of a word stands for the priority, the second is the
    organisation; the word is the call id.
    """
    decisions = []
    for word in text.split():
        priority = {"C": CRITICAL, "I": INTERACTIVE, "B": BACKGROUND}[word[0]]
        queued = QueuedCall(word, word[1], priority, 1, now, deadline)
        decisions += request_slot(state, settings, now, queued)
    return [(d.call.call_id, d.started, d.reason) for d in decisions]


def finish_calls(state, settings, running, count, now=0.05):
    """Finish calls one by one and return the ids of those that start, in order."""
    running, order = list(running), []
    for _ in range(count):
        queued = running.pop(0)
        for decision in release_slot(state, settings, now, queued, 0.01, None):
            if decision.started:
                running.append(decision.call)
                order.append(decision.call.call_id)
    return order


class TestOrder(unittest.TestCase):
    """Guards against calls that overtake those of higher priority or lower usage."""

    @params(
        ("Ba1 Ia1 Ca1", ["Ca1", "Ba1", "Ia1"]),
        ("Ia1 Ia2 Ia3 Ib1", ["Ia1", "Ib1", "Ia2", "Ia3"]),
        ("Ca1 Ca2 Cb1 Ia1", ["Ca1", "Cb1", "Ca2", "Ia1"]),
    )
    def test_order(self, text, order):
        settings, state, running = make_full_state()
        request_slots(state, settings, text)
        self.assertEqual(finish_calls(state, settings, running, len(order)), order)

    def test_fixed_policy_is_in_order_of_arrival(self):
        settings, state, running = make_full_state("fixed")
        request_slots(state, settings, "Ba1 Ia1 Ca1")
        order = finish_calls(state, settings, running, 3)
        self.assertEqual(order, ["Ba1", "Ia1", "Ca1"])

    def test_none_policy_starts_everything(self):
        settings, state, _ = make_full_state("none")
        request_slots(state, settings, "Ia1 Ia2")
        self.assertEqual((report_load(state).in_flight, state.queued), (3, 0))

    def test_weights(self):
        settings, state, running = make_full_state()
        for _ in range(12):
            for name, weight in (("a", 3), ("b", 1)):
                queued = QueuedCall(name, name, CRITICAL, weight, 0.0, 9.0)
                request_slot(state, settings, 0.0, queued)
        order = finish_calls(state, settings, running, 12)
        self.assertEqual(Counter(order), {"a": 9, "b": 3})


class TestFullQueue(unittest.TestCase):
    """Guards against eviction of the wrong calls from a full queue."""

    @params(
        ("Ia1 Ia2", "Ca1", "Ia2"),
        ("Ia1 Ba1 Ba2", "Ia2", "Ba2"),
        ("Ba1 Ia1", "Ca1", "Ia1"),
        ("Ba1 Ba2", "Ca1", "Ba2"),
        ("Ca1 Ca2", "Ia1", "Ia1"),
        ("Ia1 Ia2 Ia3", "Ib1", "Ia3"),
        ("Ia1 Ib1", "Ic1", "Ic1"),
        ("Ia1 Ia2", "Ba1", "Ia2"),
    )
    def test_eviction(self, waiting, arriving, refused):
        settings, state, _ = make_full_state(queue_length=len(waiting.split()))
        self.assertEqual(request_slots(state, settings, waiting), [])
        decisions = request_slots(state, settings, arriving)
        self.assertEqual(decisions, [(refused, False, "overload")])
        self.assertGreater(report_load(state).shed_level, 0)

    def test_cancel_and_expire(self):
        settings, state, _ = make_full_state()
        request_slots(state, settings, "Ia1 Ca1", deadline=0.2)
        cancelled = next(iter(state.queues[INTERACTIVE].calls))
        self.assertEqual(cancel_call(state, settings, 0.1, cancelled), [])
        (late,) = refuse_expired(state, settings, 0.3)
        self.assertEqual((late.call.call_id, late.reason), ("Ca1", "deadline"))
        self.assertEqual(state.queued, 0)


class TestShares(unittest.TestCase):
    """Guards against a priority or organisation that gets less than its share."""

    def test_critical_reserve(self):
        settings, state, _ = make_full_state(limit=10)
        state = AdmissionState(settings)
        request_slots(state, settings, "Ca1 " + "Ia1 " * 12)
        self.assertEqual(
            (state.in_flight, state.in_flight_by_priority[INTERACTIVE]), (9, 8)
        )
        self.assertEqual(request_slots(state, settings, "Cb1")[0][1], True)

    def test_classes_and_freshness(self):
        mix = (
            [(INTERACTIVE, None, "a")] * 16
            + [(INTERACTIVE, None, "b")] * 2
            + [(CRITICAL, None, "b")]
        )
        mix.append((BACKGROUND, None, "b"))
        upstream = Upstream(Settings(), 20, lambda now, kind, random: 0.05)
        upstream.add_load(0, 10, 4000, mix=mix)
        upstream.run(10)
        # 200 CRITICAL calls per second, half of the capacity, are all served.
        refused = [w for _, w, _ in upstream.refused if w.priority == CRITICAL]
        self.assertEqual(refused, [])
        background = upstream.goodput(2, 10, lambda w: w.priority == BACKGROUND)
        self.assertGreaterEqual(background, 0.08 * 400)
        rates = [
            upstream.goodput(2, 10, lambda w, o=o: (w.priority, w.organisation) == o)
            for o in ((INTERACTIVE, "a"), (INTERACTIVE, "b"))
        ]
        self.assertAlmostEqual(rates[0] / rates[1], 1, delta=0.1)
        for _, queued in upstream.finished:
            if queued.priority == INTERACTIVE and queued.queued_at > 1:
                self.assertLess(queued.started_at - queued.queued_at, 0.15)


class TestLoad(unittest.TestCase):
    """Guards against a malformed header value that is accepted as a load."""

    @params(None, "", "1 2 3", "1 2 3 4", "1 0 3 1", "1 -2 3 1", "١ 2 3 1", "1" * 99)
    def test_malformed(self, text):
        self.assertIsNone(parse_load(text))

    def test_round_trip(self):
        text = format_load(Load(1, 2, 3, 0))
        self.assertEqual(format_load(parse_load(text)), text)


class AdmissionMachine(RuleBasedStateMachine):
    """Any sequence of requests, releases, cancellations and pauses."""

    def __init__(self):
        super().__init__()
        self.settings = Settings(
            {"limit_initial": 5, "limit_minimum": 2, "queue_length": 6}
        )
        self.state = AdmissionState(self.settings)
        self.now = 0.0
        self.running, self.waiting = [], []
        self.last_start = -1.0

    def apply(self, decisions):
        for decision in decisions:
            call = decision.call
            # One decision for each call: more would run it or free its slot twice.
            self.waiting.remove(call)
            if decision.started:
                self.running.append(call)
                if call.priority != CRITICAL:
                    self.last_start = self.now
                    assert all(w.priority != CRITICAL for w in self.waiting), (
                        "overtaken"
                    )
            elif call.priority == CRITICAL and decision.reason == "overload":
                assert all(w.priority == CRITICAL for w in self.waiting), "shed first"

    @rule(
        priority=st.sampled_from(Priority),
        organisation=st.sampled_from("abc"),
        timeout_s=st.sampled_from((0.05, 0.5, 5.0)),
    )
    def request(self, priority, organisation, timeout_s):
        deadline = self.now + timeout_s
        call = QueuedCall("c", organisation, priority, 1, self.now, deadline)
        self.waiting.append(call)
        self.apply(request_slot(self.state, self.settings, self.now, call))

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 99), outcome=st.sampled_from((*Outcome, None)))
    def release(self, index, outcome):
        call = self.running.pop(index % len(self.running))
        duration_s = self.now - call.started_at
        self.apply(
            release_slot(self.state, self.settings, self.now, call, duration_s, outcome)
        )

    @precondition(lambda self: self.waiting)
    @rule(index=st.integers(0, 99))
    def cancel(self, index):
        call = self.waiting.pop(index % len(self.waiting))
        self.apply(cancel_call(self.state, self.settings, self.now, call))

    @rule(pause_s=st.sampled_from((0.001, 0.02, 0.3)))
    def expire(self, pause_s):
        self.now += pause_s
        self.apply(refuse_expired(self.state, self.settings, self.now))

    @invariant()
    def counts_agree(self):
        assert self.state.in_flight == len(self.running)
        assert self.state.queued == len(self.waiting) <= self.settings.queue_length
        assert sum(len(q.calls) for q in self.state.queues) == self.state.queued
        # A free slot while calls wait would leave the upstream idle.
        if self.waiting and any(w.priority == CRITICAL for w in self.waiting):
            assert self.state.in_flight >= int(self.state.limit.ceiling)


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = hypothesis_settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=60
)
