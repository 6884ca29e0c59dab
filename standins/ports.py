"""Free ports of 127.0.0.1 for processes that are started later."""

import random
import socket

BLOCK_PORTS = 50
# Below 32768, where Linux takes the local ports of outgoing connections, which
# could otherwise occupy a port while its process is restarted.
FIRST_PORT, LAST_PORT = 10000, 32000


class PortBlocks:
    """Ports that belong to one mesh until `release_ports`."""

    __slots__ = ("free", "locks")

    def __init__(self):
        self.locks = []
        self.free = []


def is_free(port):
    """Return whether a process could listen on a port."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def lock_block(blocks, base):
    """Return whether the ports from base on are free, and keep them if so.

    The first port of a block is bound as a lock, so that meshes of other test
    processes do not take the block.
    """
    lock = socket.socket()
    try:
        lock.bind(("127.0.0.1", base))
    except OSError:
        lock.close()
        return False
    ports = range(base + 1, base + BLOCK_PORTS)
    if not all(map(is_free, ports)):
        lock.close()
        return False
    blocks.locks.append(lock)
    blocks.free.extend(ports)
    return True


def allocate_port(blocks):
    """Return a port that no other mesh uses."""
    bases = list(range(FIRST_PORT, LAST_PORT - BLOCK_PORTS, BLOCK_PORTS))
    random.SystemRandom().shuffle(bases)
    while not blocks.free:
        if not bases:
            raise OSError(f"no free block of {BLOCK_PORTS} ports")
        lock_block(blocks, bases.pop())
    return blocks.free.pop(0)


def release_ports(blocks):
    """Give up all blocks."""
    while blocks.locks:
        blocks.locks.pop().close()
    blocks.free.clear()
