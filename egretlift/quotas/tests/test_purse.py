"""Tokens that hosts hold and owners grant: lifetimes, amounts and loans."""

import unittest

from egretlift.quotas.home import (
    LOAN_RETRY_S,
    ZoneQuota,
    add_loan,
    find_lenders,
    grant_tokens,
    lend_tokens,
    postpone_loan,
    record_zone_report,
)
from egretlift.quotas.purse import (
    FALLBACK_LIFETIME_S,
    TOKEN_LIFETIME_S,
    LocalTokens,
    add_fallback_tokens,
    add_granted_tokens,
    prepare_request,
    return_local_token,
    take_local_token,
)
from egretlift.serving.routes import Organisation

ORGANISATION = Organisation("n", ("k",), 1, 100.0, 100.0)


class TestPurse(unittest.TestCase):
    """Tokens that one host holds."""

    def test_tokens_that_have_run_out(self):
        """Guards against expired tokens, used after a pause or a late answer."""
        for name, asked_at, now, expected in (
            ("at once", 10.0, 10.0, True),
            ("in time", 10.0, 10.0 + 0.9 * TOKEN_LIFETIME_S, True),
            ("after a pause", 10.0, 14.0, False),
            ("at the end of their life", 10.0, 10.0 + TOKEN_LIFETIME_S, False),
        ):
            with self.subTest(name):
                local = LocalTokens(0.0)
                add_granted_tokens(local, 2, asked_at)
                self.assertEqual(take_local_token(local, now), expected)

    def test_new_tokens_do_not_revive_old_ones(self):
        """Guards against expired tokens that become valid again with new ones."""
        local = LocalTokens(0.0)
        add_granted_tokens(local, 5, 0.0)
        add_granted_tokens(local, 1, 3.0)
        self.assertTrue(take_local_token(local, 3.1))
        self.assertFalse(take_local_token(local, 3.1))

    def test_token_of_a_request_that_has_not_run(self):
        """Guards against refused requests that use up the rate."""
        local = LocalTokens(0.0)
        add_granted_tokens(local, 1, 0.0)
        self.assertTrue(take_local_token(local, 0.9))
        return_local_token(local, 1.5)
        self.assertTrue(take_local_token(local, 1.6))
        self.assertFalse(take_local_token(local, 1.6))

    def test_demand(self):
        """Guards against large batches for hosts with rare requests."""
        for name, per_s, expected in (("rare", 0.2, 1), ("busy", 40.0, 10)):
            with self.subTest(name):
                local = LocalTokens(0.0)
                for second in range(1, 40):
                    local.counted = per_s
                    _, wanted = prepare_request(local, float(second))
                self.assertAlmostEqual(wanted, expected, delta=1)

    def test_part_of_a_host_alone(self):
        """Guards against a burst on every host that is cut off from its owner."""
        local = LocalTokens(0.0)
        add_granted_tokens(local, 5, 0.0)
        add_fallback_tokens(local, 5.0, ORGANISATION, 0.1)
        self.assertFalse(take_local_token(local, 5.0))
        add_fallback_tokens(local, 6.0, ORGANISATION, 0.1)
        self.assertTrue(take_local_token(local, 6.0))
        self.assertLessEqual(local.fallback_tokens, 0.1 * 100.0)
        add_fallback_tokens(local, 7.0 + FALLBACK_LIFETIME_S, ORGANISATION, 0.1)
        self.assertFalse(take_local_token(local, 7.0 + FALLBACK_LIFETIME_S))

    def test_tokens_of_a_home_that_is_lost(self):
        """Guards against granted tokens that are valid for as long as fallback ones."""
        local = LocalTokens(0.0)
        add_granted_tokens(local, 3, 0.0)
        add_fallback_tokens(local, 0.5, ORGANISATION, 0.001)
        self.assertTrue(take_local_token(local, 0.9))
        self.assertFalse(take_local_token(local, 1.1))


class TestHome(unittest.TestCase):
    """Tokens that the owner of one zone grants and lends."""

    def test_grants(self):
        """Guards against one host that gets all tokens, and against excess grants."""
        for name, tokens, fill_ratio, wanted, rank, expected in (
            ("enough", 40.0, 1.0, 4, 2, 4),
            ("a part", 20.0, 1.0, 50, 2, 5),
            ("the last one", 1.2, 1.0, 4, 0, 1),
            ("none", 0.9, 1.0, 4, 0, 0),
            ("kept for rank 0", 40.0, 0.2, 4, 2, 0),
            ("rank 0", 40.0, 0.05, 4, 0, 4),
        ):
            with self.subTest(name):
                quota = ZoneQuota(0.0)
                quota.bucket.tokens, quota.bucket.fill_ratio = tokens, fill_ratio
                self.assertEqual(grant_tokens(quota, wanted, rank), expected)
                self.assertAlmostEqual(quota.bucket.tokens, tokens - expected)

    def test_loans(self):
        """Guards against tokens that both zones hold after a loan."""
        lender, borrower = ZoneQuota(0.0), ZoneQuota(0.0)
        lender.bucket.tokens = 6.0
        given = lend_tokens(lender, 4.0)
        add_loan(borrower, "z", given)
        self.assertEqual(lender.bucket.tokens + borrower.bucket.tokens, 6.0)
        self.assertEqual(lend_tokens(ZoneQuota(0.0), 4.0), 0.0)

    def test_zone_that_does_not_answer(self):
        """Guards against requests that wait for loans of a zone that is cut off.

        Load: a zone was cut off a moment ago, and its last report is still recent.
        """
        quota = ZoneQuota(0.0)
        for zone in ("x", "y"):
            record_zone_report(quota, zone, f"host-{zone}", 5.0, 9.0, 10.0)
        postpone_loan(quota, "x", 10.0)
        self.assertEqual(find_lenders(quota, 10.5), ["y"])
        self.assertEqual(find_lenders(quota, 10.1 + LOAN_RETRY_S), ["y", "x"])


if __name__ == "__main__":
    unittest.main()
