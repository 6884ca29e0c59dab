"""Decorator for asynchronous tests with nose2 parameters."""

import asyncio
import functools


def run_async(test):
    """Return a synchronous test that awaits ``start``, the test and ``stop``.

    nose2 does not await a coroutine function under ``@params``: the test would pass
    without having run.
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
