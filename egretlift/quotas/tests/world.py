"""Simulation of hosts, zones and the platform for the tests of quotas.

The simulation runs in true time, in seconds; every host reads its own clock, with its
own origin and speed. ``Faults`` holds the probabilities of message faults.
"""

import collections
import copy
import heapq
import math

from egretlift.quotas import allocator as al
from egretlift.quotas import share as sh
from egretlift.quotas import zone_lease as zl
from egretlift.quotas import zone_shares as zs

ORGANISATION = "studio"
NAMES = ("rate", "burst", "tokens")


class Faults:
    """Probabilities of faults per message, and the largest delay in seconds."""

    __slots__ = ("delay_s", "duplicate", "lose", "slow")

    def __init__(self, lose=0.0, duplicate=0.0, slow=0.0, delay_s=0.0):
        self.lose, self.duplicate = lose, duplicate
        self.slow, self.delay_s = slow, delay_s


class WindowCheck:
    """Checks after every draw that no window that ends with it has too many draws.

    Every window of length W has at most burst + rate x W draws if and only if a bucket
    that starts full and is refilled at that rate never falls below zero. After a
    decrease, the old values apply until ``settle_s`` after every live host has learned
    the new ones.
    """

    __slots__ = ("bounds", "draws", "level", "settle_s", "updated_at")

    def __init__(self, rate, burst, settle_s):
        self.bounds = [[math.inf, rate, burst]]
        self.settle_s = settle_s
        self.level, self.updated_at = burst, 0.0
        self.draws = []

    def bound(self, since):
        """Return the largest rate and burst that were in force after ``since``."""
        self.bounds = [b for b in self.bounds if b[0] >= since - self.settle_s]
        return max(b[1] for b in self.bounds), max(b[2] for b in self.bounds)

    def change(self, rate, burst):
        """Add a new rate and burst."""
        self.bounds.append([math.inf, rate, burst])

    def retire(self, now):
        """Let all but the last rate and burst end, as every host knows the last."""
        for bound in self.bounds[:-1]:
            bound[0] = min(bound[0], now)

    def count(self, now):
        """Count one draw."""
        rate, burst = self.bound(self.updated_at)
        refilled = self.level + rate * (now - self.updated_at)
        self.level = min(burst, refilled) - 1
        self.updated_at = now
        self.draws.append(now)
        assert self.level > -1e-6, f"over by {-self.level} at {now}"


class Host:
    """One daemon; its ``incarnation`` is 0 while it is dead."""

    def __init__(self, name, zone, origin, speed):
        self.name, self.zone, self.origin, self.speed = name, zone, origin, speed
        self.incarnation, self.paused_until, self.disconnected_until = 0, 0.0, 0.0
        self.demand, self.idle_until = 0.0, 0.0
        self.waiting = collections.deque()


