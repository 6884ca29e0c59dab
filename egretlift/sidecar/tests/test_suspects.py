"""Tests of ends of the upstream, as a daemon sees them, and of datagrams about them."""

import asyncio
import json
import unittest

from egretlift.admission import quarantine as policy
from egretlift.admission.slots import set_slot_count
from egretlift.clock import read_clock
from egretlift.membership.peers import merge_report
from egretlift.membership.tests.test_peers import make_report
from egretlift.membership.upstream import Announcement, accept_announcement
from egretlift.outcome import Outcome
from egretlift.serving.call import ensure_fingerprint
from egretlift.serving.execution import execute_locally
from egretlift.serving.tests.test_offers import make_call
from egretlift.serving.upstream_ends import (
    judge_call,
    mark_unreachable,
    record_broken_call,
    record_ended_call,
)
from egretlift.sidecar.datagrams import SUSPECTS, encode_datagram
from egretlift.sidecar.heartbeats import handle_heartbeat, process_heartbeat
from egretlift.sidecar.suspects import send_suspects
from egretlift.sidecar.tests.test_datagrams import make_board, receive
from egretlift.transport.http_messages import Request
from egretlift.transport.messages import Answer

FIRST = "0123456789abcdef"


def make_heartbeat(board, number=1, state="ready"):
    """Return a heartbeat of one of the upstreams of the board's host."""
    service = board.settings.service
    return Announcement(
        f"i-{number}", service, "10.0.0.1:80", 8, state, 1000 + number, number
    )


def make_board_with_upstream():
    """Return a board whose upstream is ready."""
    board = make_board()
    accept_announcement(
        board.upstream, make_heartbeat(board), board.settings.service, 0
    )
    set_slot_count(board.slots, 8)
    return board


def make_view(number=1):
    """Return a call with a target of its own."""
    return make_call(
        method="GET", target=f"/view/{number}", headers=[("Host", "h")], body=b""
    )


async def replace_upstream(board):
    """Let the next upstream send its first heartbeat."""
    board.counter_stored = 10**6
    await process_heartbeat(board, make_heartbeat(board, 2))


async def drain_and_replace(board):
    """Let the upstream drain, and then the next one send its first heartbeat."""
    board.counter_stored = 10**6
    drained = make_heartbeat(board, 1, "draining")
    drained.sequence = 2
    await process_heartbeat(board, drained)
    await replace_upstream(board)


async def leave(board):
    """Let the upstream say that it leaves, and then refuse connections."""
    board.counter_stored = 10**6
    request = Request("DELETE", "/-/instances/i-1", [], {}, b"", True)
    await handle_heartbeat(board, request)
    mark_unreachable(board, "i-1")


async def refuse_connections(board):
    """Let the upstream refuse a connection."""
    mark_unreachable(board, "i-1")


async def keep_serving(board):
    """Let the upstream take the connection that checks whether it has ended."""
    server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
    board.settings.upstream = server.sockets[0].getsockname()
    await board.upstream_check
    server.close()


async def stop_serving(board):
    """Let the check whether the upstream has ended find no listener."""
    await keep_serving(board)
    record_broken_call(board, make_view(), board.upstream.current)
    await board.upstream_check


