"""Tests of further attempts, of the final answer and of the context header."""

import types
import unittest

from egretlift.clock import read_clock
from egretlift.load import Load
from egretlift.outcome import Outcome
from egretlift.serving.call import Call, decode_context, encode_context
from egretlift.serving.offers import (
    choose_answer,
    may_try_another_host,
    set_free_after,
)
from egretlift.serving.refusals import (
    NESTED_FAILURE,
    NESTED_OVERLOAD,
    answer_unknown,
    choose_retry_after_s,
    indicates_overload,
    refuse,
)
from egretlift.transport.messages import Answer


def make_call(**changes):
    """Return a call with 5 s left; ``changes`` replace its other values."""
    values = {
        "request_id": "r",
        "deadline": read_clock() + 5,
        "route": "views",
        "service": "checkout",
        "caller_service": "galleries",
        "organisation": "n",
        "rank": 22,
        "idempotent": True,
        "attempts": 2,
    }
    return Call(**{**values, **changes})


def make_failure(reason="upstream-failed", status=500):
    """Return the answer of an upstream that ran a call and failed."""
    answer = Answer(Outcome.FAILED_WAS_RUN, status, reason=reason)
    answer.reached = True
    return answer


class TestOffers(unittest.TestCase):
    """When a call is sent to another host, and which answer the caller gets."""

    def test_further_offers(self):
        """Guards against repeats of non-idempotent calls and needless refusals."""
        whole = Answer(Outcome.WHOLE, 200)
        for name, answer, changes, reached_count, expected in (
            ("whole", whole, {}, 1, False),
            ("refused by the daemon", refuse("overload"), {}, 0, True),
            ("refused booking", refuse("overload"), {"idempotent": False}, 0, True),
            ("not run", refuse("upstream-refused", reached=True), {}, 1, True),
            (
                "booking not run",
                refuse("upstream-refused", reached=True),
                {"idempotent": False},
                1,
                True,
            ),
            ("no attempt left", refuse("upstream-refused", reached=True), {}, 2, False),
            ("lost", answer_unknown("upstream-broke", 502), {}, 1, True),
            (
                "lost booking",
                answer_unknown("peer-broke", 502),
                {"idempotent": False},
                1,
                False,
            ),
            ("failed", make_failure(), {}, 1, True),
            ("failed booking", make_failure(), {"idempotent": False}, 1, False),
            ("failed further down", make_failure(NESTED_FAILURE), {}, 1, False),
            ("refused further down", make_failure(NESTED_OVERLOAD), {}, 1, False),
            ("timed out", answer_unknown("deadline", 504), {}, 1, False),
            ("paced", refuse("pressure"), {}, 0, False),
            ("budget used up", refuse("repeat-budget"), {}, 1, False),
            ("quarantined", refuse("quarantined"), {}, 0, False),
            ("isolated", refuse("isolated"), {}, 0, True),
            ("too late", refuse("overload"), {"deadline": read_clock()}, 0, False),
        ):
            with self.subTest(name):
                call = make_call(**changes)
                self.assertEqual(
                    may_try_another_host(call, answer, reached_count), expected
                )

    def test_time_to_return(self):
        """Guards against callers told to return before a limited host can take them."""
        for name, reasons, earliest_s, latest_s in (
            ("not limited", [("overload", 0.0)], 0.25, 0.75),
            ("limited", [("upstream-limit", 1.2)], 1.2, 1.7),
            ("free soon", [("upstream-limit", 0.1)], 0.25, 0.75),
            ("one frees sooner", [("upstream-limit", t) for t in (2, 1, 3)], 1.0, 1.5),
            ("one away", [("upstream-limit", 1.2), ("unconnected", 0.0)], 1.2, 1.7),
            ("very low limit", [("upstream-limit", 60.0)], 5.0, 5.5),
            ("quarantined", [("quarantined", 0.0)], 60.0, 60.5),
            ("isolated", [("isolated", 0.0)], 0.25, 0.75),
        ):
            with self.subTest(name):
                kept = None
                for reason, free_after_s in reasons:
                    answer = refuse(reason)
                    set_free_after(answer, Load(1, 8, 0, 0.1, 1.0, free_after_s))
                    kept = choose_answer(kept, answer)
                for draw in (0.0, 1.0):
                    random = types.SimpleNamespace(random=lambda draw=draw: draw)
                    chosen_s = choose_retry_after_s(kept, random)
                    self.assertGreaterEqual(chosen_s, earliest_s)
                    self.assertLessEqual(chosen_s, latest_s)

    def test_what_the_caller_hears(self):
        """Guards against "not run" for a call of which one attempt may have run."""
        refused, lost, failed = (
            refuse("overload"),
            answer_unknown("x", 502),
            make_failure(),
        )
        whole = Answer(Outcome.WHOLE, 200)
        for name, answers, expected in (
            ("refused twice", [refused, refuse("absent")], Outcome.REFUSED_NOT_RUN),
            ("lost, then refused", [lost, refused], Outcome.UNKNOWN),
            ("failed, then refused", [failed, refused], Outcome.FAILED_WAS_RUN),
            ("refused, then lost", [refused, lost], Outcome.UNKNOWN),
            ("lost, then whole", [lost, whole], Outcome.WHOLE),
        ):
            with self.subTest(name):
                kept = None
                for answer in answers:
                    kept = choose_answer(kept, answer)
                self.assertIs(kept.outcome, expected)

    def test_what_speaks_of_load(self):
        """Guards against slowing routes after faults, and not after timeouts."""
        for answer, expected in (
            (refuse("overload"), True),
            (refuse("deadline"), True),
            (answer_unknown("deadline", 504), True),
            (make_failure(NESTED_OVERLOAD), True),
            (refuse("upstream-refused", reached=True), False),
            (refuse("repeat-budget"), False),
            (make_failure(), False),
        ):
            with self.subTest(reason=answer.reason):
                self.assertEqual(indicates_overload(answer), expected)


class TestContext(unittest.TestCase):
    """The context header that passes a call from one daemon to another."""

    def test_round_trip(self):
        """Guards against an organisation or rank lost between two daemons."""
        for changes in (
            {},
            {"organisation": None, "is_inner": True, "of_repeat": True},
        ):
            with self.subTest(changes=changes):
                call = make_call(**changes)
                text = encode_context(call, call.deadline - 0.5)
                values = decode_context(text, 100.0)
                self.assertAlmostEqual(values["deadline"], 100.5, places=2)
                for name in (
                    "organisation",
                    "rank",
                    "service",
                    "is_inner",
                    "of_repeat",
                ):
                    self.assertEqual(values[name], getattr(call, name))

    def test_malformed(self):
        """Guards against malformed contexts that are accepted as a call."""
        good = encode_context(make_call(), 0.0)
        for text in ("", "x", good + " more", good.replace("22", "high")):
            with self.subTest(text=text):
                self.assertIsNone(decode_context(text, 0.0))


if __name__ == "__main__":
    unittest.main()
