"""Tests of the quarantine: evidence, verdicts, memory, and a simulated service."""

import heapq
import random
import unittest
import zlib

from egretlift.admission import quarantine as policy
from egretlift.admission.quarantine import Quarantine

HOSTS = 6
# Time for which requests run, for which a deadly one runs until it ends its upstream,
# that an upstream takes to start again, and that a message takes.
RUN_S = 0.16
DEADLY_S = 0.06
RESTART_S = 3.0
MESSAGE_S = 0.002


def add_ends(quarantine, fingerprint, count, now=0.0, first=0):
    """Add ends of ``count`` upstreams at one time to a suspect."""
    for number in range(first, first + count):
        policy.add_end(quarantine, fingerprint, f"i-{number}@1", now, now)


class TestFingerprint(unittest.TestCase):
    """Which requests are the same."""

    def test_fingerprint(self):
        """Guards against different requests with one fingerprint."""
        fields, body = ("GET", "h", "/view/1", "northlight"), b"x" * 70_000
        known = policy.make_fingerprint(fields, body)
        self.assertEqual(len(known), 2 * policy.FINGERPRINT_BYTES)
        for name, other_fields, other_body, same in (
            ("same", list(fields), bytes(body), True),
            ("method", ("PUT", *fields[1:]), body, False),
            ("field moved", ("GETh", "", *fields[2:]), body, False),
            ("organisation", (*fields[:3], "other"), body, False),
            ("not in UTF-8", ("GET", "h", "/view/\udcff", "northlight"), body, False),
            ("body", fields, b"y" + body[1:], False),
            ("length", fields, body + b"x", False),
        ):
            with self.subTest(name):
                other = policy.make_fingerprint(other_fields, other_body)
                self.assertEqual(other == known, same)


class TestVerdict(unittest.TestCase):
    """When a request is refused."""

    def test_verdict(self):
        """Guards against upstreams ended one after the other, and needless refusals."""
        quarantined, isolated = policy.QUARANTINED, policy.ISOLATED
        for name, ends, at, is_designated, other_runs, expected in (
            ("unknown", 0, 0.0, False, True, None),
            ("one end", 1, 0.0, False, True, None),
            ("two ends, elsewhere", 2, 0.0, False, False, isolated),
            ("two ends", 2, 0.0, True, False, None),
            ("two ends, beside another", 2, 0.0, True, True, isolated),
            ("three ends", 3, 0.0, True, False, quarantined),
            ("three ends, later", 3, 59.0, True, False, quarantined),
            ("tried again", 3, 61.0, True, False, None),
            ("tried again elsewhere", 3, 61.0, False, False, quarantined),
            ("four ends", 4, 61.0, True, False, quarantined),
            ("four ends, later", 4, 121.0, True, False, None),
            ("many ends", 30, 599.0, True, False, quarantined),
            ("many ends, later", 30, 601.0, True, False, None),
        ):
            with self.subTest(name):
                quarantine = Quarantine()
                add_ends(quarantine, "f", ends)
                if other_runs:
                    add_ends(quarantine, "g", 2)
                    self.assertTrue(policy.start_suspect(quarantine, "g"))
                verdict = policy.judge(quarantine, "f", is_designated, at)
                self.assertEqual(verdict, expected)

    def test_end_after_a_trial(self):
        """Guards against endless trials once the number of ends has its maximum."""
        quarantine = Quarantine()
        add_ends(quarantine, "f", policy.ENDS_MAXIMUM)
        self.assertIsNone(policy.judge(quarantine, "f", True, 601.0))
        add_ends(quarantine, "f", 1, 601.0, policy.ENDS_MAXIMUM)
        self.assertEqual(policy.judge(quarantine, "f", True, 602.0), policy.QUARANTINED)

    def test_isolation_ends_with_the_run(self):
        """Guards against suspects that wait for one that no longer runs."""
        quarantine = Quarantine()
        for name in ("f", "g"):
            add_ends(quarantine, name, 2)
        self.assertTrue(policy.start_suspect(quarantine, "f"))
        self.assertEqual(policy.judge(quarantine, "g", True, 0.0), policy.ISOLATED)
        policy.end_suspect(quarantine)
        self.assertIsNone(policy.judge(quarantine, "g", True, 0.0))
        self.assertFalse(policy.start_suspect(quarantine, "unknown"))