class TestEnds(unittest.TestCase):
    """What counts as an end of the upstream, and whom it makes suspect."""

    def test_ends(self):
        """Guards against suspects after resets and departures, and missed ends."""
        for name, happen, is_suspected in (
            ("connections refused", refuse_connections, True),
            ("replaced unannounced", replace_upstream, True),
            ("no listener", stop_serving, True),
            ("only a connection was reset", keep_serving, False),
            ("drained", drain_and_replace, False),
            ("left", leave, False),
        ):
            with self.subTest(name):
                asyncio.run(self.check_end(happen, is_suspected))

    async def check_end(self, happen, is_suspected):
        """Check whether a call is suspected that broke before something happened."""
        board, call = make_board_with_upstream(), make_view()
        record_broken_call(board, call, board.upstream.current)
        await happen(board)
        self.assertEqual(call.fingerprint in board.quarantine.suspects, is_suspected)
        self.assertEqual(board.changed_suspects, set(board.quarantine.suspects))
        if board.upstream_check:
            board.upstream_check.cancel()

    def test_refusal_and_acquittal(self):
        """Guards against deadly requests that run, and refusals after a completion."""
        whole = Answer(Outcome.WHOLE, 200)
        for name, before, after, expected in (
            ("never completed", None, None, policy.QUARANTINED),
            ("completed before", whole, None, None),
            ("completed since", None, whole, None),
            ("failed by itself", None, Answer(Outcome.FAILED_WAS_RUN, 500), None),
            ("broke", None, Answer(Outcome.UNKNOWN, 502), policy.QUARANTINED),
            ("refused", None, Answer(Outcome.REFUSED_NOT_RUN, 503), policy.QUARANTINED),
        ):
            with self.subTest(name):
                board, call, now = make_board_with_upstream(), make_view(), read_clock()
                if before is not None:
                    record_ended_call(board, call, before)
                for number in range(3):
                    upstream = f"i-{number}@1"
                    policy.add_end(
                        board.quarantine, ensure_fingerprint(call), upstream, now, now
                    )
                if after is not None:
                    record_ended_call(board, call, after)
                self.assertEqual(judge_call(board, make_view()), expected)
                self.assertIsNone(judge_call(board, make_view(2)))


class TestRunningCalls(unittest.TestCase):
    """Calls that are running when their like are quarantined."""

    def test_calls_are_broken_off(self):
        """Guards against upstreams that end after the cause is known."""
        for ends, statuses in ((2, [504, 504]), (3, [502, 504])):
            with self.subTest(ends=ends):
                self.assertEqual(asyncio.run(self.run_calls(ends)), statuses)

    async def run_calls(self, ends):
        """Return the statuses of two calls, the first of which others tell ends of."""
        board = make_board_with_upstream()

        async def keep_silent(reader, writer):
            await reader.read()
            writer.close()

        server = await asyncio.start_server(keep_silent, "127.0.0.1", 0)
        board.settings.upstream = server.sockets[0].getsockname()
        deadline = read_clock() + 0.3
        calls = [make_view(number) for number in (1, 2)]
        for number, call in enumerate(calls):
            call.request_id, call.deadline, call.origin_at = f"r{number}", deadline, 0.0
            call.is_inner = True
        running = [asyncio.create_task(execute_locally(board, call)) for call in calls]
        await asyncio.sleep(0.1)
        told = {f"i-{number}@1": 0.0 for number in range(ends)}
        suspects = {ensure_fingerprint(calls[0]): told}
        receive(
            board,
            encode_datagram(SUSPECTS, [board.settings.service, "h", suspects, {}]),
        )
        answers = await asyncio.gather(*running)
        server.close()
        return [answer.status for answer in answers]


