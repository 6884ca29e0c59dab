"""Tests of retry allowances, retry budgets and repeated calls."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from nose2.tools import params

from egretlift.outcome import Outcome
from egretlift.retries import (
    RepeatRecords,
    RetryBudget,
    RetryBudgets,
    charge_repeat,
    charge_retry,
    close_allowance,
    ensure_budget,
    had_failure,
    lend_retries,
    open_allowance,
    record_call_outcome,
    record_first_attempt,
    settle_loan,
    spend_budget,
    spend_retry,
)
from egretlift.retries.budget import MAX_TARGETS
from egretlift.retries.repeats import MAX_FINGERPRINTS
from egretlift.settings import Settings


def make_budget(tokens):
    """Return a retry budget that holds the given number of tokens."""
    budget = RetryBudget()
    budget.tokens = tokens
    return budget


class AllowanceTree(RuleBasedStateMachine):
    """Random call trees; guards against retries that multiply along the tree."""

    def __init__(self):
        super().__init__()
        self.total = 5
        self.spent = 0
        # Nodes are [allowance, parent node, retries lent by the parent].
        self.nodes = [[open_allowance(self.total), None, 0]]

    @rule(at=st.integers(0, 99), keep=st.integers(0, 2))
    def call(self, at, keep):
        parent = self.nodes[at % len(self.nodes)]
        lent = lend_retries(parent[0], keep)
        self.nodes.append([open_allowance(lent), parent, lent])

    @rule(at=st.integers(0, 99))
    def retry(self, at):
        self.spent += spend_retry(self.nodes[at % len(self.nodes)][0])

    @rule(at=st.integers(0, 99))
    def repeat(self, at):
        records = RepeatRecords()
        record_call_outcome(records, b"x", Outcome.UNKNOWN)
        allowance = self.nodes[at % len(self.nodes)][0]
        payment = (allowance, make_budget(10), Settings(), 0.0)
        self.spent += charge_repeat(records, b"x", *payment)

    @precondition(lambda self: len(self.nodes) > 1)
    @rule(at=st.integers(0, 99), lost=st.booleans(), excess=st.integers(0, 9))
    def answer(self, at, lost, excess):
        # Nested calls of the one that answers may still be running.
        allowance, parent, lent = self.nodes.pop(1 + at % (len(self.nodes) - 1))
        unused = allowance.available == lent
        if lost:
            # The call may continue to run and spend all its retries.
            self.spent += close_allowance(allowance)
            settle_loan(parent[0], lent, None)
        else:
            # Reports more retries than were lent, which `settle_loan` must not accept.
            reported = close_allowance(allowance) + (excess if unused else 0)
            settle_loan(parent[0], lent, reported)

    @invariant()
    def never_more_than_the_total(self):
        left = sum(node[0].available for node in self.nodes)
        assert self.spent + left <= self.total
        assert all(n[0].available >= 0 and n[0].lent >= 0 for n in self.nodes)


TestAllowanceTree = AllowanceTree.TestCase
TestAllowanceTree.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=60
)


class TestAllowance(unittest.TestCase):
    """Guards against wrong numbers of retries lent to nested calls."""

    def test_loans(self):
        allowance = open_allowance(5)
        self.assertEqual([lend_retries(allowance), lend_retries(allowance)], [5, 0])
        settle_loan(allowance, 5, 3)
        self.assertEqual([lend_retries(allowance), lend_retries(allowance)], [2, 1])

    def test_lost_response_with_a_kept_retry(self):
        allowance = open_allowance(2)
        settle_loan(allowance, lend_retries(allowance, keep=1), None)
        self.assertEqual(
            [spend_retry(allowance), spend_retry(allowance)], [True, False]
        )


class TestBudget(unittest.TestCase):
    """Guards against more retries than the ratio to first attempts allows."""

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.booleans(), max_size=400))
    def test_share(self, steps):
        budget, chosen = RetryBudget(), Settings()
        first_attempts = retries = 0
        for is_first in steps:
            if is_first:
                first_attempts += 1
                record_first_attempt(budget, chosen, 0.0)
            else:
                retries += spend_budget(budget, chosen, 0.0)
        self.assertLessEqual(retries, 1 + 0.1 * first_attempts + 1e-6)
        self.assertLessEqual(budget.tokens, chosen.retry_burst)

    @params(
        ("budget", 1, 1, 9, True, 0),
        ("budget", 0, 1, 1, False, 0),
        ("budget", 1, 0, 1, False, 1),
        ("fixed", 0, 0, 2, True, 0),
        ("fixed", 9, 9, 3, False, 9),
        ("none", 9, 9, 1, False, 9),
    )
    def test_policies(self, policy, left, tokens, tries, allowed, left_after):
        allowance, budget = open_allowance(left), RetryBudget()
        budget.tokens = tokens
        chosen = Settings({"retry_policy": policy})
        retry = charge_retry(allowance, budget, chosen, 0.0, tries)
        self.assertEqual((retry, allowance.available), (allowed, left_after))

    def test_new_targets_do_not_mint_tokens(self):
        budgets = RetryBudgets()
        found = {id(ensure_budget(budgets, str(n))) for n in range(2 * MAX_TARGETS)}
        self.assertEqual(len(found), MAX_TARGETS + 1)


class TestRepeats(unittest.TestCase):
    """Guards against retry loops of upstreams that are not charged."""

    @params(Outcome.REFUSED_NOT_RUN, Outcome.FAILED_WAS_RUN, Outcome.UNKNOWN)
    def test_repeat_is_charged(self, outcome):
        records, budget = RepeatRecords(), make_budget(10)
        payment = (open_allowance(1), budget, Settings(), 0.0)
        self.assertTrue(charge_repeat(records, b"a", *payment))
        record_call_outcome(records, b"a", outcome)
        self.assertTrue(had_failure(records))
        self.assertTrue(charge_repeat(records, b"b", *payment))
        answers = [charge_repeat(records, b"a", *payment) for _ in range(2)]
        self.assertEqual(answers, [True, False])
        self.assertEqual(budget.tokens, 9)
        record_call_outcome(records, b"a", Outcome.WHOLE)
        self.assertTrue(charge_repeat(records, b"a", *payment))

    @params((True, 10, False), (False, 10, True), (False, 0, False))
    def test_repeat_next_to_the_failure_only(self, nested_failed, tokens, allowed):
        """Guards against repeats on every level of a call chain, which multiply."""
        records = RepeatRecords()
        record_call_outcome(records, b"a", Outcome.FAILED_WAS_RUN, nested_failed)
        payment = (open_allowance(2), make_budget(tokens), Settings(), 0.0)
        self.assertEqual(charge_repeat(records, b"a", *payment), allowed)

    def test_many_failures_charge_everything(self):
        records = RepeatRecords()
        for n in range(MAX_FINGERPRINTS + 1):
            record_call_outcome(records, str(n).encode(), Outcome.UNKNOWN)
        payment = (open_allowance(0), make_budget(10), Settings(), 0.0)
        self.assertFalse(charge_repeat(records, b"new", *payment))
