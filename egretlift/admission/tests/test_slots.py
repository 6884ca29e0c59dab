"""Tests of the slots of an upstream: order, early refusal and overload."""

import random
import unittest

from egretlift.admission import slots as admission


def make_request(rank=0, kind="k", deadline=10.0, notifications=None, origin_at=0.0):
    """Return a request that appends the reason to ``notifications`` when notified."""
    notifications = [] if notifications is None else notifications
    return admission.SlotRequest(rank, origin_at, kind, deadline, notifications.append)


def record_notification(order, request):
    """Return a function for `SlotRequest.notify` that appends to ``order``."""
    return lambda reason: order.append(request)


class TestSlots(unittest.TestCase):
    """Decisions on single calls."""

    def test_order_of_waiting_calls(self):
        """Guards against a call that starts before a waiting one of higher priority."""
        for ranks, expected in (((2, 0, 1), [0, 1, 2]), ((1, 1, 0), [0, 1, 1])):
            with self.subTest(ranks=ranks):
                slots = admission.Slots(limit=1)
                first = make_request()
                admission.request_slot(slots, first, 0.0)
                waiting = [make_request(rank) for rank in ranks]
                order = []
                for request in waiting:
                    request.notify = record_notification(order, request)
                    self.assertIsNone(admission.request_slot(slots, request, 0.0))
                admission.release_slot(slots, first, 0.1, 0.1)
                while len(order) < len(ranks):
                    admission.release_slot(slots, order[-1], 0.1, 0.1)
                self.assertEqual([request.rank for request in order], expected)

    def test_refusal_without_enough_time(self):
        """Guards against calls that are queued although they cannot end in time."""
        for deadline, expected in ((0.15, admission.OVERLOAD), (0.5, None)):
            with self.subTest(deadline=deadline):
                slots = admission.Slots(limit=1)
                slots.duration_s = 0.1
                admission.request_slot(slots, make_request(), 0.0)
                reason = admission.request_slot(
                    slots, make_request(deadline=deadline), 0.0
                )
                self.assertEqual(reason, expected)

    def test_late_call_is_refused_when_its_turn_comes(self):
        """Guards against slots used by calls that are too late."""
        slots = admission.Slots(limit=1)
        slots.duration_s = 0.01
        first, notifications = make_request(), []
        admission.request_slot(slots, first, 0.0)
        admission.request_slot(
            slots, make_request(deadline=0.5, notifications=notifications), 0.0
        )
        admission.release_slot(slots, first, 0.6, None)
        self.assertEqual(notifications, [admission.DEADLINE])
        self.assertEqual(slots.running, 0)

    def test_abandoned_calls_leave_nothing(self):
        """Guards against slots that are not released after a caller has left."""
        slots = admission.Slots(limit=1)
        first, second = make_request(), make_request()
        admission.request_slot(slots, first, 0.0)
        admission.request_slot(slots, second, 0.0)
        admission.withdraw_request(slots, second, 0.0)
        admission.withdraw_request(slots, first, 0.0)
        admission.withdraw_request(slots, first, 0.0)
        self.assertEqual((slots.running, len(slots.waiting)), (0, 0))

    def test_calls_refused_at_drain(self):
        """Guards against calls that reach an upstream after it has begun to drain."""
        slots = admission.Slots(limit=1)
        notifications = []
        admission.request_slot(slots, make_request(), 0.0)
        admission.request_slot(slots, make_request(notifications=notifications), 0.0)
        admission.refuse_waiting(slots, "draining")
        self.assertEqual(notifications, ["draining"])
        self.assertFalse(slots.waiting)


class TestLoad(unittest.TestCase):
    """A small service, as at the end of call chains, at twice its capacity."""

    def test_important_calls_under_double_load(self):
        """Guards against shedding high priorities and against starving low ones."""
        slots = admission.Slots(limit=16)
        source = random.Random(1)
        completions, served, requested, late = [], {0: 0, 2: 0}, {0: 0, 2: 0}, 0
        now, next_arrival = 0.0, 0.0

        def start(request):
            completions.append((now + source.expovariate(25.0), now, request))

        while now < 20.0:
            now += 0.001
            for item in [item for item in completions if item[0] <= now]:
                completions.remove(item)
                _, started, request = item
                served[request.rank] += 1
                late += now > request.deadline + 0.3
                admission.release_slot(slots, request, now, now - started)
            while next_arrival < now:
                next_arrival += source.expovariate(800.0)
                rank = source.choice((0, 2, 2))
                request = admission.SlotRequest(rank, now, "thumbs", now + 0.3, None)
                request.notify = lambda reason, t=request: reason or start(t)
                requested[rank] += 1
                refused = admission.request_slot(slots, request, now)
                if not refused and request.state == "running":
                    start(request)
        self.assertGreater(served[0] / requested[0], 0.97)
        self.assertGreater(served[2] / requested[2], 0.1)
        self.assertGreater(sum(served.values()), 0.95 * 16 * 25 * 20)
        self.assertLess(late, 0.02 * sum(served.values()))

    def test_requests_that_make_many_calls(self):
        """Guards against requests that fail late, after most of their calls have run.

        Load: 1.5 times the calls that a small service can run. Each request makes ten
        calls to it, one after the other, and fails at the first that is refused.
        """
        ended, capacity = simulate_chains(load=1.5, calls=10, seconds=20.0)
        self.assertGreater(ended, 0.9 * capacity)


def simulate_chains(load, calls, seconds):
    """Return how many requests succeed, and how many the capacity would allow.

    Calls take 20 ms on one of eight slots and have 0.5 s; a request whose call is
    refused makes no further ones. The requests arrive at ``load`` times the capacity.
    """
    source = random.Random(1)
    slots = admission.Slots(limit=8)
    slots.duration_s = 0.02
    per_s = 8 / 0.02 / calls
    now, next_arrival, succeeded = 0.0, 0.0, 0
    running = []

    def start_call(origin_at, left):
        def notify(reason):
            if reason is None:
                running.append((now + 0.02, request, left))

        request = admission.SlotRequest(2, origin_at, "r", now + 0.5, notify)
        refused = admission.request_slot(slots, request, now)
        if not refused and request.state == "running":
            notify(None)

    while now < seconds:
        now += 0.001
        while next_arrival < now:
            next_arrival += source.expovariate(load * per_s)
            start_call(now, calls)
        for item in [item for item in running if item[0] <= now]:
            running.remove(item)
            _, request, left = item
            admission.release_slot(slots, request, now, 0.02)
            if left == 1:
                succeeded += 1
            else:
                start_call(request.origin_at, left - 1)
    return succeeded, per_s * seconds


if __name__ == "__main__":
    unittest.main()
