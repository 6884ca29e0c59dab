"""Slots of an upstream: order, early refusal and the load of a deep service."""

import random
import unittest

from egretlift.admission import slots as admission


def make_ticket(rank=0, kind="k", deadline=10.0, started=None):
    """Return a ticket that notes in ``started`` how it was notified."""
    notes = [] if started is None else started
    return admission.Ticket(rank, kind, deadline, notes.append)


def note_start(order, ticket):
    """Return a function that appends the ticket when it is notified."""
    return lambda reason: order.append(ticket)


class TestSlots(unittest.TestCase):
    """Decisions on single calls."""

    def test_order_of_waiting_calls(self):
        """Guards against browsing that starts before a waiting booking."""
        for ranks, expected in (((2, 0, 1), [0, 1, 2]), ((1, 1, 0), [0, 1, 1])):
            with self.subTest(ranks=ranks):
                slots = admission.Slots(limit=1)
                first = make_ticket()
                admission.enter(slots, first, 0.0)
                waiting = [make_ticket(rank) for rank in ranks]
                order = []
                for ticket in waiting:
                    ticket.notify = note_start(order, ticket)
                    self.assertIsNone(admission.enter(slots, ticket, 0.0))
                admission.release(slots, first, 0.1, 0.1)
                while len(order) < len(ranks):
                    admission.release(slots, order[-1], 0.1, 0.1)
                self.assertEqual([ticket.rank for ticket in order], expected)

    def test_refusal_without_enough_time(self):
        """Guards against calls that wait although they cannot end in time."""
        for deadline, expected in ((0.15, admission.OVERLOAD), (0.5, None)):
            with self.subTest(deadline=deadline):
                slots = admission.Slots(limit=1)
                slots.duration_s = 0.1
                admission.enter(slots, make_ticket(), 0.0)
                reason = admission.enter(slots, make_ticket(deadline=deadline), 0.0)
                self.assertEqual(reason, expected)

    def test_late_call_is_refused_when_its_turn_comes(self):
        """Guards against slots spent on calls that are too late."""
        slots = admission.Slots(limit=1)
        slots.duration_s = 0.01
        first, notes = make_ticket(), []
        admission.enter(slots, first, 0.0)
        admission.enter(slots, make_ticket(deadline=0.5, started=notes), 0.0)
        admission.release(slots, first, 0.6, None)
        self.assertEqual(notes, [admission.TOO_LATE])
        self.assertEqual(slots.running, 0)

    def test_abandoned_calls_leave_nothing(self):
        """Guards against slots that stay taken after a caller has left."""
        slots = admission.Slots(limit=1)
        first, second = make_ticket(), make_ticket()
        admission.enter(slots, first, 0.0)
        admission.enter(slots, second, 0.0)
        admission.abandon(slots, second, 0.0)
        admission.abandon(slots, first, 0.0)
        admission.abandon(slots, first, 0.0)
        self.assertEqual((slots.running, len(slots.waiting)), (0, 0))

    def test_calls_refused_at_drain(self):
        """Guards against work that reaches an upstream after its drain."""
        slots = admission.Slots(limit=1)
        notes = []
        admission.enter(slots, make_ticket(), 0.0)
        admission.enter(slots, make_ticket(started=notes), 0.0)
        admission.refuse_waiting(slots, "draining")
        self.assertEqual(notes, ["draining"])
        self.assertFalse(slots.waiting)


class TestLoad(unittest.TestCase):
    """Twice the capacity of a small service at the end of all chains."""

    def test_important_calls_under_double_load(self):
        """Guards against bookings shed with lookups, and against starved lookups."""
        slots = admission.Slots(limit=16)
        source = random.Random(1)
        ends, served, asked, late = [], {0: 0, 2: 0}, {0: 0, 2: 0}, 0
        now, due = 0.0, 0.0

        def start(ticket):
            ends.append((now + source.expovariate(25.0), now, ticket))

        while now < 20.0:
            now += 0.001
            for item in [item for item in ends if item[0] <= now]:
                ends.remove(item)
                _, started, ticket = item
                served[ticket.rank] += 1
                late += now > ticket.deadline + 0.3
                admission.release(slots, ticket, now, now - started)
            while due < now:
                due += source.expovariate(800.0)
                rank = source.choice((0, 2, 2))
                ticket = admission.Ticket(rank, "thumbs", now + 0.3, None)
                ticket.notify = lambda reason, t=ticket: reason or start(t)
                asked[rank] += 1
                refused = admission.enter(slots, ticket, now)
                if not refused and ticket.state == "running":
                    start(ticket)
        self.assertGreater(served[0] / asked[0], 0.97)
        self.assertGreater(served[2] / asked[2], 0.1)
        self.assertGreater(sum(served.values()), 0.95 * 16 * 25 * 20)
        self.assertLess(late, 0.02 * sum(served.values()))


if __name__ == "__main__":
    unittest.main()
