"""Hosts that share a rate, driven by simulated arrivals without a network."""

import random

from egretlift.quotas.demand import (
    Others,
    RateBucket,
    divide,
    draw,
    fill,
    lend,
    report_bucket,
    wanted_tokens,
)
from egretlift.sidecar.settings import Bounds

STEP_S = 0.01
REPORT_S = 0.5
# Time in which hosts notice that they do not hear each other.
NOTICE_S = 0.75


def make_bounds(**changes):
    """Return bounds like those of the users' deployments."""
    values = {
        "drain_s": 2.0,
        "grace_s": 6.0,
        "acknowledgement_s": 4.0,
        "repeat_ratio": 0.2,
        "repeat_slack": 47.0,
        "repeat_window_s": 10.0,
        "rate_window_s": 5.0,
        "rate_overage": 0.1,
        "rate_slack": 20.0,
        "configuration_s": 2.0,
    }
    return Bounds(**{**values, **changes})


class RateMesh:
    """Hosts with a bucket each; ``reports`` is what each host last reported."""

    def __init__(self, hosts, rate, burst, seed=1):
        self.rate, self.burst = rate, burst
        self.random = random.Random(seed)
        self.bounds = make_bounds()
        self.buckets = [RateBucket(0.0) for _ in range(hosts)]
        # What each side of a cut has heard, the side that is cut off second.
        self.seen = [[(0.0, 0.0)] * hosts, [(0.0, 0.0)] * hosts]
        self.parts = [{} for _ in range(hosts)]
        self.cut = set()
        self.cut_at = 0.0
        # Part of the reports that reach no other host.
        self.loss = 0.0
        # Seconds until the others read a report, as on busy hosts.
        self.lag_s = 0.0
        self.unread = []
        self.admitted = []
        self.refused = []
        self.now = 0.0

    def others(self, host):
        """Return what a host knows of the others."""
        heard, unheard = [], []
        for other, report in enumerate(self.seen[host in self.cut]):
            if other == host:
                continue
            if self.is_apart(host, other):
                unheard.append(self.parts[host].get(other, 1 / len(self.buckets)))
            else:
                heard.append(report)
        return Others(heard, unheard)

    def is_apart(self, one, other):
        """Return whether two hosts have noticed that they do not hear each other."""
        noticed = self.now - self.cut_at > NOTICE_S
        return noticed and (one in self.cut) != (other in self.cut)

    def set_cut(self, hosts):
        """Cut some hosts off from the rest."""
        self.cut, self.cut_at = set(hosts), self.now

    def fill(self, host):
        """Bring a bucket up to now."""
        while self.unread and self.unread[0][0] <= self.now:
            _, reporter, report = self.unread.pop(0)
            self.hear(reporter, report)
        bucket = self.buckets[host]
        others = self.others(host)
        fill(bucket, self.now, self.rate, self.burst, others, self.bounds)

    def report(self, host, elapsed_s):
        """Let a host report to the hosts on its side of a cut."""
        self.fill(host)
        bucket = self.buckets[host]
        report = report_bucket(bucket, elapsed_s)
        if self.random.random() < self.loss:
            return
        self.unread.append((self.now + self.lag_s, host, report))
        near = [
            h
            for h in range(len(self.buckets))
            if h != host and not self.is_apart(host, h)
        ]
        parts = divide(bucket.settled, self.rate, self.others(host))[1:]
        for other, part in zip(near, parts, strict=True):
            # Only a host that has reported since agrees on its part.
            if (other in self.cut) == (host in self.cut):
                self.parts[host][other] = part

    def hear(self, host, report):
        """Let the hosts on a host's side of a cut read its report."""
        self.seen[host in self.cut][host] = report
        if not self.cut:
            self.seen[True][host] = self.seen[False][host] = report

    def arrive(self, host, rank=0):
        """Let a request arrive at a host and note whether it is admitted."""
        self.fill(host)
        bucket = self.buckets[host]
        bucket.counted += 1
        admitted = draw(bucket, rank)
        if not admitted:
            self.borrow(host)
            admitted = draw(bucket, rank)
        (self.admitted if admitted else self.refused).append((self.now, rank))

    def borrow(self, host):
        """Borrow from the hosts that reported most tokens."""
        bucket = self.buckets[host]
        seen = self.seen[host in self.cut]
        order = sorted(range(len(self.buckets)), key=lambda h: -seen[h][1])
        near = [h for h in order if (h in self.cut) == (host in self.cut)]
        for lender in [h for h in near if h != host][:3]:
            self.fill(lender)
            bucket.borrowed += lend(self.buckets[lender], wanted_tokens(bucket))
            if bucket.tokens + bucket.borrowed >= 1.0:
                return

    def run(self, seconds, weights, arrivals_per_s, ranks=(0,)):
        """Let requests arrive at random for some seconds."""
        hosts = range(len(self.buckets))
        end = self.now + seconds
        due = self.random.expovariate(arrivals_per_s) + self.now
        step = 0
        while self.now < end:
            self.now += STEP_S
            step += 1
            for host in hosts:
                if (step + 4 * host) % round(REPORT_S / STEP_S) == 0:
                    self.report(host, REPORT_S)
            while due < self.now:
                host = self.random.choices(hosts, weights)[0]
                self.arrive(host, self.random.choice(ranks))
                due += self.random.expovariate(arrivals_per_s)

    def busiest_window(self):
        """Return the most admissions in any window of the bound."""
        times = [at for at, _ in self.admitted]
        most = start = 0
        for end, at in enumerate(times):
            while at - times[start] > self.bounds.rate_window_s:
                start += 1
            most = max(most, end - start + 1)
        return most

    def allowed(self):
        """Return the admissions that the bound allows in a window."""
        base = self.rate * self.bounds.rate_window_s + self.burst
        return base * (1 + self.bounds.rate_overage) + self.bounds.rate_slack
