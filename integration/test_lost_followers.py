"""Changes of the configuration while the hosts that follow the store are lost."""

import asyncio
import signal
import unittest

import aiohttp

from standins.sidecars import SidecarMesh, make_configuration, wait_for

# A change of the configuration is in force within this time on all hosts, in seconds.
APPLY_S = 2.0
# Time between the loss of the followers and the change, in seconds.
CHANGE_AFTER_S = 0.05
# Time for which silent daemons are stopped, in seconds.
SILENT_S = 3.0
HOST_COUNT = 8
FOLLOWER_METRIC = "egretlift_store_served"


async def is_following(mesh, sidecar):
    """Return whether a daemon follows the store, as its metrics say."""
    url = f"http://127.0.0.1:{sidecar.settings['internal_ports'][0] + 1}/metrics"
    try:
        async with mesh.http.get(url) as response:
            lines = (await response.text()).splitlines()
    except aiohttp.ClientError:
        return False
    values = [x.split()[-1] for x in lines if x.startswith(FOLLOWER_METRIC)]
    return bool(values) and float(values[0]) == 1


async def find_followers(mesh):
    """Return the daemons that follow the store, at least one."""
    return [s for s in mesh.sidecars if await is_following(mesh, s)]


async def kill(sidecar):
    """Kill a daemon."""
    sidecar.signal(signal.SIGKILL)
    await sidecar.process.wait()


async def silence(sidecar):
    """Stop a daemon's process for ``SILENT_S``."""
    sidecar.signal(signal.SIGSTOP)
    await asyncio.sleep(SILENT_S)
    sidecar.signal(signal.SIGCONT)


class TestLostFollowers(unittest.TestCase):
    """Whether the other hosts get a change in time."""

    def test_change_as_followers_are_lost(self):
        """Guards against an older version where all that watch the store are lost."""
        for lose in (kill, silence):
            with self.subTest(lose.__name__):
                asyncio.run(self.change_version(lose))

    async def change_version(self, lose):
        """Lose all followers, change the version, and check the other hosts."""
        async with SidecarMesh(HOST_COUNT) as mesh:
            await wait_for(lambda: find_followers(mesh))
            lost = await find_followers(mesh)
            others = [sidecar for sidecar in mesh.sidecars if sidecar not in lost]
            self.assertTrue(others)
            tasks = [asyncio.create_task(lose(sidecar)) for sidecar in lost]
            await asyncio.sleep(CHANGE_AFTER_S)
            mesh.store.put("config", "main", make_configuration(4, keys=("other",)))
            await asyncio.sleep(APPLY_S)
            for sidecar in others:
                self.assertEqual((await mesh.ask(sidecar))[0], 401)
            await asyncio.gather(*tasks)


if __name__ == "__main__":
    unittest.main()
