"""Simulation of zones that share a rate, with random arrivals and without a network.

Each zone has hosts and an owner for the organisation. Hosts may be cut off from their
owner, and zones from each other.
"""

import random

from egretlift.membership.zone import ZoneView
from egretlift.quotas.home import (
    BORROW_BACKOFF_S,
    ZoneQuota,
    add_loan,
    find_fallback_fraction,
    find_lenders,
    find_shortfall,
    grant_tokens,
    lend_tokens,
    make_zone_report,
    record_zone_report,
    refill_zone_quota,
)
from egretlift.quotas.purse import (
    LocalTokens,
    add_fallback_tokens,
    add_granted_tokens,
    prepare_request,
    take_local_token,
)
from egretlift.serving.routes import Organisation
from egretlift.sidecar.settings import Bounds

TIME_STEP_S = 0.01
REPORT_INTERVAL_S = 1.0
# Time until hosts detect that they do not hear each other.
DETECTION_S = 1.75


def make_bounds(**changes):
    """Return bounds as the users' deployments have them, with some changed."""
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
    """Simulated zones with an owner each, and hosts with their tokens.

    ``admitted`` and ``refused`` hold (time, rank) of each request.
    """

    def __init__(self, zones, hosts, rate, burst, seed=1):
        self.zones, self.hosts = range(zones), range(zones * hosts)
        self.zone_hosts = hosts
        self.random = random.Random(seed)
        self.bounds = make_bounds()
        self.set_rate(rate, burst)
        self.zone_quotas = [ZoneQuota(0.0) for _ in self.zones]
        self.local_tokens = [LocalTokens(0.0) for _ in self.hosts]
        # Zones that are cut off from the other zones, and hosts from their owner.
        self.cut_zones, self.cut_hosts = set(), set()
        self.cut_at = 0.0
        # Fraction of the reports between zones that are lost, and delay of the others.
        self.loss = 0.0
        self.lag_s = 0.0
        self.pending_reports = []
        self.admitted = []
        self.refused = []
        self.now = 0.0

    def set_rate(self, rate, burst):
        """Change the organisation's rate."""
        self.rate, self.burst = rate, burst
        self.organisation = Organisation("n", ("k",), 1, rate, burst)

    def count_other_hosts(self, zone):
        """Return the number of hosts of each other zone."""
        return {other: self.zone_hosts for other in self.zones if other != zone}

    def view(self, zone):
        """Return the zone as its owner sees it."""
        silent = 0
        if self.now - self.cut_at > DETECTION_S:
            silent = sum(host // self.zone_hosts == zone for host in self.cut_hosts)
        heard = self.zone_hosts - 1 - silent
        return ZoneView(self.now, reporting_count=heard, silent_count=silent)

    def cut(self, zones=(), hosts=()):
        """Cut off zones and hosts, and end other cuts."""
        self.cut_zones, self.cut_hosts = set(zones), set(hosts)
        self.cut_at = self.now

    def replace_home(self, zone):
        """Let another host become the owner of a zone, without any tokens."""
        self.zone_quotas[zone] = ZoneQuota(self.now)

    def fill(self, zone):
        """Deliver the reports that are due and add the tokens of an owner up to now."""
        while self.pending_reports and self.pending_reports[0][0] <= self.now:
            _, sender, (demand, tokens) = self.pending_reports.pop(0)
            for other in self.zones:
                is_partitioned = (sender in self.cut_zones) != (other in self.cut_zones)
                is_lost = self.random.random() < self.loss
                if other != sender and not is_partitioned and not is_lost:
                    record_zone_report(
                        self.zone_quotas[other], sender, None, demand, tokens, self.now
                    )
        refill_zone_quota(
            self.zone_quotas[zone],
            self.organisation,
            self.count_other_hosts(zone),
            self.view(zone),
            self.now,
            self.bounds,
        )

    def report(self, zone):
        """Let a zone send its report to the others."""
        self.fill(zone)
        found = make_zone_report(
            self.zone_quotas[zone],
            self.organisation,
            self.count_other_hosts(zone),
            self.view(zone),
            self.now,
        )
        self.pending_reports.append((self.now + self.lag_s, zone, found))

    def arrive(self, host, rank=0):
        """Let a request arrive at a host and record whether it is admitted."""
        local = self.local_tokens[host]
        local.counted += 1
        admitted = take_local_token(local, self.now)
        if not admitted:
            self.fetch(host, local, rank)
            admitted = take_local_token(local, self.now)
        (self.admitted if admitted else self.refused).append((self.now, rank))

    def fetch(self, host, local, rank):
        """Get tokens for a host from its owner, or its own share without one."""
        zone = host // self.zone_hosts
        if host in self.cut_hosts:
            if self.now - self.cut_at > DETECTION_S:
                part = find_fallback_fraction(
                    self.count_other_hosts(zone), self.view(zone)
                )
                add_fallback_tokens(local, self.now, self.organisation, part)
            return
        counted, wanted = prepare_request(local, self.now)
        quota = self.zone_quotas[zone]
        quota.bucket.counted += counted
        self.fill(zone)
        granted = grant_tokens(quota, wanted, rank)
        if not granted:
            self.borrow(zone, wanted)
            granted = grant_tokens(quota, wanted, rank)
        add_granted_tokens(local, granted, self.now)

    def borrow(self, zone, wanted):
        """Let an owner borrow from the owners of other zones."""
        quota = self.zone_quotas[zone]
        if self.now < quota.next_borrow_at:
            return
        quota.next_borrow_at = self.now + BORROW_BACKOFF_S
        for lender in find_lenders(quota, self.now):
            if (lender in self.cut_zones) != (zone in self.cut_zones):
                continue
            self.fill(lender)
            add_loan(
                quota,
                lender,
                lend_tokens(self.zone_quotas[lender], find_shortfall(quota, wanted)),
            )
            if quota.bucket.tokens >= 1.0:
                quota.next_borrow_at = self.now
                return

    def run(self, seconds, weights, arrivals_per_s, ranks=(0,)):
        """Let requests arrive at random for some seconds.

        ``weights`` are those of the zones; the hosts of a zone get equal load.
        """
        end = self.now + seconds
        next_arrival_at = self.random.expovariate(arrivals_per_s) + self.now
        step = round(self.now / TIME_STEP_S)
        while self.now < end:
            self.now += TIME_STEP_S
            step += 1
            for zone in self.zones:
                if (step + 17 * zone) % round(REPORT_INTERVAL_S / TIME_STEP_S) == 0:
                    self.report(zone)
            while next_arrival_at < self.now:
                zone = self.random.choices(self.zones, weights)[0]
                host = zone * self.zone_hosts + self.random.randrange(self.zone_hosts)
                self.arrive(host, self.random.choice(ranks))
                next_arrival_at += self.random.expovariate(arrivals_per_s)

    def count_busiest_window(self):
        """Return the largest number of admissions in a window of the rate bound."""
        times = [at for at, _ in self.admitted]
        most = start = 0
        for end, at in enumerate(times):
            while at - times[start] > self.bounds.rate_window_s:
                start += 1
            most = max(most, end - start + 1)
        return most

    def count_allowed(self):
        """Return the number of admissions that the rate bound allows in a window."""
        base = self.rate * self.bounds.rate_window_s + self.burst
        return base * (1 + self.bounds.rate_overage) + self.bounds.rate_slack
