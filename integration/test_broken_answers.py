"""Broken answers of upstreams, through sidecar daemons that are real processes."""

import argparse
import itertools
import time
import unittest
from pathlib import Path

import aiohttp
from nose2.tools import params

from integration.test_crowds import CALLER, allow_long_requests, leave
from standins.broken import PART, break_off
from standins.sidecars import KEY, ROOT, run_mesh

PART_BYTES = 64 * 1024
TIMEOUT_S = 20.0
# How an upstream ends its early answer to an upload. The second one needs no luck.
ENDS = {
    "reset": break_off(ends_side=False),
    "end, then reset": break_off(ends_side=True, pause_s=0.1),
}
SIZES = (300_000, 2_000_000, 12_000_000)


async def make_parts(size):
    """Yield the parts of an upload."""
    for _ in range(size // PART_BYTES):
        yield b"u" * PART_BYTES
    yield b"u" * (size % PART_BYTES)


async def upload(mesh, sidecar, path, size, is_chunked):
    """Send an upload; return the answer's status and body, None if there is none."""
    url = f"http://127.0.0.1:{sidecar.ports[CALLER]}{path}"
    headers = {
        "Host": "m.example",
        "X-Request-Id": f"{path[1:5]}-{size}-{time.monotonic_ns()}",
        "X-Deadline-Ms": str(round(1000 * TIMEOUT_S)),
        "Authorization": f"Token {KEY}",
    }
    if not is_chunked:
        headers["Content-Length"] = str(size)
    body = make_parts(size)
    try:
        async with mesh.http.post(url, headers=headers, data=body) as response:
            return response.status, await response.read()
    except aiohttp.ClientError:
        return None


async def repeat_uploads(mesh, sidecar, script, size, count):
    """Return the answers to ``count`` uploads of each route and framing."""
    for each in mesh.sidecars:
        each.upstream.script = script
    answers = []
    for path, is_chunked in itertools.product(("/view/1", "/book/1"), (True, False)):
        for _ in range(count):
            answers.append(await upload(mesh, sidecar, path, size, is_chunked))
    return answers


class TestBrokenAnswers(unittest.TestCase):
    """Checks that no part of an answer reaches a caller as the whole."""

    @params(*itertools.product(ENDS, ("own", "other")))
    def test_answer_cut_off_during_an_upload(self, end, place):
        """Guards against a body without a length that a reset cuts off (MIXED)."""

        async def scenario(mesh):
            await allow_long_requests(mesh)
            first = mesh.sidecars[0]
            if place == "other":
                await leave(mesh, first)
            for size in SIZES:
                with self.subTest(size=size):
                    answers = await repeat_uploads(mesh, first, ENDS[end], size, 4)
                    self.assertEqual([a[0] for a in answers if a], [502] * 16)

        run_mesh(scenario)


async def count_whole(mesh, count, size):
    """Print how many of many uploads whose answer is reset get a part as the whole."""
    await allow_long_requests(mesh)
    answers = await repeat_uploads(mesh, mesh.sidecars[0], ENDS["reset"], size, count)
    whole = sum(answer is not None and answer[0] == 200 for answer in answers)
    parts = sum(answer == (200, PART) for answer in answers)
    print(f"{len(answers)} uploads, {whole} taken for whole, {parts} with the part")


def main():
    """Repeat the uploads whose answer is reset at once, which fail by chance only."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--count", type=int, default=200)
    parser.add_argument("--size", type=int, default=SIZES[-1])
    parser.add_argument("--root", type=Path, default=ROOT, help="tree of the daemons")
    options = parser.parse_args()
    run_mesh(
        lambda mesh: count_whole(mesh, options.count, options.size), root=options.root
    )


if __name__ == "__main__":
    main()
