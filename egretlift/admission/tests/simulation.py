"""Deterministic simulation of one upstream behind the admission queue."""

import heapq
import itertools
import random
from collections import deque

from egretlift.admission import (
    AdmissionState,
    QueuedCall,
    refuse_expired,
    release_slot,
    request_slot,
)
from egretlift.outcome import Outcome, Priority


class Upstream:
    """Upstream with a number of slots and an unbounded internal FIFO queue.

    ``service(now, kind, random)`` returns a service time in seconds.
    """

    def __init__(self, settings, slots, service, seed=1):
        self.settings = settings
        self.slots = slots
        self.service = service
        self.random = random.Random(seed)
        self.state = AdmissionState(settings)
        self.events = []
        self.order = itertools.count()
        self.internal_queue = deque()
        self.busy = 0
        self.finished = []
        self.refused = []
        self.limits = []
        self.outcome = lambda: Outcome.WHOLE

    def schedule(self, at, action, *arguments):
        heapq.heappush(self.events, (at, next(self.order), action, arguments))

    def add_load(self, start, end, rate, timeout_s=1.0, mix=None):
        """Add Poisson arrivals of calls drawn from a mix.

        ``mix`` is a list of (priority, kind, organisation), each equally likely.
        """
        mix = mix or [(Priority.INTERACTIVE, None, "a")]
        at = start
        while (at := at + self.random.expovariate(rate)) < end:
            priority, kind, organisation = self.random.choice(mix)
            queued = QueuedCall(
                "c", organisation, priority, 1, at, at + timeout_s, kind
            )
            self.schedule(at, self.arrive, queued)

    def apply(self, now, decisions):
        for decision in decisions:
            if not decision.started:
                self.refused.append((now, decision.call, decision.reason))
                continue
            self.internal_queue.append((now, decision.call))
        while self.internal_queue and self.busy < self.slots:
            started, queued = self.internal_queue.popleft()
            self.busy += 1
            duration = self.service(now, queued.kind, self.random)
            self.schedule(now + duration, self.finish, started, queued)

    def arrive(self, now, queued):
        self.apply(now, request_slot(self.state, self.settings, now, queued))

    def finish(self, now, started, queued):
        self.busy -= 1
        self.finished.append((now, queued))
        state, settings, outcome = self.state, self.settings, self.outcome()
        duration_s = now - started
        self.apply(now, release_slot(state, settings, now, queued, duration_s, outcome))

    def expire(self, now):
        self.limits.append((now, self.state.limit.limit))
        self.apply(now, refuse_expired(self.state, self.settings, now))

    def run(self, until):
        for tick in range(int(until * 50)):
            self.schedule(tick / 50, self.expire)
        while self.events and self.events[0][0] < until:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)

    def goodput(self, start, end, predicate=lambda queued: True):
        """Return the calls per second that finished before their deadline."""
        in_time = sum(
            1
            for at, queued in self.finished
            if start <= at < end and at <= queued.deadline and predicate(queued)
        )
        return in_time / (end - start)
