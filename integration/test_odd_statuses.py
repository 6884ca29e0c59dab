"""Answers of upstreams whose status is none, through sidecar daemons."""

import unittest

from nose2.tools import params

from standins.sidecars import run_mesh

STATUS_LINES = ("000 None", "099 Low", "600 High", "999 Highest")


class TestOddStatuses(unittest.TestCase):
    """Checks that such an answer reaches no caller and says nothing of its run."""

    @params(*STATUS_LINES)
    def test_answers(self, status_line):
        """Guards against an answer of an upstream in trouble as a success (MIXED)."""

        async def scenario(mesh):
            for is_framed in (True, False):
                for path in ("/view/1", "/book/1"):
                    for sidecar in mesh.sidecars:
                        sidecar.upstream.status_line = status_line
                        sidecar.upstream.is_framed = is_framed
                    request_id = f"{is_framed}-{path[1:5]}"
                    with self.subTest(is_framed=is_framed, path=path):
                        await self.check(mesh, path, request_id)

        run_mesh(scenario)

    async def check(self, mesh, path, request_id):
        """Send a request, and check its answer and how often it ran."""
        status, headers, text = await mesh.ask(mesh.sidecars[0], path, request_id)
        self.assertEqual(status, 502)
        self.assertNotIn("X-Server-Seal", headers)
        self.assertNotEqual(text, path)
        # Only an idempotent request may be sent again after it may have run.
        self.assertLessEqual(len(mesh.ran(request_id)), 1 + path.startswith("/view"))


if __name__ == "__main__":
    unittest.main()
