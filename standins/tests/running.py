"""Asynchronous tests that work in nose2 tables."""

import asyncio
import functools


def run_async(test):
    """Return a plain test that awaits ``start``, the test and ``stop``.

    nose2 never awaits a coroutine function under ``@params``, so such a test passes
    without being run.
    """

    @functools.wraps(test)
    def run(self, *case):
        async def run_case():
            await self.start()
            try:
                await test(self, *case)
            finally:
                await self.stop()

        asyncio.run(run_case())

    return run
