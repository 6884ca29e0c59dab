"""Tests of requests that are not started while a service below is limited."""

import random
import unittest

from egretlift.admission import slots as admission
from egretlift.admission import upstream_limit
from egretlift.admission.dependencies import find_limited, record_calls

LIMIT_PER_S = 20.0
LOAD_PER_S = 60.0
WAIT_S = 0.3
WORK_BEFORE_CALL_S = 0.1


def simulate(is_checked, calls_share=1.0, seconds=20.0):
    """Return (served, wasted, refused early) for requests that call a limited service.

    Each request works for a while and then makes its call. It is wasted if the call is
    refused. ``is_checked`` tells whether requests are admitted by `find_limited`.
    """
    source = random.Random(1)
    slots, dependencies = admission.Slots(limit=64), {}
    admission.record_rate_limit(slots, LIMIT_PER_S, 0.0, 0.0)
    for _ in range(50):
        called = {"deep": WAIT_S} if source.random() < calls_share else {}
        record_calls(dependencies, called)
    served, wasted, refused, due = 0, 0, 0, []
    now, next_arrival = 0.0, 0.0

    def notify(reason):
        nonlocal served, wasted
        served, wasted = served + (reason is None), wasted + (reason is not None)

    def estimate_start_delay_s(service):
        ahead = len(slots.waiting)
        return upstream_limit.estimate_wait_s(slots.rate_limit, ahead, now)

    while now < seconds:
        now += 0.001
        admission.start_waiting(slots, now)
        slots.running = 0
        while due and due[0] <= now:
            due.pop(0)
            deadline = now + WAIT_S + slots.duration_s
            request = admission.SlotRequest(0, now, "k", deadline, notify)
            reason = admission.request_slot(slots, request, now)
            if reason or request.state == "running":
                notify(reason)
        while next_arrival < now:
            next_arrival += source.expovariate(LOAD_PER_S)
            if is_checked and find_limited(
                dependencies, estimate_start_delay_s, source
            ):
                refused += 1
            elif source.random() < calls_share:
                due.append(now + WORK_BEFORE_CALL_S)
            else:
                served += 1
    return served, wasted, refused


class TestLimitedService(unittest.TestCase):
    """A service deep in the call graph that takes a third of the demand."""

    def test_work_is_not_wasted(self):
        """Guards against requests that run and fail while a limit below is known."""
        served, wasted, _ = simulate(False)
        checked_served, checked_wasted, _ = simulate(True)
        self.assertGreater(wasted, served)
        self.assertLess(checked_wasted, 0.1 * wasted)
        self.assertGreater(checked_served, 0.95 * served)

    def test_requests_without_the_call(self):
        """Guards against refusals of requests that rarely call the limited service."""
        _, _, refused = simulate(True, calls_share=0.1)
        self.assertLess(refused, 0.05 * 20 * LOAD_PER_S)

    def test_what_is_limited(self):
        """Guards against routes that are refused for services they do not call."""
        for name, delays, expected in (
            ("no limit", {}, None),
            ("a limit with room", {"deep": 0.1}, None),
            ("a limit without room", {"deep": 0.5}, "deep"),
            ("another service", {"other": 9.0}, None),
        ):
            with self.subTest(name):
                dependencies = {}
                for _ in range(100):
                    record_calls(dependencies, {"deep": WAIT_S})
                found = find_limited(
                    dependencies,
                    lambda service, delays=delays: delays.get(service, 0.0),
                    random.Random(2),
                )
                self.assertEqual(found, expected)


if __name__ == "__main__":
    unittest.main()