class TestEvidence(unittest.TestCase):
    """Which requests are suspected, and for how long."""

    def test_calls_that_were_running(self):
        """Guards against suspecting calls of other upstreams or of long ago."""
        for name, upstream, broken_at, ended_at, expected in (
            ("running at the end", "i-1@1", 5.0, 5.1, ["f"]),
            ("noticed late", "i-1@1", 5.0, 6.9, ["f"]),
            ("broke long before", "i-1@1", 5.0, 7.1, []),
            ("of an earlier upstream", "i-0@1", 5.0, 5.1, []),
        ):
            with self.subTest(name):
                quarantine = Quarantine()
                policy.record_broken(quarantine, upstream, "f", broken_at)
                found = policy.record_end(quarantine, "i-1@1", ended_at)
                self.assertEqual(found, expected)

    def test_call_that_breaks_after_the_end_is_known(self):
        """Guards against a cause that is missed as its connection broke last."""
        quarantine = Quarantine()
        self.assertFalse(policy.record_broken(quarantine, "i-1@1", "f", 0.0))
        self.assertEqual(policy.record_end(quarantine, "i-1@1", 0.0), ["f"])
        self.assertTrue(policy.record_broken(quarantine, "i-1@1", "g", 0.01))
        self.assertEqual(policy.record_end(quarantine, "i-1@1", 0.01), ["g"])
        self.assertFalse(policy.record_broken(quarantine, "i-2@1", "g", 0.02))

    def test_acquittal(self):
        """Guards against suspects that have completed, before or since."""
        for name, completed_at, ended_at, is_suspected in (
            ("completed since", 6.0, 5.0, False),
            ("completed just before", 4.0, 5.0, False),
            ("completed some time before", 4.0, 14.1, True),
            ("never completed", None, 5.0, True),
        ):
            with self.subTest(name):
                quarantine = Quarantine()
                if completed_at is not None and completed_at < ended_at:
                    policy.record_completion(quarantine, "f", completed_at)
                add_ends(quarantine, "f", 3, ended_at)
                if completed_at is not None and completed_at > ended_at:
                    self.assertTrue(
                        policy.record_completion(quarantine, "f", completed_at)
                    )
                self.assertEqual(policy.is_quarantined(quarantine, "f"), is_suspected)

    def test_acquittals_that_others_hear(self):
        """Guards against messages for each completion after an ordinary end."""
        for ends, expected in ((0, False), (1, False), (2, True), (3, True)):
            with self.subTest(ends=ends):
                quarantine = Quarantine()
                add_ends(quarantine, "f", ends)
                told = policy.record_completion(quarantine, "f", 1.0)
                self.assertEqual(told, expected)
                merged = policy.merge_ends(
                    quarantine, "f", {f"i-{n}@1": 1.0 for n in range(ends)}, 1.0
                )
                self.assertEqual(merged, expected)
                self.assertNotIn("f", quarantine.suspects)

    def test_merging(self):
        """Guards against ends that count twice as they are told several times."""
        quarantine = Quarantine()
        for _ in range(3):
            policy.merge_ends(quarantine, "f", {"i-1@1": 1.0, "i-2@1": 0.5}, 10.0)
        add_ends(quarantine, "f", 3, 9.0)
        self.assertEqual(len(quarantine.suspects["f"].ends), 3)
        self.assertEqual(quarantine.suspects["f"].ended_at, 9.5)
        policy.merge_ends(quarantine, "g", {"i-1@1": 5000.0}, 10_000.0)
        self.assertNotIn("g", quarantine.suspects)

    def test_forgetting(self):
        """Guards against suspects kept for ever, or only while they are refused."""
        for ends, kept_until in ((1, 300.0), (2, 300.0), (3, 360.0), (5, 540.0)):
            with self.subTest(ends=ends):
                quarantine = Quarantine()
                add_ends(quarantine, "f", ends)
                self.assertEqual(policy.forget_suspects(quarantine, kept_until), [])
                later = kept_until + 0.1
                self.assertEqual(policy.forget_suspects(quarantine, later), ["f"])
                self.assertFalse(quarantine.suspects)

    def test_memory(self):
        """Guards against unbounded tables, and quarantines lost to newer suspects."""
        quarantine = Quarantine()
        add_ends(quarantine, "deadly", 3)
        for number in range(3 * policy.COMPLETED_MAXIMUM):
            policy.record_completion(quarantine, f"c{number}", 0.001 * number)
            add_ends(quarantine, f"s{number}", 1 + number % 2, 0.001 * number)
            policy.record_broken(quarantine, "i-1@1", f"b{number}", 0.01 * number)
        self.assertEqual(len(quarantine.suspects), policy.SUSPECTS_MAXIMUM)
        self.assertEqual(len(quarantine.completed), policy.COMPLETED_MAXIMUM)
        self.assertLess(len(quarantine.broken), 250)
        self.assertTrue(policy.is_quarantined(quarantine, "deadly"))