class TestDatagrams(unittest.TestCase):
    """What daemons of a service tell one another."""

    def test_ends_and_completions(self):
        """Guards against hosts that miss a deadly request, or its release."""
        first, second = make_board(), make_board()
        add_other_host(first)
        add_other_host(second)
        now = read_clock()
        for number in range(3):
            policy.add_end(first.quarantine, FIRST, f"i-{number}@1", now, now)
        pass_on(first, second, [FIRST])
        self.assertTrue(policy.is_quarantined(second.quarantine, FIRST))
        self.assertFalse(second.changed_suspects)
        policy.record_completion(second.quarantine, FIRST, read_clock())
        pass_on(second, first, [FIRST])
        self.assertFalse(first.quarantine.suspects)

    def test_refuted_ends(self):
        """Guards against a request quarantined that has completed on another host."""
        for count, is_told in ((1, False), (2, True)):
            with self.subTest(count=count):
                first, second = make_board(), make_board()
                add_other_host(first)
                now = read_clock()
                policy.record_completion(second.quarantine, FIRST, now - 5.0)
                for number in range(count):
                    policy.add_end(first.quarantine, FIRST, f"i-{number}@1", now, now)
                pass_on(first, second, [FIRST])
                self.assertFalse(second.quarantine.suspects)
                self.assertEqual(second.changed_suspects, {FIRST} if is_told else set())

    def test_completion_of_long_ago(self):
        """Guards against an old completion that counts as new elsewhere."""
        first, second = make_board(), make_board()
        add_other_host(first)
        now = read_clock()
        for number in range(3):
            policy.add_end(second.quarantine, FIRST, f"i-{number}@1", now, now)
        policy.record_completion(first.quarantine, FIRST, now - 2 * policy.HARMLESS_S)
        pass_on(first, second, [FIRST])
        self.assertTrue(policy.is_quarantined(second.quarantine, FIRST))

    def test_question(self):
        """Guards against a restarted daemon that runs what others have quarantined."""
        first, second = make_board(), make_board()
        for board in (first, second):
            add_other_host(board)
        now = read_clock()
        policy.add_end(first.quarantine, FIRST, "i-1@1", now, now)
        receive(first, encode_question(second))
        self.assertFalse(first.datagrams.sent)
        policy.add_end(first.quarantine, FIRST, "i-2@1", now, now)
        receive(first, encode_question(second))
        ((datagram, _),) = first.datagrams.sent
        receive(second, json.dumps(datagram).encode())
        self.assertEqual(len(second.quarantine.suspects[FIRST].ends), 2)

    def test_size(self):
        """Guards against datagrams too large for a packet or for the receiver."""
        first, second = make_board(), make_board()
        add_other_host(first)
        names, now = [f"{number:016x}" for number in range(40)], read_clock()
        for name in names:
            for number in range(policy.ENDS_MAXIMUM):
                upstream = f"i-{number:010x}@1796444288079"
                policy.add_end(first.quarantine, name, upstream, now, now)
        pass_on(first, second, names)
        self.assertEqual(set(second.quarantine.suspects), set(names))
        for datagram, _ in first.datagrams.sent:
            self.assertLess(len(json.dumps(datagram)), 4096)

    def test_malformed(self):
        """Guards against malformed values that raise an error or make suspects."""
        board = make_board()
        service, ends = board.settings.service, {"i-1@1": 1.0}
        many = {f"{number:016x}": ends for number in range(9)}
        for values in (
            [],
            {},
            [service, "h", {FIRST: ends}],
            [service, "h", [FIRST], {}],
            [service, "h", {FIRST: ends}, [FIRST]],
            [service, "h", {FIRST: ["i-1@1"]}, {}],
            [service, "h", {FIRST: {"i-1@1": "1"}}, {}],
            [service, "h", {FIRST: {"i-1@1": None}}, {}],
            [service, "h", {FIRST: {"i-1@1": -1}}, {}],
            [service, "h", {FIRST: {"i-1@1": 10**400}}, {}],
            [service, "h", {FIRST: {"i-1@1": float("inf")}}, {}],
            [service, "h", {FIRST: {"i-1@1": float("nan")}}, {}],
            [service, "h", {FIRST: {"i" * 300: 1.0}}, {}],
            [service, "h", {FIRST: {f"i-{number}": 1.0 for number in range(9)}}, {}],
            [service, "h", {"short": ends}, {}],
            [service, "h", {}, {FIRST: float("nan")}],
            [service, "h", {}, {FIRST: 10**400}],
            [service, "h", many, {}],
            [service, 7, {FIRST: ends}, {}],
            [7, "h", {FIRST: ends}, {}],
            ["other", "h", {FIRST: ends}, {}],
        ):
            with self.subTest(values=str(values)[:60]):
                receive(board, encode_datagram(SUSPECTS, values))
                self.assertFalse(board.quarantine.suspects)
                self.assertFalse(board.quarantine.completed)


def add_other_host(board):
    """Let a board learn of another host of its service."""
    report = make_report(host="other", service=board.settings.service, zone="far")
    merge_report(board.peers, report, read_clock())
    board.directory = None


def encode_question(board):
    """Return the question of a daemon that has just started, of the host "other"."""
    return encode_datagram(SUSPECTS, [board.settings.service, "other", {}, {}])


def pass_on(sender, receiver, fingerprints):
    """Pass what one board knows on to another one."""
    sender.datagrams.sent.clear()
    send_suspects(sender, fingerprints, sender.list_service_peers())
    for datagram, _ in sender.datagrams.sent:
        receive(receiver, json.dumps(datagram).encode())
