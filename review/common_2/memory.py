"""The platform's limit on the memory of a process."""

import asyncio
import signal
from pathlib import Path

# The limit of the machines of the smallest deployments, 300 MB.
MEMORY_BYTES = 300 * 1_000_000
CHECK_INTERVAL_S = 0.01


def read_memory(host):
    """Return the resident memory of a daemon in bytes."""
    for line in Path(f"/proc/{host.process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


async def limit_memory(host):
    """Kill the daemon when it exceeds its memory."""
    most = 0
    try:
        while host.process.poll() is None:
            used = read_memory(host)
            most = max(most, used)
            if used > MEMORY_BYTES:
                host.mesh.record(
                    f"platform: {host.name} uses {used / 1e6:.0f} MB, more than its"
                    f" {MEMORY_BYTES / 1e6:.0f} MB"
                )
                host.signal(signal.SIGKILL)
                return
            await asyncio.sleep(CHECK_INTERVAL_S)
    finally:
        host.mesh.record(f"platform: {host.name} used {most / 1e6:.0f} MB at most")
