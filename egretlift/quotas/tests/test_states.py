"""Tests of shares, allocators, zone leases and zone shares; one is stateful."""

import unittest

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from nose2.tools import params

from egretlift.quotas import allocator as al
from egretlift.quotas import share as sh
from egretlift.quotas import zone_lease as zl
from egretlift.quotas import zone_shares as zs
from egretlift.quotas.tests.world import WindowCheck
from egretlift.settings import Settings

SETTINGS = Settings()
DRIFT = SETTINGS.clock_drift


class AllocationMachine(RuleBasedStateMachine):
    """Guards against too many draws in a window, for any order of messages."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.check = WindowCheck(20.0, 6.0, 0.0)
        self.allocator = al.start_allocator("a", 1, 0.0, 20.0, 6.0, 0.0)
        # The first host's clock is the fastest allowed, the holder's the slowest.
        self.speeds = (1 + DRIFT, 1.0)
        self.shares = [sh.Share("a", f"h{n}", 1, 0.0) for n in range(2)]
        self.requests, self.answers = [], []

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.3, 1.0, 1.95, 2.05]))
    def wait(self, seconds):
        self.now += seconds

    @rule(host=st.integers(0, 1), count=st.integers(1, 8))
    def draw(self, host, count):
        for _ in range(count):
            if sh.draw_from_share(self.shares[host], self.now * self.speeds[host]):
                self.check.count(self.now)

    @rule(host=st.integers(0, 1))
    def request(self, host):
        sent_at = self.now * self.speeds[host]
        message = sh.make_request(self.shares[host], sent_at)
        self.requests.append((host, sent_at, message))

    @rule(index=st.integers(-3, -1))
    def answer(self, index):
        if len(self.requests) >= -index:
            host, sent_at, message = self.requests[index]
            reply = al.allocate(self.allocator, SETTINGS, self.now, message)
            self.answers.append((host, sent_at, reply))

    @rule(index=st.integers(-3, -1))
    def apply(self, index):
        if len(self.answers) >= -index:
            host, sent_at, reply = self.answers[index]
            now = self.now * self.speeds[host]
            sh.apply_allocation(self.shares[host], sent_at, now, reply)


TestAllocation = AllocationMachine.TestCase
TestAllocation.settings = hypothesis_settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=60
)


def make_share(demand=10.0):
    """Return a share with demand and its first request."""
    share = sh.Share("a", "h1", 1, 0.0)
    share.demand = demand
    return share, sh.make_request(share, 0.0)


class TestShare(unittest.TestCase):
    """Guards against the use of expired, duplicate and reordered answers."""

    def test_expiry_counts_from_sending(self):
        share, request = make_share()
        allocator = al.start_allocator("a", 1, -10.0, 100.0, 50.0, 0.0)
        reply = al.allocate(allocator, SETTINGS, 0.0, request)
        self.assertTrue(sh.apply_allocation(share, 0.0, 1.5, reply))
        self.assertTrue(sh.draw_from_share(share, 1.97))
        self.assertFalse(sh.draw_from_share(share, 1.98))

    @params((0, True), (1, False))
    def test_only_the_last_answer_counts(self, later, applied):
        share, request = make_share()
        for _ in range(later):
            sh.make_request(share, 0.1)
        reply = sh.Allocation(request, 1, 5.0, 5.0, 5.0, 1.98)
        self.assertEqual(sh.apply_allocation(share, 0.0, 0.2, reply), applied)
        self.assertFalse(sh.apply_allocation(share, 0.0, 0.2, reply))

    def test_lost_reply_stays_counted(self):
        """Guards against granting again what an answer granted that may be lost."""
        allocator = al.start_allocator("a", 1, -10.0, 101.0, 50.0, 0.0)
        first = sh.AllocationRequest("h1", 1, "a", number=1, demand=90.0)
        granted = al.allocate(allocator, SETTINGS, 0.0, first).rate
        other = sh.AllocationRequest("h2", 1, "a", number=1, demand=900.0)
        self.assertLessEqual(
            al.allocate(allocator, SETTINGS, 0.1, other).rate, 100.0 - granted + 1e-9
        )
        lapsed = 2 * (1 + DRIFT) + 0.01
        other.number = 2
        later = al.allocate(allocator, SETTINGS, lapsed, other).rate
        self.assertAlmostEqual(later, 75.0)

    def test_tokens_on_their_way_and_refill_share_the_burst(self):
        """Guards against a bucket that is emptied and then filled by a slow answer."""
        share, request = make_share()
        sh.apply_allocation(
            share, 0.0, 0.0, sh.Allocation(request, 1, 10.0, 10.0, 0.0, 9.0)
        )
        request = sh.make_request(share, 0.1)
        self.assertTrue(all(sh.draw_from_share(share, 1.2) for _ in range(10)))
        reply = sh.Allocation(request, 1, 10.0, 10.0, 9.0, 9.0)
        self.assertTrue(sh.apply_allocation(share, 0.1, 1.2, reply))
        self.assertFalse(sh.draw_from_share(share, 1.2))

    def test_returned_tokens_count_only_with_given_up_burst(self):
        """Guards against a credit for tokens that the host may still hold."""
        allocator = al.start_allocator("a", 1, -10.0, 0.0, 20.0, 0.0)
        first = sh.AllocationRequest("h1", 1, "a", number=1, demand=9.0)
        burst = al.allocate(allocator, SETTINGS, 0.0, first).burst
        again = sh.AllocationRequest(
            "h1", 1, "a", epoch=1, number=2, burst=burst, returned=5.0
        )
        al.allocate(allocator, SETTINGS, 0.0, again)
        self.assertEqual(allocator.bucket.tokens, 0.0)

    def test_idle_host_holds_nothing(self):
        share, request = make_share()
        allocator = al.start_allocator("a", 1, -10.0, 100.0, 50.0, 0.0)
        reply = al.allocate(allocator, SETTINGS, 0.0, request)
        sh.apply_allocation(share, 0.0, 0.0, reply)
        share.expires_at = 100.0
        request = sh.make_request(share, 20.0)
        self.assertEqual((request.rate, request.burst, request.tokens), (0, 0, 0))
        self.assertGreater(request.returned, 0)


ME, MATE = ("h1", 1), ("h2", 1)
SPEC = zl.lease_spec(zl.ZoneLease("a", *ME, 3, [MATE], 5))


def make_lease_state(host, spec=SPEC, incarnation=1):
    """Return the state of a host that has seen a lease at time 0."""
    state = zl.LeaseState("a", host, incarnation, 0.0)
    zl.observe_lease(state, SETTINGS, 0.0, 0.0, 4, spec)
    return state


def make_holder():
    """Return the state of a holder with one standby that renewed at time 0."""
    state = zl.LeaseState("a", *ME, 0.0)
    spec, _ = zl.plan_write(state, SETTINGS, 0.0, [MATE])
    zl.record_written(state, SETTINGS, 0.0, 0.0, 4, spec)
    return state


class TestZoneLease(unittest.TestCase):
    """Guards against two holders at once and a lease that no host can take over."""

    @params(
        ("h2", 10.0, False),
        ("h2", 10.2, True),
        ("h3", 10.2, False),
        ("h3", 7272.1, True),
    )
    def test_take_over(self, host, now, may):
        self.assertEqual(zl.may_take_over(make_lease_state(host), SETTINGS, now), may)

    @params(
        ({"standbys": []}, "h3", 1, 10.2, True),
        ({"released": True}, "h2", 1, 0.1, True),
        ({}, "h1", 2, 0.1, True),
    )
    def test_take_over_of(self, changes, host, incarnation, now, may):
        state = make_lease_state(host, {**SPEC, **changes}, incarnation)
        self.assertEqual(zl.may_take_over(state, SETTINGS, now), may)

    def test_promise_delays_take_over(self):
        state = make_lease_state("h2")
        self.assertFalse(zl.confirm_lease(state, SETTINGS, 9.0, *ME, 3))
        zl.record_reachability(state, False)
        self.assertFalse(zl.confirm_lease(state, SETTINGS, 9.0, *ME, 2))
        self.assertTrue(zl.confirm_lease(state, SETTINGS, 9.0, *ME, 3))
        self.assertFalse(zl.may_take_over(state, SETTINGS, 19.0))
        self.assertTrue(zl.may_take_over(state, SETTINGS, 19.2))

    def test_restarted_or_unsettled_standby_does_not_confirm(self):
        restarted = make_lease_state("h2", incarnation=2)
        writing = make_lease_state("h2")
        self.assertIsNotNone(zl.plan_write(writing, SETTINGS, 11.0))
        for state in (restarted, writing):
            zl.record_reachability(state, False)
            self.assertFalse(zl.confirm_lease(state, SETTINGS, 11.0, *ME, 3))

    def test_confirmations_extend_up_to_the_autonomy_limit(self):
        state, now = make_holder(), 0.0
        while now < 7300:
            if not zl.holds_lease(state, SETTINGS, now):
                break
            zl.record_confirmation(state, SETTINGS, now, now, MATE, 1)
            now += 5.0
        self.assertTrue(7120 < now < 7200, now)

    def test_lapsed_hold_needs_a_new_epoch(self):
        state = make_holder()
        spec, _ = zl.plan_write(state, SETTINGS, 3.0, [MATE])
        zl.record_written(state, SETTINGS, 10.0, 3.0, 5, spec)
        self.assertFalse(zl.holds_lease(state, SETTINGS, 10.0))
        self.assertEqual(zl.plan_write(state, SETTINGS, 10.0)[0]["epoch"], 2)

    def test_lost_answer_is_written_again(self):
        state = make_holder()
        write = zl.plan_write(state, SETTINGS, 3.0, [MATE])
        self.assertIsNone(zl.plan_write(state, SETTINGS, 3.5))
        self.assertEqual(zl.plan_write(state, SETTINGS, 4.5), write)
        zl.observe_lease(state, SETTINGS, 5.0, 4.9, 5, write[0])
        self.assertTrue(zl.holds_lease(state, SETTINGS, 12.8))
        self.assertFalse(zl.holds_lease(state, SETTINGS, 12.9))

    def test_release_in_quarantine_is_not_drained(self):
        """Guards against skipping the quarantine while earlier grants are valid."""
        mate = make_lease_state("h2")
        spec, _ = zl.plan_write(mate, SETTINGS, 10.2)
        zl.record_written(mate, SETTINGS, 10.3, 10.2, 9, spec)
        zl.begin_release(mate)
        spec, _ = zl.plan_write(mate, SETTINGS, 11.0, drained=True)
        self.assertEqual((spec["released"], spec["drained"]), (True, False))

    def test_answer_to_another_write_starts_no_hold(self):
        """Guards against mistaking an earlier incarnation's write for this one's."""
        state = zl.LeaseState("a", "h1", 2, 0.0)
        zl.plan_write(state, SETTINGS, 0.0)
        zl.record_written(state, SETTINGS, 0.1, 0.0, 4, SPEC)
        self.assertFalse(zl.holds_lease(state, SETTINGS, 0.1))

    @params((True, 0.0), (False, 2.02))
    def test_release(self, drained, quarantine_s):
        holder, mate = make_holder(), make_lease_state("h2", SPEC)
        zl.begin_release(holder)
        self.assertFalse(zl.holds_lease(holder, SETTINGS, 0.1))
        spec, _ = zl.plan_write(holder, SETTINGS, 0.1, drained=drained)
        zl.observe_lease(mate, SETTINGS, 0.2, 0.2, 9, spec)
        spec, _ = zl.plan_write(mate, SETTINGS, 0.2)
        zl.record_written(mate, SETTINGS, 0.3, 0.2, 10, spec)
        self.assertTrue(zl.holds_lease(mate, SETTINGS, 0.3))
        self.assertAlmostEqual(zl.quarantine_s(mate, SETTINGS), quarantine_s)


def make_shares(own, other, wants, demand, epoch=1):
    """Return the zone shares of two zones as the holder of zone ``a`` sees them."""
    state = zs.ZoneShares("studio", "a", 1)
    entries = {"a": {"share": own, "wants": 0, "epoch": epoch}}
    entries["b"] = {"share": other, "wants": wants, "epoch": 1}
    zs.observe_shares(state, 4, {"zones": entries})
    zs.record_demand(state, 0.0, demand)
    return state


class TestZoneShares(unittest.TestCase):
    """Guards against shares used twice and against unnecessary platform writes."""

    @params(
        (1000, 0, 0, 50.0, 50.0, None),  # no wants
        (1000, 0, 40, 0.0, 50.0, 750),  # spare rate: more than the shortfall is given
        (500, 500, 40, 40.0, 50.0, None),  # demand is covered
        (1000, 0, 413.59, 400.0, 50.0, 500),  # both zones are short of rate
        (520, 480, 413.59, 400.0, 50.0, None),  # too little to be worth a write
        (1000, 0, 40, 10.0, 1.0, None),  # a burst of one cannot be divided
        (1000, 0, 40, 0.0, 1.0, 1000),  # but moves as a whole
    )
    def test_transfer(self, own, other, wants, demand, burst, amount):
        state = make_shares(own, other, wants, demand)
        plan = zs.plan_transfer(state, 9.0, 100.0, burst)
        self.assertEqual(plan and plan[1], amount)

    def test_giver_uses_the_smaller_value_until_settled(self):
        state = make_shares(1000, 0, 40, 0.0)
        zs.plan_transfer(state, 9.0, 100.0, 50.0)
        self.assertEqual(zs.find_usable_share(state), 250)
        self.assertIsNone(zs.plan_write(state, SETTINGS, 9.0, 100.0, 50.0, False))
        write = zs.plan_write(state, SETTINGS, 9.0, 100.0, 50.0, True)
        zs.observe_shares(state, 4, write[0])
        self.assertEqual(zs.find_usable_share(state), 250)
        again = zs.plan_write(state, SETTINGS, 12.0, 100.0, 50.0, True)
        self.assertEqual(again, write)
        zs.observe_shares(state, 5, write[0])
        self.assertEqual(
            (zs.find_usable_share(state), state.pending_write), (250, None)
        )

    def test_new_holder_writes_its_epoch_first(self):
        state = make_shares(600, 400, 0, 50.0, epoch=0)
        self.assertEqual(zs.find_usable_share(state), 0)
        spec, expected = zs.plan_write(state, SETTINGS, 9.0, 100.0, 50.0, True)
        self.assertEqual((spec["zones"]["a"]["epoch"], expected), (1, 4))
        self.assertEqual(zs.find_usable_share(state), 0)
        zs.observe_shares(state, 5, spec)
        self.assertEqual(zs.find_usable_share(state), 600)

    def test_lost_zone_is_reclaimed_after_reads_over_two_hours(self):
        state, other = make_shares(600, 400, 0, 50.0), make_lease_state("h9")
        zl.observe_lease(other, SETTINGS, 7273.0, 7273.0, 4, SPEC)
        self.assertFalse(zl.is_abandoned(other, SETTINGS))
        zl.observe_lease(other, SETTINGS, 7275.0, 7275.0, 4, SPEC)
        self.assertTrue(zl.is_abandoned(other, SETTINGS))
        zones = zs.plan_reclaim(state, 9.0, ["b"])[0]["zones"]
        self.assertEqual((zones["a"]["share"], zones["b"]["share"]), (1000, 0))
