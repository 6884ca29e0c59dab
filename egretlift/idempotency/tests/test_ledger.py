"""Tests of the ledger, mainly by comparison with a model."""

import unittest

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from egretlift import idempotency as ip
from egretlift.idempotency import RecordState as State
from egretlift.outcome import Outcome
from egretlift.settings import Settings

SETTINGS = Settings(
    {
        "ledger_records": 3,
        "ledger_answer_bytes": 6,
        "ledger_total_bytes": 10,
        "identifier_lifetime_s": 50.0,
    }
)
# Names that start with "c" are caller-made and have a claim; the others are issued.
NAMES = st.sampled_from(["c1", "c2", "i1", "i2", "i3"])
ISSUED_UNTIL = {"i1": 30.0, "i2": 60.0, "i3": 200.0}
FINGERPRINTS = st.sampled_from("pppq")


class LedgerMachine(RuleBasedStateMachine):
    """Compares the ledger with a model that never evicts or expires entries.

    ``model`` maps each name to [state, fingerprint, expiry, answer, waiters]. An issued
    name stays in the model after it expires, so that a second dispatch is detected.
    """

    def __init__(self):
        super().__init__()
        self.ledger = ip.Ledger()
        self.now = 0.0
        self.model = {}
        self.dispatched = {}
        self.waiter = 0

    def expected_state(self, name, fingerprint):
        entry = self.model.get(name)
        if entry is None:
            if self.now >= ISSUED_UNTIL.get(name, float("inf")):
                return State.EXPIRED
            full = len(self.ledger.records) >= SETTINGS.ledger_records
            return State.FULL if full else State.FIRST
        if entry[0] is not State.RUNNING and self.now >= entry[2]:
            return State.EXPIRED
        return entry[0] if entry[1] == fingerprint else State.MISMATCH

    @rule(name=NAMES, fingerprint=FINGERPRINTS)
    def open(self, name, fingerprint):
        expected = self.expected_state(name, fingerprint)
        end, claimed = ISSUED_UNTIL.get(name), name.startswith("c")
        state = ip.open_record(
            self.ledger, SETTINGS, self.now, "o", name, fingerprint, end, claimed
        )
        assert state is expected, (state, expected)
        if state is State.FIRST:
            self.dispatched[name] = self.dispatched.get(name, 0) + 1
            end = self.now + 50.0 if end is None else end
            self.model[name] = [State.RUNNING, fingerprint, end, None, []]

    @rule(name=NAMES)
    def wait(self, name):
        self.waiter += 1
        running = name in self.model and self.model[name][0] is State.RUNNING
        assert ip.add_waiter(self.ledger, "o", name, self.waiter) == running
        if running:
            self.model[name][4].append(self.waiter)

    @rule(name=NAMES)
    def stop_waiting(self, name):
        waiters = self.model[name][4] if name in self.model else []
        ip.remove_waiter(self.ledger, "o", name, waiters.pop(0) if waiters else 0)

    @rule(
        name=NAMES,
        outcome=st.sampled_from(
            [Outcome.WHOLE, Outcome.FAILED_WAS_RUN, Outcome.UNKNOWN]
        ),
        answer=st.binary(min_size=1, max_size=8),
    )
    def finish(self, name, outcome, answer):
        if ip.find_record(self.ledger, "o", name) is None:
            return
        entry = self.model[name]
        waiters = ip.finish_record(
            self.ledger, SETTINGS, self.now, "o", name, outcome, answer
        )
        assert waiters == entry[4], (waiters, entry)
        entry[4] = []
        if entry[0] is not State.DONE:
            known = outcome is not Outcome.UNKNOWN
            entry[0] = State.DONE if known else State.UNKNOWN
            entry[3] = answer if known else None

    @rule(name=NAMES)
    def forget(self, name):
        running = name in self.model and self.model[name][0] is State.RUNNING
        waiters = ip.delete_unexecuted_record(self.ledger, "o", name)
        assert waiters == (self.model[name][4] if running else None)
        if running:
            del self.model[name]
            self.dispatched[name] -= 1

    @rule(seconds=st.floats(0, 20))
    def advance(self, seconds):
        self.now += seconds

    @rule(remove_claims=st.booleans())
    def expire(self, remove_claims):
        for organisation, name in ip.delete_expired_records(self.ledger, self.now):
            assert name.startswith("c") and self.now >= self.model[name][2]
            if remove_claims:
                assert ip.delete_expired_record(
                    self.ledger, self.now, organisation, name
                )
                del self.model[name]
                self.dispatched[name] -= 1

    @invariant()
    def dispatched_at_most_once(self):
        assert all(count <= 1 for count in self.dispatched.values()), self.dispatched

    @invariant()
    def record_stays_until_its_end(self):
        for name, (state, _, end, _, _) in self.model.items():
            if self.now < end or state is State.RUNNING:
                assert ip.find_record(self.ledger, "o", name).state is state

    @invariant()
    def memory_is_bounded(self):
        assert len(self.ledger.records) <= 3
        kept = [r.answer for r in self.ledger.records.values() if r.answer is not None]
        assert sum(map(len, kept)) == self.ledger.answer_bytes <= 10
        assert len(kept) == len(self.ledger.answers)
        for (_, name), record in self.ledger.records.items():
            assert record.answer in (None, self.model[name][3])


LedgerMachine.TestCase.settings = hypothesis_settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=60
)
TestLedgerModel = LedgerMachine.TestCase


class TestLedger(unittest.TestCase):
    """Guards against lost answers and against recording "not run" as a run."""

    def test_latest_answer_is_kept(self):
        ledger = ip.Ledger()
        for name, size in (("a", 6), ("b", 4), ("c", 2), ("d", 7)):
            ip.open_record(ledger, SETTINGS, 0.0, "o", name, "p")
            ip.finish_record(
                ledger, SETTINGS, 0.0, "o", name, Outcome.WHOLE, b"x" * size
            )
        kept = {key[1]: record.answer for key, record in ledger.records.items()}
        self.assertEqual(kept, {"a": None, "b": b"xxxx", "c": b"xx"})

    def test_not_run_is_no_end(self):
        ledger = ip.Ledger()
        ip.open_record(ledger, SETTINGS, 0.0, "o", "a", "p")
        with self.assertRaises(ValueError):
            ip.finish_record(ledger, SETTINGS, 0.0, "o", "a", Outcome.REFUSED_NOT_RUN)

    def test_organisations_are_separate(self):
        ledger = ip.Ledger()
        for organisation in ("o", "q", None):
            state = ip.open_record(ledger, SETTINGS, 0.0, organisation, "a", "p")
            self.assertEqual(state, State.FIRST)
