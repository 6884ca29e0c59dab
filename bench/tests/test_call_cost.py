"""A short run of the measurement of a call's cost, with real daemons."""

import asyncio
import unittest

from bench.call_cost import KINDS, format_costs, measure_tree
from standins.sidecars import ROOT


class TestCallCost(unittest.TestCase):
    """Measurement and table."""

    def test_all_kinds(self):
        """Guards against kinds of calls that are not answered as they should be."""
        measured = asyncio.run(measure_tree(ROOT, [2], 0.4))
        costs, start_s, memory_mb = measured
        self.assertEqual([cost.kind for cost in costs], list(KINDS))
        for cost in costs:
            with self.subTest(cost.kind):
                self.assertGreater(cost.answers, 0)
        self.assertGreater(start_s, 0)
        self.assertGreater(memory_mb, 10)
        self.assertIn("ratio", format_costs(measured, measured))


if __name__ == "__main__":
    unittest.main()