class Service:
    """Simulated service of several hosts, whose daemons tell one another of suspects.

    Callers retry a broken request once on another host and return after that, as long
    as it is not quarantined.

    Attributes
    ----------
    ends : int
        Ends of upstreams caused by the deadly request.
    refused : dict of str to int
        Refusals of harmless requests, by reason.
    served : int
        Completions of harmless requests.
    """

    def __init__(self, seed, deadly=True, kills_per_s=0.0, kinds=10**9):
        self.random = random.Random(seed)
        self.deadly = deadly
        self.kills_per_s = kills_per_s
        self.kinds = kinds
        self.tables = [Quarantine() for _ in range(HOSTS)]
        self.running = [{} for _ in range(HOSTS)]
        self.starts = [0] * HOSTS
        self.down_until = [0.0] * HOSTS
        self.events = []
        self.number = 0
        self.ends = 0
        self.refused = {policy.QUARANTINED: 0, policy.ISOLATED: 0}
        self.served = 0

    def schedule(self, at, action, *details):
        """Call an action at a time."""
        self.number += 1
        heapq.heappush(self.events, (at, self.number, action, details))

    def run(self, seconds, per_s=60.0, deadly_per_s=3.0):
        """Run a load; requests arrive at even intervals."""
        for number in range(int(seconds * per_s)):
            kind = f"h{self.random.randrange(self.kinds)}"
            self.schedule(number / per_s, self.arrive, kind, 0)
        for number in range(int(seconds * deadly_per_s) if self.deadly else 0):
            self.schedule(1.0 + number / deadly_per_s, self.arrive, "deadly", 0)
        for number in range(int(seconds * self.kills_per_s)):
            self.schedule(1.0 + number / self.kills_per_s, self.kill)
        for number in range(int(seconds) * HOSTS):
            self.schedule(number / HOSTS, self.gossip, number % HOSTS)
        while self.events:
            now, _, action, details = heapq.heappop(self.events)
            action(now, *details)

    def arrive(self, now, name, attempt):
        """Start a request on a random host that is up, or refuse it."""
        up = [host for host in range(HOSTS) if self.down_until[host] <= now]
        if not up:
            return
        reason = None
        for host in self.random.sample(up, min(4, len(up))):
            is_designated = host == up[zlib.crc32(name.encode()) % len(up)]
            reason = policy.judge(self.tables[host], name, is_designated, now)
            if reason != policy.ISOLATED:
                break
        if reason:
            if name != "deadly":
                self.refused[reason] += 1
            if attempt < 4:
                self.schedule(now + 0.5, self.arrive, name, attempt + 1)
            return
        self.number += 1
        is_isolated = policy.start_suspect(self.tables[host], name)
        self.running[host][self.number] = (name, attempt)
        duration_s = DEADLY_S if name == "deadly" else RUN_S
        self.schedule(
            now + duration_s, self.finish, host, self.number, is_isolated, name
        )

    def finish(self, now, host, number, is_isolated, name):
        """End a run, which ends the upstream too if the request is deadly."""
        if number not in self.running[host]:
            return
        if name == "deadly":
            self.ends += 1
            self.end(now, host)
            return
        del self.running[host][number]
        if is_isolated:
            policy.end_suspect(self.tables[host])
        self.served += 1
        if policy.record_completion(self.tables[host], name, now):
            self.tell_all(now, host, name)

    def kill(self, now):
        """End one to all upstreams at once, without any request causing it."""
        for host in self.random.sample(range(HOSTS), self.random.randint(1, HOSTS)):
            if self.down_until[host] <= now:
                self.end(now, host)

    def end(self, now, host):
        """End an upstream: its calls break, and are suspected and sent elsewhere."""
        table, upstream = self.tables[host], f"i-{host}@{self.starts[host]}"
        broken, self.running[host] = self.running[host], {}
        self.starts[host] += 1
        self.down_until[host] = now + RESTART_S
        for name, _ in broken.values():
            policy.record_broken(table, upstream, name, now)
        policy.end_suspect(table)
        for name in policy.record_end(table, upstream, now):
            self.tell_all(now, host, name)
        for name, attempt in broken.values():
            if attempt < 4:
                self.schedule(now + 0.005, self.arrive, name, attempt + 1)

    def tell_all(self, now, host, name):
        """Tell all other hosts what a host knows about a request."""
        for other in range(HOSTS):
            if other != host:
                self.tell(now, host, other, name)

    def tell(self, now, host, other, name):
        """Tell another host what a host knows; one in ten messages is lost."""
        if self.random.random() < 0.1:
            return
        table = self.tables[host]
        suspect, completed_at = table.suspects.get(name), table.completed.get(name)
        ends = dict(suspect.ends) if suspect else {}
        self.schedule(now + MESSAGE_S, self.receive, other, name, ends, completed_at)

    def receive(self, now, host, name, ends, completed_at):
        """Receive what another host knows, and answer if it can be refuted."""
        table = self.tables[host]
        if completed_at is not None:
            policy.record_completion(table, name, completed_at)
        ages = {upstream: now - ended_at for upstream, ended_at in ends.items()}
        if policy.merge_ends(table, name, ages, now) and completed_at is None:
            self.tell_all(now, host, name)

    def gossip(self, now, host):
        """Tell one other host of the suspects that are isolated or quarantined."""
        other = self.random.choice([other for other in range(HOSTS) if other != host])
        for name in policy.list_endangered(self.tables[host]):
            self.tell(now, host, other, name)