class World:
    """Hosts, zones, messages and the platform."""

    def __init__(self, settings, random, faults, rate, burst, zones, hosts, drift):
        self.settings, self.random, self.faults = settings, random, faults
        self.now, self.events, self.sequence = 0.0, [], 0
        self.objects, self.revision, self.outage_until = {}, 0, 0.0
        self.writes = collections.Counter()
        self.outcomes = collections.Counter()
        self.refused_at, self.wait_s, self.epochs = [], 0.0, collections.Counter()
        self.rate, self.burst = rate, burst
        self.check = WindowCheck(rate, burst, 1.2 * settings.share_lease_s)
        self.zones = [f"z{z}" for z in range(zones)]
        self.hosts = {}
        for zone in self.zones:
            for number in range(hosts):
                speed = (1 + drift) ** random.random()
                name = f"{zone}h{number}"
                host = Host(name, zone, random.uniform(-1e4, 1e4), speed)
                self.hosts[name] = host
                self.start(host)

    # Events and messages.

    def schedule(self, delay, host, function, *arguments):
        """Call a function on a host after a delay; a paused host runs it on resuming.

        The call is dropped if the incarnation of the host has changed by then.
        """
        self.sequence += 1
        incarnation = host.incarnation if host else 0
        item = (self.now + delay, self.sequence, host, incarnation, function, arguments)
        heapq.heappush(self.events, item)

    def run(self, until):
        """Run all events up to a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, host, incarnation, function, arguments = heapq.heappop(
                self.events
            )
            if host and (host.incarnation != incarnation or not incarnation):
                continue
            if host and host.paused_until > self.now:
                self.schedule(
                    host.paused_until - self.now + 1e-6, host, function, *arguments
                )
                continue
            function(*arguments)
            if self.faults.lose:
                self.check_holdings()
        self.now = until

    def check_holdings(self):
        """Check that all buckets add up to at most the rate, burst and tokens left.

        This finds a double grant even if no host draws from it.
        """
        held = [bucket for host in self.hosts.values() for bucket in self.held(host)]
        rate, burst = self.check.bound(self.check.updated_at)
        refilled = self.check.level + rate * (self.now - self.check.updated_at)
        limits = (rate, burst, min(burst, refilled))
        sums = [sum(bucket[index] for bucket in held) for index in range(3)]
        for name, limit, total in zip(NAMES, limits, sums, strict=True):
            assert total <= limit + 1e-6, f"{name} {total} > {limit} at {self.now}"

    def held(self, host):
        """Yield rate in true time, burst and tokens of each bucket of a live host."""
        if not host.incarnation:
            return
        now, lease = self.clock(host), host.leases[host.zone]
        buckets = [host.share.bucket] if now < host.share.expires_at else []
        allocator = host.allocator
        valid = allocator and allocator.epoch == lease.held_epoch
        if (
            valid
            and zl.holds_lease(lease, self.settings, now)
            and now >= allocator.quarantine_until
        ):
            buckets.append(allocator.bucket)
        for bucket in buckets:
            refilled = bucket.tokens + max(0, now - bucket.updated_at) * bucket.rate
            yield bucket.rate * host.speed, bucket.burst, min(bucket.burst, refilled)

    def send(self, host, function, *arguments):
        """Deliver a message to a host, or to the platform if ``host`` is None.

        Faults may lose, duplicate or delay it.
        """
        faults, random = self.faults, self.random
        copies = 2 if random.random() < faults.duplicate else 1
        for _ in range(copies):
            if random.random() < faults.lose:
                continue
            slow = random.random() < faults.slow
            delay = random.uniform(0, faults.delay_s) if slow else 0.001
            self.schedule(delay, host, function, *arguments)

    def clock(self, host):
        """Return the monotonic time of a host, in seconds."""
        return host.origin + self.now * host.speed

    # Start and end of hosts.

    def start(self, host):
        """Start a new incarnation with empty memory."""
        self.sequence += 1
        host.incarnation = self.sequence
        host.paused_until = 0.0
        now = self.clock(host)
        host.share = sh.Share(ORGANISATION, host.name, host.incarnation, now)
        host.leases = {
            zone: zl.LeaseState(zone, host.name, host.incarnation, now)
            for zone in self.zones
        }
        host.allocator = host.shares = None
        host.rate, host.burst = self.rate, self.burst
        host.read_at = host.asked_at = -math.inf
        host.waiting.clear()
        self.schedule(self.random.uniform(0, 0.05), host, self.run_controllers, host)
        self.schedule(self.random.uniform(0, 0.05), host, self.call, host)

    def kill(self, host):
        """Kill a host at once."""
        host.incarnation = 0

    def change_rate(self, rate, burst):
        """Change the organisation's rate; hosts learn it within a second."""
        self.rate, self.burst = rate, burst
        self.check.change(rate, burst)
        for host in self.hosts.values():
            delay = self.random.uniform(0, 1)
            self.schedule(delay, host, self.learn_rate, host)

    def learn_rate(self, host):
        """Let a host apply the current rate and burst."""
        host.rate, host.burst = known = self.rate, self.burst
        live = [host for host in self.hosts.values() if host.incarnation]
        if all((host.rate, host.burst) == known for host in live):
            self.check.retire(self.now)

    # Calls.

    def call(self, host):
        """Run one call and schedule the next one."""
        if host.demand > 0 and host.idle_until <= self.now:
            self.try_draw(host, self.now, False)
        gap = self.random.expovariate(host.demand) if host.demand else 0.05
        self.schedule(min(gap, 0.5), host, self.call if gap < 0.5 else self.skip, host)

    def skip(self, host):
        """Schedule the next call after a long gap, without running one."""
        gap = self.random.expovariate(host.demand) if host.demand else 0.05
        self.schedule(min(gap, 0.5), host, self.call if gap < 0.5 else self.skip, host)

    def try_draw(self, host, since, again):
        """Draw for a call that arrived at ``since``, and return whether it is done.

        Without a token the call waits, or is refused if it has waited ``wait_s``.
        """
        if sh.draw_from_share(host.share, self.clock(host), 1, again):
            self.check.count(self.now)
            self.outcomes[host.zone, "run"] += 1
            return True
        if self.now - since >= self.wait_s:
            self.outcomes[host.zone, "refused"] += 1
            self.refused_at.append((self.now, host.zone))
            return True
        if not again:
            host.waiting.append(since)
            self.schedule(self.wait_s, host, self.retry, host)
        self.request(host)
        return False

    def retry(self, host):
        """Try the waiting calls again in order of arrival."""
        while host.waiting and self.try_draw(host, host.waiting[0], True):
            host.waiting.popleft()

    # Allocation.

    def request(self, host):
        """Send a request if one is due, under faults sometimes to a wrong host."""
        now = self.clock(host)
        if not sh.is_request_due(host.share, self.settings, now):
            return
        message = sh.make_request(host.share, now)
        spec = self.objects.get(host.zone, (0, {"holder": host.name}))[1]
        holder = self.hosts[spec["holder"]]
        if self.faults.lose and self.random.random() < 0.05:
            zone_hosts = [h for h in self.hosts.values() if h.zone == host.zone]
            holder = self.random.choice(zone_hosts)
        self.send(holder, self.answer, holder, host, now, message)

    def answer(self, holder, host, sent_at, message):
        """Answer a request if the host holds the zone lease."""
        now, lease = self.clock(holder), holder.leases[holder.zone]
        allocator = self.find_allocator(holder, now)
        if allocator and zl.holds_lease(lease, self.settings, now):
            reply = al.allocate(allocator, self.settings, now, message)
            self.send(host, self.apply, host, sent_at, reply)

    def apply(self, host, sent_at, reply):
        """Apply an answer and retry the calls that wait for it."""
        if sh.apply_allocation(host.share, sent_at, self.clock(host), reply):
            self.retry(host)

    def find_allocator(self, host, now):
        """Return a holder's allocator for its epoch, None for any other host."""
        lease = host.leases[host.zone]
        if not zl.holds_lease(lease, self.settings, now):
            return None
        if host.allocator is None or host.allocator.epoch != lease.held_epoch:
            self.epochs[host.zone] += 1
            wait = zl.quarantine_s(lease, self.settings)
            epoch = lease.held_epoch
            host.allocator = al.start_allocator(ORGANISATION, epoch, now, 0, 0, wait)
            host.shares = zs.ZoneShares(ORGANISATION, host.zone, epoch)
            self.read(host, "shares")
        part = zs.scale_limits(zs.find_usable_share(host.shares), host.rate, host.burst)
        al.resize_allocator(host.allocator, now, *part)
        return host.allocator

    # The platform.

    def platform_call(self, host, function, *arguments):
        """Send a platform call, which fails if no answer arrives in time."""
        sent_at, settings = self.clock(host), self.settings
        host.pending = pending = (host.incarnation, object())
        down = self.now < max(self.outage_until, host.disconnected_until)
        # A write may take effect although its answer is lost.
        if not down or self.random.random() < 0.3:
            self.send(None, function, host, sent_at, pending, down, *arguments)
        self.schedule(settings.platform_timeout_s, host, self.time_out, host, pending)

    def time_out(self, host, pending):
        """Record that a platform call got no answer in time."""
        if host.pending is pending:
            for lease in host.leases.values():
                zl.record_reachability(lease, False)

    def platform_get(self, host, sent_at, pending, down, name):
        """Read an object."""
        if not down:
            found = copy.deepcopy(self.objects.get(name, (0, None)))
            self.send(
                host,
                self.handle_platform_answer,
                host,
                sent_at,
                pending,
                name,
                False,
                *found,
            )

    def platform_put(self, host, sent_at, pending, down, name, spec, expected):
        """Write an object if it has the expected version."""
        version, current = self.objects.get(name, (0, None))
        written = version == expected
        if written:
            self.revision += 1
            self.writes[name] += 1
            version, current = self.revision, copy.deepcopy(spec)
            self.objects[name] = (version, current)
            shares = self.objects.get("shares", (0, {"zones": {}}))[1]["zones"]
            assert sum(e["share"] for e in shares.values()) in (0, zs.TOTAL), shares
            if not self.faults.lose:
                self.notify(name)
        if not down:
            found = (version, copy.deepcopy(current))
            self.send(
                host,
                self.handle_platform_answer,
                host,
                sent_at,
                pending,
                name,
                written,
                *found,
            )

    def notify(self, name):
        """Let all hosts read a changed object, as watches do; only without faults."""
        for host in self.hosts.values():
            self.schedule(0.002, host, self.read, host, name)

    def read(self, host, name):
        """Read an object from the platform."""
        self.platform_call(host, self.platform_get, name)

    def handle_platform_answer(
        self, host, sent_at, pending, name, written, version, spec
    ):
        """Handle an answer of the platform."""
        if pending[0] != host.incarnation:
            return  # an answer to an earlier incarnation reaches no process
        if host.pending is pending:
            host.pending = None
        now, settings = self.clock(host), self.settings
        for lease in host.leases.values():
            zl.record_reachability(lease, True)
        if name == "shares":
            if spec and host.shares:
                zs.observe_shares(host.shares, version, spec)
                if self.find_allocator(host, now):
                    self.plan_share_writes(host, now)
            return
        if written:
            zl.record_written(host.leases[name], settings, now, sent_at, version, spec)
        zl.observe_lease(host.leases[name], settings, now, sent_at, version, spec)

    # Controllers.

    def run_controllers(self, host):
        """Run the controllers of a host every 50 ms."""
        now, lease = self.clock(host), host.leases[host.zone]
        if now - host.read_at > 0.5:
            host.read_at = now
            self.read(host, self.random.choice([*self.zones, host.zone, "shares"]))
            self.read(host, host.zone)
        drained = host.allocator is None or not host.allocator.grants
        zone_hosts = [(h.name, h.incarnation) for h in self.hosts.values()]
        zone_hosts = [
            (name, incarnation)
            for name, incarnation in zone_hosts
            if self.hosts[name].zone == host.zone and incarnation and name != host.name
        ]
        write = zl.plan_write(lease, self.settings, now, zone_hosts, drained)
        if write:
            self.platform_call(host, self.platform_put, host.zone, *write)
        if lease.held_epoch and not lease.reachable and now - host.asked_at > 0.5:
            host.asked_at = now
            for name, _ in lease.lease.standbys:
                other = self.hosts[name]
                self.send(other, self.confirm, other, host, now, lease.held_epoch)
        if self.find_allocator(host, now):
            al.expire_grants(host.allocator, self.settings, now)
            self.plan_share_writes(host, now)
        self.request(host)
        if host.waiting:
            self.retry(host)
        self.schedule(0.05, host, self.run_controllers, host)

    def confirm(self, other, host, asked_at, epoch):
        """Let a standby answer a holder that asks for a confirmation."""
        state, now = other.leases[other.zone], self.clock(other)
        names = (host.name, host.incarnation)
        if zl.confirm_lease(state, self.settings, now, *names, epoch):
            me = (other.name, other.incarnation)
            self.send(host, self.confirmed, host, asked_at, me, epoch)

    def confirmed(self, host, asked_at, standby, epoch):
        """Record a confirmation."""
        lease, now = host.leases[host.zone], self.clock(host)
        zl.record_confirmation(lease, self.settings, now, asked_at, standby, epoch)
        self.outcomes["confirmed"] += 1

    def plan_share_writes(self, host, now):
        """Let a holder plan transfers, wants and reclaims, and write one of them."""
        shares, allocator = host.shares, host.allocator
        limits = (host.rate, host.burst)
        demand = al.find_zone_demand(allocator, self.settings, now)
        zs.record_demand(shares, now, demand)
        zs.plan_transfer(shares, now, *limits)
        part = zs.scale_limits(zs.find_usable_share(shares), *limits)
        al.resize_allocator(allocator, now, *part)
        within = al.fits_limits(allocator, self.settings, now, *part)
        settings = self.settings
        write = zs.plan_write(shares, settings, now, *limits, within)
        if write is None:
            lost = [z for z in self.zones if zl.is_abandoned(host.leases[z], settings)]
            write = zs.plan_reclaim(shares, now, lost)
            self.outcomes["reclaimed"] += write is not None
        if write:
            self.platform_call(host, self.platform_put, "shares", *write)