class TestService(unittest.TestCase):
    """The quarantine over the hosts of a service."""

    SEEDS = range(20)
    # Part of the harmless requests that may be refused as suspects.
    REFUSED_MAXIMUM = 0.001

    def test_deadly_request(self):
        """Guards against ends that go on, and harmless requests that are refused."""
        for name, kinds in (("others differ", 10**9), ("others recur", 40)):
            services = []
            for seed in self.SEEDS:
                with self.subTest(name, seed=seed):
                    service = Service(seed, kinds=kinds)
                    service.run(20.0)
                    services.append(service)
                    # Lost messages and requests under way allow a few more than three.
                    self.assertLessEqual(service.ends, 5)
            with self.subTest(name):
                self.check_refusals(services)

    def check_refusals(self, services):
        """Check the part of the harmless requests that were refused."""
        refused = sum(sum(service.refused.values()) for service in services)
        served = sum(service.served for service in services)
        self.assertLessEqual(refused, self.REFUSED_MAXIMUM * served)

    def test_kills(self):
        """Guards against refusals after ends that no request causes."""
        for name, kinds in (("different", 10**9), ("recurring", 40), ("same", 1)):
            services = []
            for seed in self.SEEDS:
                with self.subTest(name, seed=seed):
                    service = Service(seed, deadly=False, kills_per_s=0.3, kinds=kinds)
                    service.run(20.0)
                    services.append(service)
                    self.assertEqual(service.refused[policy.QUARANTINED], 0)
            with self.subTest(name):
                self.check_refusals(services)


if __name__ == "__main__":
    unittest.main()
